package protocol

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the file that the platform hands over. Unknown fields are ignored.
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

// Sibling is another controller node.
type Sibling struct {
	Node string `toml:"node"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// WorkerSettings are the workers' times.
type WorkerSettings struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// StateSettings are the state service's limits.
type StateSettings struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// CloudSettings are the cloud's limits.
type CloudSettings struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineQuota is what this node may use.
type MachineQuota struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// ReadSettings reads and checks a settings file. The error joins one mistake
// per line, each naming its field.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(data)
}

// ParseSettings reads and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	m := &SettingErrors{}
	if s.Node == "" {
		m.Add("node: missing")
	}
	m.CheckAddress("api_addr", s.APIAddr)
	m.CheckAddress("cluster_listen", s.PeerAddr)
	m.CheckAddress("external.cloud", s.External.Cloud)
	m.CheckAddress("external.state", s.External.State)
	s.checkSiblings(m)
	p := &s.Params
	if p.Nodes == 0 {
		p.Nodes = len(s.Siblings) + 1
	}
	if p.Nodes < 1 || p.Nodes > 1000 {
		m.Add("params.initial_size: out of range: %d", p.Nodes)
	}
	checkTeams(m, p.Teams)
	s.checkLimits(m)
	return m.Err()
}

func (s *Settings) checkSiblings(m *SettingErrors) {
	seen := map[string]bool{s.Node: true}
	for i, sib := range s.Siblings {
		if sib.Node == "" || seen[sib.Node] {
			m.Add("siblings[%d].node: missing or repeated: %q", i, sib.Node)
		}
		seen[sib.Node] = true
		m.CheckAddress(fmt.Sprintf("siblings[%d].peer_addr", i), sib.Addr)
	}
}

func checkTeams(m *SettingErrors, teams []Team) {
	if len(teams) == 0 {
		m.Add("params.teams: none")
	}
	seen := map[string]bool{}
	for i, t := range teams {
		if t.Name == "" || seen[t.Name] {
			m.Add("params.teams[%d].name: missing or repeated: %q", i, t.Name)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			m.Add("params.teams[%d]: negative amount", i)
		}
		if (t.CPUsMax > 0 && t.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && t.GPUs > t.GPUsMax) {
			m.Add("params.teams[%d]: guarantee above the limit", i)
		}
	}
}

// leastTxnOps is the least number of writes that a transaction must be able to hold.
const leastTxnOps = 4

// checkLimits checks the limits of the workers, the outside services and this machine.
func (s *Settings) checkLimits(m *SettingErrors) {
	p := &s.Params
	m.CheckPositive("params.workers.report_s", p.Workers.ReportS)
	m.CheckPositive("params.workers.lease_s", p.Workers.LeaseS)
	m.CheckPositive("params.workers.cancel_s", p.Workers.CancelS)
	m.CheckPositive("params.state.rps", p.State.RPS)
	m.CheckPositive("params.state.write_rps", p.State.WriteRPS)
	m.CheckPositive("params.state.value_kb", p.State.ValueKB)
	m.CheckPositive("params.state.txn_ops", float64(p.State.TxnOps))
	m.CheckPositive("params.cloud.rps", p.Cloud.RPS)
	m.CheckPositive("params.quota.cores", p.Quota.Cores)
	m.CheckPositive("params.quota.memory_mb", p.Quota.MemoryMB)
	if p.Workers.CancelS <= p.Workers.LeaseS {
		m.Add("params.workers.cancel_s: must be above lease_s")
	}
	if p.State.TxnOps > 0 && p.State.TxnOps < leastTxnOps {
		m.Add("params.state.txn_ops: at least %d needed", leastTxnOps)
	}
}
