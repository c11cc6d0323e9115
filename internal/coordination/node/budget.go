package node

import (
	"fmt"
	"math"

	"dapplestage.example/dapplestage/internal/protocol"
)

// What this program takes, measured on one node that serves a whole fleet.
const (
	baseMB       = 25.0    // without connections and jobs
	machineMB    = 0.06    // a machine's connection and state
	spareSockets = 200     // users, health checks, siblings, the store, the cloud
	reportS      = 0.00025 // processor time of a report with its answer
	reportPart   = 0.8     // of the processor time that reports may take
)

// Shortages says what of the settings is too little for the machines that the
// guarantees ask for, should this node be the only one left. The service keeps
// the rules all the same; it is slower, or machines lose their leases.
func Shortages(cfg *protocol.Settings, types []protocol.MachineType) []string {
	machines := 0.0
	for _, t := range cfg.Params.Teams {
		fewest := math.Inf(1)
		for _, m := range types {
			need := 0.0
			if m.GPUs > 0 {
				need = t.GPUs / m.GPUs
			}
			if m.CPUs > 0 {
				need = max(need, t.CPUs/m.CPUs)
			}
			fewest = min(fewest, need)
		}
		if !math.IsInf(fewest, 1) {
			machines += fewest
		}
	}
	var out []string
	short := func(field string, has, needs float64) {
		if has > 0 && needs > has {
			out = append(out, fmt.Sprintf("params.quota.%s: %v, but %.0f machines for the guarantees need about %.3g", field, has, machines, needs))
		}
	}
	q := cfg.Params.Quota
	short("fd_limit", float64(q.FDLimit), machines+spareSockets)
	short("memory_mb", q.MemoryMB, baseMB+machineMB*machines)
	short("cores", q.Cores, machines/cfg.Params.Workers.ReportS*reportS/reportPart)
	return out
}
