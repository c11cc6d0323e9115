package gateway

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// The whole agreement with handoffs on one thread, from a seed: members with
// clocks of their own, stores that are slow, messages that are lost, repeated or
// held for minutes, sites whose controllers and workers go on by themselves, and
// users. The checker compares what users were told with what machines ran and
// with what the stores hold at the end.

const (
	simLease       = 8 * time.Second
	simControllers = 3 * time.Second
	simWorkers     = 10 * time.Second
	simCancel      = 40 * time.Second
)

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

type sim struct {
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	eventSeq       int
	members        []*simMember
	sites          []*simSite // by member; nil: a gateway
	cutUntil       map[[2]int]time.Duration
	lossRate       float64
	jobs           []*simJob
	lastToken      uint64
	pendingAnswers map[uint64]func(Answer)
	violations     []string
	trace          []string
	faults         Faults
	faultsStopped  bool
	storeTime      time.Duration // of a site's store; 0: milliseconds
	// before, if set, is asked before a member's effects are carried out; 0: all of
	// them, 1: none, 2: only what is to be stored.
	beforeEffects func(m *simMember, e *Effects) int
}

type simMember struct {
	sim               *sim
	index             int
	core              *Core
	incarnation       uint32
	running           bool
	generation        int
	stalledUntil      time.Duration
	clockRate         float64
	clockOffset       time.Duration
	disk              map[string]wire.Item
	storeStalledUntil time.Duration // its store stands still until then
	batches           []Batch
	writing           bool
	drained           bool
}

// simSite is a site's controllers and workers, which need its daemon only for the
// lease and to be told of jobs.
type simSite struct {
	sim               *sim
	index             int
	jobs              map[string]*simSiteJob
	tombstones        map[string]uint32
	done              map[string]uint32
	revision          uint64
	replicaRevision   uint64 // the replica's revision
	leaseExpiry       time.Duration
	minRevision       uint64
	revoked           map[string]bool
	running           bool
	disconnectedUntil time.Duration // daemon and controllers can't reach one another until then
}

type simSiteJob struct {
	epoch         uint32
	stopRequested bool
	started       bool          // a task is on a machine
	stopsAt       time.Duration // when it will be gone; 0: it is not leaving
	remaining     time.Duration // work
}

type simJob struct {
	id              string
	runTime         time.Duration
	submittedAt     time.Duration
	accepted        bool
	cancelRequested bool // to cancel
	finalStatus     string
	finalAt         time.Duration
}

func newSim(seed uint64, faults Faults, members []Member) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 99)), cutUntil: map[[2]int]time.Duration{}, pendingAnswers: map[uint64]func(Answer){}, faults: faults}
	for i, m := range members {
		member := &simMember{sim: s, index: i, disk: map[string]wire.Item{}, clockRate: 1 + s.rng.Float64()*0.0005, clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		s.members = append(s.members, member)
		var site *simSite
		if m.Site {
			site = &simSite{sim: s, index: i, jobs: map[string]*simSiteJob{}, tombstones: map[string]uint32{}, done: map[string]uint32{}, running: true, revoked: map[string]bool{}}
			s.schedule(100*time.Millisecond, site.step)
			s.schedule(s.randDuration(0, 500*time.Millisecond), site.fetchLease)
		}
		s.sites = append(s.sites, site)
	}
	for _, m := range s.members {
		m.start(members)
	}
	return s
}

func (s *sim) schedule(delay time.Duration, f func()) {
	s.eventSeq++
	heap.Push(&s.queue, event{s.now + delay, s.eventSeq, f})
}

func (s *sim) randDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	s.now = until
}

func (s *sim) logf(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *sim) violation(format string, a ...any) {
	s.logf("BROKEN "+format, a...)
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

func (m *simMember) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.sim.now)*m.clockRate)
}

func (m *simMember) start(members []Member) {
	m.incarnation++
	m.generation++
	m.running = true
	m.batches, m.writing = nil, false
	var items []wire.Item
	for _, id := range sortedKeys(m.disk) {
		items = append(items, m.disk[id])
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("SIM_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stdout, nil)).With("member", m.index)
	}
	cfg := Config{Members: members, Self: m.index, LeaseTime: simLease, StopTime: StopBound(simControllers, simWorkers), MaxInFlight: 500, Route: DefaultRoute(), Faults: m.sim.faults}
	m.core = New(cfg, m.incarnation, items, uint64(m.incarnation)*31+uint64(m.index), log, m.clock())
	if m.sim.sites[m.index] != nil {
		m.applyEffects(m.core.SetDrained(m.clock(), m.drained))
	}
	gen := m.generation
	var tick func()
	tick = func() {
		if m.generation != gen {
			return
		}
		if m.sim.now >= m.stalledUntil {
			if site := m.sim.sites[m.index]; site != nil {
				m.core.SetHint(m.clock(), site.hint())
			}
			m.applyEffects(m.core.Tick(m.clock()))
		}
		m.sim.schedule(50*time.Millisecond, tick)
	}
	tick()
}

// whenRunning runs f when the member runs again, if it is the same process then.
func (m *simMember) whenRunning(f func()) {
	gen := m.generation
	var try func()
	try = func() {
		switch {
		case m.generation != gen || !m.running:
		case m.sim.now < m.stalledUntil:
			m.sim.schedule(m.stalledUntil-m.sim.now+m.sim.randDuration(0, 5*time.Millisecond), try)
		default:
			f()
		}
	}
	try()
}

func (m *simMember) applyEffects(effects Effects) {
	s := m.sim
	if s.beforeEffects != nil {
		switch s.beforeEffects(m, &effects) {
		case 1:
			return
		case 2:
			effects = Effects{Store: effects.Store}
		}
	}
	for to := range s.members {
		items := effects.Send[to]
		if to == m.index || len(items) == 0 && effects.Hint == nil {
			continue
		}
		s.deliver(m.index, to, wire.Encode(&wire.Envelope{Items: items, Hint: effects.Hint}))
	}
	m.batches = append(m.batches, effects.Store...)
	m.storeBatches()
	for _, answer := range effects.Answers {
		if onAnswer := s.pendingAnswers[answer.Token]; onAnswer != nil {
			delete(s.pendingAnswers, answer.Token)
			s.schedule(s.randDuration(time.Millisecond, 10*time.Millisecond), func() { onAnswer(answer) })
		}
	}
	for _, call := range effects.Calls {
		s.sites[m.index].handleCall(m, call)
	}
}

// storeBatches stores all batches that wait, one write at a time.
func (m *simMember) storeBatches() {
	s := m.sim
	if m.writing || len(m.batches) == 0 {
		return
	}
	m.writing = true
	duration := s.randDuration(2*time.Millisecond, 30*time.Millisecond)
	if s.storeTime > 0 && s.sites[m.index] != nil {
		duration = s.randDuration(s.storeTime/2, s.storeTime)
	}
	batch, gen := m.batches, m.generation
	m.batches = nil
	s.schedule(max(0, m.storeStalledUntil-s.now)+duration, func() {
		if m.generation != gen && s.rng.IntN(2) == 0 {
			return // ended before it was written
		}
		for _, stored := range batch {
			for _, item := range stored.Items {
				if item.Kind == wire.SiteState {
					continue // the sim drains again by itself
				}
				if old, ok := m.disk[item.ID]; !ok || m.generation == gen || !item.Accepted.Less(old.Accepted) && !item.Ballot.Less(old.Ballot) {
					m.disk[item.ID] = item
				}
			}
		}
		if m.generation == gen {
			m.writing = false
			m.whenRunning(func() { m.applyEffects(m.core.BatchStored(m.clock(), batch[len(batch)-1].Seq)) })
			m.storeBatches()
		}
	})
}

// deliver carries a message. Through a cut it is lost, or held and delivered
// minutes late; now and then it comes twice.
func (s *sim) deliver(from, to int, data []byte) {
	delay := s.randDuration(time.Millisecond, 15*time.Millisecond)
	if cutEnd := s.cutUntil[[2]int{from, to}]; s.now < cutEnd {
		if s.rng.IntN(2) == 0 {
			return
		}
		delay += cutEnd - s.now
	} else if s.rng.Float64() < s.lossRate {
		return
	}
	times := 1
	if s.rng.IntN(50) == 0 {
		times = 2
	}
	for range times {
		s.schedule(delay, func() {
			m := s.members[to]
			if !m.running {
				return
			}
			m.whenRunning(func() {
				envelope, err := wire.Decode(data)
				if err != nil {
					panic(err)
				}
				m.applyEffects(m.core.Receive(m.clock(), from, envelope))
			})
		})
		delay += s.randDuration(0, 20*time.Second)
	}
}

func (site *simSite) hint() *wire.Hint {
	waiting, running := 0, 0
	for _, j := range site.jobs {
		if j.started {
			running++
		} else {
			waiting++
		}
	}
	return &wire.Hint{GPUs: 8, FreeGPUs: float64(8 - running), Waiting: waiting,
		Types: []wire.TypeHint{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, Zones: []string{"a"}}},
		Teams: []wire.TeamHint{{Name: "red", GPUsMax: 100}}}
}

// handleCall carries what the daemon asks to the controllers, where it may be done late,
// and the answer back.
func (site *simSite) handleCall(m *simMember, call Call) {
	s := site.sim
	delay := s.randDuration(time.Millisecond, 60*time.Millisecond)
	gen := m.generation
	reply := func(result Result) {
		result.Call = call
		s.schedule(s.randDuration(time.Millisecond, 10*time.Millisecond), func() {
			if m.generation == gen && m.running {
				m.whenRunning(func() { m.applyEffects(m.core.SiteResults(m.clock(), []Result{result})) })
			}
		})
	}
	if s.now < site.disconnectedUntil || !site.running || s.now < m.storeStalledUntil {
		if s.rng.IntN(2) == 0 { // held, and done when nobody waits any more
			s.schedule(max(site.disconnectedUntil, m.storeStalledUntil)-s.now+s.randDuration(0, 30*time.Second), func() { site.execute(call) })
		}
		s.schedule(1500*time.Millisecond, func() { reply(Result{Code: wire.Unavailable}) })
		return
	}
	s.schedule(delay, func() { reply(site.execute(call)) })
}

// execute is what the controllers do with a call, each by one conditional write.
func (site *simSite) execute(call Call) Result {
	job := site.jobs[call.ID]
	if doneTasks, ok := site.done[call.ID]; ok {
		return Result{Code: wire.Completed, Done: doneTasks}
	}
	tombstone, fenced := site.tombstones[call.ID]
	switch call.Kind {
	case wire.Submit:
		switch {
		case job != nil && job.epoch == call.Epoch:
			return Result{Code: wire.Active}
		case job != nil && !job.stopRequested && job.epoch < call.Epoch:
			site.revision++
			job.epoch = call.Epoch
			return Result{Code: wire.Active, Revision: site.revision}
		case job != nil:
			return Result{Code: wire.Unavailable}
		case fenced && tombstone >= call.Epoch:
			return Result{Code: wire.ClaimEnded}
		}
		site.revision++
		delete(site.tombstones, call.ID)
		site.jobs[call.ID] = &simSiteJob{epoch: call.Epoch, remaining: site.sim.findJob(call.ID).runTime}
		return Result{Code: wire.Active, Revision: site.revision}
	case wire.Stop:
		if job != nil && job.epoch <= call.Epoch {
			if !job.stopRequested {
				site.revision++
				job.stopRequested, job.epoch = true, call.Epoch
			}
			if job.started {
				return Result{Code: wire.Active, Revision: site.revision}
			}
			delete(site.jobs, call.ID)
		}
		if job == nil || job.epoch <= call.Epoch {
			if !fenced || tombstone < call.Epoch {
				site.revision++
				site.tombstones[call.ID] = call.Epoch
			}
		}
		return Result{Code: wire.ClaimEnded, Revision: site.revision}
	}
	switch {
	case job == nil && fenced && tombstone >= call.Epoch:
		return Result{Code: wire.ClaimEnded}
	case job == nil:
		return Result{Code: wire.NotFound}
	case job.epoch != call.Epoch:
		return Result{Code: wire.Unavailable}
	}
	r := Result{Code: wire.Active}
	if job.started {
		r.Running = 1
	}
	return r
}

// fetchLease asks the daemon how long gateway jobs may run. What the answer says counts
// from when it was asked for.
func (site *simSite) fetchLease() {
	s, m := site.sim, site.sim.members[site.index]
	s.schedule(500*time.Millisecond, site.fetchLease)
	if !site.running || !m.running || s.now < site.disconnectedUntil {
		return
	}
	sent := s.now
	s.schedule(s.randDuration(time.Millisecond, 20*time.Millisecond), func() {
		m.whenRunning(func() {
			lease := m.core.SiteLease(m.clock(), simControllers)
			s.schedule(s.randDuration(time.Millisecond, 20*time.Millisecond), func() {
				if !site.running {
					return
				}
				site.leaseExpiry = max(site.leaseExpiry, sent+time.Duration(float64(lease.RemainingMS)*(1-maxClockDrift))*time.Millisecond)
				site.minRevision = max(site.minRevision, lease.MinRevision)
				site.revoked = map[string]bool{}
				for _, id := range lease.LostJobs {
					site.revoked[id] = true
				}
			})
		})
	})
}

// step is what controllers and workers do by themselves.
func (site *simSite) step() {
	const dt = 100 * time.Millisecond
	s := site.sim
	s.schedule(dt, site.step)
	if s.rng.IntN(2) == 0 {
		site.replicaRevision = site.revision
	}
	running := 0
	for _, j := range site.jobs {
		if j.started {
			running++
		}
	}
	for _, id := range sortedKeys(site.jobs) {
		j := site.jobs[id]
		mayRun := site.running && s.now < site.leaseExpiry && site.replicaRevision >= site.minRevision && !site.revoked[id] && !j.stopRequested
		switch {
		case !j.started && mayRun && running < 8:
			j.started, j.stopsAt = true, 0
			running++
			s.logf("site %d starts %s claim %d", site.index, id, j.epoch)
			for _, other := range s.sites {
				if other != nil && other != site && other.jobs[id] != nil && other.jobs[id].started {
					s.violation("%s runs at site %d and starts at site %d", id, other.index, site.index)
				}
			}
		case j.started && !mayRun && j.stopsAt == 0:
			// Its worker may get no answer, and goes on until its own lease ends.
			j.stopsAt = s.now + s.randDuration(0, simWorkers)
			s.logf("site %d stops %s", site.index, id)
		case j.started && j.stopsAt != 0 && s.now >= j.stopsAt:
			j.started, j.stopsAt = false, 0
			if j.stopRequested {
				delete(site.jobs, id)
				site.tombstones[id] = j.epoch
			}
		case j.started:
			j.remaining -= dt
			if j.remaining <= 0 && site.running {
				delete(site.jobs, id)
				site.revision++
				site.done[id] = 1
				s.logf("site %d has done %s", site.index, id)
			}
		}
		if simulated := s.findJob(id); j.started && simulated.finalStatus == protocol.JobCancelled && s.now > simulated.finalAt+simCancel {
			s.violation("%s runs at site %d %v after its user was told that it is cancelled", id, site.index, s.now-simulated.finalAt)
		}
	}
}

func (s *sim) findJob(id string) *simJob {
	for _, j := range s.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// userRequest is a user's request to one member; the answer may be lost.
func (s *sim) userRequest(m *simMember, req Request, onAnswer func(Answer)) {
	s.lastToken++
	req.Token = s.lastToken
	s.pendingAnswers[req.Token] = onAnswer
	s.schedule(s.randDuration(time.Millisecond, 10*time.Millisecond), func() {
		if m.running && s.now >= m.stalledUntil {
			m.applyEffects(m.core.HandleRequest(m.clock(), req))
		}
	})
}

func (s *sim) randomMember() *simMember { return s.members[s.rng.IntN(len(s.members))] }

// runUser submits a job and asks until it is over, at any member.
func (s *sim) runUser(j *simJob) {
	spec := &protocol.JobSpec{ID: j.id, Team: "red", Shape: protocol.Array, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, EstimateS: 5}
	var submit, poll, cancel func()
	submit = func() {
		if j.accepted {
			return
		}
		knownBefore := *j
		s.userRequest(s.randomMember(), Request{Kind: Submit, ID: j.id, Spec: spec, Body: []byte(`{"id":"` + j.id + `","crew":"red","shape":"sweep","pieces":1,"cards":1}`)}, func(answer Answer) {
			s.checkAnswer(j, knownBefore, answer)
			if answer.Code == 201 || answer.Code == 200 {
				j.accepted = true
			}
		})
		s.schedule(s.randDuration(time.Second, 4*time.Second), submit)
	}
	poll = func() {
		if j.finalStatus != "" && s.rng.IntN(4) != 0 {
			s.schedule(s.randDuration(10*time.Second, 20*time.Second), poll)
			return
		}
		knownBefore := *j
		s.userRequest(s.randomMember(), Request{Kind: Poll, ID: j.id}, func(answer Answer) { s.checkAnswer(j, knownBefore, answer) })
		s.schedule(s.randDuration(2*time.Second, 5*time.Second), poll)
	}
	cancel = func() {
		if j.finalStatus != "" {
			return
		}
		j.cancelRequested = true
		knownBefore := *j
		s.userRequest(s.randomMember(), Request{Kind: Cancel, ID: j.id}, func(answer Answer) { s.checkAnswer(j, knownBefore, answer) })
		s.schedule(s.randDuration(time.Second, 3*time.Second), cancel)
	}
	j.submittedAt = s.now
	submit()
	s.schedule(time.Second, poll)
	if s.rng.IntN(4) == 0 {
		s.schedule(s.randDuration(0, 60*time.Second), cancel)
	}
}

// checkAnswer checks what a user hears against all it had heard when it asked: answers to
// requests under way at once may come in any order.
func (s *sim) checkAnswer(j *simJob, knownBefore simJob, answer Answer) {
	s.logf("user of %s is told %d %s", j.id, answer.Code, answer.State.Status)
	switch {
	case answer.Code == 404 && knownBefore.accepted:
		s.violation("%s was accepted and is unknown", j.id)
	case answer.Code == 422:
		s.violation("%s is called impossible", j.id)
	case answer.Code != 200 && answer.Code != 201:
		return
	}
	status := answer.State.Status
	final := status == protocol.JobDone || status == protocol.JobCancelled
	switch {
	case knownBefore.finalStatus != "" && status != knownBefore.finalStatus, final && j.finalStatus != "" && status != j.finalStatus:
		s.violation("%s was called %s and is called %s", j.id, j.finalStatus, status)
	case status == protocol.JobCancelled && !j.cancelRequested:
		s.violation("%s is cancelled and nobody asked", j.id)
	case status == protocol.JobDone:
		doneSomewhere := false
		for _, site := range s.sites {
			doneSomewhere = doneSomewhere || site != nil && site.done[j.id] > 0
		}
		if !doneSomewhere {
			s.violation("%s is called done and no site has done it", j.id)
		}
	}
	if final && j.finalStatus == "" {
		j.finalStatus, j.finalAt = status, s.now
	}
}

// injectFaults does something bad, and arranges for its end.
func (s *sim) injectFaults(members []Member) {
	if s.faultsStopped {
		return
	}
	s.schedule(s.randDuration(2*time.Second, 25*time.Second), func() { s.injectFaults(members) })
	m := s.randomMember()
	duration := s.randDuration(time.Second, 70*time.Second)
	switch s.rng.IntN(9) {
	case 0, 1:
		if m.running {
			s.logf("member %d ends for %v", m.index, duration)
			m.running = false
			m.generation++
			s.schedule(duration, func() { m.start(members) })
		}
	case 2:
		s.logf("member %d stands still for %v", m.index, duration)
		m.stalledUntil = max(m.stalledUntil, s.now+duration)
	case 3, 4:
		other := s.randomMember()
		s.logf("no way from %d to %d for %v", m.index, other.index, duration)
		s.cutUntil[[2]int{m.index, other.index}] = s.now + duration
		if s.rng.IntN(3) > 0 {
			s.cutUntil[[2]int{other.index, m.index}] = s.now + duration
		}
	case 5:
		s.logf("store of %d slow for %v", m.index, duration)
		m.storeStalledUntil = s.now + duration
	case 6:
		if site := s.sites[m.index]; site != nil {
			s.logf("daemon and controllers of %d apart for %v", m.index, duration)
			site.disconnectedUntil = s.now + duration
		}
	case 7:
		if site := s.sites[m.index]; site != nil && site.running {
			s.logf("controllers of %d end for %v", m.index, duration)
			site.running, site.leaseExpiry = false, 0
			s.schedule(duration, func() { site.running = true })
		}
	case 8:
		if s.sites[m.index] != nil {
			m.drained = !m.drained
			s.logf("member %d drained %v", m.index, m.drained)
			if m.running {
				m.applyEffects(m.core.SetDrained(m.clock(), m.drained))
			}
		}
	}
}

// runSim runs one seed to its end.
func runSim(seed uint64, faults Faults, members []Member) *sim {
	s := newSim(seed, faults, members)
	s.lossRate = s.rng.Float64() * 0.05
	if seed%4 == 3 { // the sites' rates of changes are nearly used up
		s.storeTime = 400 * time.Millisecond
	}
	s.schedule(5*time.Second, func() { s.injectFaults(members) })
	for i := range 14 {
		j := &simJob{id: fmt.Sprintf("job-%06d", i), runTime: s.randDuration(time.Second, 40*time.Second)}
		s.jobs = append(s.jobs, j)
		s.schedule(s.randDuration(time.Second, 150*time.Second), func() { s.runUser(j) })
	}
	s.run(200 * time.Second)
	s.faultsStopped = true
	s.cutUntil, s.lossRate = map[[2]int]time.Duration{}, 0
	for _, m := range s.members {
		m.stalledUntil, m.storeStalledUntil, m.drained = 0, 0, false
		if s.sites[m.index] != nil && m.running {
			m.applyEffects(m.core.SetDrained(m.clock(), false))
		}
	}
	for _, site := range s.sites {
		if site != nil {
			site.disconnectedUntil = 0
		}
	}
	s.run(480 * time.Second)
	for _, j := range s.jobs {
		if j.accepted && j.finalStatus == "" {
			s.violation("%s was accepted and has no final answer", j.id)
		}
		s.checkStores(j)
	}
	return s
}

// checkStores compares what a user was told with what the stores hold: of every
// majority at least one member must know it.
func (s *sim) checkStores(j *simJob) {
	if j.finalStatus == "" {
		return
	}
	want := wire.Done
	if j.finalStatus == protocol.JobCancelled {
		want = wire.Cancelled
	}
	storing := 0
	var latest wire.Item
	for _, m := range s.members {
		item, ok := m.disk[j.id]
		if ok && item.Record.Outcome == want {
			storing++
		}
		if ok && item.Committed && item.Record.Outcome != wire.Open && item.Record.Outcome != want {
			s.violation("member %d holds another end of %s as agreed on", m.index, j.id)
		}
		if ok && latest.Accepted.Less(item.Accepted) {
			latest = item
		}
	}
	if storing < len(s.members)/2+1 {
		s.violation("%s: its end is stored by %d of %d members", j.id, storing, len(s.members))
	}
	if latest.Record.Outcome != want {
		s.violation("%s: the latest record does not hold its end", j.id)
	}
}

var (
	twoSites   = []Member{{"gate", false}, {"quito", true}, {"xela", true}}
	threeSites = []Member{{"gate", false}, {"quito", true}, {"tikal", true}, {"xela", true}}
)

func reportViolations(t *testing.T, seed uint64, s *sim) {
	t.Helper()
	t.Errorf("seed %d: %v", seed, s.violations)
	if os.Getenv("SIM_TRACE") != "" {
		for _, l := range s.trace {
			t.Log(l)
		}
	}
}

// seedCount is how many seeds each setup plays; SIM_SEEDS asks for more.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIM_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 100
}

// TestAgreement plays hundreds of seeds of every trouble at once.
func TestAgreement(t *testing.T) {
	setups := map[string][]Member{
		"gateway and two sites":      twoSites,
		"two gateways and two sites": {{"gate-0", false}, {"gate-1", false}, {"quito", true}, {"xela", true}},
		"gateway and three sites":    threeSites,
	}
	for _, name := range slices.Sorted(keysOf(setups)) {
		for part := range 4 {
			t.Run(fmt.Sprintf("%s %d", name, part), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(part); seed < seedCount(); seed += 4 {
					if one := os.Getenv("SIM_SEED"); one != "" && one != fmt.Sprint(seed) {
						continue
					}
					if s := runSim(seed, Faults{}, setups[name]); len(s.violations) > 0 {
						reportViolations(t, seed, s)
						return
					}
				}
			})
		}
	}
}

func keysOf[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// TestCheckerFindsFaults shows that the checker catches what the protections
// prevent: each one switched off is found within the seeds.
func TestCheckerFindsFaults(t *testing.T) {
	for name, f := range map[string]Faults{"lease ignored": {IgnoreLease: true}, "epoch not compared": {IgnoreEpoch: true}, "answer overwritten": {OverwriteFinal: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if s := runSim(seed, f, threeSites); len(s.violations) > 0 {
					t.Logf("found with seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Error("not found in 200 seeds")
		})
	}
}

// TestSameSeedSameHistory guards the repeatability that failing seeds rely on.
func TestSameSeedSameHistory(t *testing.T) {
	a, b := runSim(3, Faults{}, twoSites), runSim(3, Faults{}, twoSites)
	if !slices.Equal(a.trace, b.trace) {
		t.Error("two runs of one seed differ")
	}
}

// TestGatewayEndsAtEveryStep loses a site, and ends the gateway at each step of the
// handoff that follows: before the step's effects, or after it has stored and before
// it has sent anything. The other site or the gateway's next start finishes it.
func TestGatewayEndsAtEveryStep(t *testing.T) {
	for _, outcome := range []int{1, 2} {
		t.Run(map[int]string{1: "before anything", 2: "after storing"}[outcome], func(t *testing.T) {
			t.Parallel()
			reached := 0
			for step := range 60 {
				s := newSim(uint64(step), Faults{}, twoSites)
				claiming, steps, stopped := false, 0, false
				s.beforeEffects = func(m *simMember, effects *Effects) int {
					if m.index != 0 || stopped || s.now < 10*time.Second {
						return 0
					}
					for _, id := range sortedKeys(m.core.rounds) {
						for _, change := range append(m.core.rounds[id].queued, m.core.rounds[id].applied...) {
							claiming = claiming || change.op.kind == opClaim
						}
					}
					if !claiming {
						return 0
					}
					if steps++; steps <= step {
						return 0
					}
					stopped = true
					m.running = false
					m.generation++
					s.schedule(30*time.Second, func() { m.start(twoSites) })
					if outcome == 2 {
						m.generation-- // what is handed to the store is written
						s.schedule(0, func() { m.generation++ })
					}
					return outcome
				}
				for i := range 3 {
					j := &simJob{id: fmt.Sprintf("job-%06d", i), runTime: 25 * time.Second}
					s.jobs = append(s.jobs, j)
					s.schedule(4*time.Second+time.Duration(i)*100*time.Millisecond, func() { s.runUser(j) })
				}
				// quito is lost with its controllers, and comes back with its claims.
				s.schedule(9*time.Second, func() {
					quito := s.members[1]
					quito.running = false
					quito.generation++
					s.schedule(70*time.Second, func() { quito.start(twoSites) })
				})
				s.run(300 * time.Second)
				for _, j := range s.jobs {
					if !j.accepted || j.finalStatus == "" {
						s.violation("%s: accepted %v, final answer %q", j.id, j.accepted, j.finalStatus)
					}
					s.checkStores(j)
				}
				if len(s.violations) > 0 {
					reportViolations(t, uint64(step), s)
					return
				}
				if stopped {
					reached++
				}
			}
			if reached < 20 {
				t.Errorf("the gateway ended in %d runs only", reached)
			}
			t.Logf("ended at %d steps", reached)
		})
	}
}
