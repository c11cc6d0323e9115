package node

import "time"

// cancelRunningJobs lets the users of up to count jobs that have tasks on machines cancel them within a
// fifth of a second, each at a node of its own choice. With hang set, the machines of these jobs
// stand still for that long from the same moment. It returns the jobs.
func (w *simCluster) cancelRunningJobs(count int, hang time.Duration) []*user {
	w.mu.Lock()
	users := w.users
	w.mu.Unlock()
	var called []*user
	for _, u := range users {
		if len(called) < count && u.knownFinalStatus() == "" && w.fleet.Left(u.spec.ID) > 0 {
			called = append(called, u)
		}
	}
	for _, u := range called {
		if hang > 0 {
			w.hangMachinesOf(u.spec.ID, hang)
		}
		go u.cancelUntilConfirmed(w.randDuration(0, 200*time.Millisecond))
	}
	return called
}

// hangMachinesOf makes the machines on which a job runs stand still.
func (w *simCluster) hangMachinesOf(job string, lasts time.Duration) {
	till := time.Now().Add(lasts)
	for _, machine := range w.fleet.Names() {
		if w.fleet.Runs(machine, job) {
			w.withLock(func() { w.hungUntil[machine] = till })
			w.recordEvent("machine of a cancelled job hangs")
		}
	}
}

// cancelUntilConfirmed asks for a cancellation after a while, again and again, until a final answer
// has come.
func (u *user) cancelUntilConfirmed(after time.Duration) {
	time.Sleep(after)
	for u.w.ctx.Err() == nil && u.knownFinalStatus() == "" {
		if a := u.w.cancelOnce(u.randomNode(), u.spec.ID); a.status == 200 {
			return
		}
		time.Sleep(time.Second)
	}
}

// releaseReports lets all kept copies of reports arrive at all nodes now.
func (w *simCluster) releaseReports() {
	w.mu.Lock()
	kept := w.kept
	w.kept = nil
	w.mu.Unlock()
	for _, r := range kept {
		for _, name := range w.names {
			go w.redeliver(name, r)
		}
	}
}
