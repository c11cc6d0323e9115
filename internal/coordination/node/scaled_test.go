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

// scaledMachines is the fleet of the simulated starts: several hundred in CI, and
// 4,000 by hand (go test -run Starts -machines 4000 -timeout 60m).
var scaledMachines = flag.Int("machines", 300, "machines of the simulated starts")

// What things cost a controller, measured on the bench's simulated machines: a report
// with its answer and turn, a call to a worker, one to the state service, a value read.
const (
	reportCost = 250 * time.Microsecond
	turnCost   = 50 * time.Microsecond
	callCost   = 800 * time.Microsecond
	storeCost  = 300 * time.Microsecond
	valueCost  = 40 * time.Microsecond
)

// aside is what users, the state service and the others take of each controller's core.
const aside = 0.015

// scaledFleet is a simulated fleet at which costs matter. Its methods do nothing on nil.
type scaledFleet struct {
	machines int
	cores    float64 // of each controller; 0: what machines need twice over
	sockets  int

	mu       sync.Mutex // guards what follows
	cpu      map[string]*standin.Processor
	conns    map[string]*standin.Gauge
	state    *standin.Gauge
	orders   map[string]map[int64]int // direct calls of a controller in a second of simulated time
	stops    int
	returned map[int64]int // machines returned in a second
	sabotage func(n *Node) // a deliberate fault, done on the actor over and over
	quiet    bool          // no more arrays come
	problems []string      // what the day showed to be wrong, by its end
}

func (z *scaledFleet) reportProblem(format string, a ...any) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.problems = append(z.problems, fmt.Sprintf(format, a...))
}

// stopArrays lets no more arrays come.
func (z *scaledFleet) stopArrays() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.quiet = true
}

func (z *scaledFleet) isStill() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.quiet
}

func (z *scaledFleet) configure(cfg *protocol.Settings, f *standin.Fleet) {
	if z == nil {
		return
	}
	if z.cpu == nil {
		z.cpu, z.conns = map[string]*standin.Processor{}, map[string]*standin.Gauge{}
		z.orders, z.returned = map[string]map[int64]int{}, map[int64]int{}
	}
	p := &cfg.Params
	if z.cores == 0 { // two nodes can just hold all: the third is a reserve
		z.cores = aside + float64(z.machines)/p.Workers.ReportS*reportCost.Seconds()/1.5
	}
	p.Quota = protocol.NodeQuota{Cores: z.cores, MemoryMB: 400, FDLimit: z.sockets}
	p.State = protocol.StateSettings{RPS: 90, WriteRPS: 60, ValueKB: 32, TxnOps: 32}
	for i := range p.Teams {
		if p.Teams[i].GPUs > 0 {
			p.Teams[i].GPUs, p.Teams[i].GPUsMax = float64(z.machines), float64(4*z.machines)
		}
	}
	if z.state == nil {
		z.state = &standin.Gauge{PerSecond: int(p.State.RPS)}
	}
	f.Most = z.machines + z.machines/10
	z.cpu[cfg.Node] = &standin.Processor{Cores: z.cores}
	z.conns[cfg.Node] = &standin.Gauge{Most: z.sockets}
}

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

// pollInterval is as the protocol has it where many ask.
func (z *scaledFleet) pollInterval(d time.Duration) time.Duration {
	if z != nil {
		return d * 5 / 2
	}
	return d
}

func (z *scaledFleet) spendCPU(name string, d time.Duration) {
	if z != nil {
		z.cpu[name].Spend(d)
	}
}

func (z *scaledFleet) beginRequest(name string) bool {
	if z == nil {
		return true
	}
	if !z.conns[name].Begin() {
		return false
	}
	z.spendCPU(name, reportCost-turnCost)
	return true
}

func (z *scaledFleet) endRequest(name string) {
	if z != nil {
		z.conns[name].End()
	}
}

func (z *scaledFleet) noteDirectCall(name string, o protocol.Orders) {
	if z == nil {
		return
	}
	z.spendCPU(name, callCost)
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.orders[name] == nil {
		z.orders[name] = map[int64]int{}
	}
	z.orders[name][time.Now().Unix()]++
	for _, c := range o.Commands {
		if c.Op == protocol.OpStop {
			z.stops++
		}
	}
}

func (z *scaledFleet) noteStateCall(name string) bool {
	if z == nil {
		return true
	}
	z.spendCPU(name, storeCost)
	if !z.state.Begin() {
		return false
	}
	z.state.End()
	return true
}

func (z *scaledFleet) spendReads(name string, values int) {
	z.spendCPU(name, time.Duration(values)*valueCost)
}

func (z *scaledFleet) noteReturns(machines int) {
	if z == nil {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.returned[time.Now().Unix()] += machines
}

// maxPerSecond is the greatest number in a second, and when.
func maxPerSecond(perSecond map[int64]int) int {
	m := 0
	for _, c := range perSecond {
		m = max(m, c)
	}
	return m
}

// runScaled plays a day with a fleet at which costs matter: services that run throughout
// and arrays one after the other, until faults is over and all arrays are done.
// What it found to be wrong is in z.wrong.
func runScaled(t *testing.T, seed uint64, z *scaledFleet, faults func(w *simCluster)) (w *simCluster) {
	// Each placing would be held to a walk over the fleet: other tests do that.
	defer func(f func(*Node, *decide.View, *decide.Job, decide.Placement)) { checkPlacement = f }(checkPlacement)
	checkPlacement = nil
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w = newSimClusterOfSize(t, ctx, seed, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS, p.GangWaitS = 6, 36, 56, 50 }, z)
		w.fleet.Boot = 10 * time.Second
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
		for n := 0; n < 4*z.machines*6/10; n += 8 { // services take six tenths of the fleet
			services = append(services, submit(i, &protocol.JobSpec{Shape: protocol.Service, Priority: "critical", Tasks: 8}))
			i++
		}
		done := make(chan struct{})
		go func() { // arrays and gangs take two
			defer close(done)
			for !z.isStill() && ctx.Err() == nil {
				s := &protocol.JobSpec{Shape: protocol.Array, Priority: "standard", Tasks: max(4, z.machines/20), EstimateS: 20, Spot: true}
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
		z.stopArrays()
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
			z.reportProblem("%d of %d arrays and gangs never ended", c, len(arrays))
		}
		for _, b := range w.fleet.Broken {
			z.reportProblem("rule broken: %s", b)
		}
		if running := w.fleet.Running(); running < 7*len(services) {
			z.reportProblem("%d tasks of %d services run", running, len(services))
		}
		if len(w.fleet.Names()) < z.machines*6/10 {
			t.Errorf("only %d machines: the day is too small to show anything", len(w.fleet.Names()))
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

// restartAll ends all controllers, and each comes back after a while of its own.
func restartAll(w *simCluster, back ...time.Duration) {
	for _, name := range w.names {
		w.stop[name]()
		w.withLock(func() { w.nodes[name] = nil })
	}
	var wg sync.WaitGroup
	for i, name := range w.names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(back[i%len(back)])
			w.startNode(name)
		}()
	}
	wg.Wait()
}

// serving waits until all shares are served, and returns how long that took.
func serving(w *simCluster, within time.Duration) (time.Duration, bool) {
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
				k := 0
				for _, s := range n.partitions {
					if s.reconciliation.Phase() == start.Serving {
						k++
					}
				}
				c <- k
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

// A start under these must not lose what runs: 300 machines, controllers of which two
// can just serve the fleet. Each case is a way in which all controllers go down.
func TestStarts(t *testing.T) {
	minute := time.Minute
	for _, c := range []struct {
		name   string
		faults func(w *simCluster)
	}{
		{"all at once", func(w *simCluster) {
			restartAll(w, 6*time.Second)
			if took, ok := serving(w, 30*time.Second); !ok {
				w.size.reportProblem("not served after %v", took)
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
			w.state.Refill()
			time.Sleep(minute)
		}},
		{"with a tenth of the machines lost meanwhile, and others cut off", func(w *simCluster) {
			names := w.fleet.Names()
			allEndWith(w, func() {
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
		{"an earlier holder stood still and wakes into the squaring", func(w *simCluster) {
			go w.freeze(w.names[0], 9*time.Second)
			w.stop[w.names[1]]()
			w.stop[w.names[2]]()
			w.withLock(func() { w.nodes[w.names[1]], w.nodes[w.names[2]] = nil, nil })
			time.Sleep(6 * time.Second)
			w.startNode(w.names[1])
			w.startNode(w.names[2])
			time.Sleep(minute)
		}},
		{"half of the tasks end while nobody listens", func(w *simCluster) {
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
		{"a holder ends amid the squaring", func(w *simCluster) {
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

// allEndWith ends all controllers and does something while they are down.
func allEndWith(w *simCluster, meanwhile func()) {
	done := make(chan struct{})
	go func() { defer close(done); time.Sleep(time.Second); meanwhile() }()
	restartAll(w, 5*time.Second, 6*time.Second, 7*time.Second)
	<-done
}
