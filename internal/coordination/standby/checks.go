package standby

import "time"

// Check is something that must hold before a holder's first decision about a share.
type Check uint8

const (
	OwnsPartition         Check = iota // the own name is in the replica, and everything stored before it
	RecentContact                      // the store has answered lately: what was stored since is seen
	NoRecentStall                      // this node has not just stood still
	SettingsKnown                      // machine types are known, and the operators' settings as of that revision
	ReconciliationStarted              // the share is being squared: a fresh budget, nothing of an earlier holding
	WorkerReported                     // a machine has spoken under the own token, or there is none that could
	checkCount
)

// checkTexts say what each check stands for.
var checkTexts = [checkCount]struct{ name, guards string }{
	OwnsPartition:         {"held", "a share that another has by now; changes of an earlier holder that were not seen"},
	RecentContact:         {"contact", "a cancellation or a change of holder that is stored and not seen"},
	NoRecentStall:         {"awake", "the own stall taken for others' silence"},
	SettingsKnown:         {"settings", "a placement on a type that is not known; a machine held back by operators"},
	ReconciliationStarted: {"squared", "what was observed in an earlier holding taken for present"},
	WorkerReported:        {"somebody_heard", "an earlier holder that still answers: the token is shown, or nobody is there to be told"},
}

// String is its name.
func (c Check) String() string { return checkTexts[min(c, checkCount-1)].name }

// GuardsAgainst is the failure that it stands for.
func (c Check) GuardsAgainst() string { return checkTexts[min(c, checkCount-1)].guards }

// Checks are all of them in order.
func Checks() []Check {
	out := make([]Check, checkCount)
	for i := range out {
		out[i] = Check(i)
	}
	return out
}

// TakeoverFacts are what a holder knows when it would decide.
type TakeoverFacts struct {
	Owned                 bool
	SinceContact          time.Duration // since the last answered call to the store was sent
	SinceStall            time.Duration // since it last had stood still
	MachineTypes          int
	ReconciliationStarted bool
	Machines              int // that could speak
	Reported              int // of them, under the own token
}

// How old may what be.
const (
	MaxContactAge     = 2 * time.Second
	MinTimeSinceStall = 200 * time.Millisecond
)

// FirstFailing is the first check that does not hold; ok if all do.
func FirstFailing(f TakeoverFacts) (c Check, ok bool) {
	for i, holds := range [checkCount]bool{
		OwnsPartition: f.Owned, RecentContact: f.SinceContact <= MaxContactAge, NoRecentStall: f.SinceStall >= MinTimeSinceStall, SettingsKnown: f.MachineTypes > 0,
		ReconciliationStarted: f.ReconciliationStarted, WorkerReported: f.Machines == 0 || f.Reported > 0,
	} {
		if !holds {
			return Check(i), false
		}
	}
	return 0, true
}
