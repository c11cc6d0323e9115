package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Simulation of many open jobs whose members have stores with a bounded rate: what a trouble,
// or more submissions than the stores take, does to polls, submissions and running services.

const (
	// loadStoreRate is what a site's store takes a second: 10 changes of 8 KiB, of which half
	// go to compaction.
	loadStoreRate  = 40 << 10
	loadBatchBytes = 16 << 10
	loadSpecBytes  = 600
	// loadRegisterTime is how long a site's store takes for a register.
	loadRegisterTime = time.Second * (registerBytes + recordBytes + loadSpecBytes*4/3) / loadStoreRate

	loadPollInterval  = 5 * time.Second
	loadPollTimeout   = 2 * time.Second
	loadSubmitTimeout = 5 * time.Second
	// loadUnanswered is the longest time without an answered poll at a member: polls are
	// answered again within seconds, by every member.
	loadUnanswered = 10 * time.Second
)

// loadSim is a simulation of users of services that poll all the time.
type loadSim struct {
	*sim
	t          *testing.T
	lastPoll   []time.Duration // by member: when a poll was last answered
	longestGap []time.Duration // by member: longest time without an answered poll
	accepted   int
	acceptedAt []time.Duration // when jobs were accepted, in order
}

func newLoadSim(t *testing.T, seed uint64) *loadSim {
	s := newSim(seed, Faults{}, nil)
	s.storeRate, s.batchBytes, s.capacity = loadStoreRate, loadBatchBytes, 1<<20
	s.route.RampS = 0
	s.addMembers(twoSites)
	l := &loadSim{sim: s, t: t, lastPoll: make([]time.Duration, len(s.members)), longestGap: make([]time.Duration, len(s.members))}
	s.run(5 * time.Second)
	return l
}

// submit has a user submit a service at a member until it is accepted, and then poll it.
func (l *loadSim) submit(member int, id string) {
	m := l.members[member]
	j := &simJob{id: id, runTime: time.Hour, submittedAt: l.now}
	l.jobs, l.jobsByID[id] = append(l.jobs, j), j
	spec := &protocol.JobSpec{ID: id, Team: "red", Shape: protocol.Service, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1}
	body := []byte(`{"id":"` + id + `","crew":"red","shape":"standing","pieces":1,"cards":1,"lot":"` + strings.Repeat("x", loadSpecBytes-80) + `"}`)
	var try func()
	try = func() {
		answered := false
		retry := func() {
			if !answered {
				answered = true
				l.schedule(time.Second, try)
			}
		}
		l.userRequest(m, Request{Kind: Submit, ID: id, Spec: spec, Body: body}, func(answer Answer) {
			if answer.Code != 200 && answer.Code != 201 {
				retry()
				return
			}
			answered = true
			if !j.accepted {
				j.accepted = true
				l.accepted++
				l.acceptedAt = append(l.acceptedAt, l.now)
				l.schedule(l.randDuration(0, loadPollInterval), func() { l.poll(member, j) })
			}
		})
		l.schedule(loadSubmitTimeout, retry)
	}
	try()
}

// poll has the user of a job ask a member about it, again and again.
func (l *loadSim) poll(member int, j *simJob) {
	if j.finalStatus != "" {
		return
	}
	sent, knownBefore := l.now, *j
	l.userRequest(l.members[member], Request{Kind: Poll, ID: j.id}, func(answer Answer) {
		l.checkAnswer(j, knownBefore, answer)
		if answer.Code == 200 && l.now-sent <= loadPollTimeout {
			l.notePoll(member)
		}
	})
	l.schedule(loadPollInterval, func() { l.poll(member, j) })
}

// notePoll notes that a member has answered a poll now.
func (l *loadSim) notePoll(member int) {
	l.longestGap[member] = max(l.longestGap[member], l.now-l.lastPoll[member])
	l.lastPoll[member] = l.now
}

// submitMany submits services, a third of them at each member, until all are accepted.
func (l *loadSim) submitMany(n int, interval time.Duration) {
	for i := range n {
		l.submit(i%3, fmt.Sprintf("job-%06d", i))
		l.run(l.now + interval)
	}
	for l.accepted < n && l.now < 10*time.Minute {
		l.run(l.now + time.Second)
	}
	if l.accepted < n {
		l.t.Fatalf("only %d of %d jobs are accepted", l.accepted, n)
	}
	l.run(l.now + 15*time.Second)
}

// resetGaps begins to measure the times without an answered poll anew.
func (l *loadSim) resetGaps() {
	for i := range l.lastPoll {
		l.lastPoll[i], l.longestGap[i] = l.now, 0
	}
}

// stop kills a member's process.
func (m *simMember) stop() {
	m.running = false
	m.generation++
}

// checkPolls checks the times without an answered poll at some members up to now.
func (l *loadSim) checkPolls(what string, members ...int) {
	l.t.Helper()
	for _, m := range members {
		if gap := max(l.longestGap[m], l.now-l.lastPoll[m]); gap > loadUnanswered {
			l.t.Errorf("%s: no poll is answered at member %d for %v", what, m, gap)
		}
	}
}

// undecided returns the number of open jobs of which some member does not know that its
// record is agreed.
func (l *loadSim) undecided(members ...int) int {
	n := 0
	for _, m := range members {
		n = max(n, l.members[m].core.status().Undecided)
	}
	return n
}

// runUntil runs until a condition holds, and returns how long that took; false if it does
// not hold after limit.
func (l *loadSim) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	started := l.now
	for !holds() {
		if l.now-started >= limit {
			return limit, false
		}
		l.run(l.now + 200*time.Millisecond)
	}
	return l.now - started, true
}

// taskStops returns how many tasks of a site were stopped since a time, though neither their
// user nor the members had asked for it.
func (l *loadSim) taskStops(site int, since time.Duration) int {
	n := 0
	for _, at := range l.sites[site].stoppedUnasked {
		if at >= since {
			n++
		}
	}
	return n
}

// checkSubmission submits one more job at a member, which has to be accepted within seconds.
func (l *loadSim) checkSubmission(member int, id string) {
	l.t.Helper()
	l.submit(member, id)
	if took, ok := l.runUntil(loadUnanswered, func() bool { return l.findJob(id).accepted }); !ok {
		l.t.Errorf("a submission at member %d is not accepted within %v", member, took)
	}
}

// checkInvariants reports violated invariants.
func (l *loadSim) checkInvariants() {
	l.t.Helper()
	if len(l.violations) > 0 {
		l.t.Errorf("%d violations: %v", len(l.violations), l.violations[:min(3, len(l.violations))])
	}
}

// loadJobs are the numbers of open jobs, with the seeds that each is run with.
var loadJobs = []struct {
	jobs  int
	seeds []uint64
}{{100, []uint64{1, 2}}, {400, []uint64{1, 2}}, {1000, []uint64{1}}, {2000, []uint64{1}}}

// forLoads runs a test for each number of jobs and seed.
func forLoads(t *testing.T, test func(t *testing.T, jobs int, seed uint64)) {
	for _, load := range loadJobs {
		for _, seed := range load.seeds {
			t.Run(fmt.Sprintf("%d jobs/seed %d", load.jobs, seed), func(t *testing.T) {
				t.Parallel()
				test(t, load.jobs, seed)
			})
		}
	}
}

// Guards against the end of the members that are left when a site is lost with many jobs:
// the claims on its jobs filled the stores, were given up and begun anew.
func TestSiteLostWithManyOpenJobs(t *testing.T) {
	forLoads(t, func(t *testing.T, jobs int, seed uint64) {
		l := newLoadSim(t, seed)
		l.submitMany(jobs, 2*loadRegisterTime)
		lost, left := 1, 2
		l.members[lost].stop()
		l.sites[lost].running = false
		lostAt := l.now
		l.resetGaps()
		cfg := l.members[0].core.cfg
		// A claim is prepared, accepted and, at the new owner, acknowledged.
		limit := HandoffBound(cfg) + 10*time.Second + 3*time.Duration(jobs)*loadRegisterTime
		heldByLost := func() int { return l.members[left].core.ownedJobs[lost] }
		if took, ok := l.runUntil(limit, func() bool { return heldByLost() == 0 && l.undecided(0, left) == 0 }); !ok {
			t.Errorf("%d jobs are still at the lost site, and %d undecided, after %v", heldByLost(), l.undecided(0, left), took)
		} else {
			t.Logf("all jobs came over after %v", took)
		}
		l.checkSubmission(0, "job-900000")
		l.checkSubmission(left, "job-900001")
		l.checkPolls("after the loss", 0, left)
		if stops := l.taskStops(left, lostAt); stops > 0 {
			t.Errorf("%d services of the site that is left are stopped", stops)
		}
		l.checkInvariants()
	})
}

// Guards against members that answer nothing while a site's jobs are all handed over, though
// no member has a fault.
func TestDrainWithManyOpenJobs(t *testing.T) {
	l := newLoadSim(t, 1)
	const jobs = 400
	l.submitMany(jobs, 2*loadRegisterTime)
	l.resetGaps()
	drained := l.members[1]
	drained.drained = true
	drained.applyEffects(drained.core.SetDrained(drained.clock(), true))
	begun := l.now
	// A job is released and claimed, each with a promise and an acceptance.
	limit := simWorkers + 10*time.Second + 4*jobs*loadRegisterTime
	if took, ok := l.runUntil(limit, func() bool { return l.members[0].core.ownedJobs[1] == 0 }); !ok {
		t.Errorf("%d jobs are still at the drained site after %v", l.members[0].core.ownedJobs[1], took)
	} else {
		t.Logf("all jobs came over after %v", took)
	}
	l.checkSubmission(0, "job-900000")
	l.checkPolls("during the drain", 0, 1, 2)
	if stops := l.taskStops(2, begun); stops > 0 {
		t.Errorf("%d services of the other site are stopped", stops)
	}
	l.checkInvariants()
}

// Guards against members that answer nothing while many jobs are cancelled at once.
func TestManyCancelledAtOnce(t *testing.T) {
	l := newLoadSim(t, 1)
	const jobs = 400
	l.submitMany(jobs, 2*loadRegisterTime)
	l.resetGaps()
	begun := l.now
	cancelled := 0
	for i := range jobs / 2 {
		j := l.jobs[2*i]
		j.cancelRequested = true
		var cancel func()
		cancel = func() {
			knownBefore := *j
			l.userRequest(l.members[i%3], Request{Kind: Cancel, ID: j.id}, func(answer Answer) {
				l.checkAnswer(j, knownBefore, answer)
				if answer.Code == 200 && answer.State.Status == protocol.JobCancelled {
					cancelled++
					return
				}
				l.schedule(time.Second, cancel)
			})
		}
		cancel()
	}
	limit := 10*time.Second + jobs*loadRegisterTime
	if took, ok := l.runUntil(limit, func() bool { return cancelled == jobs/2 }); !ok {
		t.Errorf("only %d of %d cancellations are confirmed after %v", cancelled, jobs/2, took)
	} else {
		t.Logf("all cancellations are confirmed after %v", took)
	}
	l.run(max(l.now, begun+30*time.Second))
	l.checkPolls("during the cancellations", 0, 1, 2)
	l.checkSubmission(0, "job-900000")
	stored := 0
	for _, j := range l.jobs {
		if item := l.members[0].disk[j.id]; item.Record.Outcome == wire.Cancelled {
			stored++
		}
	}
	if stored < jobs/2 {
		t.Errorf("%d cancellations are stored at the gateway, want %d", stored, jobs/2)
	}
	for site := 1; site <= 2; site++ {
		if stops := l.taskStops(site, begun); stops > 0 {
			t.Errorf("%d services of site %d are stopped that nobody cancelled", stops, site)
		}
	}
	l.checkInvariants()
}

// Guards against members that answer nothing while one site stands still, and after it.
func TestSiteStallsWithManyOpenJobs(t *testing.T) {
	l := newLoadSim(t, 1)
	const jobs = 400
	const stall = 40 * time.Second
	l.submitMany(jobs, 2*loadRegisterTime)
	l.resetGaps()
	begun := l.now
	stalled := l.members[1]
	stalled.stalledUntil = l.now + stall
	l.sites[1].running = false
	l.run(l.now + stall)
	l.sites[1].running = true
	l.run(l.now + 65*time.Second)
	l.checkPolls("during the stall and after it", 0, 2)
	for i := range l.members {
		l.checkSubmission(i, fmt.Sprintf("job-9%05d", i))
	}
	if stops := l.taskStops(2, begun); stops > 0 {
		t.Errorf("%d services of the other site are stopped", stops)
	}
	l.checkInvariants()
}

// Guards against members that answer nothing for good after all processes were restarted:
// each learned every open job anew with changes of all stores, behind which reads and votes
// waited until their time was over.
func TestAllRestartedWithManyOpenJobs(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 8 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			forLoads(t, func(t *testing.T, jobs int, seed uint64) {
				l := newLoadSim(t, seed)
				l.submitMany(jobs, 2*loadRegisterTime)
				for i, m := range l.members {
					m.stop()
					if site := l.sites[i]; site != nil {
						site.running = false
					}
				}
				l.run(l.now + pause)
				for i, m := range l.members {
					m.start(twoSites)
					if site := l.sites[i]; site != nil {
						site.running = true
					}
				}
				restarted := l.now
				l.resetGaps()
				took, ok := l.runUntil(10*time.Second+time.Duration(jobs)*loadRegisterTime, func() bool { return l.undecided(0, 1, 2) == 0 })
				if !ok {
					t.Errorf("%d records are not known to be agreed %v after the restart", l.undecided(0, 1, 2), took)
				}
				t.Logf("all records are known to be agreed after %v", took)
				l.run(max(l.now, restarted+30*time.Second))
				for i := range l.members {
					l.checkSubmission(i, fmt.Sprintf("job-9%05d", i))
				}
				l.checkPolls("after the restart", 0, 1, 2)
				if pause < simControllers/2 {
					for site := 1; site <= 2; site++ {
						if stops := l.taskStops(site, restarted); stops > 0 {
							t.Errorf("%d services of site %d are stopped", stops, site)
						}
					}
				}
				l.checkInvariants()
			})
		})
	}
}

// Guards against a gateway that accepts nothing any more once more is submitted than its
// stores take: submissions were given up by their users' timeouts after the stores had
// worked for them, and sent again.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			l := newLoadSim(t, seed)
			l.submit(0, "job-800000")
			l.submit(1, "job-800001")
			l.submit(2, "job-800002")
			l.run(l.now + 10*time.Second)
			l.resetGaps()
			begun, before := l.now, l.accepted
			const jobs = 1000
			for i := range jobs {
				l.submit(i%3, fmt.Sprintf("job-%06d", i))
				l.run(l.now + 8*time.Millisecond)
			}
			// The stores take two changes of each job, the first one without the submission.
			limit := 2 * time.Duration(jobs) * loadRegisterTime
			if took, ok := l.runUntil(begun+limit-l.now, func() bool { return l.accepted == before+jobs }); !ok {
				t.Errorf("only %d of %d jobs are accepted %v after the last one was sent", l.accepted-before, jobs, took)
			}
			l.checkPolls("during the overload", 0, 1, 2)
			perInterval := map[int]int{}
			for _, at := range l.acceptedAt[before:] {
				perInterval[int((at-begun)/(5*time.Second))]++
			}
			last := int((l.acceptedAt[len(l.acceptedAt)-1] - begun) / (5 * time.Second))
			for i := range last {
				if perInterval[i] < perInterval[0]/2 {
					t.Errorf("%d jobs are accepted in 5 s from %d s on, %d in the first 5 s", perInterval[i], 5*i, perInterval[0])
				}
			}
			t.Logf("accepted in steps of 5 s: %v", perInterval)
			l.checkInvariants()
		})
	}
}
