package standby

import "time"

// Check is a condition that must hold before an owner's first decision about a partition.
type Check uint8

const (
	OwnsPartition         Check = iota // the replica shows this node as owner, and contains everything stored before that
	RecentContact                      // the state service has answered recently, so what was stored since is known
	NoRecentStall                      // this node was not stalled just before
	SettingsKnown                      // machine types are known, and the operators' settings as of that revision
	ReconciliationStarted              // the reconciliation has started: fresh budget, no state of an earlier ownership
	WorkerReported                     // a worker has reported under this owner's token, or none can
	checkCount                         // number of checks
)

// checkTexts are the name of each check and the failures that it guards against.
var checkTexts = [checkCount]struct{ name, guards string }{
	OwnsPartition:         {"held", "a partition that another node owns by now; changes of an earlier owner that this node has not read"},
	RecentContact:         {"contact", "a cancellation or a change of holder that is stored and not seen"},
	NoRecentStall:         {"awake", "the own stall taken for others' silence"},
	SettingsKnown:         {"settings", "a placement on an unknown machine type or on a machine cordoned by operators"},
	ReconciliationStarted: {"squared", "observations of an earlier ownership used as current ones"},
	WorkerReported:        {"somebody_heard", "an earlier owner that still answers workers: the new token was sent, or there is no worker to receive it"},
}

// String returns the name of the check.
func (c Check) String() string { return checkTexts[min(c, checkCount-1)].name }

// GuardsAgainst returns the failures that the check guards against.
func (c Check) GuardsAgainst() string { return checkTexts[min(c, checkCount-1)].guards }

// Checks returns all checks in their order.
func Checks() []Check {
	out := make([]Check, checkCount)
	for i := range out {
		out[i] = Check(i)
	}
	return out
}

// TakeoverFacts is what an owner knows when its first decision is due.
type TakeoverFacts struct {
	Owned                 bool
	SinceContact          time.Duration // since the last answered call to the state service was sent
	SinceStall            time.Duration // since the end of this node's last stall
	MachineTypes          int           // number of known machine types
	ReconciliationStarted bool
	Machines              int // that could report
	Reported              int // of Machines, under this owner's token
}

// Bounds for RecentContact and NoRecentStall.
const (
	MaxContactAge     = 2 * time.Second
	MinTimeSinceStall = 200 * time.Millisecond
)

// FirstFailing returns the first check that fails; ok is true if none does.
func FirstFailing(facts TakeoverFacts) (c Check, ok bool) {
	for i, holds := range [checkCount]bool{
		OwnsPartition: facts.Owned, RecentContact: facts.SinceContact <= MaxContactAge, NoRecentStall: facts.SinceStall >= MinTimeSinceStall, SettingsKnown: facts.MachineTypes > 0,
		ReconciliationStarted: facts.ReconciliationStarted, WorkerReported: facts.Machines == 0 || facts.Reported > 0,
	} {
		if !holds {
			return Check(i), false
		}
	}
	return 0, true
}
