package node

import (
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The service watches its own promise: no job waits for long while some machine of the site, whoever
// owns it, has room and the job's team is under its limit. The watch reads recorded machines and
// placements only, not the index and the decisions that it is to check.

// besideRoomAfter is how long a job must have waited beside room to be reported.
const besideRoomAfter = 30 * time.Second

// BesideRoom is a machine that has room for a waiting job, and what keeps the job from it.
type BesideRoom struct {
	Machine  string `json:"machine"`
	Share    int    `json:"share"`
	Obstacle string `json:"obstacle"`
}

// machineWithRoom returns a machine with room for a waiting job: for one task, or for all of a gang that runs
// on one machine. It returns nil if there is none, or the team's limit leaves nothing for the job.
func (n *Node) machineWithRoom(j *job, now time.Time) *BesideRoom {
	tasks := 1
	if j.spec.Shape == protocol.Gang {
		tasks = j.nWaiting()
	}
	if n.teams[j.team].TasksWithinLimit(j.need) < tasks {
		return nil
	}
	for _, p := range n.partitions {
		for _, m := range p.machines {
			machineType := n.machineTypes[m.rec.Type]
			if machineType == nil || m.rec.Addr == "" || m.returning || m.returned || m.spotNotice || !decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) {
				continue
			}
			if capacityOf(machineType).Add(m.used, -1).TaskCount(j.need) >= tasks {
				return &BesideRoom{Machine: m.name, Share: p.index, Obstacle: n.obstacleTo(j, m, now)}
			}
		}
	}
	return nil
}

// obstacleTo describes what keeps a job from a machine with room, as far as this node knows.
func (n *Node) obstacleTo(j *job, m *machine, now time.Time) string {
	owned := n.ownsMachine(m)
	switch {
	case n.isLent(m):
		return "its room is lent"
	case m.rec.Partition != j.partition && !owned:
		return fmt.Sprintf("it belongs to share %d", m.rec.Partition)
	case m.cordoned:
		return "operators have cordoned it"
	case !m.fenced:
		return "it has not reported under the present token"
	case len(m.unconfirmedStarts) > 0:
		return "a direct start was not answered"
	case n.faulty(m):
		return fmt.Sprintf("%d jobs in a row failed on it", len(m.faults.failedJobs))
	case now.Before(m.avoidUntil):
		return fmt.Sprintf("it is avoided for %.0f s", m.avoidUntil.Sub(now).Seconds())
	case n.silent(m, now):
		return "it does not report"
	case m.earmarkedFor != nil && m.earmarkedFor != j && now.Before(m.earmarkedUntil):
		return "it is kept for " + m.earmarkedFor.id
	case m.rec.Partition != j.partition:
		return fmt.Sprintf("it belongs to share %d", m.rec.Partition)
	case now.Before(j.notBefore):
		return fmt.Sprintf("the job failed and is tried again in %.0f s", j.notBefore.Sub(now).Seconds())
	}
	return "none is known: " + j.waitCause.Text()
}

// reportJobsBesideRoom logs and counts the jobs of owned partitions that have waited beside room.
func (n *Node) reportJobsBesideRoom(now time.Time) {
	jobs, longest := 0, time.Duration(0)
	reported := map[lendingKey]bool{}
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, j := range p.jobs {
			if j.nWaiting() == 0 || j.cancelled || j.failures.failsEverywhere {
				continue
			}
			waited := j.waitedFor(now)
			if waited < besideRoomAfter || reported[j.lendingKey()] {
				continue
			}
			room := n.machineWithRoom(j, now)
			if room == nil {
				continue
			}
			reported[j.lendingKey()] = true
			jobs++
			longest = max(longest, waited)
			n.log.Info("job waits beside room", "job", j.id, "team", j.spec.Team, "waited_s", roundToTenth(waited.Seconds()), "machine", room.Machine, "share", room.Share, "obstacle", room.Obstacle)
		}
	}
	n.metrics.besideRoom.Set(float64(jobs))
	n.metrics.besideRoomLongest.Set(longest.Seconds())
}
