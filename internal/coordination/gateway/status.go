package gateway

import (
	"fmt"
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Status is what an operator sees. What is not known is said to be unknown, and
// since when; it is never shown as fine.
type Status struct {
	Member          string         `json:"member"`
	Majority        bool           `json:"majority"` // enough members are heard to decide anything
	Store           string         `json:"store"`
	OpenJobs        int            `json:"open_jobs"`
	FinalJobs       int            `json:"final_jobs"`
	ChangesInFlight int            `json:"changes_under_way"`
	Handoffs        int            `json:"handoffs_under_way"`
	Undecided       int            `json:"undecided"` // records not known to be agreed on
	Members         []MemberStatus `json:"members"`
	Counts          Counts         `json:"counts"`
}

// MemberStatus is one member as this one sees it.
type MemberStatus struct {
	Name           string  `json:"name"`
	Site           bool    `json:"site"`
	State          string  `json:"state"` // this member, heard, unknown
	SilentS        float64 `json:"since_s"`
	Lease          string  `json:"lease,omitempty"` // granted, over, unknown
	Drained        string  `json:"drained,omitempty"`
	OwnedJobs      int     `json:"holds"`
	UnackedNotices int     `json:"to_be_told"` // jobs it has to hear of before its next lease
	WaitingTasks   int     `json:"waiting_tasks"`
	FreeGPUs       float64 `json:"free_gpus"`
	HintAgeS       float64 `json:"hint_age_s"` // -1: nothing is known of its load
}

func roundToTenth(d time.Duration) float64 { return float64(d/(100*time.Millisecond)) / 10 }

func (c *Core) status() Status {
	s := Status{Member: c.cfg.Members[c.cfg.Self].Name, Majority: c.reachableCount() >= c.majority(), OpenJobs: len(c.openJobs), FinalJobs: c.finalCount,
		ChangesInFlight: len(c.rounds), Counts: c.counts}
	for _, r := range c.openJobs {
		if !r.committed {
			s.Undecided++
		}
		if r.record.Stopped {
			s.Handoffs++
		}
	}
	for _, r := range c.rounds {
		if slices.ContainsFunc(append(r.queued, r.applied...), func(ch *pendingChange) bool { return ch.op.kind == opClaim }) {
			s.Handoffs++
		}
	}
	for i := range c.cfg.Members {
		s.Members = append(s.Members, c.memberStatus(i))
	}
	return s
}

func (c *Core) memberStatus(i int) MemberStatus {
	m := c.cfg.Members[i]
	v := MemberStatus{Name: m.Name, Site: m.Site, State: "heard", SilentS: roundToTenth(c.now - c.lastHeard[i]), OwnedJobs: c.ownedJobs[i], HintAgeS: -1}
	switch {
	case i == c.cfg.Self:
		v.State, v.SilentS = "this member", 0
	case c.unreachable(i):
		v.State = "unknown"
	}
	l := c.grants[i]
	if l == nil {
		return v
	}
	v.UnackedNotices, v.Lease, v.Drained = l.unackedBlocking, c.leaseStatus(i), "unknown"
	h := c.hints[i]
	if h.hint == nil {
		return v
	}
	v.HintAgeS = roundToTenth(c.now - h.receivedAt)
	if !c.unreachable(i) {
		v.Drained = fmt.Sprint(h.hint.Drained)
		v.WaitingTasks, v.FreeGPUs = h.hint.Waiting, h.hint.FreeGPUs
	}
	return v
}

// leaseStatus says what this member knows of a site's lease.
func (c *Core) leaseStatus(site int) string {
	until := c.grants[site].tasksUntil
	switch {
	case c.now < until:
		return fmt.Sprintf("granted, tasks may run %.0f s more", (until - c.now).Seconds())
	case c.now < c.startedAt+c.grantDuration():
		return "unknown: this member started less than a lease ago"
	case c.unreachable(site):
		return "not granted here; unknown whether by others"
	}
	return "not granted"
}

// JobView is what the members' records say of one job, for operators.
type JobView struct {
	ID      string `json:"id"`
	Owner   string `json:"holder"`
	Epoch   uint32 `json:"epoch"`
	Agreed  bool   `json:"agreed"`
	Stopped bool   `json:"stopped"`
	Final   string `json:"final"`
	By      string `json:"by,omitempty"`
}

func (c *Core) memberName(n uint8) string {
	if n == 0 || int(n) > len(c.cfg.Members) {
		return ""
	}
	return c.cfg.Members[n-1].Name
}

func (c *Core) jobView(id string) (JobView, bool) {
	r := c.registers[id]
	if r == nil || !r.hasRecord {
		return JobView{ID: id}, false
	}
	v := JobView{ID: id, Owner: c.memberName(r.record.Owner), Epoch: r.record.Epoch, Agreed: r.committed, Stopped: r.record.Stopped, By: c.memberName(r.record.FinishedBy), Final: "open"}
	switch r.record.Outcome {
	case wire.Done:
		v.Final = "done"
	case wire.Cancelled:
		v.Final = "withdrawn"
	}
	return v, true
}
