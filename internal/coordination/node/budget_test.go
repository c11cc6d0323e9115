package node

import (
	"strings"
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Each setting that is too small for the guarantees must be named, and no other.
func TestShortagesNameTheField(t *testing.T) {
	types := []protocol.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192}}
	for field, change := range map[string]func(q *protocol.MachineQuota){
		"":          func(*protocol.MachineQuota) {},
		"fd_limit":  func(q *protocol.MachineQuota) { q.FDLimit = 1100 },
		"memory_mb": func(q *protocol.MachineQuota) { q.MemoryMB = 60 },
		"cores":     func(q *protocol.MachineQuota) { q.Cores = 0.03 },
	} {
		cfg := settingsFor([]string{"n-0"}, 0)
		cfg.Params.Teams = []protocol.Team{{Name: "red", GPUs: 4000, GPUsMax: 8000}}
		cfg.Params.Workers.ReportS = 6
		cfg.Params.Quota = protocol.MachineQuota{Cores: 0.2, MemoryMB: 342, FDLimit: 3500}
		change(&cfg.Params.Quota)
		got := strings.Join(Shortages(cfg, types), "\n")
		if field == "" && got != "" || field != "" && (!strings.HasPrefix(got, "params.quota."+field+":") || strings.Contains(got, "\n")) {
			t.Errorf("with too little %q: %q", field, got)
		}
	}
}
