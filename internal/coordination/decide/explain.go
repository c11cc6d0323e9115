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

// Explanations of why a job waits. Explain lists all causes that apply at the time of a
// view, in the order in which they take effect. ChangesToStart finds the smallest change that
// would let the job start, and confirms it by running Place on a view with that change.

// Cause is one reason why a job waits, with its details.
type Cause struct {
	Reason   Reason    `json:"cause"`
	Used     float64   `json:"used,omitempty"`  // GPUs, or vCPUs if the limit is on vCPUs
	Limit    float64   `json:"limit,omitempty"` // in the same unit
	Lacks    string    `json:"lacks,omitempty"` // resources that are short: vcpus, cards, memGb
	Count    int       `json:"count,omitempty"` // number of machines, tasks or jobs, depending on the reason
	Need     int       `json:"need,omitempty"`
	Machines []string  `json:"machines,omitempty"` // at most maxListed
	Zones    []string  `json:"zones,omitempty"`
	Jobs     []string  `json:"jobs,omitempty"`
	Offers   []Offer   `json:"offers,omitempty"`
	Until    time.Time `json:"until,omitzero"` // when the cause ends or is checked again
}

// MarshalJSON encodes a reason as its name.
func (r Reason) MarshalJSON() ([]byte, error) { return json.Marshal(r.String()) }

// UnmarshalJSON decodes a reason from its name.
func (r *Reason) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	for i, t := range reasonTexts {
		if t.name == name {
			*r = Reason(i)
			return nil
		}
	}
	return fmt.Errorf("no such cause: %q", name)
}

// maxListed limits the number of names listed in a cause.
const maxListed = 5

// joinNames lists at most maxListed names and the number of the others.
func joinNames(names []string) string {
	out := strings.Join(names[:min(len(names), maxListed)], ", ")
	if len(names) > maxListed {
		out += fmt.Sprintf(" and %d more", len(names)-maxListed)
	}
	return out
}

// String describes a cause and its details for users.
func (c Cause) String() string {
	machinesCause := func(what string) string {
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
		return machinesCause(c.Reason.Text())
	case ZoneBound:
		return "where its other tasks are leaves no room in " + strings.Join(c.Zones, ", ")
	case JobsAhead:
		return fmt.Sprintf("%d jobs come first: %s", c.Count, joinNames(c.Jobs))
	case CloudRefused:
		var offers []string
		for _, o := range c.Offers {
			offers = append(offers, o.String())
		}
		return "the cloud refused " + joinNames(offers)
	case FailsEverywhere:
		return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s", c.Count, joinNames(c.Machines))
	}
	return c.Reason.Text()
}

// String describes an offer for users.
func (o Offer) String() string {
	s := o.Type + " in " + o.Zone
	if o.Spot {
		s += " (spot)"
	}
	return s
}

// ExplainContext is the state outside of a View that can keep a job waiting.
type ExplainContext struct {
	SinceStateAnswer  time.Duration // time since the state service last answered
	RentalsStopped    bool          // operators have stopped rentals
	GuaranteedWaiting bool          // a job of a team with a guarantee waits in some partition
	JobsAhead         []*Job        // waiting jobs of the partition that are scheduled before this one
	Market            *Market
}

// stateServiceTimeout is how long the state service may be silent before no decisions are made,
// since they could not be stored.
const stateServiceTimeout = 2 * time.Second

// Explain returns the causes that keep a job's tasks waiting. It returns none if Place would
// start one of them now or preempt others for it.
func (v *View) Explain(j *Job, context *ExplainContext) []Cause {
	var out []Cause
	add := func(c Cause) { out = append(out, c) }
	if j.Waiting == 0 {
		return nil
	}
	if context.SinceStateAnswer > stateServiceTimeout {
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
	if t.Unguaranteed() && context.GuaranteedWaiting {
		add(Cause{Reason: GuaranteesFirst})
	}
	if context.RentalsStopped {
		add(Cause{Reason: RentalsStopped})
	}
	if context.Market != nil {
		var refused []Offer
		last := time.Time{}
		for o, until := range context.Market.RefusedUntil {
			if v.Now.Before(until) && Allowed(j.Spec, o) {
				refused = append(refused, o)
				if until.After(last) {
					last = until
				}
			}
		}
		if refused != nil {
			slices.SortFunc(refused, func(a, b Offer) int { return cmp.Compare(a.String(), b.String()) })
			add(Cause{Reason: CloudRefused, Offers: refused[:min(len(refused), maxListed)], Count: len(refused), Until: last})
		}
	}
	if len(context.JobsAhead) > 0 {
		ahead := Cause{Reason: JobsAhead, Count: len(context.JobsAhead)}
		for _, other := range context.JobsAhead[:min(len(context.JobsAhead), maxListed)] {
			ahead.Jobs = append(ahead.Jobs, other.ID)
		}
		add(ahead)
	}
	if len(out) == 0 {
		add(Cause{Reason: NoCapacity}) // no obstacle is known except that no machine is available yet
	}
	return out
}

// wouldStart reports whether Place would start some of a job's tasks or preempt others for it.
func (v *View) wouldStart(j *Job) bool {
	if j.WritePending || j.SiteLeaseMissing || j.Cancelled || j.AbortAttempt || v.Now.Before(j.NotBefore) {
		return false
	}
	p := v.Place(j)
	return len(p.Machines) > 0 || p.Preemption.HasEvictions()
}

// minTasksToStart returns how many of a job's tasks must fit at once for it to start: all of a
// gang, one of any other job.
func (j *Job) minTasksToStart() int {
	if j.Spec.Shape == protocol.Gang {
		return j.Tasks
	}
	return 1
}

// exceededLimit reports whether the team's limit keeps a job from starting, and which limit.
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

// neverFits reports whether no machine type of the catalogue fits a job's tasks, or whether a
// gang that must be spread over two zones fits in one zone only.
func (v *View) neverFits(j *Job) (Cause, bool) {
	if len(v.Types) == 0 {
		return Cause{}, false // the catalogue is not known yet
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

// neverRuns reports whether a gang that must be spread over zones cannot run whatever becomes
// free. Nothing is rented, moved or preempted for such a gang.
func (v *View) neverRuns(j *Job) bool {
	if j.Spec.Shape != protocol.Gang || !j.Spec.Spread {
		return false
	}
	_, never := v.neverFits(j)
	return never
}

// obstacle returns the reason why a job cannot use a machine, or NoReason if it can.
func (v *View) obstacle(m *Machine, j *Job) Reason {
	switch {
	case m.Block&(Cordoned|InterruptionNotice) != 0:
		return Drained
	case m.LastReport.IsZero() && m.Block&(Returned|Returning|Moving) == 0 && m.HasAddress:
		return AwaitingFirstReport
	case m.LastReport.IsZero() && m.Block&(Returned|Returning|Moving) == 0:
		return Booting
	case m.Block&(Unfenced|StartUnconfirmed|Moving|Faulty|Returning|Returned) != 0 || v.Now.Before(m.AvoidUntil) || m.excludes(j) || m.OnlyFor != "" && m.OnlyFor != j.ID:
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

// machineCauses returns the causes that lie in the machines of the partition.
func (v *View) machineCauses(j *Job) []Cause {
	causes := map[Reason]*Cause{}
	fitByZone := map[string]int{} // tasks that fit, by zone
	lacking := map[string]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		obstacle := v.obstacle(m, j)
		if obstacle == NoReason {
			fitByZone[m.Zone] += m.Free().TaskCount(j.Need)
			continue
		}
		cause := causes[obstacle]
		if cause == nil {
			cause = &Cause{Reason: obstacle}
			causes[obstacle] = cause
		}
		cause.Count++
		if len(cause.Machines) < maxListed {
			cause.Machines = append(cause.Machines, m.Name)
		}
		if !slices.Contains(cause.Zones, m.Zone) {
			cause.Zones = append(cause.Zones, m.Zone)
		}
		if obstacle == NoFreeMachine {
			f := m.Free()
			for _, resource := range []struct {
				name       string
				free, need float64
			}{{"vcpus", f.CPUs, j.Need.CPUs}, {"cards", f.GPUs, j.Need.GPUs}, {"memGb", f.MemoryGB, j.Need.MemoryGB}} {
				if resource.free+Tolerance < resource.need {
					lacking[resource.name]++
				}
			}
		}
	}
	var out []Cause
	if j.Spec.Shape == protocol.Gang {
		fitting := 0
		for _, n := range fitByZone {
			if j.Spec.OneZone {
				fitting = max(fitting, n)
			} else {
				fitting += n
			}
		}
		if fitting < j.Tasks {
			out = append(out, Cause{Reason: GangIncomplete, Count: min(fitting, j.Tasks), Need: j.Tasks})
		}
	}
	if c, reserved := v.reservedCause(j); reserved {
		out = append(out, c)
	}
	for _, reason := range []Reason{Drained, ReportOverdue, EarmarkedForGang, ZoneBound, NoFreeMachine, NotReady, Booting, AwaitingFirstReport} {
		c := causes[reason]
		if c == nil {
			continue
		}
		if reason == NoFreeMachine {
			var names []string
			for name := range lacking {
				names = append(names, name)
			}
			slices.SortFunc(names, func(a, b string) int { return cmp.Or(lacking[b]-lacking[a], cmp.Compare(a, b)) })
			c.Lacks = strings.Join(names, ", ")
		}
		slices.Sort(c.Zones)
		out = append(out, *c)
	}
	return out
}

// reservedCause returns how many of the machines that a gang needs are reserved for it.
func (v *View) reservedCause(j *Job) (c Cause, reserved bool) {
	c = Cause{Reason: ReservingForGang}
	tasksPerMachine := 1 // on the machine that fits the most tasks
	for _, m := range v.Index.Machines(v.Partition) {
		if !m.IsReservedFor(j, v.Now) {
			continue
		}
		c.Count++
		c.Until = m.EarmarkedUntil
		tasksPerMachine = max(tasksPerMachine, m.Size.TaskCount(j.Need))
		if len(c.Machines) < maxListed {
			c.Machines = append(c.Machines, m.Name)
		}
	}
	c.Need = max(c.Count, (j.Tasks+tasksPerMachine-1)/tasksPerMachine)
	return c, c.Count > 0
}

// Change is an event that would let a waiting job start.
type Change struct {
	Reason   Reason               `json:"releases"`
	GPUs     float64              `json:"cards,omitempty"` // by how much the team's limit would have to rise
	CPUs     float64              `json:"vcpus,omitempty"`
	Tasks    int                  `json:"tasks,omitempty"`    // tasks that would have to end on each of the machines
	Machines []string             `json:"machines,omitempty"` // any Need of these
	Need     int                  `json:"need,omitempty"`
	Offer    Offer                `json:"offer,omitzero"`
	freed    map[string]Resources // what the ended tasks free, by machine
}

// String describes a change for users.
func (c Change) String() string {
	machines := joinNames(c.Machines)
	if c.Need < len(c.Machines) {
		machines = fmt.Sprintf("any %d of %s", c.Need, machines)
	}
	switch c.Reason {
	case TeamLimit:
		if c.GPUs > 0 {
			return fmt.Sprintf("%g more cards of the team's limit", c.GPUs)
		}
		return fmt.Sprintf("%g more vcpus of the team's limit", c.CPUs)
	case NoFreeMachine:
		return fmt.Sprintf("%d tasks end on %s", c.Tasks, machines)
	case Drained:
		return "the drain ends of " + machines
	case ReportOverdue:
		return "heard again: " + machines
	case EarmarkedForGang:
		return "no longer kept for a gang: " + machines
	case NotReady, Booting, AwaitingFirstReport:
		return "ready: " + machines
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

// ChangesToStart returns the smallest set of changes found that lets a job start: the end of
// every cause that applies regardless of machines, and at most one change of machines, the
// smallest that suffices. ok reports whether Place starts the job on a view with the changes.
func (v *View) ChangesToStart(j *Job, context *ExplainContext) (changes []Change, ok bool) {
	unblocked, unblockedJob := v.withoutOwnCauses(j)
	if context.SinceStateAnswer > stateServiceTimeout {
		changes = append(changes, Change{Reason: StateServiceDown})
	}
	for _, c := range []struct {
		applies bool
		reason  Reason
	}{{j.SiteLeaseMissing, SiteWithoutLease}, {j.WritePending, WritePending}, {j.AbortAttempt, GangLeaving}, {j.FailsEverywhere && (v.Now.Before(j.NotBefore) || j.Placed > 0), FailsEverywhere},
		{!j.FailsEverywhere && (j.InBackoff > 0 && j.InBackoff == j.Waiting || v.Now.Before(j.NotBefore)), RetryBackoff}} {
		if c.applies {
			changes = append(changes, Change{Reason: c.reason})
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
		unblocked.Teams = slices.Clone(v.Teams)
		unblocked.Teams[j.Team] = &raised
		changes = append(changes, c)
	}
	if _, never := v.neverFits(j); never || j.Cancelled {
		return changes, false
	}
	// With these causes removed, are the machines that have capacity now enough?
	base := v.usableMachines(j, nil)
	unblocked.Index = v.indexOf(base)
	if unblocked.wouldStart(unblockedJob) {
		return changes, true
	}
	for _, c := range v.possibleChanges(j) {
		unblocked.Index = v.indexOf(append(slices.Clone(base), v.machinesAfter(j, c)...))
		if unblocked.wouldStart(unblockedJob) {
			return append(changes, c), true
		}
	}
	return changes, false
}

// withoutOwnCauses returns copies of the view and the job without the causes that concern the
// job itself.
func (v *View) withoutOwnCauses(j *Job) (*View, *Job) {
	unblocked := *v
	unblocked.noCapacityAt, unblocked.noVictimsAt, unblocked.relocatableByRank = nil, nil, nil
	unblockedJob := *j
	unblockedJob.SiteLeaseMissing, unblockedJob.WritePending, unblockedJob.AbortAttempt, unblockedJob.InBackoff, unblockedJob.NotBefore = false, false, false, 0, time.Time{}
	if j.AbortAttempt {
		unblockedJob.Waiting, unblockedJob.Placed, unblockedJob.Zones = j.Tasks, 0, nil
	}
	if j.FailsEverywhere {
		unblockedJob.Placed = 0
	}
	unblockedJob.PreemptionWaitUntil = v.Now // Place must not preempt other tasks here
	unblockedJob.PreemptAfter = v.Now.Add(time.Hour)
	return &unblocked, &unblockedJob
}

// usableMachines returns copies of the machines that a job could use now.
func (v *View) usableMachines(j *Job, except map[string]bool) (out []*Machine) {
	fitting := 0
	for _, m := range v.Index.Machines(v.Partition) {
		if Allowed(j.Spec, m.offer()) && v.obstacle(m, j) == NoReason && !except[m.Name] {
			copied := *m
			out = append(out, &copied)
			if fitting += m.Free().TaskCount(j.Need); fitting > 4*j.Tasks+64 {
				break // more would not change the result
			}
		}
	}
	return out
}

// indexOf returns an index of copies of machines.
func (v *View) indexOf(ms []*Machine) *Index {
	index := NewIndex(len(v.Index.partitions), len(v.Teams))
	for _, m := range ms {
		f := *m
		f.id, f.listed, f.group = 0, false, nil
		index.Set(&Machine{}, &f)
	}
	return index
}

// possibleChanges returns the changes of machines that could let a job start, the smallest
// first.
func (v *View) possibleChanges(j *Job) []Change {
	byReason := map[Reason]*Change{}
	byEnds := map[int]*Change{} // by the number of tasks that must end on a machine
	minTasks := j.minTasksToStart()
	fitting := 0
	for _, m := range v.Index.Machines(v.Partition) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		switch reason := v.obstacle(m, j); reason {
		case NoReason:
			fitting += m.Free().TaskCount(j.Need)
		case Drained, ReportOverdue, EarmarkedForGang, NotReady, Booting, AwaitingFirstReport:
			if m.Free().TaskCount(j.Need) == 0 || m.Block&(Returned|Returning) != 0 {
				continue
			}
			if byReason[reason] == nil {
				byReason[reason] = &Change{Reason: reason}
			}
			byReason[reason].Machines = append(byReason[reason].Machines, m.Name)
		case NoFreeMachine:
			ends, freed := m.endsNeeded(j.Need)
			if ends == 0 {
				continue
			}
			if byEnds[ends] == nil {
				byEnds[ends] = &Change{Reason: NoFreeMachine, Tasks: ends, freed: map[string]Resources{}}
			}
			byEnds[ends].Machines = append(byEnds[ends].Machines, m.Name)
			byEnds[ends].freed[m.Name] = freed
		}
	}
	var out []Change
	missing := max(1, minTasks-fitting)
	for _, reason := range []Reason{EarmarkedForGang, Drained, Booting, AwaitingFirstReport, NotReady, ReportOverdue} {
		if c := byReason[reason]; c != nil {
			c.Need = min(missing, len(c.Machines))
			out = append(out, *c)
		}
	}
	var ends []int
	for e := range byEnds {
		ends = append(ends, e)
	}
	slices.Sort(ends)
	for _, e := range ends {
		byEnds[e].Need = min(missing, len(byEnds[e].Machines))
		out = append(out, *byEnds[e])
	}
	// Further machines of the cheapest offer, at worst one for each task.
	f := &forecast{view: v, inZone: map[string]int{}, market: &Market{}}
	if o, ok := f.bestOffer(j, func(o Offer) bool {
		return Allowed(j.Spec, o) && j.zoneCapacity(o.Zone) > 0
	}); ok {
		tasksPerMachine := max(1, SizeOf(v.Types[o.Type]).TaskCount(j.Need))
		out = append(out, Change{Reason: NoCapacity, Need: (missing + tasksPerMachine - 1) / tasksPerMachine, Offer: o})
		if j.Spec.OneZone {
			out = append(out, Change{Reason: NoCapacity, Need: (minTasks + tasksPerMachine - 1) / tasksPerMachine, Offer: o})
		}
	}
	return out
}

// endsNeeded returns how many of a machine's tasks must end, the largest first, before one more
// task fits, and the resources that they free. It returns 0 if the task would not fit even then.
func (m *Machine) endsNeeded(need Resources) (int, Resources) {
	tasks := slices.Clone(m.Assignments)
	slices.SortFunc(tasks, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(b.Job.Need.GPUs, a.Job.Need.GPUs), cmp.Compare(b.Job.Need.CPUs, a.Job.Need.CPUs), cmp.Compare(b.Job.Need.MemoryGB, a.Job.Need.MemoryGB),
			cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	var freed Resources
	for i, h := range tasks {
		if freed = freed.Add(h.Job.Need, 1); m.Free().Add(freed, 1).TaskCount(need) > 0 {
			return i + 1, freed
		}
	}
	return 0, freed
}

// machinesAfter returns copies of the machines of a change as they are after it.
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
		copied := *m
		copied.Block, copied.AvoidUntil, copied.LastReport, copied.EarmarkedFor = 0, time.Time{}, v.Now, nil
		copied.Used = copied.Used.Add(c.freed[m.Name], -1)
		out = append(out, &copied)
	}
	return out
}
