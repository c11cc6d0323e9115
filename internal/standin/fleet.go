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

// ReportFunc sends a worker's report to a controller. It returns the status and the orders
// of the answer, and in redirectTo the controller that the worker is redirected to, if any.
// It returns an error if no answer arrived.
type ReportFunc func(ctx context.Context, node string, r protocol.Report) (status int, orders protocol.Orders, redirectTo string, err error)

// Fleet simulates the cloud and the workers on its machines. It checks the scheduling
// rules that can be observed on the machines, and lists what breaks them in Violations.
type Fleet struct {
	Types       []protocol.MachineType
	Workers     protocol.WorkerSettings
	Teams       map[string]protocol.Team
	MaxMachines int                 // most machines at a time
	Capacity    map[MachineKind]int // most machines of each kind; nil: no limit by kind. A kind that is missing has no capacity
	BootTime    time.Duration       // of a rented machine
	Nodes       []string            // names of the controllers
	SendReport  ReportFunc
	// CallDelay, if set, returns by how long a rent or return request is delayed before it
	// takes effect.
	CallDelay func() time.Duration
	// FetchTime is how long fetching an image takes; 0: defaultFetchTime.
	FetchTime time.Duration
	// RunTime, if set, returns how long a task runs; otherwise a task runs for its job's
	// estimate.
	RunTime func(job *protocol.JobSpec, task int) time.Duration
	// CancelConfirmedAfterStop states that a cancellation is confirmed to the user only when
	// no task of the job remains on any machine. Any start after the confirmation is then a
	// violation; otherwise tasks may run for CancelS more.
	CancelConfirmedAfterStop bool
	// IgnoreTokens makes workers accept fencing tokens lower than the highest they have seen.
	// It injects a defect that a test must detect.
	IgnoreTokens bool
	// TaskFails, if set, reports whether a task that has failed errors times fails again.
	TaskFails func(job *protocol.JobSpec, task, errors int) bool
	// LosesFirstMachine, if set, reports whether the machine on which a task starts for the
	// first time is lost, and after which notice (0: without notice).
	LosesFirstMachine func(job *protocol.JobSpec, task int) (lost bool, notice time.Duration)
	// WorkerAddress, if set, returns the address of the worker of a new machine, given the
	// machine's number; otherwise the address is the machine's name with port 9000.
	// StartListener, if set, is called with each worker's address.
	WorkerAddress func(number int) string
	StartListener func(addr string)
	// OnTaskEvent, if set, is called when a task's state on its machine changes: with "start"
	// when the image is fetched, then with "done", "error" or "end" (stopped, or lost with
	// its machine or its worker's lease). It must not block.
	OnTaskEvent func(event, task, machine string, at time.Time)

	mu               sync.Mutex
	ctx              context.Context
	lastNumber       int // of the machine added last
	machines         map[string]*Machine
	byAddress        map[string]*Machine
	rentedByRequest  map[string][]string // machine names by request ID: a repeated request rents nothing more
	jobs             map[string]*protocol.JobSpec
	cancelledAt      map[string]time.Time // when the user got the confirmation, by job
	failsEverywhere  map[string]bool      // jobs
	errorCounts      map[string]int       // by task
	everStarted      map[string]bool      // by task; kept only if LosesFirstMachine is set
	stalledJobs      map[string]bool
	finishedTasks    map[string]int // number of completed tasks, by job
	completedTasks   map[string]bool
	completedAt      map[string]time.Time // when the last task completed, by job
	latestAttempt    map[string]uint64    // the highest attempt that was started, by task
	StartedTasks     int                  // starts after a fetched image
	StoppedTasks     int                  // running tasks that a controller stopped
	ExpiredTasks     int                  // tasks that ended because their worker's lease expired
	Violations       []string
	copiesWithEffect int // starts of which a copy changed something
	refusedStarts    int // direct commands with starts that were refused because of their token
}

// MachineKind is a kind of machine that the cloud offers.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Machine is one machine with its worker.
type Machine struct {
	fleet          *Fleet
	info           protocol.ListedMachine
	number         int
	createdAt      time.Time
	booted         bool
	removed        bool
	interruptionAt time.Time // when the cloud takes the machine back; zero: no notice
	session        uint64    // of the worker; a new one begins when the lease expires
	seq            uint64    // number of the last report in the session
	token          uint64    // highest fencing token seen
	lastAnswered   time.Time // when the last answered report was sent; the worker's lease counts from then
	tasks          map[string]*workerTask
	reportSoon     chan struct{} // asks for a report before the interval is over
	cancel         context.CancelFunc
}

// workerTask is a task in a worker's list.
type workerTask struct {
	job        *protocol.JobSpec
	number     int
	attempt    uint64
	state      string
	cause      string
	stateSince time.Time
	runTime    time.Duration // progress made while running; a stalled task makes none
}

// NewFleet returns a fleet whose machines run until ctx ends.
func NewFleet(ctx context.Context) *Fleet {
	return &Fleet{ctx: ctx, machines: map[string]*Machine{}, byAddress: map[string]*Machine{}, rentedByRequest: map[string][]string{}, jobs: map[string]*protocol.JobSpec{}, cancelledAt: map[string]time.Time{}, failsEverywhere: map[string]bool{}, errorCounts: map[string]int{}, everStarted: map[string]bool{}, stalledJobs: map[string]bool{}, finishedTasks: map[string]int{}, completedTasks: map[string]bool{}, completedAt: map[string]time.Time{}, latestAttempt: map[string]uint64{}}
}

// AddJob gives the workers the description of a job, as users do for real workers. A start
// of an unknown job is ignored.
func (f *Fleet) AddJob(job *protocol.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = job
}

// FailEverywhere makes a job fail on every machine.
func (f *Fleet) FailEverywhere(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failsEverywhere[id] = true
}

// SetStalled sets whether a job's tasks run on without making progress. Their machines
// still report.
func (f *Fleet) SetStalled(job string, stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalledJobs[job] = stalled
}

// RunsJob reports whether a task of a job runs on a machine.
func (f *Fleet) RunsJob(machine, job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[machine]; m != nil {
		for _, task := range m.tasks {
			if task.job.ID == job && task.state == protocol.TaskRunning {
				return true
			}
		}
	}
	return false
}

// Busy reports whether any task runs on a machine.
func (f *Fleet) Busy(machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[machine]
	if m == nil {
		return false
	}
	for _, task := range m.tasks {
		if task.state == protocol.TaskRunning {
			return true
		}
	}
	return false
}

// RunningTasks returns how many tasks run.
func (f *Fleet) RunningTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		for _, task := range m.tasks {
			if task.state == protocol.TaskRunning {
				count++
			}
		}
	}
	return count
}

// InterruptedTasks returns how many running tasks were stopped by a controller so far, and
// how many tasks ended because their worker's lease expired.
func (f *Fleet) InterruptedTasks() (stopped, expired int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.StoppedTasks, f.ExpiredTasks
}

// SetMaxMachines changes how many machines there may be at a time.
func (f *Fleet) SetMaxMachines(machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.MaxMachines = machines
}

// StopFailing ends the effect of FailEverywhere on a job.
func (f *Fleet) StopFailing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failsEverywhere, id)
}

// ErrorCount returns how often a task ended with an error.
func (f *Fleet) ErrorCount(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errorCounts[task]
}

// NoteCancelConfirmed records, for the rule checks, that the cancellation of a job was
// confirmed to its user. Only the first confirmation counts.
func (f *Fleet) NoteCancelConfirmed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelledAt[id]; !ok {
		f.cancelledAt[id] = time.Now()
	}
}

// RemainingTasks returns how many tasks of a job are on machines in any state but exited.
func (f *Fleet) RemainingTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		m.checkLease()
		for _, task := range m.tasks {
			if task.job.ID == job && task.state != protocol.TaskExited {
				count++
			}
		}
	}
	return count
}

// Catalog returns the machine types.
func (f *Fleet) Catalog(context.Context) ([]protocol.MachineType, error) { return f.Types, nil }

func (f *Fleet) delayCall() {
	if f.CallDelay != nil {
		time.Sleep(f.CallDelay())
	}
}

// Rent starts up to the requested number of machines and returns their names. A repeated
// request ID gets the names of the first request.
func (f *Fleet) Rent(_ context.Context, r protocol.RentRequest) ([]string, error) {
	f.delayCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, ok := f.rentedByRequest[r.RequestID]; ok {
		return names, nil
	}
	var names []string
	for range r.Count {
		kind := MachineKind{r.Type, r.Zone, r.Spot}
		if len(f.machines) >= f.MaxMachines || f.Capacity != nil && f.countKind(kind) >= f.Capacity[kind] {
			break
		}
		names = append(names, f.addMachine(kind, f.BootTime))
	}
	if len(names) == 0 {
		return nil, storage.ErrNoCapacity
	}
	f.rentedByRequest[r.RequestID] = names
	return names, nil
}

// addMachine starts a machine that takes bootTime to boot. Callers hold mu.
func (f *Fleet) addMachine(kind MachineKind, bootTime time.Duration) string {
	f.lastNumber++
	name := fmt.Sprintf("host-%06d", f.lastNumber)
	ctx, cancel := context.WithCancel(f.ctx)
	m := &Machine{fleet: f, number: f.lastNumber, createdAt: time.Now(), session: 1, tasks: map[string]*workerTask{}, reportSoon: make(chan struct{}, 1), cancel: cancel,
		info: protocol.ListedMachine{ID: name, Addr: name + ":9000", Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}}
	if f.WorkerAddress != nil {
		m.info.Addr = f.WorkerAddress(f.lastNumber)
	}
	f.machines[name] = m
	f.byAddress[m.info.Addr] = m
	if f.StartListener != nil {
		f.StartListener(m.info.Addr)
	}
	go m.runWorker(ctx, bootTime)
	return name
}

// countKind returns how many machines of a kind there are.
func (f *Fleet) countKind(kind MachineKind) int {
	count := 0
	for _, m := range f.machines {
		if m.info.Type == kind.Type && m.info.Zone == kind.Zone && m.info.Spot == kind.Spot {
			count++
		}
	}
	return count
}

// AddRunningMachines adds machines that no controller has rented.
func (f *Fleet) AddRunningMachines(kind MachineKind, machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range machines {
		f.addMachine(kind, time.Duration(f.lastNumber%40)*100*time.Millisecond) // boot times differ, so that the machines do not all report at once
	}
}

// Return removes machines with all tasks on them.
func (f *Fleet) Return(_ context.Context, names []string) error {
	f.delayCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.removeMachine(name)
	}
	return nil
}

// Kill removes a machine without notice.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeMachine(name)
}

// loseMachine removes a machine, but not before a controller has taken note of each task
// error on it: how many errors the controllers count must not depend on timing.
func (f *Fleet) loseMachine(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, task := range m.tasks {
		if task.state == protocol.TaskExited && task.cause == protocol.CauseError && !m.removed {
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

// MachineNames returns the names of all machines in order.
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

// List returns the machines as the cloud's API lists them.
func (f *Fleet) List(context.Context) ([]protocol.ListedMachine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []protocol.ListedMachine
	for _, m := range f.machines {
		listed := m.info
		listed.State, listed.AgeS = "booting", time.Since(m.createdAt).Seconds()
		if m.booted {
			listed.State = "running"
		}
		out = append(out, listed)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// Command sends orders directly to a worker. It returns the worker's report and whether the
// worker accepted the orders' token and session.
func (f *Fleet) Command(_ context.Context, addr string, orders protocol.Orders) (*protocol.Report, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.byAddress[addr]
	if m == nil || !m.booted || m.removed {
		return nil, false, storage.ErrUnknown
	}
	m.checkLease()
	ok := (orders.Token >= m.token || f.IgnoreTokens) && orders.Session == m.session
	if ok {
		if orders.Token > m.token {
			m.token = orders.Token
			m.requestReport()
		}
		m.executeCommands(orders.Commands)
	} else {
		m.countRefusedStarts(orders)
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

// violation records a broken scheduling rule. Callers hold mu.
func (f *Fleet) violation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// requestReport makes the worker report before its interval is over.
func (m *Machine) requestReport() {
	select {
	case m.reportSoon <- struct{}{}:
	default:
	}
}

// checkLease ends all tasks and begins a new session if the worker's lease has expired.
func (m *Machine) checkLease() {
	if time.Since(m.lastAnswered).Seconds() > m.fleet.Workers.LeaseS {
		m.session++
		m.seq = 0
		for _, task := range m.tasks {
			if task.state != protocol.TaskExited {
				m.fleet.ExpiredTasks++
			}
		}
		// The tasks ended when the lease expired, even if this is noticed later because the
		// machine was suspended.
		m.endAllTasks(m.lastAnswered.Add(time.Duration(m.fleet.Workers.LeaseS * float64(time.Second))))
		m.lastAnswered = time.Now()
	}
}

// endAllTasks removes all tasks from the worker's list.
func (m *Machine) endAllTasks(endedAt time.Time) {
	for id, task := range m.tasks {
		m.logTaskEnd("end", id, task, endedAt)
	}
	m.tasks = map[string]*workerTask{}
}

// logTaskEnd passes the end of a task that has started to OnTaskEvent.
func (m *Machine) logTaskEnd(event, id string, task *workerTask, at time.Time) {
	if m.fleet.OnTaskEvent != nil && (task.state == protocol.TaskRunning || task.state == protocol.TaskWaiting) {
		m.fleet.OnTaskEvent(event, id, m.info.ID, at)
	}
}

func (m *Machine) buildReport() protocol.Report {
	m.seq++
	r := protocol.Report{Machine: m.info.ID, Addr: m.info.Addr, Type: m.info.Type, Zone: m.info.Zone, Spot: m.info.Spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []protocol.TaskReport{}}
	if !m.interruptionAt.IsZero() {
		remaining := time.Until(m.interruptionAt).Seconds()
		r.NoticeS = &remaining
	}
	var ids []string
	for id := range m.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		task := m.tasks[id]
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: id, Attempt: task.attempt, State: task.state, Cause: task.cause, Saved: task.cause == protocol.CauseStopped})
	}
	return r
}

// defaultFetchTime is how long fetching an image takes unless Fleet.FetchTime is set.
const defaultFetchTime = 2 * time.Second

func (f *Fleet) imageFetchTime() time.Duration {
	if f.FetchTime > 0 {
		return f.FetchTime
	}
	return defaultFetchTime
}

// runWorker boots the machine, then sends reports until the machine is removed.
func (m *Machine) runWorker(ctx context.Context, bootTime time.Duration) {
	sleep := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !sleep(bootTime) {
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
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		status, orders, redirectTo, err := m.fleet.SendReport(callCtx, m.fleet.Nodes[node], r)
		timedOut := callCtx.Err() != nil
		cancel()
		switch {
		case err == nil && !timedOut && status == 200:
			m.fleet.mu.Lock()
			if r.Session == m.session && (orders.Token >= m.token || m.fleet.IgnoreTokens) && !m.removed {
				if orders.Token > m.token {
					m.token = orders.Token
					m.requestReport()
				}
				m.lastAnswered = sent
				m.executeCommands(orders.Commands)
			}
			m.fleet.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(m.fleet.Workers.ReportS * float64(time.Second))):
			case <-m.reportSoon:
				sleep(500 * time.Millisecond)
			}
		case err == nil && !timedOut && status == 421 && redirectTo != "":
			for i, name := range m.fleet.Nodes {
				if name == redirectTo {
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

// runTasks advances the tasks through their states in fixed steps.
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
		for id, task := range m.tasks {
			switch task.state {
			case protocol.TaskFetching:
				if time.Since(task.stateSince) >= m.fleet.imageFetchTime() {
					m.startTask(id, task)
				}
			case protocol.TaskWaiting:
				if m.fleet.gangComplete(task) {
					task.state, task.stateSince = protocol.TaskRunning, time.Now()
					m.requestReport()
				}
			case protocol.TaskRunning:
				if !m.fleet.stalledJobs[task.job.ID] {
					task.runTime += step
				}
				if at, ok := m.fleet.cancelledAt[task.job.ID]; ok && time.Since(at).Seconds() > m.fleet.Workers.CancelS {
					m.fleet.violation("ran_cancelled %s", id)
				}
				if task.job.Shape != protocol.Service && task.runTime >= m.fleet.taskRunTime(task) {
					m.logTaskEnd("done", id, task, time.Now())
					if !m.fleet.completedTasks[id] {
						m.fleet.completedTasks[id] = true
						m.fleet.finishedTasks[task.job.ID]++
						if m.fleet.finishedTasks[task.job.ID] == task.job.Tasks {
							m.fleet.completedAt[task.job.ID] = time.Now()
						}
					}
					task.state, task.cause = protocol.TaskExited, protocol.CauseDone
					m.requestReport()
				}
			}
		}
		m.fleet.mu.Unlock()
	}
}

// taskRunTime returns how long a task runs. A task that completed in an earlier attempt exits
// as soon as its image is fetched.
func (f *Fleet) taskRunTime(task *workerTask) time.Duration {
	switch id := protocol.TaskID(task.job.ID, task.number); {
	case f.completedTasks[id]:
		return 0
	case f.RunTime != nil:
		return f.RunTime(task.job, task.number)
	}
	return time.Duration(task.job.EstimateS * float64(time.Second))
}

// FinishedTasks returns how many tasks of a job have completed.
func (f *Fleet) FinishedTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finishedTasks[job]
}

// CompletedAt returns when the last task of a job completed, or zero if not all have.
func (f *Fleet) CompletedAt(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completedAt[job]
}

// AllRunningSince returns when the last task of a job began to run, or zero if not all run.
func (f *Fleet) AllRunningSince(job string) (since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		for _, task := range m.tasks {
			if task.job.ID != job || task.state != protocol.TaskRunning {
				continue
			}
			if count++; task.stateSince.After(since) {
				since = task.stateSince
			}
		}
	}
	if spec := f.jobs[job]; spec == nil || count < spec.Tasks {
		return time.Time{}
	}
	return since
}

// startTask handles the moment at which a task's image is fetched and the task starts, or,
// of a gang, waits for the others. It checks the scheduling rules, and injects the loss of
// the machine and the task's error. Callers hold mu.
func (m *Machine) startTask(id string, task *workerTask) {
	f := m.fleet
	f.StartedTasks++
	task.state, task.stateSince = protocol.TaskRunning, time.Now()
	if task.job.Shape == protocol.Gang {
		task.state = protocol.TaskWaiting
	}
	m.requestReport()
	if f.OnTaskEvent != nil {
		f.OnTaskEvent("start", id, m.info.ID, time.Now())
	}
	if first := !f.everStarted[id]; f.LosesFirstMachine != nil && first {
		f.everStarted[id] = true
		if lost, notice := f.LosesFirstMachine(task.job, task.number); lost {
			if m.interruptionAt.IsZero() {
				m.interruptionAt = time.Now().Add(notice)
			}
			time.AfterFunc(notice, func() { f.loseMachine(m) })
		}
	}
	zones := map[string]int{m.info.Zone: 1}
	gpus, cpus := task.job.GPUs, task.job.CPUs
	for _, host := range f.machines {
		for otherID, other := range host.tasks {
			if other == task || other.state == protocol.TaskExited || other.state == protocol.TaskFetching {
				continue
			}
			if otherID == id {
				f.violation("ran_twice %s on %s and %s", id, host.info.ID, m.info.ID)
			}
			if other.job.ID == task.job.ID {
				zones[host.info.Zone]++
			}
			if other.job.Team == task.job.Team {
				gpus += other.job.GPUs
				cpus += other.job.CPUs
			}
		}
	}
	if t := f.Teams[task.job.Team]; t.GPUsMax > 0 && gpus > t.GPUsMax+1e-6 {
		f.violation("quota %s uses %v", task.job.Team, gpus)
	}
	if t := f.Teams[task.job.Team]; t.CPUsMax > 0 && cpus > t.CPUsMax+1e-6 {
		f.violation("quota %s uses %v CPUs", task.job.Team, cpus)
	}
	if task.job.OneZone && len(zones) > 1 || task.job.Spread && zones[m.info.Zone] > (task.job.Tasks+1)/2 ||
		m.info.Spot && !task.job.Spot || task.job.Zone != "" && task.job.Zone != m.info.Zone {
		f.violation("wrong_place %s on %s", id, m.info.ID)
	}
	if at, ok := f.cancelledAt[task.job.ID]; ok && time.Since(at).Seconds() > f.Workers.CancelS {
		f.violation("ran_cancelled %s", id)
	}
	if f.failsEverywhere[task.job.ID] || f.TaskFails != nil && f.TaskFails(task.job, task.number, f.errorCounts[id]) {
		f.errorCounts[id]++
		m.logTaskEnd("error", id, task, time.Now())
		task.state, task.cause = protocol.TaskExited, protocol.CauseError
	}
}

// gangComplete reports whether all tasks of a gang's attempt wait or run.
func (f *Fleet) gangComplete(task *workerTask) bool {
	n := 0
	for _, m := range f.machines {
		for _, other := range m.tasks {
			if other.job.ID == task.job.ID && other.attempt == task.attempt && (other.state == protocol.TaskWaiting || other.state == protocol.TaskRunning) {
				n++
			}
		}
	}
	return n == task.job.Tasks
}

// hasCapacity reports whether the machine can take one more task of a job.
func (m *Machine) hasCapacity(job *protocol.JobSpec) bool {
	for _, t := range m.fleet.Types {
		if t.Name != m.info.Type {
			continue
		}
		cpus, gpus, memory := t.CPUs-job.CPUs, t.GPUs-job.GPUs, t.MemoryGB-job.MemoryGB
		for _, task := range m.tasks {
			if task.state != protocol.TaskExited {
				cpus, gpus, memory = cpus-task.job.CPUs, gpus-task.job.GPUs, memory-task.job.MemoryGB
			}
		}
		return min(cpus, gpus, memory) > -1e-6
	}
	return true
}

// executeCommands executes commands in order. Callers hold mu.
func (m *Machine) executeCommands(commands []protocol.Command) {
	for _, command := range commands {
		task := m.tasks[command.Task]
		switch command.Op {
		case protocol.OpStart:
			id, number, _ := protocol.ParseTaskID(command.Task)
			job := m.fleet.jobs[id]
			switch {
			case task != nil && task.attempt == command.Attempt || job == nil:
			case m.fleet.CancelConfirmedAfterStop && !m.fleet.cancelledAt[id].IsZero():
				m.fleet.violation("started_cancelled %s on %s", command.Task, m.info.ID)
			case command.Attempt < m.fleet.latestAttempt[command.Task]:
				// A later attempt is placed only once the earlier one is known to be gone.
				m.fleet.violation("started_older %s attempt %d on %s after attempt %d", command.Task, command.Attempt, m.info.ID, m.fleet.latestAttempt[command.Task])
			case task != nil && task.state != protocol.TaskExited:
				m.fleet.violation("in_use %s on %s", command.Task, m.info.ID)
			case !m.hasCapacity(job):
				m.tasks[command.Task] = &workerTask{job: job, number: number, attempt: command.Attempt, state: protocol.TaskExited, cause: protocol.CauseNoCapacity, stateSince: time.Now()}
				m.requestReport()
			default:
				m.fleet.latestAttempt[command.Task] = command.Attempt
				m.tasks[command.Task] = &workerTask{job: job, number: number, attempt: command.Attempt, state: protocol.TaskFetching, stateSince: time.Now()}
				m.requestReport()
			}
		case protocol.OpStop:
			if task != nil && task.attempt == command.Attempt && task.state != protocol.TaskExited {
				m.logTaskEnd("end", command.Task, task, time.Now())
				if task.state == protocol.TaskRunning {
					m.fleet.StoppedTasks++
				}
				task.state, task.cause = protocol.TaskExited, protocol.CauseStopped
				m.requestReport()
			}
		case protocol.OpForget:
			if task != nil && task.attempt == command.Attempt && task.state == protocol.TaskExited {
				delete(m.tasks, command.Task)
			}
		}
	}
}
