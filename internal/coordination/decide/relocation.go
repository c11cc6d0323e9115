package decide

// Relocation. Tasks that need no GPU may run on a machine with GPUs because nothing else was free
// when they were placed, and services run for as long as their users want them. When a job waits
// that needs the GPUs, such tasks are stopped to run elsewhere at once, whatever their priority:
// the machine is drained of them, which PROTOCOL allows for moving replicas. Without that, on a
// simulated day with 40 machines, one replica of one CPU on each of the two machines that gangs
// fit on kept all gangs from running for ten minutes.

// relocationLoss is how many seconds of a task are lost when it is relocated, in addition to the
// image fetch.
const relocationLoss = 2

// mayRelocateFor reports whether tasks of a machine may be relocated for a job: the job needs GPUs,
// jobs need GPUs of the machine's type, and some tasks on the machine need none.
func (v *View) mayRelocateFor(j *Job, m *Machine) bool {
	return j.Need.GPUs > 0 && m.cpuOnlyTasks > 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type])
}

// maxRelocationFetch is the longest image fetch, in seconds, that a relocated task may need. The
// task does not run meanwhile.
const maxRelocationFetch = 10

// relocationPlan is a plan of relocating tasks to machines of one partition.
type relocationPlan struct {
	view        View
	placements  []relocation
	needOn      map[*Machine]Resources    // resources of the tasks in placements, by machine
	noPlace     map[relocationKey]bool    // keys for which no place was found
	preemptible map[*Machine][4]Resources // cached results of Machine.preemptibleByRank
}

// relocation is the new place of a task.
type relocation struct {
	to   *Machine
	need Resources
}

// relocationKey identifies tasks that can be relocated to the same machines.
type relocationKey struct {
	placementKey
	zone, image string
}

// newRelocationPlan returns an empty plan for a partition.
func (v *View) newRelocationPlan(partition int) *relocationPlan {
	plan := &relocationPlan{view: *v, needOn: map[*Machine]Resources{}, noPlace: map[relocationKey]bool{}}
	plan.view.Partition, plan.view.noCapacityAt, plan.view.noVictimsAt = partition, nil, nil
	return plan
}

// placeTask finds a place for a task of machine from, in the same zone and where it idles no GPUs.
// Machines that have the image come first, so that the task runs again at once, then those that
// fetch it within maxRelocationFetch. In both cases free capacity comes before capacity for which
// tasks of lower priority would be preempted. It returns the seconds that the fetch takes.
func (p *relocationPlan) placeTask(j *Job, from *Machine) (fetchS float64, found bool) {
	key := relocationKey{placementKeyOf(j), from.Zone, j.Spec.Image}
	if p.noPlace[key] {
		return 0, false
	}
	groups, searched := p.view.Index.partitions[p.view.Partition].groupsFor(j, func(o Offer) bool {
		return o.Zone == from.Zone && p.view.idledGPUs(j, o.Type) == 0
	})
	free := p.view.cheapest(j, groups, searched, len(p.placements)+1)
	for _, maxFetch := range []float64{0, maxRelocationFetch} {
		if m := p.placeOnFree(j, free, maxFetch); m != nil {
			return m.FetchSeconds(j.Spec), true
		}
		if m := p.placeByPreempting(j, from.Zone, maxFetch); m != nil {
			return m.FetchSeconds(j.Spec), true
		}
	}
	p.noPlace[key] = true
	return 0, false
}

// placeOnFree places a task on free capacity with a fetch of at most maxFetch seconds. It returns
// the machine, or nil.
func (p *relocationPlan) placeOnFree(j *Job, free []candidate, maxFetch float64) *Machine {
	for _, c := range free {
		if c.cost > maxFetch {
			return nil // sorted by cost
		}
		if p.tryPlace(j, c.m, c.m.Free()) {
			return c.m
		}
	}
	return nil
}

// placeByPreempting places a task on a machine of a zone on which tasks of lower priority would be
// preempted for it, with a fetch of at most maxFetch seconds. It returns the machine, or nil.
func (p *relocationPlan) placeByPreempting(j *Job, zone string, maxFetch float64) *Machine {
	for _, m := range p.view.Index.Machines(p.view.Partition) {
		if m.lowestPriority > j.Rank && m.stoppingTasks == 0 && m.Zone == zone && m.FetchSeconds(j.Spec) <= maxFetch && p.view.idledGPUs(j, m.Type) == 0 && Allowed(j.Spec, m.offer()) && p.view.usable(m) &&
			p.tryPlace(j, m, m.Free().Add(p.preemptibleOn(m)[j.Rank], 1)) {
			return m
		}
	}
	return nil
}

// tryPlace places a task on a machine with the given free resources, if it fits beside the tasks
// that the plan has placed there.
func (p *relocationPlan) tryPlace(j *Job, m *Machine, free Resources) bool {
	if free.Add(p.needOn[m], -1).TaskCount(j.Need) == 0 {
		return false
	}
	p.needOn[m] = p.needOn[m].Add(j.Need, 1)
	p.placements = append(p.placements, relocation{m, j.Need})
	return true
}

// preemptibleOn returns preemptibleByRank of a machine and caches it.
func (p *relocationPlan) preemptibleOn(m *Machine) [4]Resources {
	if p.preemptible == nil {
		p.preemptible = map[*Machine][4]Resources{}
	}
	amounts, known := p.preemptible[m]
	if !known {
		amounts = m.preemptibleByRank()
		p.preemptible[m] = amounts
	}
	return amounts
}

// preemptibleByRank returns, for each rank, the resources of the machine's tasks that a job of this
// rank could preempt because of their lower priority.
func (m *Machine) preemptibleByRank() (amounts [4]Resources) {
	for _, task := range m.Assignments {
		if task.Active && !task.coscheduled() {
			for rank := range task.Job.Rank {
				amounts[rank] = amounts[rank].Add(task.Job.Need, 1)
			}
		}
	}
	return amounts
}

// rollBack removes all placements beyond the first checkpoint ones.
func (p *relocationPlan) rollBack(checkpoint int) {
	if len(p.placements) == checkpoint {
		return
	}
	for _, placement := range p.placements[checkpoint:] {
		p.needOn[placement.to] = p.needOn[placement.to].Add(placement.need, -1)
	}
	p.placements = p.placements[:checkpoint]
	clear(p.noPlace)
}

// placeAll finds places for all tasks of a machine that a job of a rank cannot preempt. It reports
// whether it found places for all of them; otherwise it takes none.
func (p *relocationPlan) placeAll(m *Machine, rank int) bool {
	checkpoint := len(p.placements)
	for _, task := range m.Assignments {
		if task.Stopping || task.Job.Rank > rank && task.Active && !task.coscheduled() {
			continue
		}
		if !task.Active || task.Job.Need.GPUs > 0 {
			p.rollBack(checkpoint)
			return false
		}
		if _, found := p.placeTask(task.Job, m); !found {
			p.rollBack(checkpoint)
			return false
		}
	}
	return true
}

// CanRelocate reports whether all tasks of a machine that a job of a rank cannot preempt could be
// relocated within the partition, for a job that needs the machine's GPUs.
func (v *View) CanRelocate(m *Machine, rank int) bool {
	return m.cpuOnlyTasks > 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) && v.newRelocationPlan(m.Partition).placeAll(m, rank)
}
