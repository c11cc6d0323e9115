package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pelletier/go-toml/v2"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/ledger"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/report"
	"dapplestage.example/dapplestage/internal/storage"
)

// The account of a site's jobs (docs/report.md). A share's holder tells of its open jobs
// from memory; of shares whose holder does not answer this node tells what is stored,
// as not known. What ended every node hears by the watch, and remembers; with settings
// for it the leader also stores it, in few changes, so that it outlives all of them.
// This file may read all of the actor's state, and writes account, story and nothing
// else.

// AccountSettings say how much is remembered of what ended.
type AccountSettings struct {
	Entries       int           // jobs; 0: a thousand, and nothing stored
	Retention     time.Duration // for so long
	StoreInterval time.Duration // stored so often; 0: never
}

// ReadAccountSettings reads a file such as deploy/account.toml.
func ReadAccountSettings(path string) (AccountSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return AccountSettings{}, err
	}
	f := struct {
		Entries int     `toml:"entries"`
		KeepH   float64 `toml:"keep_hours"`
		StoreS  float64 `toml:"store_every_s"`
	}{Entries: 20000, KeepH: 24, StoreS: 30}
	if err := toml.Unmarshal(data, &f); err != nil {
		return AccountSettings{}, fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case f.Entries < 100 || f.Entries > 200000:
		return AccountSettings{}, fmt.Errorf("%s: entries: must be 100 to 200000", path)
	case !(f.KeepH >= 1 && f.KeepH <= 720):
		return AccountSettings{}, fmt.Errorf("%s: keep_hours: must be 1 to 720", path)
	case !(f.StoreS >= 5 && f.StoreS <= 3600):
		return AccountSettings{}, fmt.Errorf("%s: store_every_s: must be 5 to 3600", path)
	}
	return AccountSettings{f.Entries, time.Duration(f.KeepH * float64(time.Hour)), time.Duration(f.StoreS * float64(time.Second))}, nil
}

// account is what a node remembers.
type account struct {
	settings   AccountSettings
	history    *ledger.History
	runTimes   map[string]*ledger.RunTimes // by class
	samples    []ledger.Sample
	lostRuns   int // since the last sample
	endedCount int
	storing    bool
	wasLeader  bool // this node was the leader when it last looked
	loaded     bool
	lastStore  time.Time
	segments   []string  // stored, the oldest first, while this node is the leader
	lastSample time.Time // of samples
}

// mostClasses bounds the classes whose runs are remembered.
const mostClasses = 200

func newAccount(s AccountSettings, now time.Time) account {
	if s.Entries == 0 {
		s.Entries, s.Retention, s.StoreInterval = 1000, 24*time.Hour, 0
	}
	return account{settings: s, history: ledger.NewHistory(s.Entries, s.Retention, now), runTimes: map[string]*ledger.RunTimes{}}
}

// SetAccountSettings sets how much is remembered of what ended. It is called before Run.
func (n *Node) SetAccountSettings(s AccountSettings) { n.account = newAccount(s, time.Now()) }

// jobHistory is what this node saw of a job's runs while it held it.
type jobHistory struct {
	lostRuns     int
	lastLostAt   time.Time
	failedStarts int // starts in a row that came to nothing
	state        string
	stateSince   time.Time // when that state was first seen
	events       []ledger.Event
}

// addEvent remembers something of a job; of the same thing again and again the last time.
func (s *jobHistory) addEvent(now time.Time, text string) {
	if l := len(s.events); l > 0 && s.events[l-1].Text == text {
		s.events[l-1].AtMS = now.UnixMilli()
		return
	}
	if s.events = append(s.events, ledger.Event{AtMS: now.UnixMilli(), Text: text}); len(s.events) > ledger.MaxEvents {
		s.events = s.events[1:]
	}
}

// lastLostMS is when the last run was lost; 0: none was.
func (s *jobHistory) lastLostMS() int64 {
	if s.lastLostAt.IsZero() {
		return 0
	}
	return s.lastLostAt.UnixMilli()
}

// mergeStored takes in what earlier holders, or the present one, stored of losses.
func (s *jobHistory) mergeStored(lost int, lostMS int64) {
	if s.lostRuns = max(s.lostRuns, lost); lostMS > s.lastLostMS() {
		s.lastLostAt = time.UnixMilli(lostMS)
	}
}

// countFailedStart counts a start that came to nothing, unless somebody wanted it so.
func (s *jobHistory) countFailedStart(cause string) {
	if cause != protocol.CauseStopped {
		s.failedStarts++
	}
}

func (n *Node) runStarted(j *job, i int, now time.Time) {
	t := &j.tasks[i]
	j.history.addEvent(now, "a task runs on "+t.machine.name)
	switch {
	case !t.runningSince.IsZero():
	case t.startSentAt.IsZero():
		// An earlier holder started it. Every node heard when it was recorded, and a
		// stall must not begin anew with each take-over. (Found by the lab.)
		t.runningSince = t.phaseSince
	default:
		t.runningSince = now
	}
}

func (n *Node) runEnded(j *job, t *task, now time.Time) {
	j.history.failedStarts = 0
	if t.runningSince.IsZero() || t.outcome != outcomeNone {
		return
	}
	r := n.account.runTimes[j.spec.Class]
	if r == nil && len(n.account.runTimes) < mostClasses {
		r = &ledger.RunTimes{}
		n.account.runTimes[j.spec.Class] = r
	}
	if r != nil {
		r.Observe(now.Sub(t.runningSince))
	}
}

// runLost notes that a task that ran was lost with its machine or its lease.
func (n *Node) runLost(j *job, t *task, now time.Time) {
	if t.phase != phasePlaced || t.outcome != outcomeNone || t.reportedState < reportedRunning || t.reportedState == reportedExited || j.cancelled || t.stopRequested {
		return
	}
	j.history.lostRuns++
	j.history.lastLostAt = now
	j.history.addEvent(now, "a run was lost on "+t.machine.name)
	n.account.lostRuns++
}

// recordJobEnd remembers a job whose record is gone: it is over. Every node hears of it.
func (n *Node) recordJobEnd(j *job) {
	if j.step != nil {
		return // its ticket is what people ask for
	}
	state := ledger.Done
	if f, ok := n.finalJobs.byID[j.id]; ok && f.Status == protocol.JobCancelled || j.cancelled {
		state = ledger.Withdrawn
	}
	n.addToHistory(ledger.Entry{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Shape: j.spec.Shape, State: state, Submitted: j.submitted.UnixMilli(), Tasks: j.spec.Tasks, LostRuns: j.history.lostRuns})
}

func (n *Node) recordTicketEnd(t *openTicket) {
	state := ledger.Done
	f, known := n.finalJobs.byID[t.id]
	switch {
	case known:
		state = f.Status // the same words
	case t.rec.FailureReason != "":
		state = ledger.Failed
	case t.cancelled:
		state = ledger.Withdrawn
	case slices.ContainsFunc(t.rec.Steps, func(s protocol.TicketStep) bool { return s.State == protocol.JobFailed }):
		state = ledger.Failed
	}
	b := t.rec.Base
	n.addToHistory(ledger.Entry{Job: t.id, Team: b.Team, Class: b.Class, Shape: b.Shape, State: state, Submitted: t.submitted.UnixMilli(), Tasks: b.Tasks})
}

func (n *Node) addToHistory(e ledger.Entry) {
	e.Ended = time.Now().UnixMilli()
	n.account.history.Add(e)
	n.account.endedCount++
}

// tickAccount samples, stores and forgets, each now and then.
func (n *Node) tickAccount(now time.Time) {
	a := &n.account
	if now.Sub(a.lastSample) >= ledger.SampleInterval {
		a.lastSample = now
		a.history.DropExpired(now)
		a.samples = append(a.samples, n.takeSample(now))
		if len(a.samples) > ledger.MaxSamples {
			a.samples = a.samples[1:]
		}
	}
	if a.settings.StoreInterval == 0 || n.sinceContact(now) > 2*time.Second {
		return
	}
	if !a.loaded {
		a.loaded = true
		n.loadHistory()
	}
	if leads := n.isLeader(); !leads || !a.wasLeader {
		if a.wasLeader = leads; leads && !a.storing {
			n.beginStoring(now)
		} else if leads {
			a.wasLeader = false // a change of an earlier time is still under way
		}
		return
	}
	if a.storing || now.Sub(a.lastStore) < a.settings.StoreInterval {
		return
	}
	a.lastStore = now
	n.storeHistory(now)
}

// storeHistory stores what ended since the last time in one change, and with it removes
// the oldest segment if that is too old.
func (n *Node) storeHistory(now time.Time) {
	a := &n.account
	key, data, done := a.history.NextSegment(now, int(n.cfg.Params.State.ValueKB*1024)-64)
	if key == "" {
		return
	}
	key = protocol.HistoryRoot + key
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0))}, Writes: []storage.Write{{Put: key, Value: data}}}
	oldest := protocol.HistoryRoot + ledger.SegmentKey(now.Add(-a.settings.Retention).UnixMilli())
	trimmed := a.segments
	for len(trimmed) > 0 && trimmed[0] < oldest && len(op.Writes) < 3 {
		op.Writes = append(op.Writes, storage.Write{Delete: trimmed[0]})
		trimmed = trimmed[1:]
	}
	a.storing = true
	op.Done = func(r storage.Result) {
		n.post(func() {
			if a.storing = false; r.OK {
				done()
				a.segments = append(trimmed, key)
			}
		})
	}
	if !n.backgroundCommitter.Submit(op) {
		a.storing = false
	}
}

// beginStoring makes this node the one that stores. Which segments there are is read once: then
// only this node adds and removes any.
func (n *Node) beginStoring(now time.Time) {
	a := &n.account
	a.history.BeginStoring(now, 2*a.settings.StoreInterval)
	a.lastStore, a.segments, a.storing = now, nil, true
	n.spawn(func(ctx context.Context) {
		items, _, err := n.store.List(ctx, protocol.HistoryRoot)
		n.post(func() {
			if a.storing = false; err != nil {
				a.wasLeader = false // again, later
				return
			}
			for _, it := range items {
				a.segments = append(a.segments, it.Key)
			}
		})
	})
}

// loadHistory takes in what earlier nodes stored.
func (n *Node) loadHistory() {
	n.spawn(func(ctx context.Context) {
		items, _, err := n.store.List(ctx, protocol.HistoryRoot)
		n.post(func() {
			now := time.Now()
			if err != nil {
				n.account.loaded = false // again, later
				return
			}
			for _, it := range items {
				if err := n.account.history.Load(it.Value, now); err != nil {
					n.log.Error("segment of the account not understood", "key", it.Key, "why", err)
				}
			}
			n.account.history.FinishLoading(now)
			n.log.Info("account loaded", "segments", len(items), "jobs", n.account.history.Len())
		})
	})
}

// takeSample is how the shares held are now.
func (n *Node) takeSample(now time.Time) ledger.Sample {
	s := ledger.Sample{AtMS: now.UnixMilli(), Lost: n.account.lostRuns}
	if n.isLeader() {
		s.Ended = n.account.endedCount // every node hears of each
	}
	n.account.lostRuns, n.account.endedCount = 0, 0
	for _, sh := range n.partitions {
		if !n.owns(sh) {
			continue
		}
		for _, m := range sh.machines {
			if !m.lastFencedReport.IsZero() {
				if s.Machines++; n.silent(m, now) {
					s.Silent++
				}
			}
		}
		for _, j := range sh.jobs {
			if !j.cancelled {
				s.Waiting += j.nWaiting()
			}
			r := n.jobRow(j, now)
			s.Running += r.Running
			if r.State == ledger.Stuck {
				s.Stuck++
			}
		}
	}
	return s
}

// jobRow is one open job of a share held by this node.
func (n *Node) jobRow(j *job, now time.Time) ledger.Row {
	r := n.storedRow(j, now)
	f := n.stuckFacts(j, now, &r)
	binding := n.bindingCause(j, now)
	busy := r.Running + r.Starting
	switch {
	case j.cancelled:
		r.State = ledger.Stopping
	case busy > 0 && n.tasksAwaitingReport(j) >= busy:
		r.State, r.Why = ledger.Unknown, fmt.Sprintf("none of its machines has spoken since %s took its share, %.0f s ago", n.cfg.Node, now.Sub(n.partitions[j.partition].acquiredAt).Seconds())
	case busy > 0 && r.Silent == busy:
		r.State, r.Why = ledger.Unknown, fmt.Sprintf("all of its machines are silent, for %.0f s", f.Silent.Seconds())
	default:
		if r.Why = ledger.StuckReason(f); r.Why != "" {
			r.State = ledger.Stuck
			break
		}
		switch {
		case r.Running > 0:
			r.State = ledger.Running
		case r.Starting > 0:
			r.State = ledger.Starting
		default:
			r.State = ledger.Waiting
		}
		if r.Waiting > 0 {
			r.Why = binding.Text()
		}
	}
	if j.history.state != r.State {
		text := r.State
		if r.Why != "" {
			text += ": " + r.Why
		}
		j.history.addEvent(now, text)
		if j.history.state != "" && (r.State == ledger.Stuck || j.history.state == ledger.Stuck) {
			n.log.Info("job is "+r.State, "job", j.id, "was", j.history.state, "why", r.Why)
		}
		j.history.state, j.history.stateSince = r.State, now
	}
	r.Since = j.history.stateSince.UnixMilli()
	return r
}

// addJobEvents adds a job's story to its row, where it alone was asked for.
func (n *Node) addJobEvents(p *ledger.Page, q *ledger.Query) {
	for i := range p.Rows {
		if j := n.jobs[p.Rows[i].Job]; j != nil && j.id == q.Text {
			p.Rows[i].Events = j.history.events
		}
	}
}

// storedRow is what any node can tell of a job: what is stored.
func (n *Node) storedRow(j *job, now time.Time) ledger.Row {
	r := ledger.Row{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Shape: j.spec.Shape, Image: j.spec.Image, Tasks: len(j.tasks), Done: j.nDone, Failed: j.nExhausted,
		Waiting: j.nWaiting(), Lost: j.history.lostRuns, LostMS: j.history.lastLostMS(), Submitted: j.submitted.UnixMilli(), AsOf: now.UnixMilli(), Node: n.cfg.Node}
	if j.step != nil {
		r.Ticket = j.step.Ticket
	}
	return r
}

// mostTold bounds the machines that a row names.
const mostTold = 4

// stuckFacts gathers what a job is judged by, and fills in a row's tasks.
func (n *Node) stuckFacts(j *job, now time.Time, r *ledger.Row) *ledger.StuckFacts {
	f := &ledger.StuckFacts{Service: j.spec.Shape == protocol.Service, Gang: j.spec.Shape == protocol.Gang, Estimate: n.seconds(j.spec.EstimateS), ClassRunTimes: n.account.runTimes[j.spec.Class],
		GangTimeout: n.seconds(n.cfg.Params.Workers.GangWaitS), FailedStarts: j.history.failedStarts}
	if j.failures.failsEverywhere {
		f.FailedStarts = max(f.FailedStarts, j.failures.tries+2)
	}
	if j.step != nil {
		f.FailedStarts = 0 // its retries are limited, and end it
	}
	longest := func(d *time.Duration, since time.Time) { *d = max(*d, now.Sub(since)) }
	mine := n.owns(n.partitions[j.partition])
	firstSilent := true
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseWaiting:
			longest(&f.Waiting, t.phaseSince)
			longest(&f.ReplicasMissing, t.phaseSince)
			continue
		case t.phase != phasePlaced && t.phase != phaseProposed:
			continue
		case t.outcome != outcomeNone:
			if !j.dirtySince.IsZero() {
				longest(&f.EndUnstored, j.dirtySince)
			}
			if t.outcome == outcomeFinished {
				r.Done++
				continue
			}
		}
		m := t.machine
		if m.recorded && !slices.Contains(r.Zones, m.rec.Zone) {
			r.Zones = append(r.Zones, m.rec.Zone)
		}
		if len(r.Machines) < mostTold && !slices.Contains(r.Machines, m.name) {
			r.Machines = append(r.Machines, m.name)
		}
		silent := mine && m.recorded && m.hasBooted() && n.silent(m, now)
		if silent {
			r.Silent++
			if d := now.Sub(n.silentSince(m)); firstSilent || d < f.Silent {
				f.Silent, firstSilent = d, false
			}
		}
		switch t.reportedState {
		case reportedRunning, reportedSaving:
			r.Running++
			began := t.runningSince
			if began.IsZero() {
				began = t.phaseSince
			}
			if !silent {
				longest(&f.LongestRun, began)
			}
			if s := j.spec.CheckpointS; s > 0 {
				r.SavedS = max(r.SavedS, s*float64(int(now.Sub(began).Seconds()/s)))
			}
		default:
			r.Starting++
			longest(&f.ReplicasMissing, t.phaseSince)
			if t.reportedState == reportedFetching && !silent {
				longest(&f.LongestFetch, t.phaseSince)
				f.ExpectedFetch = max(f.ExpectedFetch, n.seconds(n.currentFacts(m).SecPerGB*j.spec.ImageGB))
			}
			if t.reportedState == reportedWaiting && !silent {
				longest(&f.GangWaiting, t.phaseSince)
			}
		}
	}
	if j.nWaiting() > 0 && mine && !j.writePending {
		f.CouldStart = j.waitCause == decide.NoReason
	}
	slices.Sort(r.Zones)
	return f
}

// unknownRow is a job of a share whose holder does not answer: what is stored, and no
// more.
func (n *Node) unknownRow(j *job, why string, since, now time.Time) ledger.Row {
	r := n.storedRow(j, now)
	r.State, r.Why, r.Since = ledger.Unknown, why, since.UnixMilli()
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phasePlaced {
			r.Starting++ // recorded there: whether it runs is not known
			if m := t.machine; m.recorded && !slices.Contains(r.Zones, m.rec.Zone) {
				r.Zones = append(r.Zones, m.rec.Zone)
			}
		}
	}
	return r
}

// accountOfOwned is the part of the account that this node tells: jobs and machines of the
// shares that it holds.
func (n *Node) accountOfOwned(q *ledger.Query, now time.Time) *ledger.Page {
	p := ledger.NewPage(n.cfg.Node, now)
	p.SinceStateAnswer = roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds())
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		for _, j := range s.jobs {
			p.Add(q, n.jobRow(j, now))
		}
		for _, m := range s.machines {
			z := ledger.ZoneSums{}
			switch {
			case m.returned:
				continue
			case m.lastFencedReport.IsZero() && !m.hasBooted():
				z.Booting = 1
			case n.silent(m, now):
				z.Silent = 1
			case m.cordoned || m.spotNotice:
				z.Drained = 1
			default:
				z.Up = 1
			}
			if t := n.machineTypes[m.rec.Type]; t != nil && z.Booting == 0 {
				z.GPUs, z.Used = t.GPUs, m.used.GPUs
			}
			p.Zones[m.rec.Zone] = p.Zones[m.rec.Zone].Add(z)
		}
	}
	p.Finish(q)
	n.addJobEvents(p, q)
	return p
}

// addUnknown adds what is stored of shares whose holder did not answer.
func (n *Node) addUnknown(p *ledger.Page, q *ledger.Query, shares []*partition, why string, since, now time.Time) {
	for _, s := range shares {
		for _, j := range s.jobs {
			p.Add(q, n.unknownRow(j, why, since, now))
		}
		for _, m := range s.machines {
			p.Zones[m.rec.Zone] = p.Zones[m.rec.Zone].Add(ledger.ZoneSums{Unknown: 1})
		}
	}
	p.Unknown = append(p.Unknown, why)
}

// onAccount puts the account together: own shares, those of the other holders, what
// ended.
func (n *Node) onAccount(q ledger.Query, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	p := n.accountOfOwned(&q, now)
	n.account.history.DropExpired(now)
	p.RememberedSince = n.account.history.RememberedSince()
	n.account.history.Each(func(e *ledger.Entry) {
		if n.jobs[e.Job] == nil { // claimed anew, it is open again
			p.Add(&q, e.Row(n.cfg.Node))
		}
	})
	if p.SinceStateAnswer > stateServiceTimeout.Seconds() {
		p.Unknown = append(p.Unknown, fmt.Sprintf("the state service last answered %s %.0f s ago: what others accepted or ended since is not known", n.cfg.Node, p.SinceStateAnswer))
	}
	held, vacant := n.peerPartitions()
	for _, s := range vacant {
		n.addUnknown(p, &q, []*partition{s}, fmt.Sprintf("share %d has no holder since %.0f s", s.index, now.Sub(s.vacantSince).Seconds()), s.vacantSince, now)
	}
	ask := protocol.PeerQuery{Kind: protocol.QueryAccount, State: q.State, Team: q.Team, Class: q.Class, Zone: q.Zone, Image: q.Image, Text: q.Text, SinceMS: q.Since, After: q.After, Limit: q.Limit}
	askOwners(n, held, ask, func(holder string, part ledger.Page, unknown string) {
		if unknown == "" && part.JobsByState == nil {
			unknown = unexpectedAnswer(holder, http.StatusOK)
		}
		if unknown == "" {
			p.Merge(&part)
			return
		}
		since := now
		if sib := n.peers[holder]; sib != nil && !sib.lastHint.IsZero() {
			since = sib.lastHint
		}
		n.addUnknown(p, &q, held[holder], unknown, since, time.Now())
	}, func() {
		p.Finish(&q)
		reply <- answer{status: 200, body: p}
	})
}

// onSamples adds up how all nodes' shares were.
func (n *Node) onSamples(reply chan<- answer) {
	all := [][]ledger.Sample{n.account.samples}
	held, _ := n.peerPartitions()
	var unknown []string
	askOwners(n, held, protocol.PeerQuery{Kind: protocol.QuerySamples}, func(_ string, part []ledger.Sample, why string) {
		if why != "" {
			unknown = append(unknown, why)
		}
		all = append(all, part)
	}, func() {
		reply <- answer{status: 200, body: SamplesView{Samples: ledger.SumSamples(all...), Unknown: unknown}}
	})
}

// SamplesView is how the site was, a minute a row.
type SamplesView struct {
	Samples []ledger.Sample `json:"samples"`
	Unknown []string        `json:"unknown,omitempty"`
}

func accountQuery(q protocol.PeerQuery) ledger.Query {
	return ledger.Query{State: q.State, Team: q.Team, Class: q.Class, Zone: q.Zone, Image: q.Image, Text: q.Text, Since: q.SinceMS, After: q.After, Limit: max(1, min(q.Limit, ledger.MaxRows))}
}

func (n *Node) routeAccount(r *httprouter.Router) {
	r.GET("/admin/account", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		q, err := parseQuery(r)
		if err != nil {
			writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
			return
		}
		n.serve(w, r, n.withLoadShedding(func(reply chan<- answer) { n.onAccount(q, time.Now(), reply) }))
	})
	r.GET("/admin/report", n.getReport)
	r.GET("/admin/samples", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		n.serve(w, r, n.withLoadShedding(n.onSamples))
	})
}

// mostReported bounds the rows of the page that a node makes itself; the command line
// makes longer ones.
const mostReported = 2000

// getReport is the report as a page, for who has no command line at hand.
func (n *Node) getReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ask := func(f func(reply chan<- answer)) (answer, error) {
		reply := make(chan answer, 1)
		n.post(func() { f(reply) })
		select {
		case a := <-reply:
			return a, nil
		case <-r.Context().Done():
			return answer{}, r.Context().Err()
		case <-n.ctx.Done():
			return busyAnswer, nil
		}
	}
	var samples []ledger.Sample
	var unknown []string
	if a, err := ask(n.onSamples); err == nil {
		if v, ok := a.body.(SamplesView); ok {
			samples, unknown = v.Samples, v.Unknown
		}
	}
	d, err := report.Collect(func(after string) (*ledger.Page, error) {
		a, err := ask(func(reply chan<- answer) {
			n.onAccount(ledger.Query{After: after, Limit: ledger.MaxRows}, time.Now(), reply)
		})
		if p, ok := a.body.(*ledger.Page); ok {
			return p, nil
		}
		return nil, cmp.Or(err, errNotReady)
	}, samples, mostReported)
	if err != nil {
		writeAnswer(w, busyAnswer)
		return
	}
	for _, u := range unknown {
		if !slices.Contains(d.Unknown, u) {
			d.Unknown = append(d.Unknown, u)
		}
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	d.HTML(w)
}

var errNotReady = errors.New("nothing has been read yet")

// parseQuery reads ?state=&team=&class=&zone=&image=&q=&since=&after=&limit=; since is
// in seconds before now.
func parseQuery(r *http.Request) (ledger.Query, error) {
	v := r.URL.Query()
	q := ledger.Query{State: v.Get("state"), Team: v.Get("team"), Class: v.Get("class"), Zone: v.Get("zone"), Image: v.Get("image"), Text: v.Get("q"), After: v.Get("after"), Limit: 50}
	if s := v.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			n = 0
		}
		q.Limit = n
	}
	if s := v.Get("since"); s != "" {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || !(x >= 0 && x <= 1e9) {
			return q, fmt.Errorf("since: must be seconds, 0 to 1000000000")
		}
		q.Since = time.Now().UnixMilli() - int64(x*1000)
	}
	return q, q.Validate()
}
