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

// The account of a site's jobs (docs/report.md). The owner of a partition reports its open jobs
// from memory. For partitions whose owner does not answer, a node reports the stored state and
// marks it as unknown. Every node learns from the watch which jobs ended and keeps them in memory;
// if configured, the leader also stores them, batched into few changes, so that they survive a
// restart of all nodes. The code in this file may read all state of the actor and writes only
// account and the jobs' histories.

// AccountSettings configures how much is kept of ended jobs.
type AccountSettings struct {
	Entries       int           // maximum number of jobs; 0: 1000, and nothing is stored
	Retention     time.Duration // how long they are kept
	StoreInterval time.Duration // how often they are stored; 0: never
}

// ReadAccountSettings reads a settings file such as deploy/account.toml.
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

// account is what a node remembers of ended jobs and past runs.
type account struct {
	settings   AccountSettings
	history    *ledger.History
	runTimes   map[string]*ledger.RunTimes // by class
	samples    []ledger.Sample
	lostRuns   int // since the last sample
	endedCount int
	storing    bool
	wasLeader  bool // whether this node was the leader at the last check
	loaded     bool
	lastStore  time.Time
	segments   []string  // stored segments, oldest first; valid while this node is the leader
	lastSample time.Time // when the last sample was taken
}

// maxClasses limits the number of classes whose run times are kept.
const maxClasses = 200

func newAccount(settings AccountSettings, now time.Time) account {
	if settings.Entries == 0 {
		settings.Entries, settings.Retention, settings.StoreInterval = 1000, 24*time.Hour, 0
	}
	return account{settings: settings, history: ledger.NewHistory(settings.Entries, settings.Retention, now), runTimes: map[string]*ledger.RunTimes{}}
}

// SetAccountSettings sets how much is kept of ended jobs. It must be called before Run.
func (n *Node) SetAccountSettings(settings AccountSettings) {
	n.account = newAccount(settings, time.Now())
}

// jobHistory is what this node observed of a job while it owned the job's partition.
type jobHistory struct {
	lostRuns     int
	lastLostAt   time.Time
	failedStarts int // consecutive starts that failed
	state        string
	stateSince   time.Time // when that state was first observed
	events       []ledger.Event
}

// addEvent appends an event. A repetition of the last event only updates its time.
func (h *jobHistory) addEvent(now time.Time, text string) {
	if last := len(h.events); last > 0 && h.events[last-1].Text == text {
		h.events[last-1].AtMS = now.UnixMilli()
		return
	}
	if h.events = append(h.events, ledger.Event{AtMS: now.UnixMilli(), Text: text}); len(h.events) > ledger.MaxEvents {
		h.events = h.events[1:]
	}
}

// lastLostMS returns when the last run was lost, or 0 if none was.
func (h *jobHistory) lastLostMS() int64 {
	if h.lastLostAt.IsZero() {
		return 0
	}
	return h.lastLostAt.UnixMilli()
}

// mergeStored merges the losses that the present or an earlier owner stored.
func (h *jobHistory) mergeStored(lost int, lostMS int64) {
	if h.lostRuns = max(h.lostRuns, lost); lostMS > h.lastLostMS() {
		h.lastLostAt = time.UnixMilli(lostMS)
	}
}

// countFailedStart counts a start that failed, unless the task was stopped on purpose.
func (h *jobHistory) countFailedStart(cause string) {
	if cause != protocol.CauseStopped {
		h.failedStarts++
	}
}

// runStarted records that a task runs.
func (n *Node) runStarted(j *job, i int, now time.Time) {
	t := &j.tasks[i]
	j.history.addEvent(now, "a task runs on "+t.machine.name)
	switch {
	case !t.runningSince.IsZero():
	case t.startSentAt.IsZero():
		// An earlier owner started it, and every node knows since when that is recorded. Using the
		// present time would make a stalled task look new after each takeover.
		t.runningSince = t.phaseSince
	default:
		t.runningSince = now
	}
}

// runEnded adds the run time of a completed task to the statistics of its class.
func (n *Node) runEnded(j *job, t *task, now time.Time) {
	j.history.failedStarts = 0
	if t.runningSince.IsZero() || t.outcome != outcomeNone {
		return
	}
	runs := n.account.runTimes[j.spec.Class]
	if runs == nil && len(n.account.runTimes) < maxClasses {
		runs = &ledger.RunTimes{}
		n.account.runTimes[j.spec.Class] = runs
	}
	if runs != nil {
		runs.Observe(now.Sub(t.runningSince))
	}
}

// runLost records that a running task was lost with its machine or its lease.
func (n *Node) runLost(j *job, t *task, now time.Time) {
	if t.phase != phasePlaced || t.outcome != outcomeNone || t.reportedState < reportedRunning || t.reportedState == reportedExited || j.cancelled || t.stopRequested {
		return
	}
	j.history.lostRuns++
	j.history.lastLostAt = now
	j.history.addEvent(now, "a run was lost on "+t.machine.name)
	n.account.lostRuns++
}

// recordJobEnd records the end of a job whose record has been deleted. Every node does this.
func (n *Node) recordJobEnd(j *job) {
	if j.step != nil {
		return // users ask for its ticket
	}
	state := ledger.Done
	if f, ok := n.finalJobs.byID[j.id]; ok && f.Status == protocol.JobCancelled || j.cancelled {
		state = ledger.Withdrawn
	}
	n.addToHistory(ledger.Entry{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Shape: j.spec.Shape, State: state, Submitted: j.submitted.UnixMilli(), Tasks: j.spec.Tasks, LostRuns: j.history.lostRuns})
}

// recordTicketEnd records the end of a ticket.
func (n *Node) recordTicketEnd(t *openTicket) {
	state := ledger.Done
	final, isFinal := n.finalJobs.byID[t.id]
	switch {
	case isFinal:
		state = final.Status // the account uses the same status names
	case t.rec.FailureReason != "":
		state = ledger.Failed
	case t.cancelled:
		state = ledger.Withdrawn
	case slices.ContainsFunc(t.rec.Steps, func(s protocol.TicketStep) bool { return s.State == protocol.JobFailed }):
		state = ledger.Failed
	}
	base := t.rec.Base
	n.addToHistory(ledger.Entry{Job: t.id, Team: base.Team, Class: base.Class, Shape: base.Shape, State: state, Submitted: t.submitted.UnixMilli(), Tasks: base.Tasks})
}

func (n *Node) addToHistory(e ledger.Entry) {
	e.Ended = time.Now().UnixMilli()
	n.account.history.Add(e)
	n.account.endedCount++
}

// tickAccount takes samples, stores ended jobs and expires old ones.
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
	if isLeader := n.isLeader(); !isLeader || !a.wasLeader {
		if a.wasLeader = isLeader; isLeader && !a.storing {
			n.beginStoring(now)
		} else if isLeader {
			a.wasLeader = false // a write from an earlier term as leader is still in progress
		}
		return
	}
	if a.storing || now.Sub(a.lastStore) < a.settings.StoreInterval {
		return
	}
	a.lastStore = now
	n.storeHistory(now)
}

// storeHistory stores the jobs that ended since the last call in one change, which also deletes the
// oldest segments that have expired, two at most.
func (n *Node) storeHistory(now time.Time) {
	a := &n.account
	key, data, markStored := a.history.NextSegment(now, int(n.cfg.Params.State.ValueKB*1024)-64)
	if key == "" {
		return
	}
	key = protocol.HistoryRoot + key
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0))}, Writes: []storage.Write{{Put: key, Value: data}}}
	expiry := protocol.HistoryRoot + ledger.SegmentKey(now.Add(-a.settings.Retention).UnixMilli())
	remaining := a.segments
	for len(remaining) > 0 && remaining[0] < expiry && len(op.Writes) < 3 {
		op.Writes = append(op.Writes, storage.Write{Delete: remaining[0]})
		remaining = remaining[1:]
	}
	a.storing = true
	op.Done = func(r storage.Result) {
		n.post(func() {
			if a.storing = false; r.OK {
				markStored()
				a.segments = append(remaining, key)
			}
		})
	}
	if !n.backgroundCommitter.Submit(op) {
		a.storing = false
	}
}

// beginStoring makes this node the one that stores ended jobs. The list of stored segments is read
// once, since from then on only this node adds and removes segments.
func (n *Node) beginStoring(now time.Time) {
	a := &n.account
	a.history.BeginStoring(now, 2*a.settings.StoreInterval)
	a.lastStore, a.segments, a.storing = now, nil, true
	n.spawn(func(ctx context.Context) {
		items, _, err := n.store.List(ctx, protocol.HistoryRoot)
		n.post(func() {
			if a.storing = false; err != nil {
				a.wasLeader = false // retried later
				return
			}
			for _, it := range items {
				a.segments = append(a.segments, it.Key)
			}
		})
	})
}

// loadHistory loads the ended jobs that earlier processes stored.
func (n *Node) loadHistory() {
	n.spawn(func(ctx context.Context) {
		items, _, err := n.store.List(ctx, protocol.HistoryRoot)
		n.post(func() {
			now := time.Now()
			if err != nil {
				n.account.loaded = false // retried later
				return
			}
			for _, it := range items {
				if err := n.account.history.Load(it.Value, now); err != nil {
					n.log.Error("account segment could not be decoded", "key", it.Key, "why", err)
				}
			}
			n.account.history.FinishLoading(now)
			n.log.Info("account loaded", "segments", len(items), "jobs", n.account.history.Len())
		})
	})
}

// takeSample returns the present state of the owned partitions.
func (n *Node) takeSample(now time.Time) ledger.Sample {
	sample := ledger.Sample{AtMS: now.UnixMilli(), Lost: n.account.lostRuns}
	if n.isLeader() {
		sample.Ended = n.account.endedCount // counted by the leader only, since every node sees each end
	}
	n.account.lostRuns, n.account.endedCount = 0, 0
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, m := range p.machines {
			if !m.lastFencedReport.IsZero() {
				if sample.Machines++; n.silent(m, now) {
					sample.Silent++
				}
			}
		}
		for _, j := range p.jobs {
			if !j.cancelled {
				sample.Waiting += j.nWaiting()
			}
			row := n.jobRow(j, now)
			sample.Running += row.Running
			if row.State == ledger.Stuck {
				sample.Stuck++
			}
		}
	}
	return sample
}

// jobRow returns the account row of an open job in an owned partition.
func (n *Node) jobRow(j *job, now time.Time) ledger.Row {
	row := n.storedRow(j, now)
	facts := n.stuckFacts(j, now, &row)
	binding := n.bindingCause(j, now)
	active := row.Running + row.Starting
	switch {
	case j.cancelled:
		row.State = ledger.Stopping
	case active > 0 && n.tasksAwaitingReport(j) >= active:
		row.State, row.Why = ledger.Unknown, fmt.Sprintf("none of its machines has spoken since %s took its share, %.0f s ago", n.cfg.Node, now.Sub(n.partitions[j.partition].acquiredAt).Seconds())
	case active > 0 && row.Silent == active:
		row.State, row.Why = ledger.Unknown, fmt.Sprintf("all of its machines are silent, for %.0f s", facts.Silent.Seconds())
	default:
		if row.Why = ledger.StuckReason(facts); row.Why != "" {
			row.State = ledger.Stuck
			break
		}
		switch {
		case row.Running > 0:
			row.State = ledger.Running
		case row.Starting > 0:
			row.State = ledger.Starting
		default:
			row.State = ledger.Waiting
		}
		if row.Waiting > 0 {
			row.Why = binding.Text()
		}
	}
	if j.history.state != row.State {
		text := row.State
		if row.Why != "" {
			text += ": " + row.Why
		}
		j.history.addEvent(now, text)
		if j.history.state != "" && (row.State == ledger.Stuck || j.history.state == ledger.Stuck) {
			n.log.Info("job is "+row.State, "job", j.id, "was", j.history.state, "why", row.Why)
		}
		j.history.state, j.history.stateSince = row.State, now
	}
	row.Since = j.history.stateSince.UnixMilli()
	return row
}

// addJobEvents adds a job's events to its row if the query asked for that job alone.
func (n *Node) addJobEvents(page *ledger.Page, query *ledger.Query) {
	for i := range page.Rows {
		if j := n.jobs[page.Rows[i].Job]; j != nil && j.id == query.Text {
			page.Rows[i].Events = j.history.events
		}
	}
}

// storedRow returns the part of a row that any node knows: the stored state.
func (n *Node) storedRow(j *job, now time.Time) ledger.Row {
	row := ledger.Row{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Shape: j.spec.Shape, Image: j.spec.Image, Tasks: len(j.tasks), Done: j.nDone, Failed: j.nExhausted,
		Waiting: j.nWaiting(), Lost: j.history.lostRuns, LostMS: j.history.lastLostMS(), Submitted: j.submitted.UnixMilli(), AsOf: now.UnixMilli(), Node: n.cfg.Node}
	if j.step != nil {
		row.Ticket = j.step.Ticket
	}
	return row
}

// maxRowMachines limits the number of machines that a row names.
const maxRowMachines = 4

// stuckFacts collects the facts from which a job is judged to be stuck, and fills in the task
// counts of its row.
func (n *Node) stuckFacts(j *job, now time.Time, row *ledger.Row) *ledger.StuckFacts {
	facts := &ledger.StuckFacts{Service: j.spec.Shape == protocol.Service, Gang: j.spec.Shape == protocol.Gang, Estimate: n.seconds(j.spec.EstimateS), ClassRunTimes: n.account.runTimes[j.spec.Class],
		GangTimeout: n.seconds(n.cfg.Params.Workers.GangWaitS), FailedStarts: j.history.failedStarts}
	if j.failures.failsEverywhere {
		facts.FailedStarts = max(facts.FailedStarts, j.failures.tries+2)
	}
	if j.step != nil {
		facts.FailedStarts = 0 // its retries are limited, and the job ends with the last one
	}
	longest := func(total *time.Duration, since time.Time) { *total = max(*total, now.Sub(since)) }
	owned := n.owns(n.partitions[j.partition])
	firstSilent := true
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseWaiting:
			longest(&facts.Waiting, t.phaseSince)
			longest(&facts.ReplicasMissing, t.phaseSince)
			continue
		case t.phase != phasePlaced && t.phase != phaseProposed:
			continue
		case t.outcome != outcomeNone:
			if !j.dirtySince.IsZero() {
				longest(&facts.EndUnstored, j.dirtySince)
			}
			if t.outcome == outcomeFinished {
				row.Done++
				continue
			}
		}
		m := t.machine
		if m.recorded && !slices.Contains(row.Zones, m.rec.Zone) {
			row.Zones = append(row.Zones, m.rec.Zone)
		}
		if len(row.Machines) < maxRowMachines && !slices.Contains(row.Machines, m.name) {
			row.Machines = append(row.Machines, m.name)
		}
		silent := n.ownsMachine(m) && m.hasBooted() && n.silent(m, now)
		if silent {
			row.Silent++
			if silence := now.Sub(n.silentSince(m)); firstSilent || silence < facts.Silent {
				facts.Silent, firstSilent = silence, false
			}
		}
		switch n.shownState(j, t) {
		case reportedRunning, reportedSaving:
			row.Running++
			began := t.runningSince
			if began.IsZero() {
				began = t.phaseSince
			}
			if !silent {
				longest(&facts.LongestRun, began)
			}
			if s := j.spec.CheckpointS; s > 0 {
				row.SavedS = max(row.SavedS, s*float64(int(now.Sub(began).Seconds()/s)))
			}
		default:
			row.Starting++
			longest(&facts.ReplicasMissing, t.phaseSince)
			if t.reportedState == reportedFetching && !silent {
				longest(&facts.LongestFetch, t.phaseSince)
				facts.ExpectedFetch = max(facts.ExpectedFetch, n.seconds(n.currentFacts(m).SecPerGB*j.spec.ImageGB))
			}
			if t.reportedState == reportedWaiting && !silent {
				longest(&facts.GangWaiting, t.phaseSince)
			}
		}
	}
	if j.nWaiting() > 0 && owned && !j.writePending {
		facts.CouldStart = j.waitCause == decide.NoReason
	}
	slices.Sort(row.Zones)
	return facts
}

// unknownRow returns the row of a job whose partition's owner does not answer: only the stored
// state.
func (n *Node) unknownRow(j *job, why string, since, now time.Time) ledger.Row {
	row := n.storedRow(j, now)
	row.State, row.Why, row.Since = ledger.Unknown, why, since.UnixMilli()
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phasePlaced {
			row.Starting++ // recorded as placed; whether it runs is not known
			if m := t.machine; m.recorded && !slices.Contains(row.Zones, m.rec.Zone) {
				row.Zones = append(row.Zones, m.rec.Zone)
			}
		}
	}
	return row
}

// accountOfOwned returns this node's part of the account: the jobs and machines of the partitions
// that it owns.
func (n *Node) accountOfOwned(query *ledger.Query, now time.Time) *ledger.Page {
	page := ledger.NewPage(n.cfg.Node, now)
	page.SinceStateAnswer = roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds())
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, j := range p.jobs {
			page.Add(query, n.jobRow(j, now))
		}
		for _, m := range p.machines {
			sums := ledger.ZoneSums{}
			switch {
			case m.returned:
				continue
			case m.lastFencedReport.IsZero() && !m.hasBooted():
				sums.Booting = 1
			case n.silent(m, now):
				sums.Silent = 1
			case m.cordoned || m.spotNotice:
				sums.Drained = 1
			default:
				sums.Up = 1
			}
			if t := n.machineTypes[m.rec.Type]; t != nil && sums.Booting == 0 {
				sums.GPUs, sums.Used = t.GPUs, m.used.GPUs
			}
			page.Zones[m.rec.Zone] = page.Zones[m.rec.Zone].Add(sums)
		}
	}
	page.Finish(query)
	n.addJobEvents(page, query)
	return page
}

// addUnknown adds the stored state of partitions whose owner did not answer.
func (n *Node) addUnknown(page *ledger.Page, query *ledger.Query, partitions []*partition, why string, since, now time.Time) {
	for _, p := range partitions {
		for _, j := range p.jobs {
			page.Add(query, n.unknownRow(j, why, since, now))
		}
		for _, m := range p.machines {
			page.Zones[m.rec.Zone] = page.Zones[m.rec.Zone].Add(ledger.ZoneSums{Unknown: 1})
		}
	}
	page.Unknown = append(page.Unknown, why)
}

// onAccount assembles the account from the owned partitions, those of the other owners, and the
// ended jobs.
func (n *Node) onAccount(query ledger.Query, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	page := n.accountOfOwned(&query, now)
	n.account.history.DropExpired(now)
	page.RememberedSince = n.account.history.RememberedSince()
	n.account.history.Each(func(e *ledger.Entry) {
		if n.jobs[e.Job] == nil { // a claimed job that was submitted again is open
			page.Add(&query, e.Row(n.cfg.Node))
		}
	})
	if page.SinceStateAnswer > stateServiceTimeout.Seconds() {
		page.Unknown = append(page.Unknown, fmt.Sprintf("the state service last answered %s %.0f s ago: what others accepted or ended since is not known", n.cfg.Node, page.SinceStateAnswer))
	}
	byOwner, vacant := n.peerPartitions()
	for _, p := range vacant {
		n.addUnknown(page, &query, []*partition{p}, fmt.Sprintf("share %d has no holder since %.0f s", p.index, now.Sub(p.vacantSince).Seconds()), p.vacantSince, now)
	}
	question := protocol.PeerQuery{Kind: protocol.QueryAccount, State: query.State, Team: query.Team, Class: query.Class, Zone: query.Zone, Image: query.Image, Text: query.Text, SinceMS: query.Since, After: query.After, Limit: query.Limit}
	askOwners(n, byOwner, question, func(owner string, part ledger.Page, unknown string) {
		if unknown == "" && part.JobsByState == nil {
			unknown = unexpectedAnswer(owner, http.StatusOK)
		}
		if unknown == "" {
			page.Merge(&part)
			return
		}
		since := now
		if peer := n.peers[owner]; peer != nil && !peer.lastHint.IsZero() {
			since = peer.lastHint
		}
		n.addUnknown(page, &query, byOwner[owner], unknown, since, time.Now())
	}, func() {
		page.Finish(&query)
		reply <- answer{status: 200, body: page}
	})
}

// onSamples adds up the samples of all nodes.
func (n *Node) onSamples(reply chan<- answer) {
	all := [][]ledger.Sample{n.account.samples}
	byOwner, _ := n.peerPartitions()
	var unknown []string
	askOwners(n, byOwner, protocol.PeerQuery{Kind: protocol.QuerySamples}, func(_ string, part []ledger.Sample, why string) {
		if why != "" {
			unknown = append(unknown, why)
		}
		all = append(all, part)
	}, func() {
		reply <- answer{status: 200, body: SamplesView{Samples: ledger.SumSamples(all...), Unknown: unknown}}
	})
}

// SamplesView is the state of the site over time, one sample a minute.
type SamplesView struct {
	Samples []ledger.Sample `json:"samples"`
	Unknown []string        `json:"unknown,omitempty"`
}

// accountQuery returns the query that a peer's question contains.
func accountQuery(question protocol.PeerQuery) ledger.Query {
	return ledger.Query{State: question.State, Team: question.Team, Class: question.Class, Zone: question.Zone, Image: question.Image, Text: question.Text, Since: question.SinceMS, After: question.After, Limit: max(1, min(question.Limit, ledger.MaxRows))}
}

func (n *Node) routeAccount(r *httprouter.Router) {
	r.GET("/admin/account", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		q, err := parseAccountQuery(r)
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

// maxReportRows limits the rows of the report page that a node renders itself; the command line can
// produce longer reports.
const maxReportRows = 2000

// getReport serves the report as an HTML page, for users without the command line.
func (n *Node) getReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	request := func(f func(reply chan<- answer)) (answer, error) {
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
	if a, err := request(n.onSamples); err == nil {
		if v, ok := a.body.(SamplesView); ok {
			samples, unknown = v.Samples, v.Unknown
		}
	}
	data, err := report.Collect(func(after string) (*ledger.Page, error) {
		a, err := request(func(reply chan<- answer) {
			n.onAccount(ledger.Query{After: after, Limit: ledger.MaxRows}, time.Now(), reply)
		})
		if p, ok := a.body.(*ledger.Page); ok {
			return p, nil
		}
		return nil, cmp.Or(err, errNotLoaded)
	}, samples, maxReportRows)
	if err != nil {
		writeAnswer(w, busyAnswer)
		return
	}
	for _, u := range unknown {
		if !slices.Contains(data.Unknown, u) {
			data.Unknown = append(data.Unknown, u)
		}
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	data.HTML(w)
}

var errNotLoaded = errors.New("replica not loaded yet")

// parseAccountQuery parses ?state=&team=&class=&zone=&image=&q=&since=&after=&limit=, where since
// is in seconds before now.
func parseAccountQuery(r *http.Request) (ledger.Query, error) {
	values := r.URL.Query()
	query := ledger.Query{State: values.Get("state"), Team: values.Get("team"), Class: values.Get("class"), Zone: values.Get("zone"), Image: values.Get("image"), Text: values.Get("q"), After: values.Get("after"), Limit: 50}
	if text := values.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			n = 0
		}
		query.Limit = n
	}
	if text := values.Get("since"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds >= 0 && seconds <= 1e9) {
			return query, fmt.Errorf("since: must be seconds, 0 to 1000000000")
		}
		query.Since = time.Now().UnixMilli() - int64(seconds*1000)
	}
	return query, query.Validate()
}
