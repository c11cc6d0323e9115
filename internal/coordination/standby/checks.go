package standby

import "time"

// Check is something that must hold before a holder's first decision about a share.
type Check uint8

const (
	Held          Check = iota // the own name is in the replica, and everything stored before it
	Contact                    // the store has answered lately: what was stored since is seen
	Awake                      // this node has not just stood still
	Settings                   // machine types are known, and the operators' settings as of that revision
	Squared                    // the share is being squared: a fresh budget, nothing of an earlier holding
	SomebodyHeard              // a machine has spoken under the own token, or there is none that could
	checks
)

// checkTexts say what each check stands for.
var checkTexts = [checks]struct{ name, guards string }{
	Held:          {"held", "a share that another has by now; changes of an earlier holder that were not seen"},
	Contact:       {"contact", "a cancellation or a change of holder that is stored and not seen"},
	Awake:         {"awake", "the own stall taken for others' silence"},
	Settings:      {"settings", "a placement on a type that is not known; a machine held back by operators"},
	Squared:       {"squared", "what was observed in an earlier holding taken for present"},
	SomebodyHeard: {"somebody_heard", "an earlier holder that still answers: the token is shown, or nobody is there to be told"},
}

// String is its name.
func (c Check) String() string { return checkTexts[min(c, checks-1)].name }

// Guards is the failure that it stands for.
func (c Check) Guards() string { return checkTexts[min(c, checks-1)].guards }

// Checks are all of them in order.
func Checks() []Check {
	out := make([]Check, checks)
	for i := range out {
		out[i] = Check(i)
	}
	return out
}

// Facts are what a holder knows when it would decide.
type Facts struct {
	Held     bool
	Contact  time.Duration // since the last answered call to the store was sent
	Awake    time.Duration // since it last had stood still
	Types    int
	Squared  bool
	Machines int // that could speak
	Heard    int // of them, under the own token
}

// How old may what be.
const (
	ContactWithin = 2 * time.Second
	AwakeFor      = 200 * time.Millisecond
)

// First is the first check that does not hold; ok if all do.
func First(f Facts) (c Check, ok bool) {
	for i, holds := range [checks]bool{
		Held: f.Held, Contact: f.Contact <= ContactWithin, Awake: f.Awake >= AwakeFor, Settings: f.Types > 0,
		Squared: f.Squared, SomebodyHeard: f.Machines == 0 || f.Heard > 0,
	} {
		if !holds {
			return Check(i), false
		}
	}
	return 0, true
}
