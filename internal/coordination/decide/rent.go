package decide

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Bin is a machine that waiting tasks are imagined on, to see what to rent.
type Bin struct {
	Offer
	free    Resources
	machine *Machine // nil: asked for, or only imagined
	uses    int      // tasks imagined on it
	gpus    bool     // of a type with GPUs
}

func binOf(m *Machine) *Bin {
	return &Bin{Offer: m.offer(), free: m.Free(), machine: m, gpus: m.HasType && m.Size.GPUs > 0}
}

func newBin(o Offer, t *protocol.MachineType) *Bin {
	return &Bin{Offer: o, free: SizeOf(t), gpus: t.GPUs > 0}
}

// SizeOf is what a machine of a type has.
func SizeOf(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

func (b *Bin) tasks() int {
	if b.machine == nil {
		return 0
	}
	return len(b.machine.Assignments)
}

func (b *Bin) images() int {
	if b.machine == nil {
		return 0
	}
	return len(b.machine.Images)
}

// full says whether hardly anything can fit into a bin any more.
func (b *Bin) full() bool { return b.free.CPUs <= Tolerance || b.gpus && b.free.GPUs <= Tolerance }

// PendingRental are machines that were asked for and are not recorded yet.
type PendingRental struct {
	Offer
	Count int
}

// Market is what is known of the cloud beside its catalogue.
type Market struct {
	Pending         []PendingRental     // for this share
	RefusedUntil    map[Offer]time.Time // until when an offer is not asked for
	DonorPartitions []int               // shares without waiting tasks, whose free machines may come
}

// RefusalBackoff is for how long an offer that was refused so often in a row is not asked
// for: long enough, after some times, that all the others can be asked for meanwhile. (On
// simulated days with 20 kinds of machine the ten cheapest were asked for round and round,
// one a second, while 74 of the dearer ones stood unused and 9,000 tasks waited.)
func RefusalBackoff(times, offers int, period time.Duration) time.Duration {
	const first = 8 * time.Second
	round := time.Duration(1.5 * float64(offers) * float64(period))
	return max(first, min(first<<min(times-1, 4), round))
}

// Rental is what Rent decides.
type Rental struct {
	ToRent  map[Offer]int
	Reasons []Reason          // of each waiting job: why it waits, as far as machines go
	Needed  map[*Machine]bool // of the share's machines: whether something needs it
}

// Rent says which machines the waiting jobs lack beyond those on the way, and which
// jobs like the recent ones will need before a machine rented later could serve them.
func (v *View) Rent(waits, expected []*Job, market *Market) Rental {
	out := Rental{ToRent: map[Offer]int{}, Needed: map[*Machine]bool{}}
	f := &forecast{view: v, placedByTeam: make([]Resources, len(v.Teams)), toRent: out.ToRent, inZone: map[string]int{}, market: market}
	var running []*Bin
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Block&(Returned|Returning|Cordoned|Moving) != 0 {
			continue
		}
		f.inZone[m.Zone]++
		out.Needed[m] = false
		if m.LastReport.IsZero() && m.Block&InterruptionNotice == 0 {
			f.bins = append(f.bins, binOf(m))
		} else if v.usable(m) {
			running = append(running, binOf(m))
		}
	}
	for _, a := range market.Pending {
		if t := v.Types[a.Type]; t != nil {
			for range a.Count {
				f.inZone[a.Zone]++
				f.bins = append(f.bins, newBin(a.Offer, t))
			}
		}
	}
	// What ends before a rented machine is up serves what waits sooner.
	for _, b := range running {
		b.free = b.free.Add(v.freedWithin(b.machine, v.bootTime(b.Type)), 1)
	}
	lent := v.donorMachines(market.DonorPartitions)
	f.bins = append(slices.Clone(running), f.bins...)
	f.openBins = slices.Clone(f.bins)
	for _, j := range waits {
		if v.Now.Sub(j.FirstSeen) < v.moveTime() {
			f.bins = append(f.bins, lent...)
			f.openBins = append(f.openBins, lent...)
			lent = nil
		}
		why := NoCapacity
		if v.neverRuns(j) {
			out.Reasons = append(out.Reasons, GangNeverFits)
			continue
		}
		if !f.placeTasks(j, j.EligibleTasks(v.Now)) {
			why = TeamLimit
		}
		out.Reasons = append(out.Reasons, why)
	}
	// Running machines come first for what is only expected: the fullest ones, and
	// then those with the most images, so that the others can go.
	slices.SortStableFunc(f.bins, func(a, b *Bin) int {
		return cmp.Or(b.tasks()-a.tasks(), b.images()-a.images())
	})
	f.openBins = slices.DeleteFunc(slices.Clone(f.bins), (*Bin).full)
	f.scanFrom = nil
	for _, j := range expected {
		f.placeTasks(j, j.Tasks)
	}
	for _, b := range f.bins {
		if b.machine != nil {
			out.Needed[b.machine] = b.uses > 0
		}
	}
	return out
}

// bootTime is how long a machine of a type should take to boot.
func (v *View) bootTime(typ string) time.Duration {
	if t := v.Types[typ]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return 0
}

// moveTime is how long a move takes at most when all goes well.
func (v *View) moveTime() time.Duration {
	return time.Duration((v.Config.MoveS + v.Config.ReportS) * float64(time.Second))
}

// freedWithin is what a machine's tasks that should be done within d take. By the
// owner's estimate, which is often wrong; an overdue task counts as ending soon.
func (v *View) freedWithin(m *Machine, d time.Duration) Resources {
	var out Resources
	for _, h := range m.Assignments {
		j := h.Job
		if j.Spec.Shape == protocol.Service && !j.Cancelled {
			continue
		}
		ran := v.Now.Sub(h.Since).Seconds()
		if j.Cancelled || j.Spec.EstimateS+m.FetchSeconds(j.Spec)-ran < d.Seconds() {
			out = out.Add(j.Need, 1)
		}
	}
	return out
}

// donorMachines are free machines that the leader can be expected to move here sooner than
// a rented one boots.
func (v *View) donorMachines(shares []int) []*Bin {
	var out []*Bin
	for _, s := range shares {
		for _, m := range v.Index.Machines(s) {
			if len(m.Assignments) == 0 && m.HasAddress {
				b := binOf(m)
				b.machine = nil // not ours to keep
				out = append(out, b)
			}
		}
	}
	return out
}

// Arrival is a recent job, from which the near future is expected.
type Arrival struct {
	At   time.Time
	Spec *protocol.JobSpec
	Team int
}

// arrivalWindow is how long arrivals are remembered.
const arrivalWindow = 120 * time.Second

// TrimArrivals drops arrivals that are too old.
func TrimArrivals(recent []Arrival, now time.Time) []Arrival {
	for len(recent) > 0 && now.Sub(recent[0].At) > arrivalWindow {
		recent = recent[1:]
	}
	return recent
}

// ExpectedJobs are stand-ins for the jobs that will come while a machine boots: every so
// manieth of the recent ones. held is for how long the share has been held, headroom
// the operators' setting.
func (v *View) ExpectedJobs(recent []Arrival, held time.Duration, headroom float64) []*Job {
	boot := 0.0
	for _, t := range v.Types {
		boot = max(boot, t.BootS)
	}
	span := min(arrivalWindow.Seconds(), held.Seconds())
	if span < 20 {
		return nil
	}
	part := min(1, headroom*boot/span)
	var out []*Job
	sums := map[string]float64{}
	for _, a := range recent {
		if v.Teams[a.Team].Unguaranteed() {
			continue // a guest's one huge job says nothing of what will come
		}
		sum, ok := sums[a.Spec.Class]
		if !ok && a.Spec.Rank() == protocol.Production {
			sum = 1 - part // one of a class that must not wait is always expected
		} else if !ok {
			sum = 0.5
		}
		if sum += part; sum < 1 {
			sums[a.Spec.Class] = sum
			continue
		}
		sums[a.Spec.Class] = sum - 1
		out = append(out, &Job{ID: a.Spec.ID, Spec: a.Spec, Team: a.Team, Partition: v.Partition, Rank: a.Spec.Rank(),
			Need: Need(a.Spec), Tasks: min(a.Spec.Tasks, 200)})
	}
	return out
}

// forecast is one look at what machines the near future needs.
type forecast struct {
	view         *View
	bins         []*Bin               // all, in order
	openBins     []*Bin               // those with room
	scanFrom     map[placementKey]int // of jobs of equal needs: where in open to begin
	placedByTeam []Resources          // by team, of what was imagined
	toRent       map[Offer]int
	inZone       map[string]int
	market       *Market

	noNewBins bool // open no new ones
}

// placeTasks puts r tasks of a job on bins, opening new ones where allowed. It returns
// false if the team's limit keeps all of them waiting.
func (f *forecast) placeTasks(j *Job, r int) bool {
	tm := *f.view.team(j)
	tm.Used = tm.Used.Add(f.placedByTeam[j.Team], 1)
	r = min(r, tm.TasksWithinLimit(j.Need))
	if r <= 0 || (j.Spec.Shape == protocol.Gang && r < j.Tasks) {
		return false
	}
	const horizon = 2000 // tasks looked at: renting is limited to 50 a request anyway
	r = min(r, horizon)
	f.placedByTeam[j.Team] = f.placedByTeam[j.Team].Add(j.Need, float64(r))
	byZone := map[string]int{}
	only := "" // zone that the job is bound to
	for z, n := range j.Zones {
		byZone[z] = n
		if j.Spec.OneZone && n > 0 {
			only = z
		}
	}
	half := (j.Tasks + 1) / 2
	fits := func(o Offer) bool {
		return Allowed(j.Spec, o) && (only == "" || only == o.Zone) &&
			(!j.Spec.Spread || byZone[o.Zone] < half)
	}
	put := func(b *Bin) {
		for r > 0 && b.free.TaskCount(j.Need) > 0 && fits(b.Offer) {
			b.free = b.free.Add(j.Need, -1)
			b.uses++
			byZone[b.Zone]++
			if j.Spec.OneZone {
				only = b.Zone
			}
			r--
		}
	}
	// A bin only becomes fuller, so one pass over those open does, and a job of equal
	// needs goes on where the last one stopped. What a fleet has filled up is not
	// looked at again for the next job.
	key := placementKeyOf(j)
	at, full := 0, 0
	if !j.zoneConstrained() {
		at = f.scanFrom[key]
	}
	for ; at < len(f.openBins) && r > 0; at++ {
		b := f.openBins[at]
		put(b)
		if b.full() {
			full++
		}
		if r == 0 {
			break // it may have room for the next one
		}
	}
	if full > 16 {
		f.openBins = slices.DeleteFunc(f.openBins, (*Bin).full)
		f.scanFrom = nil
	} else if !j.zoneConstrained() {
		if f.scanFrom == nil {
			f.scanFrom = map[placementKey]int{}
		}
		f.scanFrom[key] = at
	}
	for r > 0 && !f.noNewBins {
		o, ok := f.bestOffer(j, fits)
		if !ok {
			return true
		}
		f.inZone[o.Zone]++
		f.toRent[o]++
		b := newBin(o, f.view.Types[o.Type])
		put(b)
		if b.uses == 0 {
			return true
		}
		f.bins, f.openBins = append(f.bins, b), append(f.openBins, b)
	}
	return true
}

// bestOffer is the cheapest kind that a job may use and that the cloud has not just
// refused; among zones the one with the fewest machines of the share.
func (f *forecast) bestOffer(j *Job, fits func(Offer) bool) (best Offer, ok bool) {
	var price float64
	better := func(o Offer, p float64) bool {
		return !ok || cmp.Or(cmp.Compare(p, price), cmp.Compare(f.inZone[o.Zone], f.inZone[best.Zone]),
			cmp.Compare(o.Zone, best.Zone), cmp.Compare(o.Type, best.Type)) < 0
	}
	for _, t := range f.view.Types {
		if SizeOf(t).TaskCount(j.Need) == 0 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := t.Price
				if spot {
					p = t.SpotPrice
				}
				o := Offer{t.Name, z, spot}
				if fits(o) && !f.view.Now.Before(f.market.RefusedUntil[o]) && better(o, p) {
					best, price, ok = o, p, true
				}
			}
		}
	}
	return best, ok
}
