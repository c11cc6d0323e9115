package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Link carries a worker's report to a node. It returns the node's answer, or an
// error if none came.
type Link func(ctx context.Context, node string, r protocol.Report) (status int, o protocol.Orders, to string, err error)

// Fleet is the cloud and the workers on its machines. It watches over the
// rules that can be seen from the machines: Broken lists what was broken.
type Fleet struct {
	Types   []protocol.MachineType
	Workers protocol.WorkerSettings
	Teams   map[string]protocol.Team
	Most    int           // machines to give
	Room    map[Kind]int  // of each kind, if set; of one that is not in it there is none
	Boot    time.Duration // boot time
	Nodes   []string
	Link    Link
	// Slow, if set, delays what a request to the cloud does.
	Slow func() time.Duration
	// Fetch is what an image takes; 0: fetchTime.
	Fetch time.Duration
	// Takes, if set, is how long a task runs; else it is what its job estimates.
	Takes func(job *protocol.JobSpec, task int) time.Duration
	// ToldLate says that users are told that a job is cancelled when nothing of it is left:
	// then nothing of it may be started after, however soon.
	ToldLate bool
	// IgnoreTokens leaves out that workers refuse lower tokens, for tests of tests.
	IgnoreTokens bool
	// Fails, if set, says whether a task that failed so often fails once more.
	Fails func(job *protocol.JobSpec, task, errors int) bool
	// Taken, if set, says whether the machine on which a task starts for the first time
	// is lost, and after which notice (0: without a word).
	Taken func(job *protocol.JobSpec, task int) (lost bool, notice time.Duration)
	// Address, if set, is where a new machine's worker will be, by its number; else it is
	// its name with port 9000. Listen, if set, is told of each such address.
	Address func(number int) string
	Listen  func(addr string)
	// Log, if set, is told what runs: "start" when a task has its image, then "done"
	// or "end". It must not block.
	Log func(event, task, machine string, at time.Time)

	mu        sync.Mutex
	ctx       context.Context
	last      int
	machines  map[string]*Machine
	at        map[string]*Machine // by address
	asked     map[string][]string
	jobs      map[string]*protocol.JobSpec
	cancelled map[string]time.Time
	mistaken  map[string]bool
	errors    map[string]int // by task
	began     map[string]bool
	stalled   map[string]bool      // jobs
	finished  map[string]int       // tasks that completed, by job
	complete  map[string]bool      // those tasks
	over      map[string]time.Time // when the last task of a job completed
	newest    map[string]uint64    // the latest attempt that was started, by task
	Started   int
	Stopped   int // running tasks that were told to stop
	Expired   int // tasks that ended with their worker's lease
	Broken    []string
	outdated  int // direct commands with starts that were refused for their token
}

// Kind is a kind of machine that the cloud gives.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Machine is one rented machine with its worker.
type Machine struct {
	f       *Fleet
	info    protocol.ListedMachine
	number  int
	born    time.Time
	up      bool
	gone    bool
	notice  time.Time // when it is taken; zero: no notice
	session uint64
	seq     uint64
	token   uint64
	answers time.Time // when the last answered report was sent
	tasks   map[string]*proc
	kick    chan struct{}
	stop    context.CancelFunc
}

type proc struct {
	job     *protocol.JobSpec
	num     int
	attempt uint64
	state   string
	cause   string
	since   time.Time
	ran     time.Duration
}

// NewFleet makes a fleet that lives until ctx ends.
func NewFleet(ctx context.Context) *Fleet {
	return &Fleet{ctx: ctx, machines: map[string]*Machine{}, at: map[string]*Machine{}, asked: map[string][]string{}, jobs: map[string]*protocol.JobSpec{}, cancelled: map[string]time.Time{}, mistaken: map[string]bool{}, errors: map[string]int{}, began: map[string]bool{}, stalled: map[string]bool{}, finished: map[string]int{}, complete: map[string]bool{}, over: map[string]time.Time{}, newest: map[string]uint64{}}
}

// Submitted tells the workers of a job, as users do.
func (f *Fleet) Submitted(s *protocol.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[s.ID] = s
}

// Mistaken makes a job fail on every machine.
func (f *Fleet) Mistaken(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mistaken[id] = true
}

// Stall makes a job's tasks run on without getting anywhere, while their machines
// report.
func (f *Fleet) Stall(job string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled[job] = is
}

// Runs says whether a task of a job runs on a machine.
func (f *Fleet) Runs(machine, job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[machine]; m != nil {
		for _, p := range m.tasks {
			if p.job.ID == job && p.state == protocol.TaskRunning {
				return true
			}
		}
	}
	return false
}

// Busy says whether anything runs on a machine.
func (f *Fleet) Busy(machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[machine]
	if m == nil {
		return false
	}
	for _, p := range m.tasks {
		if p.state == protocol.TaskRunning {
			return true
		}
	}
	return false
}

// Running is how many tasks run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := 0
	for _, m := range f.machines {
		for _, p := range m.tasks {
			if p.state == protocol.TaskRunning {
				c++
			}
		}
	}
	return c
}

// Ended are how many running tasks were told to stop, and how many ended with their
// worker's lease, so far.
func (f *Fleet) Ended() (stopped, expired int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Stopped, f.Expired
}

// Limit changes how many machines there are to give.
func (f *Fleet) Limit(machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Most = machines
}

// Fixed makes a job fail no more.
func (f *Fleet) Fixed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.mistaken, id)
}

// Errors is how often a task ended with an error.
func (f *Fleet) Errors(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errors[task]
}

// Cancelled tells the checker that a user was told that a job is cancelled.
func (f *Fleet) Cancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelled[id]; !ok {
		f.cancelled[id] = time.Now()
	}
}

// Left is how many tasks of a job are on machines, in any state but exited.
func (f *Fleet) Left(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := 0
	for _, m := range f.machines {
		m.expire()
		for _, p := range m.tasks {
			if p.job.ID == job && p.state != protocol.TaskExited {
				c++
			}
		}
	}
	return c
}

// Catalog lists the machine types.
func (f *Fleet) Catalog(context.Context) ([]protocol.MachineType, error) { return f.Types, nil }

func (f *Fleet) wait() {
	if f.Slow != nil {
		time.Sleep(f.Slow())
	}
}

// Rent gives machines.
func (f *Fleet) Rent(_ context.Context, r protocol.RentRequest) ([]string, error) {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, ok := f.asked[r.RequestID]; ok {
		return names, nil
	}
	var names []string
	for range r.Count {
		k := Kind{r.Type, r.Zone, r.Spot}
		if len(f.machines) >= f.Most || f.Room != nil && f.count(k) >= f.Room[k] {
			break
		}
		names = append(names, f.add(k, f.Boot))
	}
	if len(names) == 0 {
		return nil, storage.ErrNoCapacity
	}
	f.asked[r.RequestID] = names
	return names, nil
}

// add begins a machine that boots for a while.
func (f *Fleet) add(k Kind, boot time.Duration) string {
	f.last++
	name := fmt.Sprintf("host-%06d", f.last)
	ctx, stop := context.WithCancel(f.ctx)
	m := &Machine{f: f, number: f.last, born: time.Now(), session: 1, tasks: map[string]*proc{}, kick: make(chan struct{}, 1), stop: stop,
		info: protocol.ListedMachine{ID: name, Addr: name + ":9000", Type: k.Type, Zone: k.Zone, Spot: k.Spot}}
	if f.Address != nil {
		m.info.Addr = f.Address(f.last)
	}
	f.machines[name] = m
	f.at[m.info.Addr] = m
	if f.Listen != nil {
		f.Listen(m.info.Addr)
	}
	go m.run(ctx, boot)
	return name
}

// count is how many machines of a kind there are.
func (f *Fleet) count(k Kind) int {
	c := 0
	for _, m := range f.machines {
		if m.info.Type == k.Type && m.info.Zone == k.Zone && m.info.Spot == k.Spot {
			c++
		}
	}
	return c
}

// Found adds machines that run already, which nobody here has rented.
func (f *Fleet) Found(k Kind, machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range machines {
		f.add(k, time.Duration(f.last%40)*100*time.Millisecond) // their reports are not in step
	}
}

// Return takes machines back, with everything on them.
func (f *Fleet) Return(_ context.Context, names []string) error {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.kill(name)
	}
	return nil
}

// Kill takes a machine without a word.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill(name)
}

// take takes a machine, though not while it has an error to tell: what the controllers
// know of errors must not depend on the moment.
func (f *Fleet) take(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range m.tasks {
		if p.state == protocol.TaskExited && p.cause == protocol.CauseError && !m.gone {
			time.AfterFunc(50*time.Millisecond, func() { f.take(m) })
			return
		}
	}
	f.kill(m.info.ID)
}

func (f *Fleet) kill(name string) {
	if m := f.machines[name]; m != nil {
		m.gone = true
		m.forget(time.Now())
		m.stop()
		delete(f.machines, name)
		delete(f.at, m.info.Addr)
	}
}

// Names are the machines that there are.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.machines {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// List lists the machines.
func (f *Fleet) List(context.Context) ([]protocol.ListedMachine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []protocol.ListedMachine
	for _, m := range f.machines {
		l := m.info
		l.State, l.AgeS = "booting", time.Since(m.born).Seconds()
		if m.up {
			l.State = "running"
		}
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// Command is a direct call to a worker.
func (f *Fleet) Command(_ context.Context, addr string, o protocol.Orders) (*protocol.Report, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.at[addr]
	if m == nil || !m.up || m.gone {
		return nil, false, storage.ErrUnknown
	}
	m.expire()
	ok := (o.Token >= m.token || f.IgnoreTokens) && o.Session == m.session
	if ok {
		if o.Token > m.token {
			m.token = o.Token
			m.changed()
		}
		m.obey(o.Commands)
	} else {
		m.refuse(o)
	}
	r := m.report()
	return &r, ok, nil
}

// Inspect asks a worker for its report.
func (f *Fleet) Inspect(_ context.Context, addr string) (*protocol.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.at[addr]
	if m == nil || !m.up || m.gone {
		return nil, storage.ErrUnknown
	}
	m.expire()
	r := m.report()
	return &r, nil
}

func (f *Fleet) broken(format string, a ...any) {
	f.Broken = append(f.Broken, fmt.Sprintf(format, a...))
}

func (m *Machine) changed() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// expire ends the session if the lease has run out.
func (m *Machine) expire() {
	if time.Since(m.answers).Seconds() > m.f.Workers.LeaseS {
		m.session++
		m.seq = 0
		for _, p := range m.tasks {
			if p.state != protocol.TaskExited {
				m.f.Expired++
			}
		}
		// They ended with the lease, also if this machine stood still then.
		m.forget(m.answers.Add(time.Duration(m.f.Workers.LeaseS * float64(time.Second))))
		m.answers = time.Now()
	}
}

// forget ends all tasks.
func (m *Machine) forget(at time.Time) {
	for id, p := range m.tasks {
		m.ended("end", id, p, at)
	}
	m.tasks = map[string]*proc{}
}

// ended logs the end of a task that was on its machine.
func (m *Machine) ended(event, id string, p *proc, at time.Time) {
	if m.f.Log != nil && (p.state == protocol.TaskRunning || p.state == protocol.TaskWaiting) {
		m.f.Log(event, id, m.info.ID, at)
	}
}

func (m *Machine) report() protocol.Report {
	m.seq++
	r := protocol.Report{Machine: m.info.ID, Addr: m.info.Addr, Type: m.info.Type, Zone: m.info.Zone, Spot: m.info.Spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []protocol.TaskReport{}}
	if !m.notice.IsZero() {
		left := time.Until(m.notice).Seconds()
		r.NoticeS = &left
	}
	var ids []string
	for id := range m.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		p := m.tasks[id]
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: id, Attempt: p.attempt, State: p.state, Cause: p.cause, Saved: p.cause == protocol.CauseStopped})
	}
	return r
}

// fetchTime is what an image takes here.
const fetchTime = 2 * time.Second

func (f *Fleet) fetch() time.Duration {
	if f.Fetch > 0 {
		return f.Fetch
	}
	return fetchTime
}

// run boots the machine and reports until it is gone.
func (m *Machine) run(ctx context.Context, boot time.Duration) {
	sleep := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !sleep(boot) {
		return
	}
	m.f.mu.Lock()
	m.up, m.answers = true, time.Now()
	m.f.mu.Unlock()
	go m.work(ctx)
	node := m.number % len(m.f.Nodes)
	for ctx.Err() == nil {
		m.f.mu.Lock()
		m.expire()
		r := m.report()
		m.f.mu.Unlock()
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, 4*time.Second)
		status, o, to, err := m.f.Link(call, m.f.Nodes[node], r)
		late := call.Err() != nil
		cancel()
		switch {
		case err == nil && !late && status == 200:
			m.f.mu.Lock()
			if r.Session == m.session && (o.Token >= m.token || m.f.IgnoreTokens) && !m.gone {
				if o.Token > m.token {
					m.token = o.Token
					m.changed()
				}
				m.answers = sent
				m.obey(o.Commands)
			}
			m.f.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(m.f.Workers.ReportS * float64(time.Second))):
			case <-m.kick:
				sleep(500 * time.Millisecond)
			}
		case err == nil && !late && status == 421 && to != "":
			for i, name := range m.f.Nodes {
				if name == to {
					node = i
				}
			}
			sleep(200 * time.Millisecond)
		default:
			sleep(time.Second)
			node = (node + 1) % len(m.f.Nodes)
		}
	}
}

// work moves the tasks along.
func (m *Machine) work(ctx context.Context) {
	const step = 200 * time.Millisecond
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
		m.f.mu.Lock()
		if m.gone {
			m.f.mu.Unlock()
			return
		}
		m.expire()
		for id, p := range m.tasks {
			switch p.state {
			case protocol.TaskFetching:
				if time.Since(p.since) >= m.f.fetch() {
					m.begin(id, p)
				}
			case protocol.TaskWaiting:
				if m.f.gangComplete(p) {
					p.state, p.since = protocol.TaskRunning, time.Now()
					m.changed()
				}
			case protocol.TaskRunning:
				if !m.f.stalled[p.job.ID] {
					p.ran += step
				}
				if at, ok := m.f.cancelled[p.job.ID]; ok && time.Since(at).Seconds() > m.f.Workers.CancelS {
					m.f.broken("ran_cancelled %s", id)
				}
				if p.job.Shape != protocol.Service && p.ran >= m.f.takes(p) {
					m.ended("done", id, p, time.Now())
					if !m.f.complete[id] {
						m.f.complete[id] = true
						m.f.finished[p.job.ID]++
						if m.f.finished[p.job.ID] == p.job.Tasks {
							m.f.over[p.job.ID] = time.Now()
						}
					}
					p.state, p.cause = protocol.TaskExited, protocol.CauseDone
					m.changed()
				}
			}
		}
		m.f.mu.Unlock()
	}
}

// takes is how long a task runs. One that completed before exits as soon as it has its image.
func (f *Fleet) takes(p *proc) time.Duration {
	switch id := protocol.TaskID(p.job.ID, p.num); {
	case f.complete[id]:
		return 0
	case f.Takes != nil:
		return f.Takes(p.job, p.num)
	}
	return time.Duration(p.job.EstimateS * float64(time.Second))
}

// Finished is how many tasks of a job have completed.
func (f *Fleet) Finished(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished[job]
}

// CompletedAt is when the last task of a job completed; zero: not all have.
func (f *Fleet) CompletedAt(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over[job]
}

// AllRunSince is when the last task of a job began to run; zero: not all of them run.
func (f *Fleet) AllRunSince(job string) (since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		for _, p := range m.tasks {
			if p.job.ID != job || p.state != protocol.TaskRunning {
				continue
			}
			if count++; p.since.After(since) {
				since = p.since
			}
		}
	}
	if spec := f.jobs[job]; spec == nil || count < spec.Tasks {
		return time.Time{}
	}
	return since
}

// begin is when a task counts as on its machine: the rules are checked.
func (m *Machine) begin(id string, p *proc) {
	f := m.f
	f.Started++
	p.state, p.since = protocol.TaskRunning, time.Now()
	if p.job.Shape == protocol.Gang {
		p.state = protocol.TaskWaiting
	}
	m.changed()
	if f.Log != nil {
		f.Log("start", id, m.info.ID, time.Now())
	}
	if first := !f.began[id]; f.Taken != nil && first {
		f.began[id] = true
		if lost, notice := f.Taken(p.job, p.num); lost {
			if m.notice.IsZero() {
				m.notice = time.Now().Add(notice)
			}
			time.AfterFunc(notice, func() { f.take(m) })
		}
	}
	zones := map[string]int{m.info.Zone: 1}
	used, cpus := p.job.GPUs, p.job.CPUs
	for _, o := range f.machines {
		for oid, q := range o.tasks {
			if q == p || q.state == protocol.TaskExited || q.state == protocol.TaskFetching {
				continue
			}
			if oid == id {
				f.broken("ran_twice %s on %s and %s", id, o.info.ID, m.info.ID)
			}
			if q.job.ID == p.job.ID {
				zones[o.info.Zone]++
			}
			if q.job.Team == p.job.Team {
				used += q.job.GPUs
				cpus += q.job.CPUs
			}
		}
	}
	if t := f.Teams[p.job.Team]; t.GPUsMax > 0 && used > t.GPUsMax+1e-6 {
		f.broken("quota %s uses %v", p.job.Team, used)
	}
	if t := f.Teams[p.job.Team]; t.CPUsMax > 0 && cpus > t.CPUsMax+1e-6 {
		f.broken("quota %s uses %v CPUs", p.job.Team, cpus)
	}
	if p.job.OneZone && len(zones) > 1 || p.job.Spread && zones[m.info.Zone] > (p.job.Tasks+1)/2 ||
		m.info.Spot && !p.job.Spot || p.job.Zone != "" && p.job.Zone != m.info.Zone {
		f.broken("wrong_place %s on %s", id, m.info.ID)
	}
	if at, ok := f.cancelled[p.job.ID]; ok && time.Since(at).Seconds() > f.Workers.CancelS {
		f.broken("ran_cancelled %s", id)
	}
	if f.mistaken[p.job.ID] || f.Fails != nil && f.Fails(p.job, p.num, f.errors[id]) {
		f.errors[id]++
		m.ended("error", id, p, time.Now())
		p.state, p.cause = protocol.TaskExited, protocol.CauseError
	}
}

// gangComplete says whether all tasks of p's attempt wait or run.
func (f *Fleet) gangComplete(p *proc) bool {
	n := 0
	for _, m := range f.machines {
		for _, q := range m.tasks {
			if q.job.ID == p.job.ID && q.attempt == p.attempt && (q.state == protocol.TaskWaiting || q.state == protocol.TaskRunning) {
				n++
			}
		}
	}
	return n == p.job.Tasks
}

// fits says whether a machine has room for one more task of a job.
func (m *Machine) fits(job *protocol.JobSpec) bool {
	for _, t := range m.f.Types {
		if t.Name != m.info.Type {
			continue
		}
		cpus, gpus, memory := t.CPUs-job.CPUs, t.GPUs-job.GPUs, t.MemoryGB-job.MemoryGB
		for _, p := range m.tasks {
			if p.state != protocol.TaskExited {
				cpus, gpus, memory = cpus-p.job.CPUs, gpus-p.job.GPUs, memory-p.job.MemoryGB
			}
		}
		return min(cpus, gpus, memory) > -1e-6
	}
	return true
}

// obey executes commands in order.
func (m *Machine) obey(cmds []protocol.Command) {
	for _, c := range cmds {
		p := m.tasks[c.Task]
		switch c.Op {
		case protocol.OpStart:
			id, num, _ := protocol.ParseTaskID(c.Task)
			job := m.f.jobs[id]
			switch {
			case p != nil && p.attempt == c.Attempt || job == nil:
			case m.f.ToldLate && !m.f.cancelled[id].IsZero():
				m.f.broken("started_cancelled %s on %s", c.Task, m.info.ID)
			case c.Attempt < m.f.newest[c.Task]:
				// It was proven gone before the later attempt was decided.
				m.f.broken("started_older %s attempt %d on %s after attempt %d", c.Task, c.Attempt, m.info.ID, m.f.newest[c.Task])
			case p != nil && p.state != protocol.TaskExited:
				m.f.broken("in_use %s on %s", c.Task, m.info.ID)
			case !m.fits(job):
				m.tasks[c.Task] = &proc{job: job, num: num, attempt: c.Attempt, state: protocol.TaskExited, cause: protocol.CauseNoCapacity, since: time.Now()}
				m.changed()
			default:
				m.f.newest[c.Task] = c.Attempt
				m.tasks[c.Task] = &proc{job: job, num: num, attempt: c.Attempt, state: protocol.TaskFetching, since: time.Now()}
				m.changed()
			}
		case protocol.OpStop:
			if p != nil && p.attempt == c.Attempt && p.state != protocol.TaskExited {
				m.ended("end", c.Task, p, time.Now())
				if p.state == protocol.TaskRunning {
					m.f.Stopped++
				}
				p.state, p.cause = protocol.TaskExited, protocol.CauseStopped
				m.changed()
			}
		case protocol.OpForget:
			if p != nil && p.attempt == c.Attempt && p.state == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}
