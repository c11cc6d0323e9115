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

// ReportFunc carries a worker's report to a node. It returns the node's answer, or an
// error if none came.
type ReportFunc func(ctx context.Context, node string, r protocol.Report) (status int, o protocol.Orders, to string, err error)

// Fleet is the cloud and the workers on its machines. It watches over the
// rules that can be seen from the machines: Broken lists what was broken.
type Fleet struct {
	Types       []protocol.MachineType
	Workers     protocol.WorkerSettings
	Teams       map[string]protocol.Team
	MaxMachines int                 // machines to give
	Capacity    map[MachineKind]int // of each kind, if set; of one that is not in it there is none
	BootTime    time.Duration       // boot time
	Nodes       []string
	SendReport  ReportFunc
	// Slow, if set, delays what a request to the cloud does.
	CallDelay func() time.Duration
	// FetchTime is what an image takes; 0: fetchTime.
	FetchTime time.Duration
	// Takes, if set, is how long a task runs; else it is what its job estimates.
	RunTime func(job *protocol.JobSpec, task int) time.Duration
	// CancelConfirmedAfterStop says that users are told that a job is cancelled when nothing of it is left:
	// then nothing of it may be started after, however soon.
	CancelConfirmedAfterStop bool
	// IgnoreTokens leaves out that workers refuse lower tokens, for tests of tests.
	IgnoreTokens bool
	// Fails, if set, says whether a task that failed so often fails once more.
	TaskFails func(job *protocol.JobSpec, task, errors int) bool
	// Taken, if set, says whether the machine on which a task starts for the first time
	// is lost, and after which notice (0: without a word).
	LosesFirstMachine func(job *protocol.JobSpec, task int) (lost bool, notice time.Duration)
	// Address, if set, is where a new machine's worker will be, by its number; else it is
	// its name with port 9000. Listen, if set, is told of each such address.
	WorkerAddress func(number int) string
	StartListener func(addr string)
	// Log, if set, is told what runs: "start" when a task has its image, then "done"
	// or "end". It must not block.
	OnTaskEvent func(event, task, machine string, at time.Time)

	mu              sync.Mutex
	ctx             context.Context
	lastNumber      int
	machines        map[string]*Machine
	byAddress       map[string]*Machine // by address
	rentedByRequest map[string][]string
	jobs            map[string]*protocol.JobSpec
	cancelledAt     map[string]time.Time
	failsEverywhere map[string]bool
	errorCounts     map[string]int // by task
	everStarted     map[string]bool
	stalledJobs     map[string]bool      // jobs
	finishedTasks   map[string]int       // tasks that completed, by job
	completedTasks  map[string]bool      // those tasks
	completedAt     map[string]time.Time // when the last task of a job completed
	latestAttempt   map[string]uint64    // the latest attempt that was started, by task
	StartedTasks    int
	StoppedTasks    int // running tasks that were told to stop
	ExpiredTasks    int // tasks that ended with their worker's lease
	Violations      []string
	refusedStarts   int // direct commands with starts that were refused for their token
}

// MachineKind is a kind of machine that the cloud gives.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Machine is one rented machine with its worker.
type Machine struct {
	fleet          *Fleet
	info           protocol.ListedMachine
	number         int
	createdAt      time.Time
	booted         bool
	removed        bool
	interruptionAt time.Time // when it is taken; zero: no notice
	session        uint64
	seq            uint64
	token          uint64
	lastAnswered   time.Time // when the last answered report was sent
	tasks          map[string]*workerTask
	reportSoon     chan struct{}
	cancel         context.CancelFunc
}

type workerTask struct {
	job        *protocol.JobSpec
	number     int
	attempt    uint64
	state      string
	cause      string
	stateSince time.Time
	runTime    time.Duration
}

// NewFleet makes a fleet that lives until ctx ends.
func NewFleet(ctx context.Context) *Fleet {
	return &Fleet{ctx: ctx, machines: map[string]*Machine{}, byAddress: map[string]*Machine{}, rentedByRequest: map[string][]string{}, jobs: map[string]*protocol.JobSpec{}, cancelledAt: map[string]time.Time{}, failsEverywhere: map[string]bool{}, errorCounts: map[string]int{}, everStarted: map[string]bool{}, stalledJobs: map[string]bool{}, finishedTasks: map[string]int{}, completedTasks: map[string]bool{}, completedAt: map[string]time.Time{}, latestAttempt: map[string]uint64{}}
}

// AddJob tells the workers of a job, as users do.
func (f *Fleet) AddJob(s *protocol.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[s.ID] = s
}

// FailEverywhere makes a job fail on every machine.
func (f *Fleet) FailEverywhere(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failsEverywhere[id] = true
}

// SetStalled makes a job's tasks run on without getting anywhere, while their machines
// report.
func (f *Fleet) SetStalled(job string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalledJobs[job] = is
}

// RunsJob says whether a task of a job runs on a machine.
func (f *Fleet) RunsJob(machine, job string) bool {
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

// RunningTasks is how many tasks run.
func (f *Fleet) RunningTasks() int {
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

// InterruptedTasks are how many running tasks were told to stop, and how many ended with their
// worker's lease, so far.
func (f *Fleet) InterruptedTasks() (stopped, expired int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.StoppedTasks, f.ExpiredTasks
}

// SetMaxMachines changes how many machines there are to give.
func (f *Fleet) SetMaxMachines(machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.MaxMachines = machines
}

// StopFailing makes a job fail no more.
func (f *Fleet) StopFailing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failsEverywhere, id)
}

// ErrorCount is how often a task ended with an error.
func (f *Fleet) ErrorCount(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errorCounts[task]
}

// NoteCancelConfirmed tells the checker that a user was told that a job is cancelled.
func (f *Fleet) NoteCancelConfirmed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelledAt[id]; !ok {
		f.cancelledAt[id] = time.Now()
	}
}

// RemainingTasks is how many tasks of a job are on machines, in any state but exited.
func (f *Fleet) RemainingTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := 0
	for _, m := range f.machines {
		m.checkLease()
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

func (f *Fleet) delayCall() {
	if f.CallDelay != nil {
		time.Sleep(f.CallDelay())
	}
}

// Rent gives machines.
func (f *Fleet) Rent(_ context.Context, r protocol.RentRequest) ([]string, error) {
	f.delayCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, ok := f.rentedByRequest[r.RequestID]; ok {
		return names, nil
	}
	var names []string
	for range r.Count {
		k := MachineKind{r.Type, r.Zone, r.Spot}
		if len(f.machines) >= f.MaxMachines || f.Capacity != nil && f.countKind(k) >= f.Capacity[k] {
			break
		}
		names = append(names, f.addMachine(k, f.BootTime))
	}
	if len(names) == 0 {
		return nil, storage.ErrNoCapacity
	}
	f.rentedByRequest[r.RequestID] = names
	return names, nil
}

// addMachine begins a machine that boots for a while.
func (f *Fleet) addMachine(k MachineKind, boot time.Duration) string {
	f.lastNumber++
	name := fmt.Sprintf("host-%06d", f.lastNumber)
	ctx, stop := context.WithCancel(f.ctx)
	m := &Machine{fleet: f, number: f.lastNumber, createdAt: time.Now(), session: 1, tasks: map[string]*workerTask{}, reportSoon: make(chan struct{}, 1), cancel: stop,
		info: protocol.ListedMachine{ID: name, Addr: name + ":9000", Type: k.Type, Zone: k.Zone, Spot: k.Spot}}
	if f.WorkerAddress != nil {
		m.info.Addr = f.WorkerAddress(f.lastNumber)
	}
	f.machines[name] = m
	f.byAddress[m.info.Addr] = m
	if f.StartListener != nil {
		f.StartListener(m.info.Addr)
	}
	go m.runWorker(ctx, boot)
	return name
}

// countKind is how many machines of a kind there are.
func (f *Fleet) countKind(k MachineKind) int {
	c := 0
	for _, m := range f.machines {
		if m.info.Type == k.Type && m.info.Zone == k.Zone && m.info.Spot == k.Spot {
			c++
		}
	}
	return c
}

// AddRunningMachines adds machines that run already, which nobody here has rented.
func (f *Fleet) AddRunningMachines(k MachineKind, machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range machines {
		f.addMachine(k, time.Duration(f.lastNumber%40)*100*time.Millisecond) // their reports are not in step
	}
}

// Return takes machines back, with everything on them.
func (f *Fleet) Return(_ context.Context, names []string) error {
	f.delayCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.removeMachine(name)
	}
	return nil
}

// Kill takes a machine without a word.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeMachine(name)
}

// loseMachine takes a machine, though not while it has an error to tell: what the controllers
// know of errors must not depend on the moment.
func (f *Fleet) loseMachine(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range m.tasks {
		if p.state == protocol.TaskExited && p.cause == protocol.CauseError && !m.removed {
			time.AfterFunc(50*time.Millisecond, func() { f.loseMachine(m) })
			return
		}
	}
	f.removeMachine(m.info.ID)
}

func (f *Fleet) removeMachine(name string) {
	if m := f.machines[name]; m != nil {
		m.removed = true
		m.endAllTasks(time.Now())
		m.cancel()
		delete(f.machines, name)
		delete(f.byAddress, m.info.Addr)
	}
}

// MachineNames are the machines that there are.
func (f *Fleet) MachineNames() []string {
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
		l.State, l.AgeS = "booting", time.Since(m.createdAt).Seconds()
		if m.booted {
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
	m := f.byAddress[addr]
	if m == nil || !m.booted || m.removed {
		return nil, false, storage.ErrUnknown
	}
	m.checkLease()
	ok := (o.Token >= m.token || f.IgnoreTokens) && o.Session == m.session
	if ok {
		if o.Token > m.token {
			m.token = o.Token
			m.requestReport()
		}
		m.executeCommands(o.Commands)
	} else {
		m.countRefusedStarts(o)
	}
	r := m.buildReport()
	return &r, ok, nil
}

// Inspect asks a worker for its report.
func (f *Fleet) Inspect(_ context.Context, addr string) (*protocol.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.byAddress[addr]
	if m == nil || !m.booted || m.removed {
		return nil, storage.ErrUnknown
	}
	m.checkLease()
	r := m.buildReport()
	return &r, nil
}

func (f *Fleet) violation(format string, a ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, a...))
}

func (m *Machine) requestReport() {
	select {
	case m.reportSoon <- struct{}{}:
	default:
	}
}

// checkLease ends the session if the lease has run out.
func (m *Machine) checkLease() {
	if time.Since(m.lastAnswered).Seconds() > m.fleet.Workers.LeaseS {
		m.session++
		m.seq = 0
		for _, p := range m.tasks {
			if p.state != protocol.TaskExited {
				m.fleet.ExpiredTasks++
			}
		}
		// They ended with the lease, also if this machine stood still then.
		m.endAllTasks(m.lastAnswered.Add(time.Duration(m.fleet.Workers.LeaseS * float64(time.Second))))
		m.lastAnswered = time.Now()
	}
}

// endAllTasks ends all tasks.
func (m *Machine) endAllTasks(at time.Time) {
	for id, p := range m.tasks {
		m.logTaskEnd("end", id, p, at)
	}
	m.tasks = map[string]*workerTask{}
}

// logTaskEnd logs the end of a task that was on its machine.
func (m *Machine) logTaskEnd(event, id string, p *workerTask, at time.Time) {
	if m.fleet.OnTaskEvent != nil && (p.state == protocol.TaskRunning || p.state == protocol.TaskWaiting) {
		m.fleet.OnTaskEvent(event, id, m.info.ID, at)
	}
}

func (m *Machine) buildReport() protocol.Report {
	m.seq++
	r := protocol.Report{Machine: m.info.ID, Addr: m.info.Addr, Type: m.info.Type, Zone: m.info.Zone, Spot: m.info.Spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []protocol.TaskReport{}}
	if !m.interruptionAt.IsZero() {
		left := time.Until(m.interruptionAt).Seconds()
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

// defaultFetchTime is what an image takes here.
const defaultFetchTime = 2 * time.Second

func (f *Fleet) imageFetchTime() time.Duration {
	if f.FetchTime > 0 {
		return f.FetchTime
	}
	return defaultFetchTime
}

// runWorker boots the machine and reports until it is gone.
func (m *Machine) runWorker(ctx context.Context, boot time.Duration) {
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
	m.fleet.mu.Lock()
	m.booted, m.lastAnswered = true, time.Now()
	m.fleet.mu.Unlock()
	go m.runTasks(ctx)
	node := m.number % len(m.fleet.Nodes)
	for ctx.Err() == nil {
		m.fleet.mu.Lock()
		m.checkLease()
		r := m.buildReport()
		m.fleet.mu.Unlock()
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, 4*time.Second)
		status, o, to, err := m.fleet.SendReport(call, m.fleet.Nodes[node], r)
		late := call.Err() != nil
		cancel()
		switch {
		case err == nil && !late && status == 200:
			m.fleet.mu.Lock()
			if r.Session == m.session && (o.Token >= m.token || m.fleet.IgnoreTokens) && !m.removed {
				if o.Token > m.token {
					m.token = o.Token
					m.requestReport()
				}
				m.lastAnswered = sent
				m.executeCommands(o.Commands)
			}
			m.fleet.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(m.fleet.Workers.ReportS * float64(time.Second))):
			case <-m.reportSoon:
				sleep(500 * time.Millisecond)
			}
		case err == nil && !late && status == 421 && to != "":
			for i, name := range m.fleet.Nodes {
				if name == to {
					node = i
				}
			}
			sleep(200 * time.Millisecond)
		default:
			sleep(time.Second)
			node = (node + 1) % len(m.fleet.Nodes)
		}
	}
}

// runTasks moves the tasks along.
func (m *Machine) runTasks(ctx context.Context) {
	const step = 200 * time.Millisecond
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
		m.fleet.mu.Lock()
		if m.removed {
			m.fleet.mu.Unlock()
			return
		}
		m.checkLease()
		for id, p := range m.tasks {
			switch p.state {
			case protocol.TaskFetching:
				if time.Since(p.stateSince) >= m.fleet.imageFetchTime() {
					m.startTask(id, p)
				}
			case protocol.TaskWaiting:
				if m.fleet.gangComplete(p) {
					p.state, p.stateSince = protocol.TaskRunning, time.Now()
					m.requestReport()
				}
			case protocol.TaskRunning:
				if !m.fleet.stalledJobs[p.job.ID] {
					p.runTime += step
				}
				if at, ok := m.fleet.cancelledAt[p.job.ID]; ok && time.Since(at).Seconds() > m.fleet.Workers.CancelS {
					m.fleet.violation("ran_cancelled %s", id)
				}
				if p.job.Shape != protocol.Service && p.runTime >= m.fleet.taskRunTime(p) {
					m.logTaskEnd("done", id, p, time.Now())
					if !m.fleet.completedTasks[id] {
						m.fleet.completedTasks[id] = true
						m.fleet.finishedTasks[p.job.ID]++
						if m.fleet.finishedTasks[p.job.ID] == p.job.Tasks {
							m.fleet.completedAt[p.job.ID] = time.Now()
						}
					}
					p.state, p.cause = protocol.TaskExited, protocol.CauseDone
					m.requestReport()
				}
			}
		}
		m.fleet.mu.Unlock()
	}
}

// taskRunTime is how long a task runs. One that completed before exits as soon as it has its image.
func (f *Fleet) taskRunTime(p *workerTask) time.Duration {
	switch id := protocol.TaskID(p.job.ID, p.number); {
	case f.completedTasks[id]:
		return 0
	case f.RunTime != nil:
		return f.RunTime(p.job, p.number)
	}
	return time.Duration(p.job.EstimateS * float64(time.Second))
}

// FinishedTasks is how many tasks of a job have completed.
func (f *Fleet) FinishedTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finishedTasks[job]
}

// CompletedAt is when the last task of a job completed; zero: not all have.
func (f *Fleet) CompletedAt(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completedAt[job]
}

// AllRunningSince is when the last task of a job began to run; zero: not all of them run.
func (f *Fleet) AllRunningSince(job string) (since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		for _, p := range m.tasks {
			if p.job.ID != job || p.state != protocol.TaskRunning {
				continue
			}
			if count++; p.stateSince.After(since) {
				since = p.stateSince
			}
		}
	}
	if spec := f.jobs[job]; spec == nil || count < spec.Tasks {
		return time.Time{}
	}
	return since
}

// startTask is when a task counts as on its machine: the rules are checked.
func (m *Machine) startTask(id string, p *workerTask) {
	f := m.fleet
	f.StartedTasks++
	p.state, p.stateSince = protocol.TaskRunning, time.Now()
	if p.job.Shape == protocol.Gang {
		p.state = protocol.TaskWaiting
	}
	m.requestReport()
	if f.OnTaskEvent != nil {
		f.OnTaskEvent("start", id, m.info.ID, time.Now())
	}
	if first := !f.everStarted[id]; f.LosesFirstMachine != nil && first {
		f.everStarted[id] = true
		if lost, notice := f.LosesFirstMachine(p.job, p.number); lost {
			if m.interruptionAt.IsZero() {
				m.interruptionAt = time.Now().Add(notice)
			}
			time.AfterFunc(notice, func() { f.loseMachine(m) })
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
				f.violation("ran_twice %s on %s and %s", id, o.info.ID, m.info.ID)
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
		f.violation("quota %s uses %v", p.job.Team, used)
	}
	if t := f.Teams[p.job.Team]; t.CPUsMax > 0 && cpus > t.CPUsMax+1e-6 {
		f.violation("quota %s uses %v CPUs", p.job.Team, cpus)
	}
	if p.job.OneZone && len(zones) > 1 || p.job.Spread && zones[m.info.Zone] > (p.job.Tasks+1)/2 ||
		m.info.Spot && !p.job.Spot || p.job.Zone != "" && p.job.Zone != m.info.Zone {
		f.violation("wrong_place %s on %s", id, m.info.ID)
	}
	if at, ok := f.cancelledAt[p.job.ID]; ok && time.Since(at).Seconds() > f.Workers.CancelS {
		f.violation("ran_cancelled %s", id)
	}
	if f.failsEverywhere[p.job.ID] || f.TaskFails != nil && f.TaskFails(p.job, p.number, f.errorCounts[id]) {
		f.errorCounts[id]++
		m.logTaskEnd("error", id, p, time.Now())
		p.state, p.cause = protocol.TaskExited, protocol.CauseError
	}
}

// gangComplete says whether all tasks of p's attempt wait or run.
func (f *Fleet) gangComplete(p *workerTask) bool {
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

// hasCapacity says whether a machine has room for one more task of a job.
func (m *Machine) hasCapacity(job *protocol.JobSpec) bool {
	for _, t := range m.fleet.Types {
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

// executeCommands executes commands in order.
func (m *Machine) executeCommands(cmds []protocol.Command) {
	for _, c := range cmds {
		p := m.tasks[c.Task]
		switch c.Op {
		case protocol.OpStart:
			id, num, _ := protocol.ParseTaskID(c.Task)
			job := m.fleet.jobs[id]
			switch {
			case p != nil && p.attempt == c.Attempt || job == nil:
			case m.fleet.CancelConfirmedAfterStop && !m.fleet.cancelledAt[id].IsZero():
				m.fleet.violation("started_cancelled %s on %s", c.Task, m.info.ID)
			case c.Attempt < m.fleet.latestAttempt[c.Task]:
				// It was proven gone before the later attempt was decided.
				m.fleet.violation("started_older %s attempt %d on %s after attempt %d", c.Task, c.Attempt, m.info.ID, m.fleet.latestAttempt[c.Task])
			case p != nil && p.state != protocol.TaskExited:
				m.fleet.violation("in_use %s on %s", c.Task, m.info.ID)
			case !m.hasCapacity(job):
				m.tasks[c.Task] = &workerTask{job: job, number: num, attempt: c.Attempt, state: protocol.TaskExited, cause: protocol.CauseNoCapacity, stateSince: time.Now()}
				m.requestReport()
			default:
				m.fleet.latestAttempt[c.Task] = c.Attempt
				m.tasks[c.Task] = &workerTask{job: job, number: num, attempt: c.Attempt, state: protocol.TaskFetching, stateSince: time.Now()}
				m.requestReport()
			}
		case protocol.OpStop:
			if p != nil && p.attempt == c.Attempt && p.state != protocol.TaskExited {
				m.logTaskEnd("end", c.Task, p, time.Now())
				if p.state == protocol.TaskRunning {
					m.fleet.StoppedTasks++
				}
				p.state, p.cause = protocol.TaskExited, protocol.CauseStopped
				m.requestReport()
			}
		case protocol.OpForget:
			if p != nil && p.attempt == c.Attempt && p.state == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}
