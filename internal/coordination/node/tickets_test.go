package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
)

var ticketClasses = ticket.ClassTable{
	"render": {Name: "render", MaxUrgency: "standard", Shapes: []string{"sweep"}, OnExcess: ticket.ReduceExcess, MaxRetries: 2, MaxFailedTasks: 3, MaxTasks: 1000, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img-r", ImageGB: 1, Spot: true, EstimateS: 4},
	"strict": {Name: "strict", MaxUrgency: "standard", Shapes: []string{"sweep", "gang"}, OnExcess: ticket.RefuseExcess, MaxRetries: 1, MaxTasks: 50, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img-s", ImageGB: 1, EstimateS: 3},
}

// body makes a ticket's body: steps with their tasks, each after those named.
func ticketBody(id, lot, crew, extra string, steps ...string) string {
	var list []string
	for _, s := range steps {
		f := strings.Fields(s) // name tasks after...
		deps := ""
		for i, d := range f[2:] {
			if i > 0 {
				deps += ","
			}
			deps += fmt.Sprintf(`{"dependsOn":%q}`, d)
		}
		if deps != "" {
			deps = `"dependencies":[` + deps + `],`
		}
		list = append(list, fmt.Sprintf(`{"name":%q,%s"parameterSpace":{"taskParameterDefinitions":[{"name":"F","type":"INT","range":"1-%s"}]},"script":{"actions":{"onRun":{"command":"render"}}}}`, f[0], deps, f[1]))
	}
	return fmt.Sprintf(`{"id":%q,"lot":%q,"crew":%q,%s"template":{"specificationVersion":"jobtemplate-2023-09","name":"t","steps":[%s]}}`, id, lot, crew, extra, strings.Join(list, ","))
}

// carried is the same ticket inside an ordinary submission.
func carried(body string) string {
	outer, inner := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	json.Unmarshal([]byte(body), &outer)
	for _, k := range []string{"template", "maxRetriesPerTask", "maxFailedTasksCount", "priority"} {
		if v, ok := outer[k]; ok {
			inner[k] = v
			delete(outer, k)
		}
	}
	outer["ticket"], _ = json.Marshal(inner)
	out, _ := json.Marshal(outer)
	return string(out)
}

func admit(t testing.TB, body string) (*format.Submission, *ticket.Admitted, error) {
	s, err := format.ParseTicket([]byte(body))
	if err != nil {
		t.Fatalf("%v\n%s", err, body)
	}
	a, err := ticket.Admit(s, ticketClasses, ticket.Limits{MaxValueBytes: 8000})
	return s, a, err
}

// ticketUser submits a ticket by both ways and at any node, polls it by both, and
// complains about every answer that may not be.
type ticketUser struct {
	w        *simCluster
	body     string
	id       string
	sub      *format.Submission
	adm      *ticket.Admitted
	cancelAt time.Duration
	want     string // the final state; empty: done or withdrawn
	final    string // guarded by the world's mu
	polls    int
}

func newTicketUser(w *simCluster, body string) *ticketUser {
	s, a, err := admit(w.t, body)
	if err != nil {
		w.t.Fatal(err)
	}
	u := &ticketUser{w: w, body: body, id: s.ID, sub: s, adm: a}
	for i := range a.Record.Steps {
		w.fleet.Submitted(ticket.StepSpec(a.Record, i))
	}
	return u
}

func (u *ticketUser) any() string { return u.w.names[u.w.randDuration(0, 3*time.Second)/time.Second] }

// submit asks one node once.
func (u *ticketUser) submit(name string) (answer, error) {
	body, parse := u.body, format.ParseTicket
	if u.w.chance(&half) {
		body, parse = carried(u.body), format.ParseEmbedded
	}
	s, err := parse([]byte(body))
	if err != nil {
		u.w.t.Error(err)
		return answer{}, err
	}
	a, refused := ticket.Admit(s, ticketClasses, ticket.Limits{MaxValueBytes: 8000})
	ctx, cancel := context.WithTimeout(u.w.ctx, 5*time.Second)
	defer cancel()
	return u.w.sendChecked(ctx, submitRequest, name, s.ID, func(n *Node, reply chan<- answer) { n.onSubmitTicket(s.ID, a, refused, time.Now(), reply) })
}

func (u *ticketUser) run(done func()) {
	defer done()
	w := u.w
	start := time.Now()
	for accepted := false; !accepted; {
		a, err := u.submit(u.any())
		if accepted = err == nil && (a.status == 200 || a.status == 201); err == nil && (a.status == 400 || a.status == 422) {
			w.t.Errorf("%s refused: %v", u.id, a.body)
			return
		}
		if w.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Second)
	}
	asked := false
	for w.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		if u.cancelAt > 0 && time.Since(start) > u.cancelAt && u.ended() == "" {
			asked = true
			a, err := w.cancelAt(ctx, u.any(), u.id)
			u.told(a, err, asked)
		}
		if u.polls++; u.polls%4 == 0 { // a repeat at any time, by either way
			a, err := u.submit(u.any())
			u.told(a, err, asked)
		}
		ask := (*Node).onPoll
		if u.polls%2 == 0 {
			ask = (*Node).onTicketPoll
		}
		a, err := w.sendChecked(ctx, statusRequest, u.any(), u.id, func(n *Node, reply chan<- answer) { ask(n, u.id, reply) })
		cancel()
		u.told(a, err, asked)
		time.Sleep(w.randDuration(time.Second, 3*time.Second))
	}
}

func (u *ticketUser) ended() string {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	return u.final
}

func (u *ticketUser) told(a answer, err error, asked bool) {
	if err != nil || a.status == 503 {
		return
	}
	status := ""
	switch b := a.body.(type) {
	case protocol.JobStatus:
		status = b.Status
	case *TicketStatus:
		status = b.Status
	}
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	switch {
	case a.status != 200 || status == "":
		u.w.t.Errorf("%s: answered %d %v", u.id, a.status, a.body)
	case u.final != "" && status != u.final:
		u.w.t.Errorf("%s went back from %s to %s", u.id, u.final, status)
	case status == protocol.JobCancelled && !asked:
		u.w.t.Errorf("%s is called cancelled, but nobody asked", u.id)
	}
	if status == protocol.JobDone || status == protocol.JobCancelled || status == protocol.JobFailed {
		u.final = status
		if status == protocol.JobCancelled {
			for i := range u.adm.Record.Steps {
				step := ticket.StepSpec(u.adm.Record, i).ID
				if left := u.w.fleet.Left(step); left > 0 {
					u.w.t.Errorf("%s is called cancelled with %d tasks of %s left", u.id, left, step)
				}
				u.w.fleet.Cancelled(step)
			}
		}
	}
}

// diary is what the machines ran, by task.
type diary struct {
	mu     sync.Mutex
	first  map[string]time.Time // start
	done   map[string]time.Time
	starts map[string]int
	errs   map[string]int
}

func keepDiary(w *simCluster) *diary {
	d := &diary{first: map[string]time.Time{}, done: map[string]time.Time{}, starts: map[string]int{}, errs: map[string]int{}}
	w.fleet.Log = func(event, task, _ string, at time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		switch event {
		case "start":
			d.starts[task]++
			if d.first[task].IsZero() {
				d.first[task] = at
			}
		case "done":
			d.done[task] = at
		case "error":
			d.errs[task]++
		}
	}
	return d
}

// check holds what ran against what the user was told.
func (u *ticketUser) check(d *diary) {
	t := u.w.t
	if u.final == "" || u.want != "" && u.final != u.want {
		t.Errorf("%s ended as %q, want %q (cancelled after %v)", u.id, u.final, u.want, u.cancelAt)
	}
	rec := u.adm.Record
	over := make([]time.Time, len(rec.Steps)) // the last end of a step's tasks
	for i, st := range rec.Steps {
		id := ticket.StepSpec(rec, i).ID
		complete := true
		for k := range st.Tasks {
			task := protocol.TaskID(id, k)
			at, ok := d.done[task]
			complete = complete && ok
			if at.After(over[i]) {
				over[i] = at
			}
			if most := rec.Terms.MaxRetries.Granted + 1; d.errs[task] > most+2 { // two may be lost with leases
				t.Errorf("%s failed %d times, %d are allowed", task, d.errs[task], most)
			}
			for _, dep := range st.Deps {
				if f := d.first[task]; !f.IsZero() && (over[dep].IsZero() || f.Before(over[dep])) {
					t.Errorf("%s of %s started at %v, before %s was done at %v", task, st.Name, f, rec.Steps[dep].Name, over[dep])
				}
			}
		}
		if u.final == protocol.JobDone && !complete {
			t.Errorf("%s is called done, but %s is not", u.id, st.Name)
		}
		if !complete {
			over[i] = time.Time{}
		}
	}
}

// tickets draws tickets with errors, chains and cancellations.
func (w *simCluster) tickets(count int) []*ticketUser {
	hopeless := map[string]bool{}
	var us []*ticketUser
	for i := range count {
		var steps []string
		n := 1 + w.plan.IntN(4)
		for k := range n {
			s := fmt.Sprintf("s%d %d", k, 1+w.plan.IntN(5))
			for d := range k {
				if w.plan.IntN(2) == 0 {
					s += fmt.Sprintf(" s%d", d)
				}
			}
			steps = append(steps, s)
		}
		u := newTicketUser(w, ticketBody(fmt.Sprintf("job-9%05d", i), "render", []string{"red", "blue", "green"}[i%3], `"maxRetriesPerTask":9,`, steps...))
		switch w.plan.IntN(4) {
		case 0:
			u.cancelAt = time.Duration(5+w.plan.IntN(60)) * time.Second
		case 1:
			u.want = protocol.JobFailed
			hopeless[u.adm.Record.Base.ID] = true
		default:
			u.want = protocol.JobDone
		}
		us = append(us, u)
	}
	steps := map[string]*ticketUser{}
	for _, u := range us {
		for i := range u.adm.Record.Steps {
			steps[ticket.StepSpec(u.adm.Record, i).ID] = u
		}
	}
	salt := w.plan.Uint64()
	w.fleet.Fails = func(job *protocol.JobSpec, task, errors int) bool {
		u := steps[job.ID]
		if u == nil {
			return false
		}
		if hopeless[u.id] && task == 0 && job.ID == ticket.StepSpec(u.adm.Record, 0).ID {
			return true
		}
		n, _ := strconv.ParseUint(job.ID[len(job.ID)-9:], 10, 64)
		return errors < int(rand.New(rand.NewPCG(n^salt, uint64(task))).IntN(5))-2 // 0, 0, 0, 1 or 2 errors
	}
	return us
}

// simulateTickets runs tickets amid ordinary jobs and troubles.
func simulateTickets(t *testing.T, seed uint64, faults func(w *simCluster)) {
	nodeTicketClasses = ticketClasses
	defer func() { nodeTicketClasses = nil }()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		d := keepDiary(w)
		us := w.tickets(8)
		var wg sync.WaitGroup
		for _, u := range us {
			wg.Add(1)
			go u.run(wg.Done)
		}
		w.runWorkload(6, func(w *simCluster) {
			faults(w)
			w.withLock(func() {
				w.outage, w.lossRate, w.lateTxnRate = false, 0, 0
				clear(w.stateRefused)
				clear(w.isolated)
				clear(w.workersUnreachable)
			})
			for deadline := time.Now().Add(8 * time.Minute); time.Now().Before(deadline); time.Sleep(time.Second) {
				open := false
				for _, u := range us {
					open = open || u.ended() == ""
				}
				if !open {
					return
				}
			}
		})
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		for _, u := range us {
			u.check(d)
		}
	})
}

func TestTicketsOnAQuietDay(t *testing.T) {
	simulateTickets(t, 1, func(*simCluster) { time.Sleep(20 * time.Second) })
}

// Holders end between the end of a step and the start of the next, users cancel
// between steps, reports come twice and late: each step still starts once, after those
// before it, and the answer is one. TICKET_SEEDS plays more by hand.
func TestTicketsAmidTroubles(t *testing.T) {
	seeds := uint64(10)
	if s, err := strconv.ParseUint(os.Getenv("TICKET_SEEDS"), 10, 64); err == nil {
		seeds = s
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulateTickets(t, 500+seed, randomFaults) })
	}
	// A node cancelled a ticket and had not heard of a step that was open: that one
	// went on, and the ticket was called done after it had been called withdrawn.
	t.Run("cancelled without a step", func(t *testing.T) { simulateTickets(t, 500+327, randomFaults) })
}

// alone lets a test have one ticket in a quiet world. between is called now and then
// until the ticket is over.
func alone(t *testing.T, body string, prepare func(w *simCluster, u *ticketUser), between func(w *simCluster, u *ticketUser, d *diary)) {
	nodeTicketClasses = ticketClasses
	defer func() { nodeTicketClasses = nil }()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 3, defaultSettings)
		d := keepDiary(w)
		u := newTicketUser(w, body)
		prepare(w, u)
		var wg sync.WaitGroup
		wg.Add(1)
		go u.run(wg.Done)
		for deadline := time.Now().Add(10 * time.Minute); time.Now().Before(deadline) && u.ended() == ""; time.Sleep(250 * time.Millisecond) {
			between(w, u, d)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		u.check(d)
		for _, b := range w.fleet.Broken {
			t.Error(b)
		}
	})
}

func nothing(*simCluster, *ticketUser, *diary) {}

// More retries than the class allows are not given, and that is told.
func TestRetriesAreTheClasses(t *testing.T) {
	var terms *protocol.TicketTerms
	alone(t, ticketBody("job-90", "render", "red", `"maxRetriesPerTask":50,`, "a 3", "b 1 a"), func(w *simCluster, u *ticketUser) {
		u.want = protocol.JobFailed
		w.fleet.Fails = func(_ *protocol.JobSpec, task, _ int) bool { return task == 1 }
	}, func(w *simCluster, u *ticketUser, _ *diary) {
		if a, err := w.sendChecked(w.ctx, statusRequest, "n-0", "job-90", func(n *Node, reply chan<- answer) { n.onTicketPoll("job-90", reply) }); err == nil && a.status == 200 {
			terms = a.body.(*TicketStatus).Terms
		}
	})
	if terms == nil || *terms.MaxRetries.Requested != 50 || terms.MaxRetries.Granted != 2 {
		t.Errorf("%+v", terms)
	}
	s, _, err := admit(t, ticketBody("job-91", "strict", "red", `"maxRetriesPerTask":2,`, "a 3"))
	if err == nil || !strings.Contains(err.Error(), "maxRetriesPerTask: 2 asked for, strict allows 1") {
		t.Errorf("%v %v", s, err)
	}
}

// A task that fails on its last try: three runs are three, though its report is
// repeated and its holder ends at the moment.
func TestErrorsCountOnce(t *testing.T) {
	for _, ends := range []bool{false, true} {
		var d2 *diary
		var task string
		crashed := false
		alone(t, ticketBody("job-92", "render", "red", "", "a 1"), func(w *simCluster, u *ticketUser) {
			u.want = protocol.JobFailed
			task = protocol.TaskID(ticket.StepSpec(u.adm.Record, 0).ID, 0)
			w.fleet.Fails = func(*protocol.JobSpec, int, int) bool { return true }
		}, func(w *simCluster, u *ticketUser, d *diary) {
			d2 = d
			if ends && !crashed && w.fleet.Errors(task) == 3 {
				crashed = true
				for _, name := range w.names {
					go w.crash(name)
				}
			}
		})
		if d2.errs[task] != 3 || d2.starts[task] != 3 || ends != crashed {
			t.Errorf("ends %v: %d errors in %d starts, want 3 in 3", ends, d2.errs[task], d2.starts[task])
		}
	}
}

// A ticket survives as many failed tasks as it was granted; what depends on them
// does not run, and the rest does.
func TestFailedTasksThatATicketSurvives(t *testing.T) {
	alone(t, ticketBody("job-93", "render", "red", `"maxFailedTasksCount":2,"maxRetriesPerTask":0,`, "a 4", "b 2 a", "c 2"), func(w *simCluster, u *ticketUser) {
		u.want = protocol.JobFailed
		a := ticket.StepSpec(u.adm.Record, 0).ID
		w.fleet.Fails = func(j *protocol.JobSpec, task, _ int) bool { return j.ID == a && task < 2 }
	}, nothing)
	alone(t, ticketBody("job-94", "render", "red", `"maxFailedTasksCount":2,"maxRetriesPerTask":0,`, "a 4", "c 2"), func(w *simCluster, u *ticketUser) {
		u.want = protocol.JobFailed
		a := ticket.StepSpec(u.adm.Record, 0).ID
		w.fleet.Fails = func(j *protocol.JobSpec, task, _ int) bool { return j.ID == a && task == 0 }
		t.Cleanup(func() {
			for k := range 3 {
				if u.w.fleet.Errors(protocol.TaskID(a, k+1)) > 0 {
					t.Error("another task failed")
				}
			}
		})
	}, nothing)
}

// A cancel between two steps: the second never starts.
func TestCancelBetweenSteps(t *testing.T) {
	var second string
	var seen *diary
	alone(t, ticketBody("job-95", "render", "red", "", "a 2", "b 2 a"), func(w *simCluster, u *ticketUser) {
		second = protocol.TaskID(ticket.StepSpec(u.adm.Record, 1).ID, 0)
	}, func(w *simCluster, u *ticketUser, d *diary) {
		seen = d
		first := protocol.TaskID(ticket.StepSpec(u.adm.Record, 0).ID, 0)
		d.mu.Lock()
		over := !d.done[first].IsZero()
		d.mu.Unlock()
		if over && u.cancelAt == 0 {
			u.cancelAt = time.Nanosecond
			a, err := w.cancelAt(w.ctx, "n-1", u.id)
			if err == nil && a.status == 200 {
				u.told(a, err, true)
			}
		}
	})
	if seen.starts[second] > 0 && seen.done[second].IsZero() == false {
		t.Error("the second step ran to its end after the ticket was cancelled")
	}
}

// The same ticket by both ways at two nodes at once is one ticket and one job a step.
func TestOneTicketByBothWaysAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 5, defaultSettings)
		time.Sleep(5 * time.Second)
		u := newTicketUser(w, ticketBody("job-96", "render", "red", "", "a 2", "b 1"))
		var wg sync.WaitGroup
		var mu sync.Mutex
		codes := map[int]int{}
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if a, err := u.submit(w.names[i%3]); err == nil {
					mu.Lock()
					codes[a.status]++
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		items, _, _ := w.state.List(ctx, protocol.JobPrefix)
		heads, jobs := 0, 0
		for _, it := range items {
			var r protocol.JobRecord
			json.Unmarshal(it.Value, &r)
			if r.Ticket != nil {
				heads++
			} else {
				jobs++
			}
		}
		if codes[201] != 1 || codes[201]+codes[200]+codes[503] != 12 || heads != 1 || jobs != 2 {
			t.Errorf("answers %v, %d records, %d jobs", codes, heads, jobs)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// Nobody submitted the job of a step: users who ask for it get 404, and nobody can
// submit another under its id.
func TestStepsAreNoUsersJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 6, defaultSettings)
		time.Sleep(5 * time.Second)
		u := newTicketUser(w, ticketBody("job-97", "render", "red", "", "a 2"))
		u.submit("n-0")
		time.Sleep(time.Second)
		step := ticket.StepSpec(u.adm.Record, 0)
		for _, name := range w.names {
			a, _ := w.pollAt(ctx, name, step.ID)
			b, _ := w.cancelAt(ctx, name, step.ID)
			c, _ := w.submitAt(ctx, name, step)
			if a.status != 404 || b.status != 404 || c.status != 422 {
				t.Errorf("%s: poll %d, cancel %d, submission %d", name, a.status, b.status, c.status)
			}
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// A ticket whose machines are all held back waits and says why; when they are given
// free it starts. Held back after it was accepted, too.
func TestTicketWaitsForADrain(t *testing.T) {
	for _, afterwards := range []bool{false, true} {
		t.Run(fmt.Sprintf("after it was accepted %v", afterwards), func(t *testing.T) { waitsForADrain(t, afterwards) })
	}
}

func waitsForADrain(t *testing.T, afterwards bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 8, defaultSettings)
		d := keepDiary(w)
		time.Sleep(5 * time.Second)
		warm := newTicketUser(w, ticketBody("job-98", "render", "red", "", "a 4"))
		warm.submit("n-0")
		time.Sleep(40 * time.Second) // there are machines now
		hold := func(names []string) {
			p := DefaultPolicy()
			p.HeldBack, p.StopRentals = append([]string{}, names...), len(names) > 0
			w.state.Put(protocol.PolicyKey, p)
			time.Sleep(time.Second)
		}
		u := newTicketUser(w, ticketBody("job-99", "render", "red", "", "a 2"))
		if afterwards {
			// The machines are full while it is accepted, and held back before they are not.
			full := newTicketUser(w, ticketBody("job-97", "render", "red", "", "a 8"))
			full.submit("n-0")
			time.Sleep(3 * time.Second)
			u.submit("n-1")
			hold(w.fleet.Names())
			time.Sleep(10 * time.Second)
		} else {
			hold(w.fleet.Names())
			u.submit("n-1")
		}
		time.Sleep(8 * time.Second)
		why := ""
		for _, name := range w.names {
			a, err := w.sendChecked(ctx, statusRequest, name, "job-99", func(n *Node, reply chan<- answer) { n.onTicketPoll("job-99", reply) })
			if s, ok := a.body.(*TicketStatus); err == nil && ok {
				why += s.Steps[0].Why + "; "
			}
		}
		task := protocol.TaskID(ticket.StepSpec(u.adm.Record, 0).ID, 0)
		if d.starts[task] > 0 || !strings.Contains(why, "being drained") {
			t.Errorf("%d starts on held machines, reasons %q", d.starts[task], why)
		}
		hold(nil)
		time.Sleep(15 * time.Second)
		d.mu.Lock()
		if d.starts[task] == 0 {
			t.Error("not started after the drain")
		}
		d.mu.Unlock()
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// A few bytes may ask for 100,000 tasks. What would not fit a node's memory is turned
// away at once, to come again, and what is there goes on.
func TestTicketsThatWouldNotFitAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 9, func(*protocol.WorkerSettings) {})
		for _, name := range w.names {
			w.cfg[name].Params.Quota.MemoryMB = 1.3 // some 2,000 tasks
		}
		time.Sleep(5 * time.Second)
		var codes []int
		for i := range 5 {
			u := newTicketUser(w, ticketBody(fmt.Sprintf("job-7%d", i), "render", "red", "", "a 900"))
			a, err := u.submit(w.names[i%3])
			if err != nil {
				t.Fatal(err)
			}
			codes = append(codes, a.status)
			if a.status == 503 && a.retryAfterS == 0 {
				t.Error("turned away without a time to come again")
			}
			time.Sleep(time.Second)
		}
		if fmt.Sprint(codes) != "[201 201 503 503 503]" {
			t.Error(codes)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
