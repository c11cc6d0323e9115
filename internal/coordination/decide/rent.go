package decide

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Bin is a machine in a forecast, on which waiting tasks are placed to find out what to rent.
type Bin struct {
	Offer
	size    Resources
	free    Resources
	machine *Machine // nil: requested from the cloud, to be moved here, or to be rented
	uses    int      // tasks that the forecast placed on it
}

// binOf returns a bin for an existing machine.
func binOf(m *Machine) *Bin {
	return &Bin{Offer: m.offer(), size: m.Size, free: m.Free(), machine: m}
}

// newBin returns a bin for a machine to be rented.
func newBin(o Offer, t *protocol.MachineType) *Bin {
	return &Bin{Offer: o, size: SizeOf(t), free: SizeOf(t)}
}

// SizeOf returns the resources of a machine type.
func SizeOf(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// tasks returns the number of tasks that the bin's machine has already.
func (b *Bin) tasks() int {
	if b.machine == nil {
		return 0
	}
	return len(b.machine.Assignments)
}

// images returns the number of images on the bin's machine.
func (b *Bin) images() int {
	if b.machine == nil {
		return 0
	}
	return len(b.machine.Images)
}

// exhausted returns the kinds of resources that a bin has none left of.
func (b *Bin) exhausted() resourceSet { return b.size.exhausted(b.free) }

// PendingRental is a number of machines that were requested from the cloud and are not recorded yet.
type PendingRental struct {
	Offer
	Count int
}

// Market is the state of the cloud's offers and of machines that may come.
type Market struct {
	Pending         []PendingRental     // for this partition
	RefusedUntil    map[Offer]time.Time // until when an offer is not requested again
	DonorPartitions []int               // partitions without waiting tasks, whose empty machines may be moved here
}

// RefusalBackoff returns for how long an offer is not requested after a number of refusals in a
// row. It grows until all other offers can be requested meanwhile, at one request per period.
// Without that, on simulated days with 20 offers, the ten cheapest were requested in turn, one a
// second, while 74 machines of the more expensive offers were available and 9,000 tasks waited.
func RefusalBackoff(times, offers int, period time.Duration) time.Duration {
	const first = 8 * time.Second
	roundTime := time.Duration(1.5 * float64(offers) * float64(period))
	return max(first, min(first<<min(times-1, 4), roundTime))
}

// Rental is the result of Rent.
type Rental struct {
	ToRent  map[Offer]int     // number of machines to rent
	Reasons []Reason          // for each waiting job: why it waits, as far as machines are concerned
	Needed  map[*Machine]bool // for each machine of the partition: whether a waiting or expected job needs it
}

// Rent returns which machines to rent: those that the waiting jobs need beyond the ones that are
// requested or booting, and those that jobs like the recent ones will need before a machine
// rented later would be up.
func (v *View) Rent(waiting, expected []*Job, market *Market) Rental {
	rental := Rental{ToRent: map[Offer]int{}, Needed: map[*Machine]bool{}}
	f := &forecast{view: v, placedByTeam: make([]Resources, len(v.Teams)), toRent: rental.ToRent, inZone: map[string]int{}, market: market}
	var running []*Bin
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Block&(Returned|Returning|Cordoned|Moving) != 0 {
			continue
		}
		if m.Lent {
			lent := binOf(m)
			lent.machine = nil // whether the machine is needed is for the lender to say
			f.bins = append(f.bins, lent)
			continue
		}
		f.inZone[m.Zone]++
		rental.Needed[m] = false
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
	// Resources freed before a rented machine would be up serve waiting tasks sooner.
	for _, b := range running {
		b.free = b.free.Add(v.freedWithin(b.machine, v.bootTime(b.Type)), 1)
	}
	donors := v.donorMachines(market.DonorPartitions)
	f.bins = append(slices.Clone(running), f.bins...)
	f.open(f.bins)
	for _, j := range waiting {
		if v.Now.Sub(j.FirstSeen) < v.moveTime() {
			f.bins = append(f.bins, donors...)
			f.open(donors)
			donors = nil
		}
		reason := NoCapacity
		if v.neverRuns(j) {
			rental.Reasons = append(rental.Reasons, GangNeverFits)
			continue
		}
		if !f.placeTasks(j, j.EligibleTasks(v.Now)) {
			reason = TeamLimit
		}
		rental.Reasons = append(rental.Reasons, reason)
	}
	// Expected jobs are placed on running machines first, on the fullest ones and then on
	// those with the most images, so that the others can be returned.
	slices.SortStableFunc(f.bins, func(a, b *Bin) int {
		return cmp.Or(b.tasks()-a.tasks(), b.images()-a.images())
	})
	f.openBins = [allResources]binList{}
	f.open(f.bins)
	for _, j := range expected {
		f.placeTasks(j, j.Tasks)
	}
	for _, b := range f.bins {
		if b.machine != nil {
			rental.Needed[b.machine] = b.uses > 0
		}
	}
	return rental
}

// bootTime returns how long a machine of a type is expected to take to boot.
func (v *View) bootTime(typ string) time.Duration {
	if t := v.Types[typ]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return 0
}

// moveTime returns the longest time that a move takes without failures.
func (v *View) moveTime() time.Duration {
	return time.Duration((v.Config.MoveS + v.Config.ReportS) * float64(time.Second))
}

// freedWithin returns the resources of a machine's tasks that are expected to end within d,
// by the submitter's estimate, which is often wrong. An overdue task counts as ending soon.
func (v *View) freedWithin(m *Machine, d time.Duration) Resources {
	var freed Resources
	for _, task := range m.Assignments {
		j := task.Job
		if j.Spec.Shape == protocol.Service && !j.Cancelled {
			continue
		}
		ran := v.Now.Sub(task.Since).Seconds()
		if j.Cancelled || j.Spec.EstimateS+m.FetchSeconds(j.Spec)-ran < d.Seconds() {
			freed = freed.Add(j.Need, 1)
		}
	}
	return freed
}

// donorMachines returns bins for the empty machines of other partitions, which the leader is
// expected to move here sooner than a rented machine boots.
func (v *View) donorMachines(partitions []int) []*Bin {
	var donors []*Bin
	for _, s := range partitions {
		for _, m := range v.Index.Machines(s) {
			if len(m.Assignments) == 0 && m.HasAddress {
				b := binOf(m)
				b.machine = nil // it belongs to another partition, so Rental.Needed does not list it
				donors = append(donors, b)
			}
		}
	}
	return donors
}

// Arrival is a recently submitted job. ExpectedJobs predicts jobs from arrivals.
type Arrival struct {
	At   time.Time
	Spec *protocol.JobSpec
	Team int
}

// arrivalWindow is how long arrivals are used for predictions.
const arrivalWindow = 120 * time.Second

// TrimArrivals drops the arrivals that are older than arrivalWindow.
func TrimArrivals(recent []Arrival, now time.Time) []Arrival {
	for len(recent) > 0 && now.Sub(recent[0].At) > arrivalWindow {
		recent = recent[1:]
	}
	return recent
}

// ExpectedJobs predicts the jobs that will arrive while a machine boots: a fraction of the recent
// ones, evenly spaced within each class. ownedFor is how long the partition has had its present
// owner, headroom the operators' setting. Nothing is predicted from less than 20 s of arrivals.
func (v *View) ExpectedJobs(recent []Arrival, ownedFor time.Duration, headroom float64) []*Job {
	maxBootS := 0.0
	for _, t := range v.Types {
		maxBootS = max(maxBootS, t.BootS)
	}
	spanS := min(arrivalWindow.Seconds(), ownedFor.Seconds())
	if spanS < 20 {
		return nil
	}
	fraction := min(1, headroom*maxBootS/spanS)
	var out []*Job
	accumulated := map[string]float64{}
	for _, a := range recent {
		if v.Teams[a.Team].Unguaranteed() {
			continue // a single huge job of an unguaranteed team predicts nothing
		}
		sum, ok := accumulated[a.Spec.Class]
		if !ok && a.Spec.Rank() == protocol.Production {
			sum = 1 - fraction // at least one job of a class that must not wait is always expected
		} else if !ok {
			sum = 0.5
		}
		if sum += fraction; sum < 1 {
			accumulated[a.Spec.Class] = sum
			continue
		}
		accumulated[a.Spec.Class] = sum - 1
		out = append(out, &Job{ID: a.Spec.ID, Spec: a.Spec, Team: a.Team, Partition: v.Partition, Rank: a.Spec.Rank(),
			Need: Need(a.Spec), Tasks: min(a.Spec.Tasks, 200)})
	}
	return out
}

// forecast is the search for the machines that waiting and expected jobs need.
type forecast struct {
	view         *View
	bins         []*Bin                // all, in order
	openBins     [allResources]binList // bins with capacity, by the kinds of resources that they have exhausted
	placedByTeam []Resources           // by team: resources of the tasks placed in the forecast
	toRent       map[Offer]int         // number of bins opened by offer
	inZone       map[string]int        // number of machines of the partition by zone
	market       *Market

	noNewBins bool // place tasks on existing bins only
}

// binList is a list of bins that is searched in order.
type binList struct {
	bins     []*Bin
	scanFrom map[placementKey]int // index at which jobs with the same key start
}

// open enters bins with capacity into the lists, in the given order.
func (f *forecast) open(bins []*Bin) {
	for _, b := range bins {
		if b.free.kinds() != 0 {
			list := &f.openBins[b.exhausted()]
			list.bins = append(list.bins, b)
		}
	}
}

// maxMisplacedBins is how many bins may have exhausted more than their list says before they are
// moved to other lists.
const maxMisplacedBins = 16

// fillFrom fills the bins of a list in order until fill returns false. Bins only become fuller.
// One pass is therefore enough, and a job with the same key continues where the last one stopped.
func (f *forecast) fillFrom(exhausted resourceSet, j *Job, fill func(b *Bin) (more bool)) {
	list := &f.openBins[exhausted]
	if len(list.bins) == 0 {
		return
	}
	key := placementKeyOf(j)
	next, misplaced := 0, 0
	if !j.zoneConstrained() && !j.Excluded {
		next = list.scanFrom[key]
	}
	for more := true; next < len(list.bins); next++ {
		b := list.bins[next]
		if more = fill(b); b.exhausted() != exhausted {
			misplaced++
		}
		if !more {
			break // the bin may have capacity for the next job
		}
	}
	if misplaced > maxMisplacedBins {
		bins := list.bins
		*list = binList{}
		f.open(bins)
	} else if !j.zoneConstrained() && !j.Excluded {
		if list.scanFrom == nil {
			list.scanFrom = map[placementKey]int{}
		}
		list.scanFrom[key] = next
	}
}

// placeTasks places a number of a job's tasks on bins and opens new bins for the rest. It returns
// false if no task is to be placed, in particular because of the team's limit.
func (f *forecast) placeTasks(j *Job, tasks int) bool {
	team := *f.view.team(j)
	team.Used = team.Used.Add(f.placedByTeam[j.Team], 1)
	tasks = min(tasks, team.TasksWithinLimit(j.Need))
	if tasks <= 0 || (j.Spec.Shape == protocol.Gang && tasks < j.Tasks) {
		return false
	}
	const horizon = 2000 // tasks considered; a rental request is limited to 50 machines anyway
	tasks = min(tasks, horizon)
	f.placedByTeam[j.Team] = f.placedByTeam[j.Team].Add(j.Need, float64(tasks))
	byZone := map[string]int{}
	zone := "" // the zone of the job's tasks if all must be in one zone
	for z, n := range j.Zones {
		byZone[z] = n
		if j.Spec.OneZone && n > 0 {
			zone = z
		}
	}
	half := (j.Tasks + 1) / 2
	fits := func(o Offer) bool {
		return Allowed(j.Spec, o) && (zone == "" || zone == o.Zone) &&
			(!j.Spec.Spread || byZone[o.Zone] < half)
	}
	fill := func(b *Bin) (more bool) {
		if b.machine != nil && b.machine.excludes(j) {
			return true
		}
		for tasks > 0 && b.free.TaskCount(j.Need) > 0 && fits(b.Offer) {
			b.free = b.free.Add(j.Need, -1)
			b.uses++
			byZone[b.Zone]++
			if j.Spec.OneZone {
				zone = b.Zone
			}
			tasks--
		}
		return tasks > 0
	}
	// Bins that other work leaves a part of come first, so that others stay free.
	for exhausted := allResources; exhausted > 0 && tasks > 0; {
		if exhausted--; exhausted&j.Need.kinds() == 0 {
			f.fillFrom(exhausted, j, fill)
		}
	}
	for tasks > 0 && !f.noNewBins {
		o, ok := f.bestOffer(j, fits)
		if !ok {
			return true
		}
		f.inZone[o.Zone]++
		f.toRent[o]++
		b := newBin(o, f.view.Types[o.Type])
		fill(b)
		if b.uses == 0 {
			return true
		}
		f.bins = append(f.bins, b)
		f.open([]*Bin{b})
	}
	return true
}

// bestOffer returns the cheapest offer that fits a job and that the cloud has not refused
// recently. Among offers of the same price it prefers the zone with the fewest machines of the
// partition.
func (f *forecast) bestOffer(j *Job, fits func(Offer) bool) (best Offer, ok bool) {
	var price float64
	better := func(o Offer, offerPrice float64) bool {
		return !ok || cmp.Or(cmp.Compare(offerPrice, price), cmp.Compare(f.inZone[o.Zone], f.inZone[best.Zone]),
			cmp.Compare(o.Zone, best.Zone), cmp.Compare(o.Type, best.Type)) < 0
	}
	for _, t := range f.view.Types {
		if SizeOf(t).TaskCount(j.Need) == 0 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				offerPrice := t.Price
				if spot {
					offerPrice = t.SpotPrice
				}
				o := Offer{t.Name, z, spot}
				if fits(o) && !f.view.Now.Before(f.market.RefusedUntil[o]) && better(o, offerPrice) {
					best, price, ok = o, offerPrice, true
				}
			}
		}
	}
	return best, ok
}
