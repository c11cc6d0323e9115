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

// logLevels are the log levels by name.
var logLevels = map[string]slog.Level{"error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}

// Policy holds the settings that operators may change while the service runs. They are stored in
// the state service, and every node receives them.
type Policy struct {
	Window       int      `json:"window"`        // how many arrivals the heavy-job threshold is computed from
	MoveS        float64  `json:"move_s"`        // interval at which the leader moves machines between partitions
	IdleS        float64  `json:"idle_s"`        // how long an idle machine is kept
	Headroom     float64  `json:"headroom"`      // capacity is kept for the arrivals expected within this many boot times
	Greedy       bool     `json:"greedy"`        // every job takes the cheapest slots
	StopRentals  bool     `json:"stop_rentals"`  // no machine is rented
	HeldBack     []string `json:"held_back"`     // machines on which no new task is placed
	LogLevel     string   `json:"log_level"`     // empty: the level of LOG_LEVEL
	PlainRecords bool     `json:"plain_records"` // stores every job in a record of its own, as needed before a downgrade
}

// DefaultPolicy returns the settings that apply until operators change them.
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
	{"log_level", "error, info, debug, or empty for LOG_LEVEL", func(p *Policy) any { return &p.LogLevel }, func(p *Policy) bool { _, ok := logLevels[p.LogLevel]; return ok || p.LogLevel == "" }},
	{"move_s", "0.5 to 600 seconds", func(p *Policy) any { return &p.MoveS }, func(p *Policy) bool { return p.MoveS >= 0.5 && p.MoveS <= 600 }},
	{"plain_records", "true or false", func(p *Policy) any { return &p.PlainRecords }, func(*Policy) bool { return true }},
	{"stop_rentals", "true or false", func(p *Policy) any { return &p.StopRentals }, func(*Policy) bool { return true }},
	{"window", "1 to 1000 arrivals", func(p *Policy) any { return &p.Window }, func(p *Policy) bool { return p.Window >= 1 && p.Window <= 1000 }},
}

// Set returns the policy with one setting changed. known is false if there is no such setting; err
// describes what is wrong with the value.
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

// SettingNames returns the names of the operators' settings.
func SettingNames() []string {
	var out []string
	for _, s := range settingsList {
		out = append(out, s.name)
	}
	return out
}

// valid reports whether a stored policy is within bounds. One that is not, for instance one stored
// by another version, is not used.
func (p Policy) valid() bool {
	return !slices.ContainsFunc(settingsList, func(s setting) bool { return !s.valid(&p) })
}

// setPolicy applies the operators' settings.
func (n *Node) setPolicy(policy Policy) {
	if !policy.valid() {
		n.log.Error("stored settings are out of bounds; keeping the previous ones", "key", protocol.PolicyKey)
		return
	}
	n.policy = policy
	for _, p := range n.partitions {
		p.window.Resize(policy.Window)
	}
	for _, m := range n.machines {
		m.cordoned = slices.Contains(policy.HeldBack, m.name)
		n.markStale(m)
	}
	if n.SetLogLevel != nil {
		n.SetLogLevel(logLevels[policy.LogLevel], policy.LogLevel != "")
	}
	n.log.Info("operators' settings", "settings", string(mustJSON(policy)))
	n.replan = true
}
