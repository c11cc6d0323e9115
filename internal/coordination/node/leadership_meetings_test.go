package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Meetings of a change of a share's owner with other troubles.

// number is a new number for a job's name.
func (w *world) number() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastJob++
	return w.lastJob
}

// workerLease is how long a worker's tasks outlive its last answered report.
func (w *world) workerLease() time.Duration {
	return time.Duration(w.fleet.Workers.LeaseS * float64(time.Second))
}

// join lets one more user submit a job and ask about it until the end of the day.
func (w *world) join(spec *protocol.JobSpec) *user {
	u := &user{w: w, spec: spec}
	w.set(func() { w.users = append(slices.Clone(w.users), u) })
	go u.run(func() {})
	return u
}

// joinAll lets users submit one job for each team, of so many tasks that run for so long.
func (w *world) joinAll(tasks int, estimate float64) (users []*user) {
	for _, team := range []string{"red", "blue", "green"} {
		users = append(users, w.join(&protocol.JobSpec{ID: fmt.Sprintf("job-93%04d", w.number()), Team: team, Class: "c", Shape: protocol.Array, Priority: "high",
			Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, EstimateS: estimate, Spot: true}))
	}
	return users
}

// keep keeps a copy of a report for releaseReports.
func (w *world) keep(r protocol.Report) { w.set(func() { w.kept = append(w.kept, r) }) }

// holdsReport says whether a report reaches nobody for now. Where none is held it draws no random
// number, so that other tests' seeds mean what they did.
func (w *world) holdsReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldReports > 0 && w.rng.Float64() < w.heldReports
}

// ownerChanged is told by watchHolders of each new owner of a share.
func (w *world) ownerChanged(share int, owner string) {
	w.mu.Lock()
	release, wait := w.atNextOwner && len(w.kept) > 0, time.Duration(0)
	w.mu.Unlock()
	if release {
		if w.chance(&half) { // the new owner has acted by then
			wait = w.between(time.Second, 4*time.Second)
		}
		go func() {
			time.Sleep(wait)
			w.took("kept reports arrive at a new owner")
			w.releaseReports()
		}()
	}
	n := w.node(owner)
	switch {
	case n == nil:
	case w.leftOut == "unheard":
		n.post(func() { takeUnheardForGone(n, share) })
	case w.leftOut == "replica":
		n.post(func() { ownBeforeReplica(n, share) })
	}
}

// endsOwner makes a share lose its owner in one of the ways in which that happens, and
// returns when all processes are there again.
func (w *world) endsOwner(share int) {
	owner := w.leader(share)
	if owner == "" {
		owner = w.some()
	}
	switch w.pick(4) {
	case 0:
		w.restart(owner, w.between(0, 4*time.Second))
	case 1:
		if n := w.node(owner); n != nil {
			n.Leave()
		}
		w.restart(owner, w.between(0, 4*time.Second))
	case 2:
		w.freeze(owner, w.between(3500*time.Millisecond, 9*time.Second))
	case 3:
		w.set(func() { w.mute[owner], w.noPeers[owner] = true, true })
		time.Sleep(w.between(4*time.Second, 9*time.Second))
		w.set(func() { delete(w.mute, owner); delete(w.noPeers, owner) })
	}
}

var leadershipMeetings = []meeting{
	{name: "cancelled while a share changes hands", took: []string{"cancelled as owners change", "machine of a cancelled job hangs"}, faults: func(w *world) {
		for range 6 {
			users := w.joinAll(2, 90)
			time.Sleep(w.between(8*time.Second, 12*time.Second))
			changes := w.times("handed over")
			ends := make(chan bool)
			go func() {
				time.Sleep(w.between(0, 2*time.Second))
				w.endsOwner(w.pick(3))
				ends <- true
			}()
			time.Sleep(w.between(0, 4*time.Second))
			var hang time.Duration
			if w.chance(&half) {
				hang = w.between(2*time.Second, 15*time.Second)
			}
			called := w.cancelNow(4, hang)
			<-ends
			time.Sleep(time.Second)
			if w.times("handed over") > changes && len(called) > 0 {
				w.took("cancelled as owners change")
			}
			for _, u := range users { // the rest are cancelled amid the next round
				go u.cancelUntilTold(w.between(5*time.Second, 20*time.Second))
			}
		}
	}},
	{name: "new machines at work while writes lag", took: []string{"owner ends as a new machine begins"}, shape: func(_ *protocol.WorkerSettings, w *world) {
		w.fleet.Boot = 1500 * time.Millisecond
	}, faults: func(w *world) {
		for range 6 {
			w.set(func() { w.lateWrites, w.slow = 0.25, 200*time.Millisecond })
			for i, m := range w.fleet.Names() {
				if i%2 == 0 {
					w.fleet.Kill(m)
				}
			}
			before := w.fleet.Names()
			users := w.joinAll(4, 10)
			if w.newMachineWorks(before, 15*time.Second) {
				changes := w.times("handed over")
				w.endsOwner(w.pick(3))
				if w.times("handed over") > changes {
					w.took("owner ends as a new machine begins")
				}
			}
			time.Sleep(w.between(time.Second, 4*time.Second))
			for _, u := range users[:1] {
				go u.cancelUntilTold(0)
			}
			w.set(func() { w.lateWrites, w.slow = 0, 0 })
			time.Sleep(w.between(8*time.Second, 14*time.Second))
		}
	}},
	{name: "reports held back for the next owner", took: []string{"kept reports arrive at a new owner", "old report", "old report comes first"}, faults: func(w *world) {
		w.set(func() { w.keptReports, w.heldReports, w.atNextOwner = 0.4, 0.1, true })
		for round := range 6 {
			w.cancelSoon(round, 8*time.Second)
			w.joinAll(2, 25)
			time.Sleep(w.between(5*time.Second, 10*time.Second))
			go func() {
				time.Sleep(w.between(0, 6*time.Second))
				w.cancelNow(4, 0)
			}()
			w.endsOwner(w.pick(3))
			time.Sleep(w.between(2*time.Second, 5*time.Second))
		}
		w.set(func() { w.keptReports, w.heldReports, w.atNextOwner = 0, 0, false })
		time.Sleep(5 * time.Second)
		w.releaseReports()
		time.Sleep(5 * time.Second)
	}},
	{name: "ten changes of owners in two minutes", took: []string{"ten changes within two minutes", "ended within an outage"}, faults: func(w *world) {
		from, changes := time.Now(), w.times("handed over")
		for i := range 12 {
			round := time.Now()
			switch i {
			case 5:
				w.set(func() { w.outage = true })
			case 7:
				w.set(func() { w.outage = false })
				if w.chance(&half) {
					w.state.Refill()
				}
			}
			if i%2 == 0 {
				w.joinAll(2, 15)
			}
			if i%3 == 0 {
				w.cancelNow(2, 0)
			}
			if i == 5 || i == 6 {
				w.took("ended within an outage")
			}
			w.endsOwner(w.pick(3))
			time.Sleep(time.Until(round.Add(9 * time.Second)))
		}
		if w.times("handed over") >= changes+10 && time.Since(from) <= 2*time.Minute {
			w.took("ten changes within two minutes")
		}
	}},
	{name: "the next owner's watch lags", took: []string{"told just before the owner ended", "taken over with a watch that lags"}, faults: func(w *world) {
		for range 8 {
			users := w.joinAll(2, 60)
			time.Sleep(w.between(9*time.Second, 13*time.Second))
			owner := w.leader(w.pick(3))
			if owner == "" {
				owner = w.some()
			}
			lags := make(chan bool)
			go func() { w.lagBehind(owner, w.between(4*time.Second, 12*time.Second)); lags <- true }()
			time.Sleep(100 * time.Millisecond)
			before := w.times("handed over")
			called := w.cancelNow(4, 0)
			time.Sleep(w.between(500*time.Millisecond, 1500*time.Millisecond))
			for _, u := range called {
				if u.ended() != "" {
					w.took("told just before the owner ended")
				}
			}
			w.end(owner)
			<-lags
			if w.times("handed over") > before {
				w.took("taken over with a watch that lags")
			}
			time.Sleep(w.between(0, 2*time.Second))
			w.back(owner)
			for _, u := range users {
				go u.cancelUntilTold(w.between(2*time.Second, 15*time.Second))
			}
		}
	}},
	{name: "all controllers away", took: []string{"leases ran out", "runs again"}, faults: func(w *world) {
		for way := range 4 {
			w.joinAll(2, 25)
			time.Sleep(w.between(8*time.Second, 12*time.Second))
			_, before := w.fleet.Ended()
			w.cancelNow(2, 0)
			time.Sleep(w.between(0, time.Second))
			w.allAway(way, w.workerLease()+w.between(2*time.Second, 15*time.Second))
			if _, expired := w.fleet.Ended(); expired > before {
				w.took("leases ran out")
			}
			time.Sleep(w.between(10*time.Second, 15*time.Second))
			if w.fleet.Running() > 0 {
				w.took("runs again")
			}
		}
	}},
}

// lagBehind holds up what the watch tells all controllers but one for a while.
func (w *world) lagBehind(but string, lasts time.Duration) {
	for _, name := range w.names {
		if name != but {
			w.set(func() { w.noWatch[name] = true })
		}
	}
	time.Sleep(lasts)
	w.set(func() { clear(w.noWatch) })
}

// newMachineWorks waits until a machine that is not among some runs something.
func (w *world) newMachineWorks(than []string, within time.Duration) bool {
	for from := time.Now(); time.Since(from) < within; time.Sleep(100 * time.Millisecond) {
		for _, m := range w.busyMachines() {
			if !slices.Contains(than, m) {
				return true
			}
		}
	}
	return false
}

// allAway takes all controllers away for a while: they end and come back together, or one by
// one; are cut off from everything; or stand still.
func (w *world) allAway(way int, lasts time.Duration) {
	switch way {
	case 0, 1:
		for _, name := range w.names {
			w.end(name)
		}
		time.Sleep(lasts)
		for _, name := range w.names {
			w.back(name)
			if way == 1 {
				time.Sleep(w.between(0, 6*time.Second))
			}
		}
	case 2:
		for _, name := range w.names {
			w.set(func() { w.noNet[name] = true })
		}
		time.Sleep(lasts)
		for _, name := range w.names {
			w.set(func() { delete(w.noNet, name) })
			time.Sleep(w.between(0, 4*time.Second))
		}
	case 3:
		for _, name := range w.names {
			go w.freeze(name, lasts+w.between(0, 4*time.Second))
		}
		time.Sleep(lasts + 4*time.Second)
	}
}

// The own record as owner, known before all that was stored earlier, entitles to nothing yet,
// whether the share had an owner before or none.
func TestOwnershipWaitsForTheReplica(t *testing.T) {
	for _, before := range []protocol.HolderRecord{{}, {Node: "n-1", Token: 8, Lease: 9}} {
		b := newBench(t)
		b.put(protocol.HolderKey(0), before)
		own := storage.Write{Put: protocol.HolderKey(0), Value: mustJSON(protocol.HolderRecord{Node: "n-0", Token: 9, Lease: 3})}
		b.learn(own, b.rev+5)
		if s := b.shares[0]; b.mine(s) || !s.changesHands() {
			t.Fatalf("after %+v the share counts as owned: %+v", before, s.holder)
		}
		b.follow(nil, b.rev+4)
		if b.mine(b.shares[0]) {
			t.Fatalf("after %+v the share counts as owned one revision too early", before)
		}
		b.follow([]storage.Item{{Key: own.Put, Value: own.Value, Stamp: b.rev + 5}}, b.rev+5)
		if s := b.shares[0]; !b.mine(s) || s.changesHands() || b.stamp(own.Put) != b.rev+5 {
			t.Fatalf("after %+v the share is not owned when all is known: %+v", before, s.holder)
		}
	}
}

// endOwnershipLate makes the records of owners outlive their leases, for tests of tests.
func endOwnershipLate(writes []storage.Write) []storage.Write {
	writes = slices.Clone(writes)
	for i := range writes {
		if strings.HasPrefix(writes[i].Put, protocol.HolderRoot) {
			writes[i].Lease = 0
		}
	}
	return writes
}

// takeUnheardForGone makes a node take the tasks of cancelled jobs of a share for gone before
// their machines have spoken, for tests of tests.
func takeUnheardForGone(n *Node, share int) {
	for _, j := range n.shares[share].jobs {
		if !j.cancelled || !n.mine(n.shares[share]) {
			continue
		}
		for i := range j.tasks {
			n.note(j, i, gone)
		}
	}
}

// ownBeforeReplica makes a node own a share before its replica is complete, for tests of tests.
func ownBeforeReplica(n *Node, share int) {
	if s := n.shares[share]; s.acquired != nil {
		n.setHolder(s, *s.acquired)
	}
}

// The guards that are left out here are those of a change of owner and of who may answer.
var leadershipDefects = []defect{
	{"lease", "hand over and back"},
	{"read barrier", "a slow state service, then none"},
	{"read barrier", "a leader cut from store and siblings"},
	{"unheard", "cancelled while a share changes hands"},
	{"conditions", "new machines at work while writes lag"},
	{"old token", "reports held back for the next owner"},
	{"return", "a zone cut off"},
	{"lease", "ten changes of owners in two minutes"},
	{"lease", "all controllers away"},
	{"replica", "the next owner's watch lags"},
}
