package decide

import "dapplestage.example/dapplestage/internal/protocol"

// Lending. A machine belongs to one partition, and a partition's jobs are placed on its machines.
// Where no move of whole machines can serve the waiting jobs of all partitions, a partition lends a
// part of a machine to another one. The lent part appears in the index as a machine of the
// borrowing partition, of the size that is lent, with Lent set.

// LentPart returns the facts of the part of a machine that is lent to another partition, of which
// the borrower's tasks use some.
func (m *Machine) LentPart(borrower int, lent, used Resources) Machine {
	return Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: borrower, HasType: m.HasType, Size: lent, Used: used,
		SecPerGB: m.SecPerGB, Images: m.Images, Lent: true}
}

// LendTo returns the machines of the partition on which waiting tasks like those of a job of another
// partition fit, one for each task, by the same rule as for the partition's own jobs. Nothing is
// preempted. Of a gang that runs on several machines it returns what there is: other partitions may
// lend the rest.
func (v *View) LendTo(j *Job, waiting int) []*Machine {
	request := *j
	request.Waiting, request.Tasks = waiting, max(j.Tasks, waiting)
	// Reservations for gangs bound how long they keep a job off; its own partition can't tell.
	request.ReservationBlockedSince = j.FirstSeen
	if j.coscheduled() {
		spec := *j.Spec
		spec.Shape = protocol.Array
		request.Spec, request.PartOfGang = &spec, true
	}
	lender := *v
	lender.NoPreemption = true
	placement := lender.Place(&request)
	return placement.Machines
}

// SiteHasRoom reports whether all waiting tasks of a job fit on the machines of all partitions
// together and on what is lent to its own, as far as is known of machines of other owners. The tasks of a job that must run in one
// zone must fit in that zone, which is returned.
func (v *View) SiteHasRoom(j *Job) (zone string, fits bool) {
	const unavailable = NotRecorded | InterruptionNotice | Returning | Returned | Moving | Cordoned | Faulty
	room := map[string]int{}
	for i := range v.Index.partitions {
		for _, m := range v.Index.Machines(i) {
			counts := m.HasAddress || m.Lent && m.Partition == j.Partition
			if counts && m.Block&unavailable == 0 && Allowed(j.Spec, m.offer()) {
				room[m.Zone] += m.Free().TaskCount(j.Need)
			}
		}
	}
	total := 0
	for z, tasks := range room {
		tasks = min(tasks, j.zoneCapacity(z))
		if total += tasks; tasks > room[zone] || tasks == room[zone] && z < zone || zone == "" {
			zone = z
		}
	}
	if j.Spec.OneZone {
		return zone, min(room[zone], j.zoneCapacity(zone)) >= j.Waiting
	}
	return "", total >= j.Waiting
}
