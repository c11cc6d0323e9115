package decide

// Work that needs no GPU may be on a machine with GPUs because there was no other place
// when it came, and services stay for as long as their users want them. When work waits
// that needs the GPUs, such tasks are stopped there to run elsewhere at once: their
// machine is drained of them, as PROTOCOL allows for moving replicas, whatever their
// urgency. (On a simulated day with 40 machines one replica of one CPU kept each of the two
// machines that gangs fit on, for ten minutes, and no gang ever ran.)

// shiftLoss is how many seconds of a task are lost when it is stopped to run elsewhere,
// beside what it has to fetch there.
const shiftLoss = 2

// shiftsFor says whether tasks of a machine may be shifted for a job: they need none of
// the GPUs there that it wants.
func (v *View) shiftsFor(j *Job, m *Machine) bool {
	return j.Need.GPUs > 0 && m.idlers > 0 && (v.Wanted == nil || v.Wanted[m.Type])
}

// mostShiftFetch is how many seconds a task may have to fetch its image when it is stopped to
// run elsewhere: for so long nobody runs it.
const mostShiftFetch = 10

// elsewhere are places on a share's machines that tasks are imagined to be shifted to.
type elsewhere struct {
	v     View
	taken []shifted
	load  map[*Machine]Amounts // what the tasks in taken need, by machine
	none  map[shiftKey]bool    // what found no place
	lower map[*Machine][4]Amounts
}

type shifted struct {
	to   *Machine
	need Amounts
}

type shiftKey struct {
	needs
	zone, image string
}

func (v *View) elsewhere(share int) *elsewhere {
	e := &elsewhere{v: *v, load: map[*Machine]Amounts{}, none: map[shiftKey]bool{}}
	e.v.Share, e.v.noSlot, e.v.noRoom = share, nil, nil
	return e
}

// take finds a place for a task of a machine, in the same zone and where it keeps GPUs from
// nobody: one where its image is, so that it runs again within a moment, or else one where it
// is there soon. Of both, places that are free come before those where less urgent work would
// be stopped for it. It returns how long the fetch takes.
func (e *elsewhere) take(j *Job, from *Machine) (fetchS float64, found bool) {
	key := shiftKey{needsOf(j), from.Zone, j.Spec.Image}
	if e.none[key] {
		return 0, false
	}
	var groups []*group
	for _, g := range e.v.Index.shares[e.v.Share].groups {
		if g.tree.Len() > 0 && g.offer.Zone == from.Zone && Allowed(j.Spec, g.offer) && e.v.idles(j, g.offer.Type) == 0 {
			groups = append(groups, g)
		}
	}
	free := e.v.cheapest(j, groups, len(e.taken)+1)
	for _, atMost := range []float64{0, mostShiftFetch} {
		if m := e.takeFree(j, free, atMost); m != nil {
			return m.Cost(j.Spec), true
		}
		if m := e.takeOutranked(j, from.Zone, atMost); m != nil {
			return m.Cost(j.Spec), true
		}
	}
	e.none[key] = true
	return 0, false
}

// takeFree takes a free place with a fetch of at most so many seconds, if there is one.
func (e *elsewhere) takeFree(j *Job, free []candidate, atMost float64) *Machine {
	for _, c := range free {
		if c.cost > atMost {
			return nil // they come by cost
		}
		if e.put(j, c.m, c.m.Free()) {
			return c.m
		}
	}
	return nil
}

// takeOutranked takes a place in a zone where less urgent work would be stopped, with a fetch
// of at most so many seconds, if there is one.
func (e *elsewhere) takeOutranked(j *Job, zone string, atMost float64) *Machine {
	for _, m := range e.v.Index.Machines(e.v.Share) {
		if m.lowest > j.Rank && m.stopping == 0 && m.Zone == zone && m.Cost(j.Spec) <= atMost && e.v.idles(j, m.Type) == 0 && Allowed(j.Spec, m.offer()) && e.v.usable(m) &&
			e.put(j, m, m.Free().Add(e.freeable(m)[j.Rank], 1)) {
			return m
		}
	}
	return nil
}

// put takes a place on a machine that would have so much free, if it has one left.
func (e *elsewhere) put(j *Job, m *Machine, free Amounts) bool {
	if free.Add(e.load[m], -1).Times(j.Need) == 0 {
		return false
	}
	e.load[m] = e.load[m].Add(j.Need, 1)
	e.taken = append(e.taken, shifted{m, j.Need})
	return true
}

// freeable is, by rank, what less urgent tasks take on a machine that could be stopped.
func (e *elsewhere) freeable(m *Machine) [4]Amounts {
	if e.lower == nil {
		e.lower = map[*Machine][4]Amounts{}
	}
	lower, known := e.lower[m]
	if !known {
		lower = m.lowerWork()
		e.lower[m] = lower
	}
	return lower
}

// lowerWork is, by rank, what tasks of a machine take that are less urgent and could be
// stopped.
func (m *Machine) lowerWork() (lower [4]Amounts) {
	for _, h := range m.Held {
		if h.Settled && !h.together() {
			for rank := range h.Job.Rank {
				lower[rank] = lower[rank].Add(h.Job.Need, 1)
			}
		}
	}
	return lower
}

// giveBack forgets what was taken after the first so many.
func (e *elsewhere) giveBack(first int) {
	if len(e.taken) == first {
		return
	}
	for _, t := range e.taken[first:] {
		e.load[t.to] = e.load[t.to].Add(t.need, -1)
	}
	e.taken = e.taken[:first]
	clear(e.none)
}

// takeAll finds places for all tasks of a machine that are as urgent as a rank or more, and
// says whether there are any.
func (e *elsewhere) takeAll(m *Machine, rank int) bool {
	begun := len(e.taken)
	for _, h := range m.Held {
		if h.Unwanted || h.Job.Rank > rank && h.Settled && !h.together() {
			continue
		}
		if !h.Settled || h.Job.Need.GPUs > 0 {
			e.giveBack(begun)
			return false
		}
		if _, found := e.take(h.Job, m); !found {
			e.giveBack(begun)
			return false
		}
	}
	return true
}

// Shifts says whether all tasks of a machine that are as urgent as a rank or more could
// run elsewhere in its share, for a job that needs its GPUs.
func (v *View) Shifts(m *Machine, rank int) bool {
	return m.idlers > 0 && (v.Wanted == nil || v.Wanted[m.Type]) && v.elsewhere(m.Share).takeAll(m, rank)
}
