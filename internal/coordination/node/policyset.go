package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// levels are the log levels by name.
var levels = map[string]slog.Level{"error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}

// Policy holds the values that operators may change while the service runs.
// They are stored in the state service and seen by every node.
type Policy struct {
	Window       int      `json:"window"`        // arrivals remembered for the threshold
	MoveS        float64  `json:"move_s"`        // period of the leader's moves
	IdleS        float64  `json:"idle_s"`        // how long a machine that nothing needs is kept
	Headroom     float64  `json:"headroom"`      // boot times of expected arrivals to keep room for
	Greedy       bool     `json:"greedy"`        // every job takes the cheapest slots
	StopRentals  bool     `json:"stop_rentals"`  // rent nothing
	HeldBack     []string `json:"held_back"`     // machines on which nothing new is placed
	LogLevel     string   `json:"log_level"`     // empty: what LOG_LEVEL says
	PlainRecords bool     `json:"plain_records"` // every job in a record of its own: for going back to an earlier version
}

// DefaultPolicy is what holds until operators change it.
func DefaultPolicy() Policy {
	return Policy{Window: decide.DefaultWindow, MoveS: 1, IdleS: 45, Headroom: 2, HeldBack: []string{}}
}

// setting describes one of the operators' settings.
type setting struct {
	name, bounds string
	field        func(p *Policy) any
	valid        func(p *Policy) bool
}

var settingsList = []setting{
	{"greedy", "true or false", func(p *Policy) any { return &p.Greedy }, func(*Policy) bool { return true }},
	{"headroom", "0 to 10 boot times", func(p *Policy) any { return &p.Headroom }, func(p *Policy) bool { return p.Headroom >= 0 && p.Headroom <= 10 }},
	{"held_back", "up to 100 names of machines", func(p *Policy) any { return &p.HeldBack }, func(p *Policy) bool {
		return len(p.HeldBack) <= 100 && !slices.ContainsFunc(p.HeldBack, func(s string) bool { return s == "" || len(s) > 100 || strings.ContainsAny(s, " /") })
	}},
	{"idle_s", "5 to 3600 seconds", func(p *Policy) any { return &p.IdleS }, func(p *Policy) bool { return p.IdleS >= 5 && p.IdleS <= 3600 }},
	{"log_level", "error, info, debug, or empty for LOG_LEVEL", func(p *Policy) any { return &p.LogLevel }, func(p *Policy) bool { _, ok := levels[p.LogLevel]; return ok || p.LogLevel == "" }},
	{"move_s", "0.5 to 600 seconds", func(p *Policy) any { return &p.MoveS }, func(p *Policy) bool { return p.MoveS >= 0.5 && p.MoveS <= 600 }},
	{"plain_records", "true or false", func(p *Policy) any { return &p.PlainRecords }, func(*Policy) bool { return true }},
	{"stop_rentals", "true or false", func(p *Policy) any { return &p.StopRentals }, func(*Policy) bool { return true }},
	{"window", "1 to 1000 arrivals", func(p *Policy) any { return &p.Window }, func(p *Policy) bool { return p.Window >= 1 && p.Window <= 1000 }},
}

// Set changes one setting. known is false if there is no such setting; err
// says what is wrong with the value.
func (p Policy) Set(name string, value json.RawMessage) (changed Policy, known bool, err error) {
	i := slices.IndexFunc(settingsList, func(s setting) bool { return s.name == name })
	if i < 0 {
		return p, false, nil
	}
	s := settingsList[i]
	p.HeldBack = slices.Clone(p.HeldBack)
	if len(value) == 0 || string(value) == "null" || json.Unmarshal(value, s.field(&p)) != nil || !s.valid(&p) {
		return p, true, fmt.Errorf("%s: must be %s", name, s.bounds)
	}
	return p, true, nil
}

// SettingNames are the operators' settings by name.
func SettingNames() []string {
	var out []string
	for _, s := range settingsList {
		out = append(out, s.name)
	}
	return out
}

// valid says whether a stored policy is within bounds; one that is not (from
// another version, say) is not used.
func (p Policy) valid() bool {
	return !slices.ContainsFunc(settingsList, func(s setting) bool { return !s.valid(&p) })
}

// setPolicy takes in what operators have set.
func (n *Node) setPolicy(p Policy) {
	if !p.valid() {
		n.log.Error("stored settings are out of bounds and not used", "key", protocol.PolicyKey)
		return
	}
	n.policy = p
	for _, s := range n.partitions {
		s.window.Resize(p.Window)
	}
	for _, m := range n.machines {
		m.cordoned = slices.Contains(p.HeldBack, m.name)
		n.markStale(m)
	}
	if n.SetLogLevel != nil {
		n.SetLogLevel(levels[p.LogLevel], p.LogLevel != "")
	}
	n.log.Info("operators' settings", "settings", string(mustJSON(p)))
	n.replan = true
}
