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
	Node      string        `json:"node"`
	Version   string        `json:"version"`
	StateAgeS float64       `json:"state_age_s"` // since the state service last answered
	Loaded    bool          `json:"loaded"`
	Jobs      int           `json:"jobs"`
	Shares    []ShareStatus `json:"shares"`
	Teams     []TeamStatus  `json:"teams"`
	Stuck     []StuckJob    `json:"stuck"`      // longest waiting first
	StuckMore int           `json:"stuck_more"` // not shown
	Ended     []EndedJob    `json:"ended"`      // that this node finished, latest first
}

// ShareStatus is one share.
type ShareStatus struct {
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
	Asked   int    `json:"asked,omitempty"`
	// How it came to this holder, and the seconds for which nobody served it.
	Cause string  `json:"cause,omitempty"`
	GapS  float64 `json:"gap_s,omitempty"`
	// Who stands by, and, if this node does, how warm it is.
	First  string  `json:"first_standby,omitempty"`
	Second string  `json:"second_standby,omitempty"`
	Warmth *Warmth `json:"warmth,omitempty"`
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
	s := Status{Node: n.cfg.Node, Version: Version, StateAgeS: round(min(n.sinceContact(now), now.Sub(n.started)).Seconds()), Loaded: n.loaded, Jobs: len(n.jobs),
		Shares: []ShareStatus{}, Teams: []TeamStatus{}, Stuck: []StuckJob{}, Ended: []EndedJob{}}
	for _, sh := range n.shares {
		v := ShareStatus{Share: sh.index, Holder: sh.holder.Node}
		if sh.square != nil {
			all, heard, asked := sh.square.Counts()
			v.Phase, v.Unheard, v.Asked = sh.square.Phase().String(), all-heard, asked
			v.Cause, v.GapS = sh.taking.cause.String(), round(sh.taking.gap.Seconds())
		}
		p := n.standing.pairs[sh.index]
		v.First, v.Second = p.First, p.Second
		if p.First == n.cfg.Node || p.Second == n.cfg.Node {
			w := n.warmth(sh, now)
			v.Warmth = &w
		}
		for _, m := range n.machines {
			if !m.known || m.rec.Share != sh.index {
				continue
			}
			v.Machines++
			if len(m.on) == 0 {
				v.Empty++
			}
			if n.usable(m, now) {
				f := n.free(m)
				v.FreeGPUs, v.FreeCPUs = v.FreeGPUs+f.GPUs, v.FreeCPUs+f.CPUs
			} else if !m.heard.IsZero() && n.silent(m, now) {
				v.Silent++
			}
		}
		s.Shares = append(s.Shares, v)
	}
	for _, t := range n.teams[:min(len(n.teams), mostTeams)] {
		s.Teams = append(s.Teams, TeamStatus{Team: t.Name, Share: t.share, GPUs: t.Used.GPUs, MaxGPUs: t.Limit.GPUs})
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
		if k, stuck := n.stuck(j, now); stuck {
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
		e.AgoS = round(now.Sub(e.at).Seconds())
		s.Ended = append(s.Ended, e)
	}
	return s
}

func round(x float64) float64 { return float64(int(x*10)) / 10 }

// stuck says whether a job has tasks that do not run, and why not.
func (n *Node) stuck(j *job, now time.Time) (StuckJob, bool) {
	k := StuckJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Shape: j.spec.Shape}
	if j.step != nil {
		k.Ticket = j.step.Ticket
	}
	since := now
	fetching, quiet, gangWait := 0, 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == done || t.phase == spent || t.phase == placed && t.seen >= seenRunning:
			continue
		case t.phase == waiting:
			if j.cancelled {
				continue
			}
			k.Waiting++
		default:
			k.Starting++
			switch {
			case t.machine.known && !t.machine.heard.IsZero() && n.silent(t.machine, now):
				quiet++
			case t.seen == seenFetching:
				fetching++
			case t.seen == seenWaiting:
				gangWait++
			}
		}
		if t.since.Before(since) {
			since = t.since
		}
	}
	if k.Waiting+k.Starting == 0 {
		return k, false
	}
	k.SinceS = round(now.Sub(since).Seconds())
	sh := n.shares[j.share]
	switch {
	case n.sinceContact(now) > stateLost:
		k.Why = "state service down"
	case sh.holder.Token == 0:
		k.Why = "its share has no holder"
	case !n.mine(sh):
		k.Why = "see " + sh.holder.Node
	case j.failed:
		k.Why = "its ticket failed, being stopped"
	case j.cancelled:
		k.Why = "cancelled, being stopped"
	case quiet > 0:
		k.Why = "machine unreachable"
	case k.Waiting > 0 && j.abandon:
		k.Why = "gang being stopped"
	case k.Waiting > 0 && j.trouble.mistake:
		k.Why = j.whyItFails(now)
	case k.Waiting > 0 && j.waits != decide.None:
		if k.Why = j.waits.Text(); j.step != nil {
			k.Why += n.draining(sh, j)
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

// remember keeps the last jobs that ended here.
func (n *Node) remember(j *job, now time.Time) {
	status := protocol.JobDone
	if j.cancelled {
		status = protocol.JobCancelled
	}
	n.endedJobs = append(n.endedJobs, EndedJob{Job: j.id, Class: j.spec.Class, Team: j.spec.Team, Status: status,
		TookS: round(now.Sub(j.submitted).Seconds()), at: now})
	if len(n.endedJobs) > mostEnded {
		n.endedJobs = n.endedJobs[1:]
	}
}
