package decide

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Why a job waits. Explain names all causes that hold it at the moment of a view, the
// one that binds first first, and Release the smallest change found that would let it
// start, confirmed by the decision itself on a view with that change.

// Cause is one reason why a job waits, with its facts.
type Cause struct {
	Reason   Reason    `json:"cause"`
	Used     float64   `json:"used,omitempty"`  // GPUs, or vCPUs where the limit is theirs
	Limit    float64   `json:"limit,omitempty"` // of the same
	Lacks    string    `json:"lacks,omitempty"` // what is short: vcpus, cards, memGb
	Count    int       `json:"count,omitempty"` // machines, tasks or jobs, as the cause has it
	Need     int       `json:"need,omitempty"`
	Machines []string  `json:"machines,omitempty"` // the first of them
	Zones    []string  `json:"zones,omitempty"`
	Jobs     []string  `json:"jobs,omitempty"`
	Offers   []Offer   `json:"offers,omitempty"`
	Until    time.Time `json:"until,omitzero"` // when it is looked at again
}

// MarshalJSON writes a reason by its name.
func (k Reason) MarshalJSON() ([]byte, error) { return json.Marshal(k.String()) }

// UnmarshalJSON reads a reason's name.
func (k *Reason) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	for i, t := range reasonTexts {
		if t.name == name {
			*k = Reason(i)
			return nil
		}
	}
	return fmt.Errorf("no such cause: %q", name)
}

// maxListed bounds the names in a cause.
const maxListed = 5

func joinNames(names []string) string {
	out := strings.Join(names[:min(len(names), maxListed)], ", ")
	if len(names) > maxListed {
		out += fmt.Sprintf(" and %d more", len(names)-maxListed)
	}
	return out
}

// String is a cause in words, its facts included.
func (c Cause) String() string {
	of := func(what string) string {
		return fmt.Sprintf("%s: %d (%s)", what, c.Count, joinNames(c.Machines))
	}
	switch c.Reason {
	case TeamLimit:
		return fmt.Sprintf("team limit: its team uses %g of %g %s, and %d more are needed", c.Used, c.Limit, c.Lacks, c.Need)
	case GangIncomplete:
		return fmt.Sprintf("gang incomplete: %d of its %d tasks fit at once", c.Count, c.Need)
	case ReservingForGang:
		return fmt.Sprintf("gathering room: %d of %d machines kept (%s)", c.Count, c.Need, joinNames(c.Machines))
	case NoFreeMachine:
		return fmt.Sprintf("no free machine: %d that it may use lack %s", c.Count, c.Lacks)
	case Drained, NotReady, ReportOverdue, EarmarkedForGang, Booting, AwaitingFirstReport:
		return of(c.Reason.Text())
	case ZoneBound:
		return "where its other tasks are leaves no room in " + strings.Join(c.Zones, ", ")
	case JobsAhead:
		return fmt.Sprintf("%d jobs come first: %s", c.Count, joinNames(c.Jobs))
	case CloudRefused:
		var kinds []string
		for _, o := range c.Offers {
			kinds = append(kinds, o.String())
		}
		return "the cloud refused " + joinNames(kinds)
	case FailsEverywhere:
		return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s", c.Count, joinNames(c.Machines))
	}
	return c.Reason.Text()
}

// String is an offer in words.
func (o Offer) String() string {
	s := o.Type + " in " + o.Zone
	if o.Spot {
		s += " (spot)"
	}
	return s
}

// ExplainContext is what holds a job beside its share's machines and its team.
type ExplainContext struct {
	SinceStateAnswer  time.Duration // since the state service last answered
	RentalsStopped    bool          // operators stopped rentals
	GuaranteedWaiting bool          // work with a guarantee waits somewhere
	JobsAhead         []*Job        // jobs of the share that wait and come before it
	Market            *Market
}

// stateServiceTimeout is after how long without an answer nothing is decided.
const stateServiceTimeout = 2 * time.Second

// Explain names what keeps a job's tasks waiting: nothing if a decision would start
// one of them now.
func (v *View) Explain(j *Job, a *ExplainContext) []Cause {
	var out []Cause
	add := func(c Cause) { out = append(out, c) }
	if j.Waiting == 0 {
		return nil
	}
	if a.SinceStateAnswer > stateServiceTimeout {
		add(Cause{Reason: StateServiceDown})
	}
	t := v.team(j).effectiveFor(j, v.Now)
	switch {
	case j.Cancelled:
		return append(out, Cause{Reason: Stopping})
	case j.SiteLeaseMissing:
		add(Cause{Reason: SiteWithoutLease})
	}
	if j.WritePending {
		add(Cause{Reason: WritePending})
	}
	if j.AbortAttempt {
		add(Cause{Reason: GangLeaving, Count: j.Placed})
	}
	if j.FailsEverywhere && (v.Now.Before(j.NotBefore) || j.Placed > 0) {
		add(Cause{Reason: FailsEverywhere, Count: j.Tries, Machines: []string{j.LastError}, Until: j.NotBefore})
	} else if j.InBackoff > 0 && j.InBackoff == j.Waiting || v.Now.Before(j.NotBefore) {
		add(Cause{Reason: RetryBackoff, Count: j.InBackoff, Until: j.NotBefore})
	}
	if c, short := t.exceededLimit(j); short {
		add(c)
	}
	if c, never := v.neverFits(j); never {
		add(c)
	}
	if len(out) == 0 && v.wouldStart(j) {
		return nil
	}
	out = append(out, v.machineCauses(j)...)
	if t.Unguaranteed() && a.GuaranteedWaiting {
		add(Cause{Reason: GuaranteesFirst})
	}
	if a.RentalsStopped {
		add(Cause{Reason: RentalsStopped})
	}
	if a.Market != nil {
		var refused []Offer
		last := time.Time{}
		for o, till := range a.Market.RefusedUntil {
			if v.Now.Before(till) && Allowed(j.Spec, o) {
				refused = append(refused, o)
				if till.After(last) {
					last = till
				}
			}
		}
		if refused != nil {
			slices.SortFunc(refused, func(a, b Offer) int { return cmp.Compare(a.String(), b.String()) })
			add(Cause{Reason: CloudRefused, Offers: refused[:min(len(refused), maxListed)], Count: len(refused), Until: last})
		}
	}
	if len(a.JobsAhead) > 0 {
		c := Cause{Reason: JobsAhead, Count: len(a.JobsAhead)}
		for _, o := range a.JobsAhead[:min(len(a.JobsAhead), maxListed)] {
			c.Jobs = append(c.Jobs, o.ID)
		}
		add(c)
	}
	if len(out) == 0 {
		add(Cause{Reason: NoCapacity}) // nothing is known to stand in its way but that there is no machine yet
	}
	return out
}

// wouldStart says whether a decision would start some of a job's tasks, or make room.
func (v *View) wouldStart(j *Job) bool {
	if j.WritePending || j.SiteLeaseMissing || j.Cancelled || j.AbortAttempt || v.Now.Before(j.NotBefore) {
		return false
	}
	p := v.Place(j)
	return len(p.Machines) > 0 || p.Preemption.HasEvictions()
}

// minTasksToStart is how many of a job's tasks must fit for it to start.
func (j *Job) minTasksToStart() int {
	if j.Spec.Shape == protocol.Gang {
		return j.Tasks
	}
	return 1
}

// exceededLimit says whether the team's limit keeps a job from starting.
func (t *Team) exceededLimit(j *Job) (Cause, bool) {
	n := j.minTasksToStart()
	if t.TasksWithinLimit(j.Need) >= n {
		return Cause{}, false
	}
	c := Cause{Reason: TeamLimit, Need: n}
	if need := j.Need.GPUs * float64(n); t.Limit.GPUs > 0 && t.Used.GPUs+need > t.Limit.GPUs+Tolerance {
		c.Used, c.Limit, c.Lacks = t.Used.GPUs, t.Limit.GPUs, "cards"
	} else {
		c.Used, c.Limit, c.Lacks = t.Used.CPUs, t.Limit.CPUs, "vcpus"
	}
	return c, true
}

// neverFits says whether no type of the catalogue can take a job's tasks, or, of a gang,
// not in as many zones as it needs. Nothing is rented, moved or stopped for such a job.
func (v *View) neverFits(j *Job) (Cause, bool) {
	if len(v.Types) == 0 {
		return Cause{}, false // not known yet
	}
	split := j.Spec.Shape == protocol.Gang && j.Spec.Spread && j.Tasks > 1
	zone, zones := "", 0
	for _, t := range v.Types {
		for _, z := range t.Zones {
			if z == zone || SizeOf(t).TaskCount(j.Need) == 0 || !Allowed(j.Spec, Offer{Type: t.Name, Zone: z}) {
				continue
			}
			if zones++; !split || zones > 1 && !j.Spec.OneZone {
				return Cause{}, false
			}
			zone = z
		}
	}
	if zones == 0 {
		return Cause{Reason: NeverFits}, true
	}
	return Cause{Reason: GangNeverFits}, true
}

// neverRuns says whether a gang can't run whatever becomes free: it is asked for nothing else.
func (v *View) neverRuns(j *Job) bool {
	if j.Spec.Shape != protocol.Gang || !j.Spec.Spread {
		return false
	}
	_, never := v.neverFits(j)
	return never
}

// obstacle is what stands between a machine and a job.
func (v *View) obstacle(m *Machine, j *Job) Reason {
	switch {
	case m.Block&(Cordoned|InterruptionNotice) != 0:
		return Drained
	case m.LastReport.IsZero() && m.Block&(Returned|Returning|Moving) == 0 && m.HasAddress:
		return AwaitingFirstReport
	case m.LastReport.IsZero() && m.Block&(Returned|Returning|Moving) == 0:
		return Booting
	case m.Block&(Unfenced|StartUnconfirmed|Moving|Faulty|Returning|Returned) != 0 || v.Now.Before(m.AvoidUntil):
		return NotReady
	case m.reportOverdue(v.Now, v.Config.ReportS):
		return ReportOverdue
	case m.EarmarkExcludes(j, v.Now):
		return EarmarkedForGang
	case j.zoneCapacity(m.Zone) <= 0:
		return ZoneBound
	case m.Free().TaskCount(j.Need) == 0:
		return NoFreeMachine
	}
	return NoReason
}

// machineCauses are what the share's machines have to do with a job's waiting.
func (v *View) machineCauses(j *Job) []Cause {
	count := map[Reason]*Cause{}
	fit := map[string]int{} // tasks that fit, by zone
	lacks := map[string]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		k := v.obstacle(m, j)
		if k == NoReason {
			fit[m.Zone] += m.Free().TaskCount(j.Need)
			continue
		}
		c := count[k]
		if c == nil {
			c = &Cause{Reason: k}
			count[k] = c
		}
		c.Count++
		if len(c.Machines) < maxListed {
			c.Machines = append(c.Machines, m.Name)
		}
		if !slices.Contains(c.Zones, m.Zone) {
			c.Zones = append(c.Zones, m.Zone)
		}
		if k == NoFreeMachine {
			f := m.Free()
			for _, l := range []struct {
				name       string
				free, need float64
			}{{"vcpus", f.CPUs, j.Need.CPUs}, {"cards", f.GPUs, j.Need.GPUs}, {"memGb", f.MemoryGB, j.Need.MemoryGB}} {
				if l.free+Tolerance < l.need {
					lacks[l.name]++
				}
			}
		}
	}
	var out []Cause
	if j.Spec.Shape == protocol.Gang {
		have := 0
		for _, n := range fit {
			if j.Spec.OneZone {
				have = max(have, n)
			} else {
				have += n
			}
		}
		if have < j.Tasks {
			out = append(out, Cause{Reason: GangIncomplete, Count: min(have, j.Tasks), Need: j.Tasks})
		}
	}
	if c, reserved := v.reservedCause(j); reserved {
		out = append(out, c)
	}
	for _, k := range []Reason{Drained, ReportOverdue, EarmarkedForGang, ZoneBound, NoFreeMachine, NotReady, Booting, AwaitingFirstReport} {
		c := count[k]
		if c == nil {
			continue
		}
		if k == NoFreeMachine {
			var names []string
			for name := range lacks {
				names = append(names, name)
			}
			slices.SortFunc(names, func(a, b string) int { return cmp.Or(lacks[b]-lacks[a], cmp.Compare(a, b)) })
			c.Lacks = strings.Join(names, ", ")
		}
		slices.Sort(c.Zones)
		out = append(out, *c)
	}
	return out
}

// reservedCause is how much of the room that a gang needs is reserved for it.
func (v *View) reservedCause(j *Job) (c Cause, reserved bool) {
	c = Cause{Reason: ReservingForGang}
	size := 1 // tasks on the machine that takes most of them
	for _, m := range v.Index.Machines(v.Partition) {
		if !m.IsReservedFor(j, v.Now) {
			continue
		}
		c.Count++
		c.Until = m.EarmarkedUntil
		size = max(size, m.Size.TaskCount(j.Need))
		if len(c.Machines) < maxListed {
			c.Machines = append(c.Machines, m.Name)
		}
	}
	c.Need = max(c.Count, (j.Tasks+size-1)/size)
	return c, c.Count > 0
}

// Change is something that would have to happen for a job to start.
type Change struct {
	Reason   Reason   `json:"releases"`
	GPUs     float64  `json:"cards,omitempty"` // of the team's limit
	CPUs     float64  `json:"vcpus,omitempty"`
	Tasks    int      `json:"tasks,omitempty"`    // that end on each of the machines
	Machines []string `json:"machines,omitempty"` // any Need of them
	Need     int      `json:"need,omitempty"`
	Offer    Offer    `json:"offer,omitzero"`
	freed    map[string]Resources
}

// String is a change in words.
func (c Change) String() string {
	any := joinNames(c.Machines)
	if c.Need < len(c.Machines) {
		any = fmt.Sprintf("any %d of %s", c.Need, any)
	}
	switch c.Reason {
	case TeamLimit:
		if c.GPUs > 0 {
			return fmt.Sprintf("%g more cards of the team's limit", c.GPUs)
		}
		return fmt.Sprintf("%g more vcpus of the team's limit", c.CPUs)
	case NoFreeMachine:
		return fmt.Sprintf("%d tasks end on %s", c.Tasks, any)
	case Drained:
		return "the drain ends of " + any
	case ReportOverdue:
		return "heard again: " + any
	case EarmarkedForGang:
		return "no longer kept for a gang: " + any
	case NotReady, Booting, AwaitingFirstReport:
		return "ready: " + any
	case NoCapacity:
		return fmt.Sprintf("%d machines more of %s", c.Need, c.Offer)
	case RetryBackoff, FailsEverywhere:
		return "its next try"
	case StateServiceDown:
		return "the state service answers"
	case SiteWithoutLease:
		return "the site has its lease again"
	case WritePending:
		return "the change is stored"
	case GangLeaving:
		return "the rest of its earlier attempt is gone"
	}
	return "not: " + c.Reason.Text()
}

// ChangesToStart is the smallest change found that lets a job start: the causes that stand in
// the way by themselves, and of the machines' the one that asks least. ok says that
// the decision, asked on a view with the change, starts it.
func (v *View) ChangesToStart(j *Job, a *ExplainContext) (changes []Change, ok bool) {
	w, after := v.withoutOwnCauses(j)
	if a.SinceStateAnswer > stateServiceTimeout {
		changes = append(changes, Change{Reason: StateServiceDown})
	}
	for _, c := range []struct {
		is bool
		k  Reason
	}{{j.SiteLeaseMissing, SiteWithoutLease}, {j.WritePending, WritePending}, {j.AbortAttempt, GangLeaving}, {j.FailsEverywhere && (v.Now.Before(j.NotBefore) || j.Placed > 0), FailsEverywhere},
		{!j.FailsEverywhere && (j.InBackoff > 0 && j.InBackoff == j.Waiting || v.Now.Before(j.NotBefore)), RetryBackoff}} {
		if c.is {
			changes = append(changes, Change{Reason: c.k})
		}
	}
	if t := v.team(j).effectiveFor(j, v.Now); t.TasksWithinLimit(j.Need) < j.minTasksToStart() {
		n := float64(j.minTasksToStart())
		c := Change{Reason: TeamLimit}
		if t.Limit.GPUs > 0 {
			c.GPUs = max(0, t.Used.GPUs+n*j.Need.GPUs-t.Limit.GPUs)
		}
		if t.Limit.CPUs > 0 {
			c.CPUs = max(0, t.Used.CPUs+n*j.Need.CPUs-t.Limit.CPUs)
		}
		raised := *t
		raised.Limit, raised.LimitReservations = raised.Limit.Add(Resources{CPUs: c.CPUs, GPUs: c.GPUs}, 1), nil
		w.Teams = slices.Clone(v.Teams)
		w.Teams[j.Team] = &raised
		changes = append(changes, c)
	}
	if _, never := v.neverFits(j); never || j.Cancelled {
		return changes, false
	}
	// With that out of the way, do the machines that have room do?
	base := v.usableMachines(j, nil)
	w.Index = v.indexOf(base)
	if w.wouldStart(after) {
		return changes, true
	}
	for _, c := range v.possibleChanges(j) {
		w.Index = v.indexOf(append(slices.Clone(base), v.machinesAfter(j, c)...))
		if w.wouldStart(after) {
			return append(changes, c), true
		}
	}
	return changes, false
}

// withoutOwnCauses is a view and a job without the causes that are the job's own.
func (v *View) withoutOwnCauses(j *Job) (*View, *Job) {
	w := *v
	w.noCapacityAt, w.noVictimsAt, w.relocatableByRank = nil, nil, nil
	after := *j
	after.SiteLeaseMissing, after.WritePending, after.AbortAttempt, after.InBackoff, after.NotBefore = false, false, false, 0, time.Time{}
	if j.AbortAttempt {
		after.Waiting, after.Placed, after.Zones = j.Tasks, 0, nil
	}
	if j.FailsEverywhere {
		after.Placed = 0
	}
	after.PreemptionWaitUntil = v.Now // nobody is stopped for it here
	after.PreemptAfter = v.Now.Add(time.Hour)
	return &w, &after
}

// usableMachines are copies of the machines that a job could take now.
func (v *View) usableMachines(j *Job, except map[string]bool) (out []*Machine) {
	n := 0
	for _, m := range v.Index.Machines(v.Partition) {
		if Allowed(j.Spec, m.offer()) && v.obstacle(m, j) == NoReason && !except[m.Name] {
			c := *m
			out = append(out, &c)
			if n += m.Free().TaskCount(j.Need); n > 4*j.Tasks+64 {
				break // more do not matter
			}
		}
	}
	return out
}

// indexOf makes an index of copies of machines.
func (v *View) indexOf(ms []*Machine) *Index {
	x := NewIndex(len(v.Index.partitions), len(v.Teams))
	for _, m := range ms {
		f := *m
		f.id, f.listed, f.group = 0, false, nil
		x.Set(&Machine{}, &f)
	}
	return x
}

// possibleChanges are what could happen to machines so that a job starts, the smallest first.
func (v *View) possibleChanges(j *Job) []Change {
	byKind := map[Reason]*Change{}
	ending := map[int]*Change{} // by how many tasks must end
	n := j.minTasksToStart()
	have := 0
	for _, m := range v.Index.Machines(v.Partition) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		switch k := v.obstacle(m, j); k {
		case NoReason:
			have += m.Free().TaskCount(j.Need)
		case Drained, ReportOverdue, EarmarkedForGang, NotReady, Booting, AwaitingFirstReport:
			if m.Free().TaskCount(j.Need) == 0 || m.Block&(Returned|Returning) != 0 {
				continue
			}
			if byKind[k] == nil {
				byKind[k] = &Change{Reason: k}
			}
			byKind[k].Machines = append(byKind[k].Machines, m.Name)
		case NoFreeMachine:
			ends, freed := m.endsNeeded(j.Need)
			if ends == 0 {
				continue
			}
			if ending[ends] == nil {
				ending[ends] = &Change{Reason: NoFreeMachine, Tasks: ends, freed: map[string]Resources{}}
			}
			ending[ends].Machines = append(ending[ends].Machines, m.Name)
			ending[ends].freed[m.Name] = freed
		}
	}
	var out []Change
	need := max(1, n-have)
	for _, k := range []Reason{EarmarkedForGang, Drained, Booting, AwaitingFirstReport, NotReady, ReportOverdue} {
		if c := byKind[k]; c != nil {
			c.Need = min(need, len(c.Machines))
			out = append(out, *c)
		}
	}
	var ends []int
	for e := range ending {
		ends = append(ends, e)
	}
	slices.Sort(ends)
	for _, e := range ends {
		ending[e].Need = min(need, len(ending[e].Machines))
		out = append(out, *ending[e])
	}
	// A machine more of the cheapest kind that may be rented, at worst one for each task.
	f := &forecast{view: v, inZone: map[string]int{}, market: &Market{}}
	if o, ok := f.bestOffer(j, func(o Offer) bool {
		return Allowed(j.Spec, o) && j.zoneCapacity(o.Zone) > 0
	}); ok {
		per := max(1, SizeOf(v.Types[o.Type]).TaskCount(j.Need))
		out = append(out, Change{Reason: NoCapacity, Need: (need + per - 1) / per, Offer: o})
		if j.Spec.OneZone {
			out = append(out, Change{Reason: NoCapacity, Need: (n + per - 1) / per, Offer: o})
		}
	}
	return out
}

// endsNeeded is how many of a machine's tasks must end, the largest first, so that one
// more of a size fits, and what that frees; 0 if none would do.
func (m *Machine) endsNeeded(need Resources) (int, Resources) {
	held := slices.Clone(m.Assignments)
	slices.SortFunc(held, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(b.Job.Need.GPUs, a.Job.Need.GPUs), cmp.Compare(b.Job.Need.CPUs, a.Job.Need.CPUs), cmp.Compare(b.Job.Need.MemoryGB, a.Job.Need.MemoryGB),
			cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	var freed Resources
	for i, h := range held {
		if freed = freed.Add(h.Job.Need, 1); m.Free().Add(freed, 1).TaskCount(need) > 0 {
			return i + 1, freed
		}
	}
	return 0, freed
}

// machinesAfter are copies of machines as a change leaves them.
func (v *View) machinesAfter(j *Job, c Change) (out []*Machine) {
	if c.Reason == NoCapacity {
		t := v.Types[c.Offer.Type]
		for i := range c.Need {
			out = append(out, &Machine{Name: fmt.Sprintf("~new-%d", i), Type: c.Offer.Type, Zone: c.Offer.Zone, Spot: c.Offer.Spot, Partition: v.Partition,
				HasType: true, Size: SizeOf(t), SecPerGB: SecondsPerGB(t, 0), LastReport: v.Now, HasAddress: true})
		}
		return out
	}
	for _, m := range v.Index.Machines(v.Partition) {
		if len(out) == c.Need {
			break
		}
		if !slices.Contains(c.Machines, m.Name) {
			continue
		}
		f := *m
		f.Block, f.AvoidUntil, f.LastReport, f.EarmarkedFor = 0, time.Time{}, v.Now, nil
		f.Used = f.Used.Add(c.freed[m.Name], -1)
		out = append(out, &f)
	}
	return out
}
