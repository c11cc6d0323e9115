package node

import (
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Status answers what ran and what did not, and whose work is stuck. It is
// bounded, made from memory alone, and says how old what it tells is.
type Status struct {
	Node      string            `json:"node"`
	Version   string            `json:"version"`
	StateAgeS float64           `json:"state_age_s"` // since the state service last answered
	Loaded    bool              `json:"loaded"`
	Jobs      int               `json:"jobs"`
	Shares    []PartitionStatus `json:"shares"`
	Teams     []TeamStatus      `json:"teams"`
	Stuck     []StuckJob        `json:"stuck"`      // longest waiting first
	StuckMore int               `json:"stuck_more"` // not shown
	Ended     []EndedJob        `json:"ended"`      // that this node finished, latest first
}

// PartitionStatus is one share.
type PartitionStatus struct {
	Share    int    `json:"share"`
	Holder   string `json:"holder"`
	Machines int    `json:"machines"`
	Empty    int    `json:"empty"`
	// Of the machines up: what is free for tasks. Known to the holder only.
	FreeGPUs float64 `json:"free_gpus"`
	FreeCPUs float64 `json:"free_cpus"`
	Silent   int     `json:"silent"`
	// How far the holder has got since it took the share: taken, squaring, serving; how
	// many machines have not spoken since, and how many it had to ask. Known to it only.
	Phase   string `json:"phase,omitempty"`
	Unheard int    `json:"unheard,omitempty"`
	Polled  int    `json:"asked,omitempty"`
	// How it came to this holder, and the seconds for which nobody served it.
	Cause string  `json:"cause,omitempty"`
	GapS  float64 `json:"gap_s,omitempty"`
	// Who stands by, and, if this node does, how warm it is.
	FirstStandby  string            `json:"first_standby,omitempty"`
	SecondStandby string            `json:"second_standby,omitempty"`
	Freshness     *StandbyFreshness `json:"warmth,omitempty"`
}

// TeamStatus is one team.
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
	Ticket   string  `json:"ticket,omitempty"` // whose step the job is
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Shape    string  `json:"shape"`
	Waiting  int     `json:"waiting_tasks"`
	Starting int     `json:"starting_tasks"`
	SinceS   float64 `json:"since_s"`
	Why      string  `json:"why"`
}

// EndedJob is a job that is over.
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
	mostStuck = 50
	mostTeams = 200
	mostEnded = 20
)

// Version is the release, set by the program.
var Version = "dev"

func (n *Node) status(now time.Time) Status {
	s := Status{Node: n.cfg.Node, Version: Version, StateAgeS: roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds()), Loaded: n.loaded, Jobs: len(n.jobs),
		Shares: []PartitionStatus{}, Teams: []TeamStatus{}, Stuck: []StuckJob{}, Ended: []EndedJob{}}
	for _, sh := range n.partitions {
		v := PartitionStatus{Share: sh.index, Holder: sh.owner.Node}
		if sh.reconciliation != nil {
			all, heard, asked := sh.reconciliation.Counts()
			v.Phase, v.Unheard, v.Polled = sh.reconciliation.Phase().String(), all-heard, asked
			v.Cause, v.GapS = sh.takeover.cause.String(), roundToTenth(sh.takeover.gap.Seconds())
		}
		p := n.standby.standbys[sh.index]
		v.FirstStandby, v.SecondStandby = p.First, p.Second
		if p.First == n.cfg.Node || p.Second == n.cfg.Node {
			w := n.standbyFreshness(sh, now)
			v.Freshness = &w
		}
		for _, m := range n.machines {
			if !m.recorded || m.rec.Partition != sh.index {
				continue
			}
			v.Machines++
			if len(m.tasks) == 0 {
				v.Empty++
			}
			if n.usable(m, now) {
				f := n.available(m)
				v.FreeGPUs, v.FreeCPUs = v.FreeGPUs+f.GPUs, v.FreeCPUs+f.CPUs
			} else if !m.lastFencedReport.IsZero() && n.silent(m, now) {
				v.Silent++
			}
		}
		s.Shares = append(s.Shares, v)
	}
	for _, t := range n.teams[:min(len(n.teams), mostTeams)] {
		s.Teams = append(s.Teams, TeamStatus{Team: t.Name, Share: t.partition, GPUs: t.Used.GPUs, MaxGPUs: t.Limit.GPUs})
	}
	for _, j := range n.jobs {
		if j.team < len(s.Teams) {
			t := &s.Teams[j.team]
			t.Jobs++
			t.Running += j.nPlaced
			if !j.cancelled {
				t.Waiting += j.nWaiting()
			}
		}
		if k, stuck := n.stuckJob(j, now); stuck {
			s.Stuck = append(s.Stuck, k)
		}
	}
	slices.SortFunc(s.Stuck, func(a, b StuckJob) int {
		if a.SinceS != b.SinceS {
			return int(b.SinceS*1000) - int(a.SinceS*1000)
		}
		return compareNames(a.Job, b.Job)
	})
	if more := len(s.Stuck) - mostStuck; more > 0 {
		s.Stuck, s.StuckMore = s.Stuck[:mostStuck], more
	}
	for i := len(n.endedJobs) - 1; i >= 0; i-- {
		e := n.endedJobs[i]
		e.AgoS = roundToTenth(now.Sub(e.at).Seconds())
		s.Ended = append(s.Ended, e)
	}
	return s
}

func roundToTenth(x float64) float64 { return float64(int(x*10)) / 10 }

// stuckJob says whether a job has tasks that do not run, and why not.
func (n *Node) stuckJob(j *job, now time.Time) (StuckJob, bool) {
	k := StuckJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Shape: j.spec.Shape}
	if j.step != nil {
		k.Ticket = j.step.Ticket
	}
	since := now
	fetching, quiet, gangWait := 0, 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseDone || t.phase == phaseExhausted || t.phase == phasePlaced && t.reportedState >= reportedRunning:
			continue
		case t.phase == phaseWaiting:
			if j.cancelled {
				continue
			}
			k.Waiting++
		default:
			k.Starting++
			switch {
			case t.machine.recorded && !t.machine.lastFencedReport.IsZero() && n.silent(t.machine, now):
				quiet++
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
	if k.Waiting+k.Starting == 0 {
		return k, false
	}
	k.SinceS = roundToTenth(now.Sub(since).Seconds())
	sh := n.partitions[j.partition]
	switch {
	case n.sinceContact(now) > stateServiceTimeout:
		k.Why = "state service down"
	case sh.owner.Token == 0:
		k.Why = "its share has no holder"
	case !n.owns(sh):
		k.Why = "see " + sh.owner.Node
	case j.failed:
		k.Why = "its ticket failed, being stopped"
	case j.cancelled:
		k.Why = "cancelled, being stopped"
	case quiet > 0:
		k.Why = "machine unreachable"
	case k.Waiting > 0 && j.abortAttempt:
		k.Why = "gang being stopped"
	case k.Waiting > 0 && j.failures.failsEverywhere:
		k.Why = j.describeFailures(now)
	case k.Waiting > 0 && j.waitCause != decide.NoReason:
		if k.Why = j.waitCause.Text(); j.step != nil {
			k.Why += n.drainNote(sh, j)
		}
	case fetching > 0:
		k.Why = "image being fetched"
	case gangWait > 0:
		k.Why = "waiting for its gang"
	default:
		k.Why = "being started"
	}
	return k, true
}

// recordEndedJob keeps the last jobs that ended here.
func (n *Node) recordEndedJob(j *job, now time.Time) {
	status := protocol.JobDone
	if j.cancelled {
		status = protocol.JobCancelled
	}
	n.endedJobs = append(n.endedJobs, EndedJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Status: status,
		TookS: roundToTenth(now.Sub(j.submitted).Seconds()), at: now})
	if len(n.endedJobs) > mostEnded {
		n.endedJobs = n.endedJobs[1:]
	}
}
