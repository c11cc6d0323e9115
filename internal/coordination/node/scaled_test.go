package node

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// scaledMachines is the fleet size of the simulated restarts: several hundred machines in CI, and
// 4,000 in manual runs (go test -run Starts -machines 4000 -timeout 60m).
var scaledMachines = flag.Int("machines", 300, "machines of the simulated starts")

// Processor time of a controller: for a report with its answer and turn of the actor, a call to a
// worker, a call to the state service, and reading one value.
const (
	reportCost = 250 * time.Microsecond
	turnCost   = 50 * time.Microsecond
	callCost   = 800 * time.Microsecond
	storeCost  = 300 * time.Microsecond
	valueCost  = 40 * time.Microsecond
)

// reservedCores is the part of a controller's core for users, the state service and other controllers.
const reservedCores = 0.015

// scaledFleet is a simulated fleet that is large enough for costs to matter. Its methods accept a
// nil receiver.
type scaledFleet struct {
	machines int
	cores    float64 // of each controller; 0: twice what the machines need
	sockets  int

	mu            sync.Mutex // guards the following fields
	cpu           map[string]*standin.SimulatedCPU
	conns         map[string]*standin.LoadLimiter
	state         *standin.LoadLimiter
	directCalls   map[string]map[int64]int // direct calls by controller and second of simulated time
	stops         int
	returned      map[int64]int // machines returned in each second
	sabotage      func(n *Node) // an injected fault, run repeatedly on the actor
	arraysStopped bool          // no more arrays are submitted
	problems      []string      // problems found during the run
}

// reportProblem records that the run failed a check.
func (z *scaledFleet) reportProblem(format string, a ...any) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.problems = append(z.problems, fmt.Sprintf(format, a...))
}

// stopArrays ends the submission of arrays.
func (z *scaledFleet) stopArrays() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.arraysStopped = true
}

// arraysAreStopped reports whether the submission of arrays has ended.
func (z *scaledFleet) arraysAreStopped() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.arraysStopped
}

// configure sets the node's settings and the fleet size.
func (z *scaledFleet) configure(cfg *protocol.Settings, f *standin.Fleet) {
	if z == nil {
		return
	}
	if z.cpu == nil {
		z.cpu, z.conns = map[string]*standin.SimulatedCPU{}, map[string]*standin.LoadLimiter{}
		z.directCalls, z.returned = map[string]map[int64]int{}, map[int64]int{}
	}
	p := &cfg.Params
	if z.cores == 0 { // two nodes can just serve all machines: the third is a reserve
		z.cores = reservedCores + float64(z.machines)/p.Workers.ReportS*reportCost.Seconds()/1.5
	}
	p.Quota = protocol.MachineQuota{Cores: z.cores, MemoryMB: 400, FDLimit: z.sockets}
	p.State = protocol.StateSettings{RPS: 90, WriteRPS: 60, ValueKB: 32, TxnOps: 32}
	for i := range p.Teams {
		if p.Teams[i].GPUs > 0 {
			p.Teams[i].GPUs, p.Teams[i].GPUsMax = float64(z.machines), float64(4*z.machines)
		}
	}
	if z.state == nil {
		z.state = &standin.LoadLimiter{PerSecond: int(p.State.RPS)}
	}
	f.MaxMachines = z.machines + z.machines/10
	z.cpu[cfg.Node] = &standin.SimulatedCPU{Cores: z.cores}
	z.conns[cfg.Node] = &standin.LoadLimiter{MaxOpen: z.sockets}
}

// startSabotage starts running the injected fault on a node.
func (z *scaledFleet) startSabotage(w *simCluster, n *Node, name string) {
	if z == nil || z.sabotage == nil {
		return
	}
	go func() {
		for n.ctx.Err() == nil {
			w.waitUntilThawed(name)
			n.post(func() { z.sabotage(n) })
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// pollInterval returns the poll interval that the protocol prescribes for many clients.
func (z *scaledFleet) pollInterval(d time.Duration) time.Duration {
	if z != nil {
		return d * 5 / 2
	}
	return d
}

// spendCPU uses processor time of a controller.
func (z *scaledFleet) spendCPU(name string, d time.Duration) {
	if z != nil {
		z.cpu[name].Spend(d)
	}
}

// beginRequest opens a connection to a controller and spends the cost of a report. It returns false
// if the controller has no free socket.
func (z *scaledFleet) beginRequest(name string) bool {
	if z == nil {
		return true
	}
	if !z.conns[name].TryBegin() {
		return false
	}
	z.spendCPU(name, reportCost-turnCost)
	return true
}

// endRequest closes the connection.
func (z *scaledFleet) endRequest(name string) {
	if z != nil {
		z.conns[name].End()
	}
}

// noteDirectCall spends the cost of a direct call and counts it.
func (z *scaledFleet) noteDirectCall(name string, o protocol.Orders) {
	if z == nil {
		return
	}
	z.spendCPU(name, callCost)
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.directCalls[name] == nil {
		z.directCalls[name] = map[int64]int{}
	}
	z.directCalls[name][time.Now().Unix()]++
	for _, c := range o.Commands {
		if c.Op == protocol.OpStop {
			z.stops++
		}
	}
}

// noteStateCall spends the cost of a call to the state service. It returns false if the rate limit
// is exceeded.
func (z *scaledFleet) noteStateCall(name string) bool {
	if z == nil {
		return true
	}
	z.spendCPU(name, storeCost)
	if !z.state.TryBegin() {
		return false
	}
	z.state.End()
	return true
}

// spendReads spends the cost of reading values.
func (z *scaledFleet) spendReads(name string, values int) {
	z.spendCPU(name, time.Duration(values)*valueCost)
}

// noteReturns counts returned machines.
func (z *scaledFleet) noteReturns(machines int) {
	if z == nil {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.returned[time.Now().Unix()] += machines
}

// maxPerSecond returns the greatest number of any second.
func maxPerSecond(perSecond map[int64]int) int {
	m := 0
	for _, c := range perSecond {
		m = max(m, c)
	}
	return m
}

// runScaled runs a simulation with a fleet that is large enough for costs to matter: services run
// throughout, and arrays one after the other, until faults returns and all arrays are done. Problems
// are recorded in fleet.problems.
func runScaled(t *testing.T, seed uint64, fleet *scaledFleet, faults func(w *simCluster)) (w *simCluster) {
	// Comparing each placement with a scan of the fleet would take too long here; other tests do that.
	defer func(f func(*Node, *decide.View, *decide.Job, decide.Placement)) { checkPlacement = f }(checkPlacement)
	checkPlacement = nil
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w = newSimClusterOfSize(t, ctx, seed, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS, p.GangWaitS = 6, 36, 56, 50 }, fleet)
		w.fleet.BootTime = 10 * time.Second
		teams := []string{"red", "blue", "green"}
		var services, arrays []*user
		submit := func(i int, s *protocol.JobSpec) *user {
			s.ID, s.Team, s.Class = fmt.Sprintf("job-%06d", i), teams[i%3], "c"
			s.CPUs, s.GPUs, s.MemoryGB, s.Image, s.ImageGB = 4, 1, 20, fmt.Sprint("img-", i%7), 2
			u := &user{w: w, spec: s}
			go u.run(func() {})
			return u
		}
		i := 0
		for n := 0; n < 4*fleet.machines*6/10; n += 8 { // services take six tenths of the fleet
			services = append(services, submit(i, &protocol.JobSpec{Shape: protocol.Service, Priority: "critical", Tasks: 8}))
			i++
		}
		done := make(chan struct{})
		go func() { // arrays and gangs take two tenths
			defer close(done)
			for !fleet.arraysAreStopped() && ctx.Err() == nil {
				s := &protocol.JobSpec{Shape: protocol.Array, Priority: "standard", Tasks: max(4, fleet.machines/20), EstimateS: 20, Spot: true}
				if i%5 == 0 {
					s.Shape, s.Priority, s.Tasks = protocol.Gang, "high", 4
				}
				arrays = append(arrays, submit(i, s))
				i++
				time.Sleep(1500 * time.Millisecond)
			}
		}()
		time.Sleep(75 * time.Second)
		faults(w)
		w.withLock(func() {
			w.outage, w.lossRate, w.lateTxnRate = false, 0, 0
			clear(w.stateRefused)
			clear(w.isolated)
			clear(w.workersUnreachable)
		})
		fleet.stopArrays()
		<-done
		deadline := time.Now().Add(5 * time.Minute)
		open := func() int {
			c := 0
			for _, u := range arrays {
				if u.knownFinalStatus() == "" {
					c++
				}
			}
			return c
		}
		for open() > 0 && time.Now().Before(deadline) {
			time.Sleep(time.Second)
		}
		if c := open(); c > 0 {
			fleet.reportProblem("%d of %d arrays and gangs did not end", c, len(arrays))
		}
		for _, b := range w.fleet.Violations {
			fleet.reportProblem("rule broken: %s", b)
		}
		if running := w.fleet.RunningTasks(); running < 7*len(services) {
			fleet.reportProblem("%d tasks of %d services run", running, len(services))
		}
		if len(w.fleet.MachineNames()) < fleet.machines*6/10 {
			t.Errorf("only %d machines: the fleet is too small to show anything", len(w.fleet.MachineNames()))
		}
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
	return w
}

// restartAll ends all controllers and restarts each after its own delay.
func restartAll(w *simCluster, delays ...time.Duration) {
	for _, name := range w.names {
		w.stop[name]()
		w.withLock(func() { w.nodes[name] = nil })
	}
	var wg sync.WaitGroup
	for i, name := range w.names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delays[i%len(delays)])
			w.startNode(name)
		}()
	}
	wg.Wait()
}

// awaitServing waits until all partitions are in the serving phase, and returns how long that took.
func awaitServing(w *simCluster, within time.Duration) (time.Duration, bool) {
	from := time.Now()
	for time.Since(from) < within {
		served := 0
		for _, name := range w.names {
			n := w.node(name)
			if n == nil {
				continue
			}
			c := make(chan int, 1)
			n.post(func() {
				served := 0
				for _, p := range n.partitions {
					if p.reconciliation.Phase() == start.Serving {
						served++
					}
				}
				c <- served
			})
			select {
			case k := <-c:
				served += k
			case <-time.After(2 * time.Second):
			}
		}
		if served == 3 {
			return time.Since(from), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return within, false
}

// After all controllers went down, no running task may be lost. Of the controllers, two can just serve
// the 300 machines. Each case is a way in which all controllers go down.
func TestStarts(t *testing.T) {
	minute := time.Minute
	for _, c := range []struct {
		name   string
		faults func(w *simCluster)
	}{
		{"all at once", func(w *simCluster) {
			restartAll(w, 6*time.Second)
			if took, ok := awaitServing(w, 30*time.Second); !ok {
				w.size.reportProblem("not all partitions are served after %v", took)
			}
			time.Sleep(minute)
		}},
		{"within seconds, one long before the others", func(w *simCluster) {
			restartAll(w, 4*time.Second, 7*time.Second, 16*time.Second)
			time.Sleep(minute)
		}},
		{"three times in a row", func(w *simCluster) {
			for range 3 {
				restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
				time.Sleep(w.randDuration(2*time.Second, 8*time.Second))
			}
			time.Sleep(minute)
		}},
		{"while the state service is down and comes back", func(w *simCluster) {
			w.withLock(func() { w.outage = true })
			time.Sleep(4 * time.Second)
			restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
			time.Sleep(5 * time.Second)
			w.withLock(func() { w.outage = false })
			w.state.RenewAllLeases()
			time.Sleep(minute)
		}},
		{"with a tenth of the machines lost meanwhile, and a tenth of the messages", func(w *simCluster) {
			names := w.fleet.MachineNames()
			restartAllWhile(w, func() {
				for i, name := range names {
					if i%10 == 3 {
						w.fleet.Kill(name)
					}
				}
			})
			w.withLock(func() { w.lossRate = 0.1 })
			time.Sleep(20 * time.Second)
			w.withLock(func() { w.lossRate = 0 })
			time.Sleep(minute)
		}},
		{"an earlier owner was stalled and resumes during reconciliation", func(w *simCluster) {
			go w.freeze(w.names[0], 9*time.Second)
			w.stop[w.names[1]]()
			w.stop[w.names[2]]()
			w.withLock(func() { w.nodes[w.names[1]], w.nodes[w.names[2]] = nil, nil })
			time.Sleep(6 * time.Second)
			w.startNode(w.names[1])
			w.startNode(w.names[2])
			time.Sleep(minute)
		}},
		{"half of the tasks end while no controller runs", func(w *simCluster) {
			restartAll(w, 22*time.Second, 23*time.Second, 24*time.Second)
			time.Sleep(minute)
		}},
		{"while a part of the fleet boots", func(w *simCluster) {
			for i := range 6 {
				s := &protocol.JobSpec{ID: fmt.Sprintf("job-9%05d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Service, Priority: "critical",
					Tasks: w.size.machines / 25, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img-1", ImageGB: 2}
				go (&user{w: w, spec: s}).run(func() {})
			}
			time.Sleep(4 * time.Second)
			restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
			time.Sleep(minute)
		}},
		{"with answers and changes that come minutes late", func(w *simCluster) {
			w.withLock(func() { w.lateTxnRate, w.lossRate = 0.5, 0.1 })
			time.Sleep(5 * time.Second)
			restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
			time.Sleep(15 * time.Second)
			w.withLock(func() { w.lateTxnRate, w.lossRate = 0, 0 })
			time.Sleep(minute)
		}},
		{"an owner ends during reconciliation", func(w *simCluster) {
			restartAll(w, 6*time.Second)
			time.Sleep(1500 * time.Millisecond)
			w.crash(w.names[1])
			time.Sleep(minute)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := &scaledFleet{machines: *scaledMachines, sockets: *scaledMachines}
			runScaled(t, 5, z, c.faults)
			for _, x := range z.problems {
				t.Error(x)
			}
		})
	}
}

// restartAllWhile restarts all controllers and calls a function while they are down.
func restartAllWhile(w *simCluster, meanwhile func()) {
	done := make(chan struct{})
	go func() { defer close(done); time.Sleep(time.Second); meanwhile() }()
	restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
	<-done
}
