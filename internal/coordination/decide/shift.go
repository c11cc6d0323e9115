package decide

// Work that needs no GPU may be on a machine with GPUs because there was no other place
// when it came, and services stay for as long as their users want them. When work waits
// that needs the GPUs, such tasks are stopped there to run elsewhere at once: their
// machine is drained of them, as PROTOCOL allows for moving replicas, whatever their
// urgency. (On a simulated day with 40 machines one replica of one CPU kept each of the two
// machines that gangs fit on, for ten minutes, and no gang ever ran.)

// relocationLoss is how many seconds of a task are lost when it is stopped to run elsewhere,
// beside what it has to fetch there.
const relocationLoss = 2

// mayRelocateFor says whether tasks of a machine may be shifted for a job: they need none of
// the GPUs there that it wants.
func (v *View) mayRelocateFor(j *Job, m *Machine) bool {
	return j.Need.GPUs > 0 && m.cpuOnlyTasks > 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type])
}

// maxRelocationFetch is how many seconds a task may have to fetch its image when it is stopped to
// run elsewhere: for so long nobody runs it.
const maxRelocationFetch = 10

// relocationPlan are places on a share's machines that tasks are imagined to be shifted to.
type relocationPlan struct {
	view        View
	placements  []relocation
	needOn      map[*Machine]Resources // what the tasks in taken need, by machine
	noPlace     map[relocationKey]bool // what found no place
	preemptible map[*Machine][4]Resources
}

type relocation struct {
	to   *Machine
	need Resources
}

type relocationKey struct {
	placementKey
	zone, image string
}

func (v *View) newRelocationPlan(share int) *relocationPlan {
	e := &relocationPlan{view: *v, needOn: map[*Machine]Resources{}, noPlace: map[relocationKey]bool{}}
	e.view.Partition, e.view.noCapacityAt, e.view.noVictimsAt = share, nil, nil
	return e
}

// placeTask finds a place for a task of a machine, in the same zone and where it keeps GPUs from
// nobody: one where its image is, so that it runs again within a moment, or else one where it
// is there soon. Of both, places that are free come before those where less urgent work would
// be stopped for it. It returns how long the fetch takes.
func (e *relocationPlan) placeTask(j *Job, from *Machine) (fetchS float64, found bool) {
	key := relocationKey{placementKeyOf(j), from.Zone, j.Spec.Image}
	if e.noPlace[key] {
		return 0, false
	}
	var groups []*machineGroup
	for _, g := range e.view.Index.partitions[e.view.Partition].groups {
		if g.tree.Len() > 0 && g.offer.Zone == from.Zone && Allowed(j.Spec, g.offer) && e.view.idledGPUs(j, g.offer.Type) == 0 {
			groups = append(groups, g)
		}
	}
	free := e.view.cheapest(j, groups, len(e.placements)+1)
	for _, atMost := range []float64{0, maxRelocationFetch} {
		if m := e.placeOnFree(j, free, atMost); m != nil {
			return m.FetchSeconds(j.Spec), true
		}
		if m := e.placeByPreempting(j, from.Zone, atMost); m != nil {
			return m.FetchSeconds(j.Spec), true
		}
	}
	e.noPlace[key] = true
	return 0, false
}

// placeOnFree takes a free place with a fetch of at most so many seconds, if there is one.
func (e *relocationPlan) placeOnFree(j *Job, free []candidate, atMost float64) *Machine {
	for _, c := range free {
		if c.cost > atMost {
			return nil // they come by cost
		}
		if e.tryPlace(j, c.m, c.m.Free()) {
			return c.m
		}
	}
	return nil
}

// placeByPreempting takes a place in a zone where less urgent work would be stopped, with a fetch
// of at most so many seconds, if there is one.
func (e *relocationPlan) placeByPreempting(j *Job, zone string, atMost float64) *Machine {
	for _, m := range e.view.Index.Machines(e.view.Partition) {
		if m.lowestPriority > j.Rank && m.stoppingTasks == 0 && m.Zone == zone && m.FetchSeconds(j.Spec) <= atMost && e.view.idledGPUs(j, m.Type) == 0 && Allowed(j.Spec, m.offer()) && e.view.usable(m) &&
			e.tryPlace(j, m, m.Free().Add(e.preemptibleOn(m)[j.Rank], 1)) {
			return m
		}
	}
	return nil
}

// tryPlace takes a place on a machine that would have so much free, if it has one left.
func (e *relocationPlan) tryPlace(j *Job, m *Machine, free Resources) bool {
	if free.Add(e.needOn[m], -1).TaskCount(j.Need) == 0 {
		return false
	}
	e.needOn[m] = e.needOn[m].Add(j.Need, 1)
	e.placements = append(e.placements, relocation{m, j.Need})
	return true
}

// preemptibleOn is, by rank, what less urgent tasks take on a machine that could be stopped.
func (e *relocationPlan) preemptibleOn(m *Machine) [4]Resources {
	if e.preemptible == nil {
		e.preemptible = map[*Machine][4]Resources{}
	}
	lower, known := e.preemptible[m]
	if !known {
		lower = m.preemptibleByRank()
		e.preemptible[m] = lower
	}
	return lower
}

// preemptibleByRank is, by rank, what tasks of a machine take that are less urgent and could be
// stopped.
func (m *Machine) preemptibleByRank() (lower [4]Resources) {
	for _, h := range m.Assignments {
		if h.Active && !h.coscheduled() {
			for rank := range h.Job.Rank {
				lower[rank] = lower[rank].Add(h.Job.Need, 1)
			}
		}
	}
	return lower
}

// rollBack forgets what was taken after the first so many.
func (e *relocationPlan) rollBack(first int) {
	if len(e.placements) == first {
		return
	}
	for _, t := range e.placements[first:] {
		e.needOn[t.to] = e.needOn[t.to].Add(t.need, -1)
	}
	e.placements = e.placements[:first]
	clear(e.noPlace)
}

// placeAll finds places for all tasks of a machine that are as urgent as a rank or more, and
// says whether there are any.
func (e *relocationPlan) placeAll(m *Machine, rank int) bool {
	begun := len(e.placements)
	for _, h := range m.Assignments {
		if h.Stopping || h.Job.Rank > rank && h.Active && !h.coscheduled() {
			continue
		}
		if !h.Active || h.Job.Need.GPUs > 0 {
			e.rollBack(begun)
			return false
		}
		if _, found := e.placeTask(h.Job, m); !found {
			e.rollBack(begun)
			return false
		}
	}
	return true
}

// CanRelocate says whether all tasks of a machine that are as urgent as a rank or more could
// run elsewhere in its share, for a job that needs its GPUs.
func (v *View) CanRelocate(m *Machine, rank int) bool {
	return m.cpuOnlyTasks > 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) && v.newRelocationPlan(m.Partition).placeAll(m, rank)
}
