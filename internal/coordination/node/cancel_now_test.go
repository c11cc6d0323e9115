package node

import "time"

// cancelRunningJobs lets the users of up to count jobs with tasks on machines cancel them within a
// fifth of a second, each at a random node. If hang is set, the machines of these jobs hang for that
// long from the same moment. It returns the users.
func (w *simCluster) cancelRunningJobs(count int, hang time.Duration) []*user {
	w.mu.Lock()
	users := w.users
	w.mu.Unlock()
	var cancelling []*user
	for _, u := range users {
		if len(cancelling) < count && u.knownFinalStatus() == "" && w.fleet.RemainingTasks(u.spec.ID) > 0 {
			cancelling = append(cancelling, u)
		}
	}
	for _, u := range cancelling {
		if hang > 0 {
			w.hangMachinesOf(u.spec.ID, hang)
		}
		go u.cancelUntilConfirmed(w.randDuration(0, 200*time.Millisecond))
	}
	return cancelling
}

// hangMachinesOf makes the machines on which a job runs hang.
func (w *simCluster) hangMachinesOf(job string, duration time.Duration) {
	until := time.Now().Add(duration)
	for _, machine := range w.fleet.MachineNames() {
		if w.fleet.RunsJob(machine, job) {
			w.withLock(func() { w.hungUntil[machine] = until })
			w.recordEvent("machine of a cancelled job hangs")
		}
	}
}

// cancelUntilConfirmed requests a cancellation after a delay, and repeats it until the job's final
// status is known.
func (u *user) cancelUntilConfirmed(delay time.Duration) {
	time.Sleep(delay)
	for u.w.ctx.Err() == nil && u.knownFinalStatus() == "" {
		if a := u.w.cancelOnce(u.randomNode(), u.spec.ID); a.status == 200 {
			return
		}
		time.Sleep(time.Second)
	}
}

// releaseReports delivers all kept copies of reports to all nodes now.
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
