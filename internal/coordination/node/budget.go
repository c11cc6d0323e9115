package node

import (
	"fmt"
	"math"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Resources that this program needs, measured on one node that serves a whole fleet.
const (
	baseMB           = 25.0    // without connections and jobs
	machineMB        = 0.06    // a machine's connection and state
	otherSockets     = 200     // users, health checks, peers, the state service, the cloud
	reportCPUSeconds = 0.00025 // CPU time for a report and its answer
	reportCPUPart    = 0.8     // part of the CPU time that reports may use
)

// Shortages returns the settings that are too small for the machines that the guarantees need, should
// this node be the only one left. The service then still keeps its rules, but it is slower, or
// machines lose their leases.
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
	short("fd_limit", float64(q.FDLimit), machines+otherSockets)
	short("memory_mb", q.MemoryMB, baseMB+machineMB*machines)
	short("cores", q.Cores, machines/cfg.Params.Workers.ReportS*reportCPUSeconds/reportCPUPart)
	return out
}
