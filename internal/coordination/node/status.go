package node

import (
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Status reports what runs, what does not, and whose work is stuck. It is bounded in size, made
// from memory alone, and includes the age of its data.
type Status struct {
	Node      string            `json:"node"`
	Version   string            `json:"version"`
	StateAgeS float64           `json:"state_age_s"` // time since the state service last answered
	Loaded    bool              `json:"loaded"`
	Jobs      int               `json:"jobs"`
	Shares    []PartitionStatus `json:"shares"`
	Teams     []TeamStatus      `json:"teams"`
	Stuck     []StuckJob        `json:"stuck"`      // longest waiting first
	StuckMore int               `json:"stuck_more"` // number of stuck jobs that are not listed
	Ended     []EndedJob        `json:"ended"`      // ended jobs that this node finished, latest first
}

// PartitionStatus is the status of one partition.
type PartitionStatus struct {
	Share    int    `json:"share"`
	Holder   string `json:"holder"`
	Machines int    `json:"machines"`
	Empty    int    `json:"empty"`
	// Free resources of the running machines, known to the owner only.
	FreeGPUs float64 `json:"free_gpus"`
	FreeCPUs float64 `json:"free_cpus"`
	Silent   int     `json:"silent"`
	// Phase of the takeover: taken, squaring, serving; the number of machines that have not
	// reported since, and of those that had to be polled. Known to the owner only.
	Phase   string `json:"phase,omitempty"`
	Unheard int    `json:"unheard,omitempty"`
	Polled  int    `json:"asked,omitempty"`
	// How the owner came to own the partition, and the seconds for which no node served it.
	Cause string  `json:"cause,omitempty"`
	GapS  float64 `json:"gap_s,omitempty"`
	// The standbys and, if this node is one of them, how fresh its view is.
	FirstStandby  string            `json:"first_standby,omitempty"`
	SecondStandby string            `json:"second_standby,omitempty"`
	Freshness     *StandbyFreshness `json:"warmth,omitempty"`
}

// TeamStatus is the status of one team.
type TeamStatus struct {
	Team    string  `json:"team"`
	Share   int     `json:"share"`
	Jobs    int     `json:"jobs"`
	Waiting int     `json:"waiting_tasks"`
	Running int     `json:"placed_tasks"`
	GPUs    float64 `json:"gpus"`
	MaxGPUs float64 `json:"gpus_max"`
}

// StuckJob is a job with tasks that do not run.
type StuckJob struct {
	Job      string  `json:"job"`
	Ticket   string  `json:"ticket,omitempty"` // ticket of which the job is a step
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Shape    string  `json:"shape"`
	Waiting  int     `json:"waiting_tasks"`
	Starting int     `json:"starting_tasks"`
	SinceS   float64 `json:"since_s"`
	Why      string  `json:"why"`
}

// EndedJob is a job that has ended.
type EndedJob struct {
	Job    string  `json:"job"`
	Class  string  `json:"class"`
	Team   string  `json:"team"`
	Status string  `json:"status"`
	TookS  float64 `json:"took_s"`
	AgoS   float64 `json:"ago_s"`
	at     time.Time
}

const (
	maxStuckJobs = 50
	maxTeams     = 200
	maxEndedJobs = 20
)

// Version is the release version, set by the program.
var Version = "dev"

func (n *Node) status(now time.Time) Status {
	status := Status{Node: n.cfg.Node, Version: Version, StateAgeS: roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds()), Loaded: n.loaded, Jobs: len(n.jobs),
		Shares: []PartitionStatus{}, Teams: []TeamStatus{}, Stuck: []StuckJob{}, Ended: []EndedJob{}}
	for _, p := range n.partitions {
		row := PartitionStatus{Share: p.index, Holder: p.owner.Node}
		if p.reconciliation != nil {
			all, heard, asked := p.reconciliation.Counts()
			row.Phase, row.Unheard, row.Polled = p.reconciliation.Phase().String(), all-heard, asked
			row.Cause, row.GapS = p.takeover.cause.String(), roundToTenth(p.takeover.gap.Seconds())
		}
		pair := n.standby.standbys[p.index]
		row.FirstStandby, row.SecondStandby = pair.First, pair.Second
		if pair.First == n.cfg.Node || pair.Second == n.cfg.Node {
			freshness := n.standbyFreshness(p, now)
			row.Freshness = &freshness
		}
		for _, m := range n.machines {
			if !m.recorded || m.rec.Partition != p.index {
				continue
			}
			row.Machines++
			if len(m.tasks) == 0 {
				row.Empty++
			}
			if n.usable(m, now) {
				free := n.available(m)
				row.FreeGPUs, row.FreeCPUs = row.FreeGPUs+free.GPUs, row.FreeCPUs+free.CPUs
			} else if !m.lastFencedReport.IsZero() && n.silent(m, now) {
				row.Silent++
			}
		}
		status.Shares = append(status.Shares, row)
	}
	for _, team := range n.teams[:min(len(n.teams), maxTeams)] {
		status.Teams = append(status.Teams, TeamStatus{Team: team.Name, Share: team.partition, GPUs: team.Used.GPUs, MaxGPUs: team.Limit.GPUs})
	}
	for _, j := range n.jobs {
		if j.team < len(status.Teams) {
			team := &status.Teams[j.team]
			team.Jobs++
			team.Running += j.nPlaced
			if !j.cancelled {
				team.Waiting += j.nWaiting()
			}
		}
		if job, stuck := n.stuckJob(j, now); stuck {
			status.Stuck = append(status.Stuck, job)
		}
	}
	slices.SortFunc(status.Stuck, func(a, b StuckJob) int {
		if a.SinceS != b.SinceS {
			return int(b.SinceS*1000) - int(a.SinceS*1000)
		}
		return compareNames(a.Job, b.Job)
	})
	if more := len(status.Stuck) - maxStuckJobs; more > 0 {
		status.Stuck, status.StuckMore = status.Stuck[:maxStuckJobs], more
	}
	for i := len(n.endedJobs) - 1; i >= 0; i-- {
		e := n.endedJobs[i]
		e.AgoS = roundToTenth(now.Sub(e.at).Seconds())
		status.Ended = append(status.Ended, e)
	}
	return status
}

// roundToTenth cuts off all digits after the first decimal place.
func roundToTenth(x float64) float64 { return float64(int(x*10)) / 10 }

// stuckJob reports whether a job has tasks that do not run, and why not.
func (n *Node) stuckJob(j *job, now time.Time) (StuckJob, bool) {
	result := StuckJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Shape: j.spec.Shape}
	if j.step != nil {
		result.Ticket = j.step.Ticket
	}
	since := now
	fetching, unreachable, gangWait := 0, 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseDone || t.phase == phaseExhausted || t.phase == phasePlaced && n.shownState(j, t) >= reportedRunning:
			continue
		case t.phase == phaseWaiting:
			if j.cancelled {
				continue
			}
			result.Waiting++
		default:
			result.Starting++
			switch {
			case t.machine.recorded && !t.machine.lastFencedReport.IsZero() && n.silent(t.machine, now):
				unreachable++
			case t.reportedState == reportedFetching:
				fetching++
			case t.reportedState == reportedWaiting:
				gangWait++
			}
		}
		if t.phaseSince.Before(since) {
			since = t.phaseSince
		}
	}
	if result.Waiting+result.Starting == 0 {
		return result, false
	}
	result.SinceS = roundToTenth(now.Sub(since).Seconds())
	p := n.partitions[j.partition]
	switch {
	case n.sinceContact(now) > stateServiceTimeout:
		result.Why = "state service down"
	case p.owner.Token == 0:
		result.Why = "its share has no holder"
	case !n.owns(p):
		result.Why = "see " + p.owner.Node
	case j.failed:
		result.Why = "its ticket failed, being stopped"
	case j.cancelled:
		result.Why = "cancelled, being stopped"
	case unreachable > 0:
		result.Why = "machine unreachable"
	case result.Waiting > 0 && j.abortAttempt:
		result.Why = "gang being stopped"
	case result.Waiting > 0 && j.failures.failsEverywhere:
		result.Why = j.describeFailures(now)
	case result.Waiting > 0 && j.waitCause != decide.NoReason:
		if result.Why = j.waitCause.Text(); j.step != nil {
			result.Why += n.drainNote(p, j)
		}
	case fetching > 0:
		result.Why = "image being fetched"
	case gangWait > 0:
		result.Why = "waiting for its gang"
	default:
		result.Why = "being started"
	}
	return result, true
}

// recordEndedJob keeps the last jobs that ended on this node.
func (n *Node) recordEndedJob(j *job, now time.Time) {
	status := protocol.JobDone
	if j.cancelled {
		status = protocol.JobCancelled
	}
	n.endedJobs = append(n.endedJobs, EndedJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Status: status,
		TookS: roundToTenth(now.Sub(j.submitted).Seconds()), at: now})
	if len(n.endedJobs) > maxEndedJobs {
		n.endedJobs = n.endedJobs[1:]
	}
}
