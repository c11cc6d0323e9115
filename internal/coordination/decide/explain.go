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
	Kind     Kind      `json:"cause"`
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
func (k Kind) MarshalJSON() ([]byte, error) { return json.Marshal(k.String()) }

// UnmarshalJSON reads a reason's name.
func (k *Kind) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	for i, t := range kindTexts {
		if t.name == name {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("no such cause: %q", name)
}

// mostNamed bounds the names in a cause.
const mostNamed = 5

func some(names []string) string {
	out := strings.Join(names[:min(len(names), mostNamed)], ", ")
	if len(names) > mostNamed {
		out += fmt.Sprintf(" and %d more", len(names)-mostNamed)
	}
	return out
}

// String is a cause in words, its facts included.
func (c Cause) String() string {
	of := func(what string) string {
		return fmt.Sprintf("%s: %d (%s)", what, c.Count, some(c.Machines))
	}
	switch c.Kind {
	case TeamLimit:
		return fmt.Sprintf("team limit: its team uses %g of %g %s, and %d more are needed", c.Used, c.Limit, c.Lacks, c.Need)
	case GangIncomplete:
		return fmt.Sprintf("gang incomplete: %d of its %d tasks fit at once", c.Count, c.Need)
	case GatheringRoom:
		return fmt.Sprintf("gathering room: %d of %d machines kept (%s)", c.Count, c.Need, some(c.Machines))
	case NoFreeMachine:
		return fmt.Sprintf("no free machine: %d that it may use lack %s", c.Count, c.Lacks)
	case Drained, NotReady, Silent, KeptForGang, Booting, Unheard:
		return of(c.Kind.Text())
	case ZoneBound:
		return "where its other tasks are leaves no room in " + strings.Join(c.Zones, ", ")
	case Ahead:
		return fmt.Sprintf("%d jobs come first: %s", c.Count, some(c.Jobs))
	case CloudRefused:
		var kinds []string
		for _, o := range c.Offers {
			kinds = append(kinds, o.String())
		}
		return "the cloud refused " + some(kinds)
	case FailsEverywhere:
		return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s", c.Count, some(c.Machines))
	}
	return c.Kind.Text()
}

// String is an offer in words.
func (o Offer) String() string {
	s := o.Type + " in " + o.Zone
	if o.Spot {
		s += " (spot)"
	}
	return s
}

// Around is what holds a job beside its share's machines and its team.
type Around struct {
	StateAge time.Duration // since the state service last answered
	NoRents  bool          // operators stopped rentals
	Claimed  bool          // work with a guarantee waits somewhere
	Ahead    []*Job        // jobs of the share that wait and come before it
	Market   *Market
}

// stateLost is after how long without an answer nothing is decided.
const stateLost = 2 * time.Second

// Explain names what keeps a job's tasks waiting: nothing if a decision would start
// one of them now.
func (v *View) Explain(j *Job, a *Around) []Cause {
	var out []Cause
	add := func(c Cause) { out = append(out, c) }
	if j.Waiting == 0 {
		return nil
	}
	if a.StateAge > stateLost {
		add(Cause{Kind: StateLost})
	}
	t := v.team(j).seenBy(j, v.Now)
	switch {
	case j.Cancelled:
		return append(out, Cause{Kind: Stopping})
	case j.Closed:
		add(Cause{Kind: SiteWithoutLease})
	}
	if j.Busy {
		add(Cause{Kind: BeingStored})
	}
	if j.Abandon {
		add(Cause{Kind: GangLeaving, Count: j.Placed})
	}
	if j.Mistake && (v.Now.Before(j.NotBefore) || j.Placed > 0) {
		add(Cause{Kind: FailsEverywhere, Count: j.Tries, Machines: []string{j.LastError}, Until: j.NotBefore})
	} else if j.Pausing > 0 && j.Pausing == j.Waiting || v.Now.Before(j.NotBefore) {
		add(Cause{Kind: Pausing, Count: j.Pausing, Until: j.NotBefore})
	}
	if c, short := t.short(j); short {
		add(c)
	}
	if c, never := v.neverFits(j); never {
		add(c)
	}
	if len(out) == 0 && v.starts(j) {
		return nil
	}
	out = append(out, v.machineCauses(j)...)
	if t.Guest() && a.Claimed {
		add(Cause{Kind: GuaranteesFirst})
	}
	if a.NoRents {
		add(Cause{Kind: RentalsStopped})
	}
	if a.Market != nil {
		var refused []Offer
		last := time.Time{}
		for o, till := range a.Market.Refused {
			if v.Now.Before(till) && Allowed(j.Spec, o) {
				refused = append(refused, o)
				if till.After(last) {
					last = till
				}
			}
		}
		if refused != nil {
			slices.SortFunc(refused, func(a, b Offer) int { return cmp.Compare(a.String(), b.String()) })
			add(Cause{Kind: CloudRefused, Offers: refused[:min(len(refused), mostNamed)], Count: len(refused), Until: last})
		}
	}
	if len(a.Ahead) > 0 {
		c := Cause{Kind: Ahead, Count: len(a.Ahead)}
		for _, o := range a.Ahead[:min(len(a.Ahead), mostNamed)] {
			c.Jobs = append(c.Jobs, o.ID)
		}
		add(c)
	}
	if len(out) == 0 {
		add(Cause{Kind: NoCapacity}) // nothing is known to stand in its way but that there is no machine yet
	}
	return out
}

// starts says whether a decision would start some of a job's tasks, or make room.
func (v *View) starts(j *Job) bool {
	if j.Busy || j.Closed || j.Cancelled || j.Abandon || v.Now.Before(j.NotBefore) {
		return false
	}
	p := v.Place(j)
	return len(p.On) > 0 || p.Room.Made()
}

// atOnce is how many of a job's tasks must fit for it to start.
func (j *Job) atOnce() int {
	if j.Spec.Shape == protocol.Gang {
		return j.Tasks
	}
	return 1
}

// short says whether the team's limit keeps a job from starting.
func (t *Team) short(j *Job) (Cause, bool) {
	n := j.atOnce()
	if t.Room(j.Need) >= n {
		return Cause{}, false
	}
	c := Cause{Kind: TeamLimit, Need: n}
	if need := j.Need.GPUs * float64(n); t.Limit.GPUs > 0 && t.Used.GPUs+need > t.Limit.GPUs+Slack {
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
			if z == zone || SizeOf(t).Times(j.Need) == 0 || !Allowed(j.Spec, Offer{Type: t.Name, Zone: z}) {
				continue
			}
			if zones++; !split || zones > 1 && !j.Spec.OneZone {
				return Cause{}, false
			}
			zone = z
		}
	}
	if zones == 0 {
		return Cause{Kind: NeverFits}, true
	}
	return Cause{Kind: NeverTogether}, true
}

// never says whether a gang can't run whatever becomes free: it is asked for nothing else.
func (v *View) never(j *Job) bool {
	if j.Spec.Shape != protocol.Gang || !j.Spec.Spread {
		return false
	}
	_, never := v.neverFits(j)
	return never
}

// state is what stands between a machine and a job.
func (v *View) state(m *Machine, j *Job) Kind {
	switch {
	case m.Block&(HeldBack|Notice) != 0:
		return Drained
	case m.Heard.IsZero() && m.Block&(Gone|Returning|Moving) == 0 && m.Addressed:
		return Unheard
	case m.Heard.IsZero() && m.Block&(Gone|Returning|Moving) == 0:
		return Booting
	case m.Block&(Unfenced|Doubt|Moving|Faulty|Returning|Gone) != 0 || v.Now.Before(m.AvoidTill):
		return NotReady
	case m.silent(v.Now, v.Config.ReportS):
		return Silent
	case m.KeptFrom(j, v.Now):
		return KeptForGang
	case j.zoneRoom(m.Zone) <= 0:
		return ZoneBound
	case m.Free().Times(j.Need) == 0:
		return NoFreeMachine
	}
	return None
}

// machineCauses are what the share's machines have to do with a job's waiting.
func (v *View) machineCauses(j *Job) []Cause {
	count := map[Kind]*Cause{}
	fit := map[string]int{} // tasks that fit, by zone
	lacks := map[string]int{}
	for _, m := range v.Index.Machines(v.Share) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		k := v.state(m, j)
		if k == None {
			fit[m.Zone] += m.Free().Times(j.Need)
			continue
		}
		c := count[k]
		if c == nil {
			c = &Cause{Kind: k}
			count[k] = c
		}
		c.Count++
		if len(c.Machines) < mostNamed {
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
				if l.free+Slack < l.need {
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
			out = append(out, Cause{Kind: GangIncomplete, Count: min(have, j.Tasks), Need: j.Tasks})
		}
	}
	if c, reserved := v.gathering(j); reserved {
		out = append(out, c)
	}
	for _, k := range []Kind{Drained, Silent, KeptForGang, ZoneBound, NoFreeMachine, NotReady, Booting, Unheard} {
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

// gathering is how much of the room that a gang needs is reserved for it.
func (v *View) gathering(j *Job) (c Cause, reserved bool) {
	c = Cause{Kind: GatheringRoom}
	size := 1 // tasks on the machine that takes most of them
	for _, m := range v.Index.Machines(v.Share) {
		if !m.HasReserved(j, v.Now) {
			continue
		}
		c.Count++
		c.Until = m.EarmarkTo
		size = max(size, m.Size.Times(j.Need))
		if len(c.Machines) < mostNamed {
			c.Machines = append(c.Machines, m.Name)
		}
	}
	c.Need = max(c.Count, (j.Tasks+size-1)/size)
	return c, c.Count > 0
}

// Change is something that would have to happen for a job to start.
type Change struct {
	Kind     Kind     `json:"releases"`
	GPUs     float64  `json:"cards,omitempty"` // of the team's limit
	CPUs     float64  `json:"vcpus,omitempty"`
	Tasks    int      `json:"tasks,omitempty"`    // that end on each of the machines
	Machines []string `json:"machines,omitempty"` // any Need of them
	Need     int      `json:"need,omitempty"`
	Offer    Offer    `json:"offer,omitzero"`
	freed    map[string]Amounts
}

// String is a change in words.
func (c Change) String() string {
	any := some(c.Machines)
	if c.Need < len(c.Machines) {
		any = fmt.Sprintf("any %d of %s", c.Need, any)
	}
	switch c.Kind {
	case TeamLimit:
		if c.GPUs > 0 {
			return fmt.Sprintf("%g more cards of the team's limit", c.GPUs)
		}
		return fmt.Sprintf("%g more vcpus of the team's limit", c.CPUs)
	case NoFreeMachine:
		return fmt.Sprintf("%d tasks end on %s", c.Tasks, any)
	case Drained:
		return "the drain ends of " + any
	case Silent:
		return "heard again: " + any
	case KeptForGang:
		return "no longer kept for a gang: " + any
	case NotReady, Booting, Unheard:
		return "ready: " + any
	case NoCapacity:
		return fmt.Sprintf("%d machines more of %s", c.Need, c.Offer)
	case Pausing, FailsEverywhere:
		return "its next try"
	case StateLost:
		return "the state service answers"
	case SiteWithoutLease:
		return "the site has its lease again"
	case BeingStored:
		return "the change is stored"
	case GangLeaving:
		return "the rest of its earlier attempt is gone"
	}
	return "not: " + c.Kind.Text()
}

// Release is the smallest change found that lets a job start: the causes that stand in
// the way by themselves, and of the machines' the one that asks least. ok says that
// the decision, asked on a view with the change, starts it.
func (v *View) Release(j *Job, a *Around) (changes []Change, ok bool) {
	w, after := v.without(j)
	if a.StateAge > stateLost {
		changes = append(changes, Change{Kind: StateLost})
	}
	for _, c := range []struct {
		is bool
		k  Kind
	}{{j.Closed, SiteWithoutLease}, {j.Busy, BeingStored}, {j.Abandon, GangLeaving}, {j.Mistake && (v.Now.Before(j.NotBefore) || j.Placed > 0), FailsEverywhere},
		{!j.Mistake && (j.Pausing > 0 && j.Pausing == j.Waiting || v.Now.Before(j.NotBefore)), Pausing}} {
		if c.is {
			changes = append(changes, Change{Kind: c.k})
		}
	}
	if t := v.team(j).seenBy(j, v.Now); t.Room(j.Need) < j.atOnce() {
		n := float64(j.atOnce())
		c := Change{Kind: TeamLimit}
		if t.Limit.GPUs > 0 {
			c.GPUs = max(0, t.Used.GPUs+n*j.Need.GPUs-t.Limit.GPUs)
		}
		if t.Limit.CPUs > 0 {
			c.CPUs = max(0, t.Used.CPUs+n*j.Need.CPUs-t.Limit.CPUs)
		}
		raised := *t
		raised.Limit, raised.Kept = raised.Limit.Add(Amounts{CPUs: c.CPUs, GPUs: c.GPUs}, 1), nil
		w.Teams = slices.Clone(v.Teams)
		w.Teams[j.Team] = &raised
		changes = append(changes, c)
	}
	if _, never := v.neverFits(j); never || j.Cancelled {
		return changes, false
	}
	// With that out of the way, do the machines that have room do?
	base := v.relevant(j, nil)
	w.Index = v.indexOf(base)
	if w.starts(after) {
		return changes, true
	}
	for _, c := range v.options(j) {
		w.Index = v.indexOf(append(slices.Clone(base), v.changed(j, c)...))
		if w.starts(after) {
			return append(changes, c), true
		}
	}
	return changes, false
}

// without is a view and a job without the causes that are the job's own.
func (v *View) without(j *Job) (*View, *Job) {
	w := *v
	w.noSlot, w.noRoom, w.shiftables = nil, nil, nil
	after := *j
	after.Closed, after.Busy, after.Abandon, after.Pausing, after.NotBefore = false, false, false, 0, time.Time{}
	if j.Abandon {
		after.Waiting, after.Placed, after.Zones = j.Tasks, 0, nil
	}
	if j.Mistake {
		after.Placed = 0
	}
	after.RoomTill = v.Now // nobody is stopped for it here
	after.Preempted = v.Now.Add(time.Hour)
	return &w, &after
}

// relevant are copies of the machines that a job could take now.
func (v *View) relevant(j *Job, except map[string]bool) (out []*Machine) {
	n := 0
	for _, m := range v.Index.Machines(v.Share) {
		if Allowed(j.Spec, m.offer()) && v.state(m, j) == None && !except[m.Name] {
			c := *m
			out = append(out, &c)
			if n += m.Free().Times(j.Need); n > 4*j.Tasks+64 {
				break // more do not matter
			}
		}
	}
	return out
}

// indexOf makes an index of copies of machines.
func (v *View) indexOf(ms []*Machine) *Index {
	x := NewIndex(len(v.Index.shares), len(v.Teams))
	for _, m := range ms {
		f := *m
		f.id, f.listed, f.roomy = 0, false, nil
		x.Set(&Machine{}, &f)
	}
	return x
}

// options are what could happen to machines so that a job starts, the smallest first.
func (v *View) options(j *Job) []Change {
	byKind := map[Kind]*Change{}
	ending := map[int]*Change{} // by how many tasks must end
	n := j.atOnce()
	have := 0
	for _, m := range v.Index.Machines(v.Share) {
		if !Allowed(j.Spec, m.offer()) {
			continue
		}
		switch k := v.state(m, j); k {
		case None:
			have += m.Free().Times(j.Need)
		case Drained, Silent, KeptForGang, NotReady, Booting, Unheard:
			if m.Free().Times(j.Need) == 0 || m.Block&(Gone|Returning) != 0 {
				continue
			}
			if byKind[k] == nil {
				byKind[k] = &Change{Kind: k}
			}
			byKind[k].Machines = append(byKind[k].Machines, m.Name)
		case NoFreeMachine:
			ends, freed := m.endsFor(j.Need)
			if ends == 0 {
				continue
			}
			if ending[ends] == nil {
				ending[ends] = &Change{Kind: NoFreeMachine, Tasks: ends, freed: map[string]Amounts{}}
			}
			ending[ends].Machines = append(ending[ends].Machines, m.Name)
			ending[ends].freed[m.Name] = freed
		}
	}
	var out []Change
	need := max(1, n-have)
	for _, k := range []Kind{KeptForGang, Drained, Booting, Unheard, NotReady, Silent} {
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
	f := &forecast{v: v, inZone: map[string]int{}, market: &Market{}}
	if o, ok := f.bestOffer(j, func(o Offer) bool {
		return Allowed(j.Spec, o) && j.zoneRoom(o.Zone) > 0
	}); ok {
		per := max(1, SizeOf(v.Types[o.Type]).Times(j.Need))
		out = append(out, Change{Kind: NoCapacity, Need: (need + per - 1) / per, Offer: o})
		if j.Spec.OneZone {
			out = append(out, Change{Kind: NoCapacity, Need: (n + per - 1) / per, Offer: o})
		}
	}
	return out
}

// endsFor is how many of a machine's tasks must end, the largest first, so that one
// more of a size fits, and what that frees; 0 if none would do.
func (m *Machine) endsFor(need Amounts) (int, Amounts) {
	held := slices.Clone(m.Held)
	slices.SortFunc(held, func(a, b Held) int {
		return cmp.Or(cmp.Compare(b.Job.Need.GPUs, a.Job.Need.GPUs), cmp.Compare(b.Job.Need.CPUs, a.Job.Need.CPUs), cmp.Compare(b.Job.Need.MemoryGB, a.Job.Need.MemoryGB),
			cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	var freed Amounts
	for i, h := range held {
		if freed = freed.Add(h.Job.Need, 1); m.Free().Add(freed, 1).Times(need) > 0 {
			return i + 1, freed
		}
	}
	return 0, freed
}

// changed are copies of machines as a change leaves them.
func (v *View) changed(j *Job, c Change) (out []*Machine) {
	if c.Kind == NoCapacity {
		t := v.Types[c.Offer.Type]
		for i := range c.Need {
			out = append(out, &Machine{Name: fmt.Sprintf("~new-%d", i), Type: c.Offer.Type, Zone: c.Offer.Zone, Spot: c.Offer.Spot, Share: v.Share,
				HasType: true, Size: SizeOf(t), SecPerGB: SecondsPerGB(t, 0), Heard: v.Now, Addressed: true})
		}
		return out
	}
	for _, m := range v.Index.Machines(v.Share) {
		if len(out) == c.Need {
			break
		}
		if !slices.Contains(c.Machines, m.Name) {
			continue
		}
		f := *m
		f.Block, f.AvoidTill, f.Heard, f.Earmark = 0, time.Time{}, v.Now, nil
		f.Used = f.Used.Add(c.freed[m.Name], -1)
		out = append(out, &f)
	}
	return out
}
