package gateway

import (
	"fmt"
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Status is the state of the gateway for operators, as one member knows it. What is not
// known is shown as unknown, with its age, and never as healthy.
type Status struct {
	Member          string         `json:"member"`
	Majority        bool           `json:"majority"` // whether this member reaches a majority of the members
	Store           string         `json:"store"`    // ok, or since when and why it can't be written
	OpenJobs        int            `json:"open_jobs"`
	FinalJobs       int            `json:"final_jobs"`
	ChangesInFlight int            `json:"changes_under_way"`
	Handoffs        int            `json:"handoffs_under_way"`
	Undecided       int            `json:"undecided"` // open jobs whose record is not known to be accepted by a majority
	Members         []MemberStatus `json:"members"`
	Counts          Counts         `json:"counts"`
}

// MemberStatus is the state of one member as this one knows it.
type MemberStatus struct {
	Name           string  `json:"name"`
	Site           bool    `json:"site"`
	State          string  `json:"state"`             // "this member", "heard" or "unknown"
	SilentS        float64 `json:"since_s"`           // seconds since the last message from the member
	Lease          string  `json:"lease,omitempty"`   // granted, not granted or unknown, with details
	Drained        string  `json:"drained,omitempty"` // true, false or unknown
	OwnedJobs      int     `json:"holds"`             // open jobs
	UnackedNotices int     `json:"to_be_told"`        // jobs whose loss it has to acknowledge before its lease is renewed
	WaitingTasks   int     `json:"waiting_tasks"`
	FreeGPUs       float64 `json:"free_gpus"`
	HintAgeS       float64 `json:"hint_age_s"` // -1: its load is not known
}

// roundToTenth returns a duration in seconds, rounded down to tenths.
func roundToTenth(d time.Duration) float64 { return float64(d/(100*time.Millisecond)) / 10 }

// status returns the state of the gateway as this member knows it. The caller fills in the
// state of the store.
func (c *Core) status() Status {
	status := Status{Member: c.cfg.Members[c.cfg.Self].Name, Majority: c.reachableCount() >= c.majority(), OpenJobs: len(c.openJobs), FinalJobs: c.finalCount,
		ChangesInFlight: len(c.rounds), Counts: c.counts}
	for _, r := range c.openJobs {
		if !r.committed {
			status.Undecided++
		}
		if r.record.Stopped {
			status.Handoffs++
		}
	}
	for _, r := range c.rounds {
		if slices.ContainsFunc(append(r.queued, r.applied...), func(pending *pendingChange) bool { return pending.op.kind == opClaim }) {
			status.Handoffs++
		}
	}
	for i := range c.cfg.Members {
		status.Members = append(status.Members, c.memberStatus(i))
	}
	return status
}

// memberStatus returns the state of a member as this one knows it.
func (c *Core) memberStatus(i int) MemberStatus {
	member := c.cfg.Members[i]
	status := MemberStatus{Name: member.Name, Site: member.Site, State: "heard", SilentS: roundToTenth(c.now - c.lastHeard[i]), OwnedJobs: c.ownedJobs[i], HintAgeS: -1}
	switch {
	case i == c.cfg.Self:
		status.State, status.SilentS = "this member", 0
	case c.unreachable(i):
		status.State = "unknown"
	}
	grant := c.grants[i]
	if grant == nil {
		return status
	}
	status.UnackedNotices, status.Lease, status.Drained = grant.unackedBlocking, c.leaseStatus(i), "unknown"
	hint := c.hints[i]
	if hint.hint == nil {
		return status
	}
	status.HintAgeS = roundToTenth(c.now - hint.receivedAt)
	if !c.unreachable(i) {
		status.Drained = fmt.Sprint(hint.hint.Drained)
		status.WaitingTasks, status.FreeGPUs = hint.hint.Waiting, hint.hint.FreeGPUs
	}
	return status
}

// leaseStatus describes what this member knows of a site's lease.
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

// JobView is one member's record of a job, for operators.
type JobView struct {
	ID      string `json:"id"`
	Owner   string `json:"holder"`
	Epoch   uint32 `json:"epoch"`
	Agreed  bool   `json:"agreed"`       // whether the record is known to be accepted by a majority
	Stopped bool   `json:"stopped"`      // whether the owner has proved that no task runs any more
	Final   string `json:"final"`        // open, done or withdrawn
	By      string `json:"by,omitempty"` // site that completed the job
}

// memberName returns the name of the member with a number as records have it; empty if
// there is none.
func (c *Core) memberName(number uint8) string {
	if number == 0 || int(number) > len(c.cfg.Members) {
		return ""
	}
	return c.cfg.Members[number-1].Name
}

// jobView returns this member's record of a job; false if it has none.
func (c *Core) jobView(id string) (JobView, bool) {
	r := c.registers[id]
	if r == nil || !r.hasRecord {
		return JobView{ID: id}, false
	}
	view := JobView{ID: id, Owner: c.memberName(r.record.Owner), Epoch: r.record.Epoch, Agreed: r.committed, Stopped: r.record.Stopped, By: c.memberName(r.record.FinishedBy), Final: "open"}
	switch r.record.Outcome {
	case wire.Done:
		view.Final = "done"
	case wire.Cancelled:
		view.Final = "withdrawn"
	}
	return view, true
}
