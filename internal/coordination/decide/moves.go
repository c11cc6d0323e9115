package decide

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Move moves a machine to another partition.
type Move struct {
	Machine        *Machine
	Partition      int
	OnlyIfUnneeded bool // only if its present partition does not expect to need it
	Rank           int  // of the job that it is moved for; tasks of the same or a higher priority prevent the move
	Drain          bool // no task is stopped; the machine moves once its tasks have ended
}

// maxPreemptingMoves limits how many machines with running tasks one plan moves. Machines with
// unguaranteedOnly do not count.
const maxPreemptingMoves = 8

// PlanMoves returns at most maxMoves moves of machines to partitions where jobs wait. A machine
// moves only if a waiting job can use it, the job's own partition has no free or preemptible
// capacity for the job, and the waiting jobs of the machine's partition do not need it.
// guaranteed holds the waiting jobs of teams with a guarantee for each partition, unguaranteed
// the others, both by rank and arrival. Empty machines move first, then those that run tasks of
// unguaranteed teams only, if no job with a guarantee waits in their partition, then those on
// which every task has a lower priority than the waiting job. Tasks of unguaranteed teams never
// prevent a move for a job with a guarantee, and jobs of unguaranteed teams get only machines
// that nothing else needs.
func (v *View) PlanMoves(guaranteed, unguaranteed [][]*Job, maxMoves int) []Move {
	p := &movePlan{view: v, placedByTeam: make([]Resources, len(v.Teams)), maxMoves: maxMoves, relocations: map[int]*relocationPlan{}, unmet: map[int][]*Job{}}
	for i := range guaranteed {
		for _, m := range v.Index.Machines(i) {
			// Only machines that have been up: the address is stored with the first report.
			if m.Block&Returned == 0 && m.HasAddress {
				p.candidates = append(p.candidates, p.newCandidate(m, len(guaranteed[i]) == 0))
			}
		}
	}
	// Each partition's waiting jobs are placed on its own machines first, by priority over
	// all partitions. Machines that none of them uses may move.
	p.planRound(guaranteed, false, unguaranteed)
	for i := range unguaranteed {
		if len(guaranteed[i]) > 0 {
			unguaranteed = slices.Clone(unguaranteed)
			unguaranteed[i] = nil // the partition's jobs with a guarantee come first
		}
	}
	p.planRound(unguaranteed, true, unguaranteed)
	return p.moves
}

// planRound places the jobs of each partition on its own machines and then plans moves for those
// that do not fit, one priority after the other. Jobs of lower priority therefore do not keep a
// machine from jobs of higher priority in another partition. When all jobs of a partition were
// placed first, a machine that had just been emptied for a job of higher priority stayed for the
// tasks that had been stopped on it, and was emptied again a few seconds later, forever.
func (p *movePlan) planRound(jobs [][]*Job, unguaranteedJobs bool, unguaranteed [][]*Job) {
	candidates := make([][]*moveCandidate, len(jobs))
	full := make([]map[placementKey]bool, len(jobs))
	for i := range jobs {
		if len(jobs[i]) > 0 {
			candidates[i], full[i] = p.candidatesIn(i), map[placementKey]bool{}
		}
	}
	notFound := map[shortfallKey]bool{}
	for rank := protocol.Production; rank <= protocol.Low; rank++ {
		var shortfalls []shortfall
		for i := range jobs {
			for _, j := range jobs[i] {
				if j.Rank != rank {
					continue
				}
				if missing := p.placeWaiting(j, i, candidates[i], full[i]); missing.tasks > 0 {
					missing.unguaranteed = unguaranteedJobs
					shortfalls = append(shortfalls, missing)
					p.unmet[i] = append(p.unmet[i], j)
				}
			}
		}
		p.planMovesForAll(shortfalls, unguaranteed, notFound)
		p.planMovesForRelocation(shortfalls, candidates, unguaranteed, notFound)
	}
}

// shortfallKey identifies shortfalls that the same machines of other partitions would fit.
type shortfallKey struct {
	placementKey
	partition, rank int
}

// planMovesForAll plans moves for several shortfalls. Keys in notFound are skipped: no machine was
// found for an earlier shortfall with the same key.
func (p *movePlan) planMovesForAll(shortfalls []shortfall, unguaranteed [][]*Job, notFound map[shortfallKey]bool) {
	for _, missing := range shortfalls {
		key := shortfallKey{placementKeyOf(missing.job), missing.partition, missing.job.Rank}
		if !notFound[key] || missing.job.zoneConstrained() {
			notFound[key] = !p.planMovesFor(missing, unguaranteed)
		}
	}
}

// shortfall is the number of a job's tasks that do not fit on the machines of its partition.
type shortfall struct {
	partition    int
	job          *Job
	tasks        int
	zone         string // the zone chosen for a job that must run in one zone
	unguaranteed bool   // the job's team has no guarantee
}

// moveCandidate is the state of a machine in a plan of moves.
type moveCandidate struct {
	m                *Machine
	partition        int
	free             Resources
	preemptible      [4]Resources // by rank: resources of tasks that a job of this rank could preempt
	usedLocally      bool         // a waiting job of its own partition was placed on it
	moved            bool         // the plan moves it
	emptyingLoss     float64      // seconds of work lost by stopping all its tasks
	minRank          int          // lowest rank of its tasks, 0 if one must not be stopped; 4: it has no tasks
	unguaranteedOnly bool         // it runs tasks of unguaranteed teams only, and no job with a guarantee waits in its partition

	relocationPlanned bool            // the plan already searches capacity for relocating its tasks
	canRelocate       [4]cachedAnswer // by rank: whether the tasks that a job of this rank cannot preempt could be relocated
}

// cachedAnswer is the cached result of a check that a plan makes at most once.
type cachedAnswer uint8

const (
	unknown cachedAnswer = iota
	yes
	no
)

// movePlan is a plan of moves in progress.
type movePlan struct {
	view            *View
	candidates      []*moveCandidate
	placedByTeam    []Resources // by team: resources of the tasks placed in the plan
	moves           []Move
	maxMoves        int
	preemptingMoves int
	relocations     map[int]*relocationPlan // by partition: where the tasks of moved machines would be relocated
	unmet           map[int][]*Job          // by partition: jobs with a shortfall
}

// newCandidate returns the state of a machine at the start of the plan.
func (p *movePlan) newCandidate(m *Machine, noGuaranteedWaiting bool) *moveCandidate {
	candidate := &moveCandidate{m: m, partition: m.Partition, free: m.Free(), minRank: 4, preemptible: m.preemptibleByRank()}
	candidate.unguaranteedOnly = noGuaranteedWaiting && len(m.Assignments) > 0
	for _, task := range m.Assignments {
		candidate.unguaranteedOnly = candidate.unguaranteedOnly && p.view.Teams[task.Job.Team].Unguaranteed()
		if candidate.minRank = min(candidate.minRank, task.Job.Rank); (!task.Active || task.coscheduled()) && !task.Stopping {
			candidate.minRank = 0
		}
	}
	if len(m.Assignments) > 0 {
		candidate.emptyingLoss = m.emptyingLoss(p.view.Now)
	}
	return candidate
}

// candidatesIn returns the machines of a partition, the fullest first.
func (p *movePlan) candidatesIn(partition int) (candidates []*moveCandidate) {
	for _, candidate := range p.candidates {
		if candidate.partition == partition {
			candidates = append(candidates, candidate)
		}
	}
	// Filling the fullest first keeps machines that can move empty.
	slices.SortStableFunc(candidates, func(a, b *moveCandidate) int { return cmp.Compare(len(b.m.Assignments), len(a.m.Assignments)) })
	return candidates
}

// capacityFor returns how many tasks of a job fit on a machine of its own partition, preempting
// tasks of lower priority.
func (candidate *moveCandidate) capacityFor(j *Job) int {
	if candidate.m.Block&(Returning|Moving|Cordoned|InterruptionNotice) != 0 {
		return 0
	}
	return candidate.free.Add(candidate.preemptible[j.Rank], 1).TaskCount(j.Need)
}

// placeWaiting places a job's waiting tasks on machines of its partition, within the plan, and
// returns the shortfall. A gang that fits only in part keeps the capacity that it found, since it
// will need it.
func (p *movePlan) placeWaiting(j *Job, partition int, candidates []*moveCandidate, full map[placementKey]bool) shortfall {
	team := *p.view.team(j)
	team.Used = team.Used.Add(p.placedByTeam[j.Team], 1)
	const horizon = 2000
	tasks := min(p.view.Demand(j), team.TasksWithinLimit(j.Need), horizon)
	if tasks <= 0 || j.Spec.Shape == protocol.Gang && tasks < j.Tasks || p.view.neverRuns(j) {
		return shortfall{}
	}
	p.placedByTeam[j.Team] = p.placedByTeam[j.Team].Add(j.Need, float64(tasks))
	return p.placeInPartition(j, partition, tasks, candidates, full)
}

// placeInPartition places a number of a job's tasks on machines of its partition, as far as they
// fit, and returns the shortfall. Keys in full are known not to fit.
func (p *movePlan) placeInPartition(j *Job, partition, tasks int, candidates []*moveCandidate, full map[placementKey]bool) shortfall {
	missing := shortfall{partition: partition, job: j, tasks: tasks, zone: p.chooseZone(j, partition)}
	key := placementKeyOf(j)
	if full[key] && !j.zoneConstrained() {
		return missing
	}
	placed := map[string]int{}
	for _, candidate := range candidates {
		if missing.tasks == 0 {
			break
		}
		if candidate.moved || !p.canUse(j, candidate, missing.zone, placed) {
			continue
		}
		if k := min(missing.tasks, candidate.capacityFor(j), p.zoneCapacityLeft(j, candidate.m.Zone, placed)); k > 0 {
			candidate.free = candidate.free.Add(j.Need, -float64(k))
			candidate.usedLocally = true
			placed[candidate.m.Zone] += k
			missing.tasks -= k
		}
	}
	full[key] = full[key] || missing.tasks > 0 && !j.zoneConstrained()
	return missing
}

// canUse reports whether a job may be placed on a machine: the machine satisfies its constraints
// and is in the zone chosen for the job, and no GPUs would idle.
func (p *movePlan) canUse(j *Job, candidate *moveCandidate, zone string, placed map[string]int) bool {
	return Allowed(j.Spec, candidate.m.offer()) && (zone == "" || zone == candidate.m.Zone) && p.view.idledGPUs(j, candidate.m.Type) == 0 && p.zoneCapacityLeft(j, candidate.m.Zone, placed) > 0
}

// zoneCapacityLeft returns how many more tasks of a job may be placed in a zone after those that
// the plan has placed.
func (p *movePlan) zoneCapacityLeft(j *Job, zone string, placed map[string]int) int {
	return j.zoneCapacity(zone) - map[bool]int{true: placed[zone], false: 0}[j.Spec.Spread]
}

// chooseZone returns the zone for a job that must run in one zone. Among the zones in which all
// waiting tasks would fit, with the machines that could move, it chooses the one in which the
// partition itself has the most capacity; if there is none, it chooses among all zones. It
// returns an empty string for other jobs.
func (p *movePlan) chooseZone(j *Job, partition int) string {
	if !j.Spec.OneZone {
		return ""
	}
	ownCapacity, totalCapacity := map[string]int{}, map[string]int{}
	for _, candidate := range p.candidates {
		if !Allowed(j.Spec, candidate.m.offer()) || j.zoneCapacity(candidate.m.Zone) <= 0 || candidate.moved {
			continue
		}
		if candidate.partition == partition {
			ownCapacity[candidate.m.Zone] += candidate.capacityFor(j)
			totalCapacity[candidate.m.Zone] += candidate.capacityFor(j)
		} else if p.mayMove(j, candidate, false) {
			totalCapacity[candidate.m.Zone] += candidate.m.Size.TaskCount(j.Need)
		}
	}
	best := ""
	for z, n := range totalCapacity {
		if n >= j.Waiting && (best == "" || cmp.Or(cmp.Compare(ownCapacity[best], ownCapacity[z]), cmp.Compare(z, best)) < 0) {
			best = z
		}
	}
	if best == "" {
		for z, n := range ownCapacity {
			if best == "" || cmp.Or(cmp.Compare(ownCapacity[best], n), cmp.Compare(z, best)) < 0 {
				best = z
			}
		}
	}
	return best
}

// mayMove reports whether a machine of another partition may move for a job.
func (p *movePlan) mayMove(j *Job, candidate *moveCandidate, unguaranteedJob bool) bool {
	if candidate.usedLocally || candidate.moved || candidate.m.Block&(Returning|Moving) != 0 || p.view.idledGPUs(j, candidate.m.Type) > 0 {
		return false
	}
	return len(candidate.m.Assignments) == 0 || !unguaranteedJob && (candidate.unguaranteedOnly || p.preemptingMoves < maxPreemptingMoves && (j.Rank < candidate.minRank || p.canRelocateTasks(j, candidate)))
}

// canRelocateTasks reports whether all tasks of a machine that the job cannot preempt could be
// relocated within their partition, because they need none of its GPUs.
func (p *movePlan) canRelocateTasks(j *Job, candidate *moveCandidate) bool {
	answer := &candidate.canRelocate[j.Rank]
	if *answer == unknown {
		*answer = no
		if p.view.mayRelocateFor(j, candidate.m) && p.view.CanRelocate(candidate.m, j.Rank) {
			*answer = yes
		}
	}
	return *answer == yes
}

// reserveRelocation reserves capacity for the tasks that must be relocated when a machine moves.
// It reports whether there is enough, or none is needed.
func (p *movePlan) reserveRelocation(j *Job, candidate *moveCandidate) bool {
	if len(candidate.m.Assignments) == 0 || candidate.unguaranteedOnly || j.Rank < candidate.minRank {
		return true
	}
	if p.relocations[candidate.m.Partition] == nil {
		p.relocations[candidate.m.Partition] = p.view.newRelocationPlan(candidate.m.Partition)
	}
	return p.relocations[candidate.m.Partition].placeAll(candidate.m, j.Rank)
}

// planMovesFor plans moves of machines from other partitions for a shortfall. It returns false if
// no machine could move for it.
func (p *movePlan) planMovesFor(missing shortfall, unguaranteed [][]*Job) bool {
	if len(p.moves) >= p.maxMoves {
		return false
	}
	j, remaining := missing.job, missing.tasks
	placed := map[string]int{}
	for _, candidate := range p.candidates { // machines that the plan moves there for earlier jobs
		if candidate.moved && candidate.partition == missing.partition && p.canUse(j, candidate, missing.zone, placed) {
			k := min(remaining, candidate.free.TaskCount(j.Need), p.zoneCapacityLeft(j, candidate.m.Zone, placed))
			candidate.free = candidate.free.Add(j.Need, -float64(k))
			placed[candidate.m.Zone] += k
			remaining -= k
		}
	}
	var donors []*moveCandidate
	fitting := 0
	for _, candidate := range p.candidates {
		if candidate.partition != missing.partition && p.mayMove(j, candidate, missing.unguaranteed) && p.canUse(j, candidate, missing.zone, placed) && candidate.m.Size.TaskCount(j.Need) > 0 && !(missing.unguaranteed && len(unguaranteed[candidate.partition]) > 0) {
			donors = append(donors, candidate)
			fitting += candidate.m.Size.TaskCount(j.Need)
		}
	}
	if remaining <= 0 || j.Spec.Shape == protocol.Gang && fitting < remaining {
		return fitting > 0 // a part of a gang does not start
	}
	// The machines on which the least work is lost come first; this includes those that
	// are being emptied already. When those with the fewest tasks came first, single
	// jobs of unguaranteed teams, which write no checkpoints, lost up to 130 s of work
	// each.
	evictionClass := func(candidate *moveCandidate) int {
		switch {
		case len(candidate.m.Assignments) == 0:
			return 0
		case candidate.unguaranteedOnly:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(donors, func(a, b *moveCandidate) int {
		return cmp.Or(evictionClass(a)-evictionClass(b), cmp.Compare(a.emptyingLoss, b.emptyingLoss))
	})
	for _, candidate := range donors {
		if remaining <= 0 || len(p.moves) >= p.maxMoves {
			break
		}
		k := min(remaining, candidate.m.Size.TaskCount(j.Need), p.zoneCapacityLeft(j, candidate.m.Zone, placed))
		if k <= 0 || !p.mayMove(j, candidate, missing.unguaranteed) || !p.reserveRelocation(j, candidate) {
			continue
		}
		if evictionClass(candidate) == 2 {
			p.preemptingMoves++
		}
		placed[candidate.m.Zone] += k
		remaining -= k
		p.addMove(candidate, missing, k, false)
	}
	return p.planDrains(missing, remaining, placed) || fitting > 0
}

// addMove adds the move of a machine for a number of the missing tasks to the plan.
func (p *movePlan) addMove(candidate *moveCandidate, missing shortfall, tasks int, drain bool) {
	candidate.moved, candidate.partition, candidate.free = true, missing.partition, candidate.m.Size.Add(missing.job.Need, -float64(tasks))
	p.moves = append(p.moves, Move{Machine: candidate.m, Partition: missing.partition, OnlyIfUnneeded: missing.unguaranteed, Rank: missing.job.Rank, Drain: drain})
}

// maxDrainTime is the time within which all tasks of a machine must be expected to end for it to
// be drained.
const maxDrainTime = 60 * time.Second

// planDrains plans moves of machines whose tasks are expected to end soon and that no waiting job
// of their partition needs, for the tasks that are still missing. A drained machine gets no new
// tasks and moves once it is empty. It reports whether a drain was planned. Without drains, a
// partition had 2,000 CPUs free for three minutes on a simulated day, on machines that never
// became empty because of new tasks, while 13,000 tasks waited in the other partitions.
func (p *movePlan) planDrains(missing shortfall, remaining int, placed map[string]int) (planned bool) {
	j := missing.job
	if missing.unguaranteed || j.Spec.Shape == protocol.Gang {
		return false
	}
	for _, candidate := range p.candidates {
		if remaining <= 0 || len(p.moves) >= p.maxMoves {
			break
		}
		if candidate.partition == missing.partition || candidate.usedLocally || candidate.moved || candidate.m.Block&(Returning|Moving) != 0 || !p.canUse(j, candidate, missing.zone, placed) || p.neededLocally(candidate) || !p.view.DrainsSoon(candidate.m) {
			continue
		}
		k := min(remaining, candidate.m.Size.TaskCount(j.Need), p.zoneCapacityLeft(j, candidate.m.Zone, placed))
		if k <= 0 {
			continue
		}
		placed[candidate.m.Zone] += k
		remaining -= k
		p.addMove(candidate, missing, k, true)
		planned = true
	}
	return planned
}

// neededLocally reports whether a job with a shortfall in the machine's own partition could use it.
func (p *movePlan) neededLocally(candidate *moveCandidate) bool {
	return slices.ContainsFunc(p.unmet[candidate.partition], func(j *Job) bool {
		return p.canUse(j, candidate, "", nil) && candidate.m.Size.TaskCount(j.Need) > 0
	})
}

// DrainsSoon reports whether a machine has tasks and all of them are array tasks that are expected
// to end within maxDrainTime.
func (v *View) DrainsSoon(m *Machine) bool {
	for _, task := range m.Assignments {
		end, ends := v.expectedEnd(m, task)
		if !ends || task.Job.Spec.Shape != protocol.Array || end.Sub(v.Now) > maxDrainTime {
			return false
		}
	}
	return len(m.Assignments) > 0
}

// emptyingLoss returns how many seconds of work are lost when all tasks of a machine are
// stopped.
func (m *Machine) emptyingLoss(now time.Time) float64 {
	loss := 0.0
	for _, task := range m.Assignments {
		if task.Job.Spec.Shape == protocol.Service {
			loss += relocationLoss // a service replica has no progress to lose
			continue
		}
		loss += task.Job.preemptionLoss(task.Since, now)
	}
	return loss
}
