package node

import (
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A task ends with an error mostly because its machine is faulty, but a job may
// have been submitted with a mistake: then it fails on every machine until its user
// cancels it. The two are told apart by evidence: the same job failing on several
// machines without one of its tasks doing well, and other jobs doing well there.

// trouble is what is known of a job whose tasks ended with an error.
type trouble struct {
	machines []*machine // on which they did, until a task did well
	mistake  bool       // taken for submitted with a mistake
	tries    int        // since then
	from     uint64     // attempts before this one were started before that
	last     string     // the machine of the last error
	ranSince time.Time  // since when a task has been seen running
	ranWell  bool       // a task ran for longer than a mistake takes to show
}

const (
	// shortRun is how long a task must run to have done well.
	shortRun = 5 * time.Second
	// mostPause is the longest time between two tries of a job with a mistake.
	mostPause = 60 * time.Second
)

// failed notes that a task of a job ended with an error on a machine. As long as
// it may be the machine's fault, the task starts elsewhere at once and the machine
// is avoided; three jobs that fail there in a row, and it is given back.
func (n *Node) failed(j *job, attempt uint64, m *machine, now time.Time) {
	f := &j.trouble
	f.last = m.name
	n.touch(m)
	f.ranSince = time.Time{}
	if j.step != nil {
		n.stepFailed(j, m, now)
		return
	}
	if f.mistake {
		if attempt >= f.from {
			f.tries++
			j.pauseTries(now)
		}
		return
	}
	if !slices.Contains(f.machines, m) {
		f.machines = append(f.machines, m)
	}
	// A service whose other tasks run is well; an array or a gang of which nothing
	// was ever completed may still fail in the middle of each run.
	if enough := 3; len(f.machines) >= enough && j.nDone == 0 && j.spec.Shape != protocol.Service || len(f.machines) >= enough-1 && j.nDone == 0 && !f.ranWell {
		n.log.Info("job fails on every machine", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "machines", len(f.machines))
		f.mistake, f.tries, f.from = true, 1, j.next
		j.pauseTries(now)
		// It is not the machines' fault.
		for _, o := range f.machines {
			o.blame = slices.DeleteFunc(o.blame, func(id string) bool { return id == j.id })
			n.touch(o)
			if len(o.blame) == 0 {
				o.avoidTill = time.Time{}
			}
		}
		f.machines = nil
		return
	}
	if !slices.Contains(m.blame, j.id) {
		m.blame = append(m.blame, j.id)
	}
	m.avoidTill = now.Add(time.Duration(len(m.blame)) * 5 * time.Second)
}

// pauseTries says when a job with a mistake is tried again: more and more seldom.
func (j *job) pauseTries(now time.Time) {
	j.notBefore = now.Add(min(mostPause, time.Second<<min(j.trouble.tries, 6)))
}

// doesWell notes that a task of a job runs, or is done: then it has no mistake, and
// its machine is not faulty.
func (n *Node) doesWell(j *job, m *machine, isDone bool, now time.Time) {
	if m.blame != nil {
		m.blame = nil
		n.touch(m)
	}
	f := &j.trouble
	if f.ranSince.IsZero() {
		f.ranSince = now
	}
	if !isDone && now.Sub(f.ranSince) < shortRun {
		return
	}
	if f.mistake {
		n.log.Info("job fails no more", "job", j.id, "tries", f.tries)
		j.notBefore = time.Time{}
		n.replan = true
	}
	*f = trouble{ranSince: f.ranSince, ranWell: true}
}

// whyItFails tells operators how a job with a mistake is doing.
func (j *job) whyItFails(now time.Time) string {
	next := max(0, int(j.notBefore.Sub(now).Seconds()))
	return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s, the next in %d s", j.trouble.tries, j.trouble.last, next)
}
