package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// atFragmentedSite runs a test at a site of two machines of 4 GPUs whose first team runs services of
// four replicas and of one: the other teams have room on the second machine alone, which belongs to
// the first team's partition.
func atFragmentedSite(t *testing.T, seed uint64, test func(w *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newConfiguredSimCluster(t, ctx, seed, nil, func(cfg *protocol.Settings, f *standin.Fleet) {
			cfg.Params.Teams = []protocol.Team{{Name: "red", GPUs: 5, GPUsMax: 16}, {Name: "blue", GPUs: 3, GPUsMax: 16}, {Name: "guest"}}
			f.MaxMachines = 2
		})
		for i, replicas := range []int{4, 1} {
			w.submit(service(fmt.Sprintf("job-10000%d", i), "red", replicas))
		}
		time.Sleep(40 * time.Second)
		test(w)
		for _, broken := range w.fleet.Violations {
			t.Errorf("rule broken: %s", broken)
		}
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// service returns a service of replicas that take a GPU each.
func service(id, team string, replicas int) *protocol.JobSpec {
	return &protocol.JobSpec{ID: id, Team: team, Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: replicas, CPUs: 4, GPUs: 1, MemoryGB: 29, Image: "img", ImageGB: 1}
}

// awaitRunning waits until a number of a job's tasks run and returns whether they do in time.
func (w *simCluster) awaitRunning(job string, tasks int, limit time.Duration) bool {
	for from := time.Now(); time.Since(from) < limit; time.Sleep(time.Second) {
		synctest.Wait()
		if w.fleet.View().OccupyingTasks(job) == tasks {
			return true
		}
	}
	return false
}

// Guards against a job that waits beside room on a machine that a job of another partition uses in
// part: it waited for as long as that job ran.
func TestJobUsesRoomOfAnotherPartition(t *testing.T) {
	array := service("job-200000", "blue", 3)
	array.Shape, array.EstimateS = protocol.Array, 20
	gang := service("job-200000", "blue", 2)
	gang.Shape, gang.EstimateS = protocol.Gang, 20
	withoutGPU := service("job-200000", "guest", 2)
	withoutGPU.GPUs = 0
	for _, job := range []*protocol.JobSpec{service("job-200000", "blue", 1), array, gang, withoutGPU} {
		t.Run(fmt.Sprint(job.Shape, " of ", job.Team), func(t *testing.T) {
			atFragmentedSite(t, 1, func(w *simCluster) {
				w.submit(job)
				if !w.awaitRunning(job.ID, job.Tasks, 30*time.Second) {
					t.Fatalf("does not run after 30 s: %s", w.describeJob(job.ID))
				}
				time.Sleep(40 * time.Second)
				want := protocol.JobDone
				if job.Shape == protocol.Service {
					w.cancel(job.ID)
					want = protocol.JobCancelled
				}
				for _, name := range w.names {
					if got := w.pollStatus(name, job.ID); got != want {
						t.Errorf("%s says %q of it, want %q", name, got, want)
					}
				}
			})
		})
	}
}

// What is lent and not used is taken back: the lender's own jobs find the room again.
func TestUnusedLoanIsTakenBack(t *testing.T) {
	atFragmentedSite(t, 2, func(w *simCluster) {
		w.submit(service("job-200000", "blue", 3))
		if !w.awaitRunning("job-200000", 3, 30*time.Second) {
			t.Fatal("the foreign tasks don't run")
		}
		w.cancel("job-200000")
		w.submit(service("job-100002", "red", 3))
		if !w.awaitRunning("job-100002", 3, 30*time.Second) {
			t.Errorf("the lender's job does not run: %s", w.describeJob("job-100002"))
		}
	})
}

// Foreign tasks must neither be lost nor run twice when the owner of their machine, that of their job
// or both are replaced, while they start, run and end.
func TestForeignTasksSurviveOwnerChanges(t *testing.T) {
	for seed := range seedCount(6) {
		replaced := []string{"red", "blue", "both"}[seed%3]
		t.Run(fmt.Sprint(replaced, "/", seed), func(t *testing.T) {
			t.Parallel()
			atFragmentedSite(t, seed, func(w *simCluster) {
				for round := range 6 {
					job := service(fmt.Sprintf("job-20000%d", round), "blue", 3)
					job.Shape, job.EstimateS = []string{protocol.Array, protocol.Gang}[round%2], 12
					w.submit(job)
					time.Sleep(w.randDuration(8*time.Second, 28*time.Second))
					for _, team := range []string{"red", "blue"} {
						if owner := w.partitionOwner(w.partitionOf(team)); owner != "" && (replaced == team || replaced == "both") {
							w.stopNode(owner)
							time.AfterFunc(w.randDuration(0, 6*time.Second), func() { w.startIfStopped(owner) })
						}
					}
					for from := time.Now(); w.fleet.FinishedTasks(job.ID) < job.Tasks; time.Sleep(time.Second) {
						if time.Since(from) > maxWaiting {
							t.Fatalf("%s has not ended: %s", job.ID, w.describeJob(job.ID))
						}
					}
				}
			})
		})
	}
}

// Rules hold and jobs that run on lent capacity end under random faults of all kinds.
func TestForeignTasksUnderRandomFaults(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			atFragmentedSite(t, 100+seed, func(w *simCluster) {
				users := w.foreignUsers(12)
				w.withLock(func() { w.users = users })
				var ended sync.WaitGroup
				for i, u := range users {
					ended.Go(func() {
						time.Sleep(time.Duration(i) * 10 * time.Second)
						u.run(func() {})
					})
				}
				randomFaults(w)
				w.removeFaults()
				for from := time.Now(); len(w.usersWithOpenJobs()) > 0; time.Sleep(time.Second) {
					if time.Since(from) > 5*time.Minute {
						open := w.usersWithOpenJobs()[0].spec.ID
						t.Errorf("%s has not ended: %s", open, w.describeJob(open))
						break
					}
				}
			})
		})
	}
}

// sitePriorities are the priorities of jobs, some more often than others.
var sitePriorities = []string{"critical", "high", "standard", "standard", "best_effort", "best_effort"}

// foreignUsers returns users of the teams that have no machine of their own at the fragmented site.
func (w *simCluster) foreignUsers(count int) (users []*user) {
	for i := range count {
		job := service(fmt.Sprintf("job-3000%02d", i), []string{"blue", "guest"}[w.plan.IntN(2)], 1+w.plan.IntN(3))
		job.Shape, job.EstimateS, job.Priority = []string{protocol.Array, protocol.Gang}[w.plan.IntN(2)], 3+15*w.plan.Float64(), sitePriorities[w.plan.IntN(len(sitePriorities))]
		u := &user{w: w, spec: job}
		if w.plan.IntN(4) == 0 {
			u.cancelAt = time.Duration(5+w.plan.IntN(60)) * time.Second
		}
		users = append(users, u)
	}
	return users
}

// newTestLender returns a node that owns partition 0 with host-1, and a job of partition 1 of one task
// that is placed there.
func newTestLender(t *testing.T) (*testNode, *job) {
	b := newTestNode(t)
	spec := service("job-1", "blue", 1)
	b.watchPut(protocol.LoansKey(0, 1), protocol.LoansRecord{Machines: []protocol.Loan{{Machine: "host-1", CPUs: 8, GPUs: 2, MemoryGB: 58}}})
	b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}}})
	return b, b.jobs[spec.ID]
}

// The end of a foreign task is true only as long as the node that saw it owns the machine's partition:
// the next owner, not knowing it, starts the task again.
func TestEndOfForeignTaskDependsOnOwnerOfItsMachine(t *testing.T) {
	b, j := newTestLender(t)
	used := b.teams[j.team].Used
	b.sendReport(7, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseError})
	if j.tasks[0].outcome != outcomeGone {
		t.Fatalf("outcome %v after a report that the task ended", j.tasks[0].outcome)
	}
	if b.teams[j.team].Used != used {
		t.Error("the team's use is less before the end is stored")
	}
	owner := func(c storage.Cond) bool { return c.Key == protocol.OwnerKey(0) }
	if !slices.ContainsFunc(b.foreignConds(j), owner) {
		t.Errorf("conditions %v, want one on the owner of the machine's partition", b.foreignConds(j))
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 1 << 30, Lease: 9})
	if j.tasks[0].outcome != outcomeNone {
		t.Error("the outcome is kept though another node owns the machine's partition")
	}
	if c := b.chunkWithEnds(j, 0); len(c.Placed) != 1 {
		t.Errorf("a record of this node would end the task: %+v", c)
	}
}

// A task is placed on lent capacity only on the condition that the loan is unchanged, and the lender
// uses nothing of what is lent.
func TestLentCapacityIsReserved(t *testing.T) {
	b, j := newTestLender(t)
	m := b.machines["host-1"]
	if free := b.available(m); free != (Resources{CPUs: 16, GPUs: 2, MemoryGB: 134}) {
		t.Errorf("%+v free for the lender of a machine of 4 GPUs of which 2 are lent", free)
	}
	b.refreshIndex(time.Now())
	if part := m.lentParts[1]; part == nil || part.Free() != (Resources{CPUs: 4, GPUs: 1, MemoryGB: 29}) {
		t.Errorf("part for the borrower: %+v", part)
	}
	now := time.Now()
	b.setPhase(j, 0, phaseWaiting, nil, 0, now)
	b.setPhase(j, 0, phaseProposed, m, 2, now)
	if conds := b.foreignConds(j); len(conds) != 1 || conds[0].Key != protocol.LoansKey(0, 1) || conds[0].Revision == 0 {
		t.Errorf("conditions of the placement: %+v", conds)
	}
	b.watchPut(protocol.BatchKey("r-0-7-1-0"), protocol.BatchRecord{Partition: 2, Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	b.refreshIndex(now)
	if len(m.lentParts) != 0 {
		t.Error("the loan is in force though the machine has left the lender")
	}
}

// No node lends, or uses what is lent, while a node of a version without loans lives, which could not
// prove the end of a foreign task.
func TestNoLoansBesideOlderNodes(t *testing.T) {
	b, j := newTestLender(t)
	m := b.machines["host-1"]
	b.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 4, Version: protocol.LoansVersion - 1})
	b.refreshIndex(time.Now())
	if len(m.lentParts) != 0 {
		t.Error("lent capacity is used beside an older node")
	}
	b.stopForeignTasks(b.partitions[0])
	if !j.tasks[0].stopRequested {
		t.Error("the foreign task goes on beside an older node")
	}
	b.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 4, Version: protocol.LoansVersion})
	b.refreshIndex(time.Now())
	if len(m.lentParts) != 1 {
		t.Error("lent capacity is not used once all nodes know loans")
	}
}
