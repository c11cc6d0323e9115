package protocol

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of a controller, written by the platform that starts it.
// Unknown fields are ignored.
type Settings struct {
	Node     string    `toml:"node"`
	Zone     string    `toml:"location"`
	APIAddr  string    `toml:"api_addr"`
	PeerAddr string    `toml:"cluster_listen"`
	Siblings []Sibling `toml:"siblings"`
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Params struct {
		Nodes   int            `toml:"initial_size"`
		Zones   []string       `toml:"zones"`
		SkewMS  float64        `toml:"skew_ms"`
		Teams   []Team         `toml:"teams"`
		Aims    []Objective    `toml:"objectives"`
		Workers WorkerSettings `toml:"workers"`
		State   StateSettings  `toml:"state"`
		Cloud   CloudSettings  `toml:"cloud"`
		Quota   MachineQuota   `toml:"quota"`
	} `toml:"params"`
}

// Sibling is another controller of the same cluster.
type Sibling struct {
	Node string `toml:"node"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// Team holds a team's guarantees and limits of CPUs and GPUs; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective: the fraction of a class's jobs that are to
// start or finish within a time.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// WorkerSettings are the intervals and timeouts of workers.
type WorkerSettings struct {
	ReportS   float64 `toml:"report_s"`    // interval of a worker's reports
	LeaseS    float64 `toml:"lease_s"`     // after this time without an answer a worker ends its tasks
	GangWaitS float64 `toml:"gang_wait_s"` // after this time a task gives up waiting for the rest of its gang
	GangPeerS float64 `toml:"gang_peer_s"` // within this time all tasks of a gang must be told to save
	CancelS   float64 `toml:"cancel_s"`    // within this time of its cancellation a job must have stopped
}

// StateSettings are the limits of the state service.
type StateSettings struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// CloudSettings are the cloud's request limit and the lag of its list of machines.
type CloudSettings struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineQuota limits the resources that this controller's process may use.
type MachineQuota struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// ReadSettings reads and checks a settings file. The error has a line for each invalid
// field, which begins with the field's name.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(data)
}

// ParseSettings parses and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	errs := &SettingErrors{}
	if s.Node == "" {
		errs.Add("node: missing")
	}
	errs.CheckAddress("api_addr", s.APIAddr)
	errs.CheckAddress("cluster_listen", s.PeerAddr)
	errs.CheckAddress("external.cloud", s.External.Cloud)
	errs.CheckAddress("external.state", s.External.State)
	s.checkPeers(errs)
	p := &s.Params
	if p.Nodes == 0 {
		p.Nodes = len(s.Siblings) + 1
	}
	if p.Nodes < 1 || p.Nodes > 1000 {
		errs.Add("params.initial_size: out of range: %d", p.Nodes)
	}
	checkTeams(errs, p.Teams)
	s.checkLimits(errs)
	return errs.Err()
}

func (s *Settings) checkPeers(errs *SettingErrors) {
	seen := map[string]bool{s.Node: true}
	for i, peer := range s.Siblings {
		if peer.Node == "" || seen[peer.Node] {
			errs.Add("siblings[%d].node: missing or repeated: %q", i, peer.Node)
		}
		seen[peer.Node] = true
		errs.CheckAddress(fmt.Sprintf("siblings[%d].peer_addr", i), peer.Addr)
	}
}

func checkTeams(errs *SettingErrors, teams []Team) {
	if len(teams) == 0 {
		errs.Add("params.teams: none")
	}
	seen := map[string]bool{}
	for i, t := range teams {
		if t.Name == "" || seen[t.Name] {
			errs.Add("params.teams[%d].name: missing or repeated: %q", i, t.Name)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			errs.Add("params.teams[%d]: negative amount", i)
		}
		if (t.CPUsMax > 0 && t.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && t.GPUs > t.GPUsMax) {
			errs.Add("params.teams[%d]: guarantee above the limit", i)
		}
	}
}

// minTxnOps is the minimum number of writes that a transaction of the state service must
// allow.
const minTxnOps = 4

// checkLimits checks the limits of the workers, the state service, the cloud and this
// process.
func (s *Settings) checkLimits(errs *SettingErrors) {
	p := &s.Params
	errs.CheckPositive("params.workers.report_s", p.Workers.ReportS)
	errs.CheckPositive("params.workers.lease_s", p.Workers.LeaseS)
	errs.CheckPositive("params.workers.cancel_s", p.Workers.CancelS)
	errs.CheckPositive("params.state.rps", p.State.RPS)
	errs.CheckPositive("params.state.write_rps", p.State.WriteRPS)
	errs.CheckPositive("params.state.value_kb", p.State.ValueKB)
	errs.CheckPositive("params.state.txn_ops", float64(p.State.TxnOps))
	errs.CheckPositive("params.cloud.rps", p.Cloud.RPS)
	errs.CheckPositive("params.quota.cores", p.Quota.Cores)
	errs.CheckPositive("params.quota.memory_mb", p.Quota.MemoryMB)
	if p.Workers.CancelS <= p.Workers.LeaseS {
		errs.Add("params.workers.cancel_s: must be above lease_s")
	}
	if p.State.TxnOps > 0 && p.State.TxnOps < minTxnOps {
		errs.Add("params.state.txn_ops: at least %d needed", minTxnOps)
	}
}
