package decide

// Reason is a reason why a job or one of its tasks waits. Its name and text in reasonTexts are
// part of the API.
type Reason uint8

const (
	NoReason             Reason = iota
	StateServiceDown            // the state service does not answer, so that nothing can be stored
	NoOwner                     // the job's partition has no owner
	OwnerUnresponsive           // the owner of its partition does not answer
	Stopping                    // it is cancelled or its ticket failed, and its running tasks are being stopped
	GangLeaving                 // the tasks of the gang's earlier attempt must end first
	SiteWithoutLease            // the job came from the gateway, and the site has no lease for such jobs
	FailsEverywhere             // its tasks fail on every machine, most likely for a mistake in the job; it is tried rarely
	RetryBackoff                // a task failed, and its next try is not due yet
	WritePending                // a change of the job is being written to the state service
	TeamLimit                   // its team's limit leaves too little for it
	GuaranteesFirst             // a team without a guarantee waits while jobs of teams with a guarantee wait
	PreemptionInProgress        // other tasks are being stopped for it
	NoFreeMachine               // no machine that it may use has enough capacity
	GangIncomplete              // not all tasks of the gang fit at once
	ZoneBound                   // the zones of its other tasks leave no capacity
	EarmarkedForGang            // machines with enough capacity are earmarked for a gang
	Drained                     // machines that it may use are being drained
	NotReady                    // machines that it may use are not ready
	ReportOverdue               // reports of machines that it may use are overdue
	Booting                     // machines are booting
	CloudRefused                // the cloud currently has no machine of an allowed offer
	NoCapacity                  // machines are needed, and none is known to be coming
	RentalsStopped              // operators have stopped rentals
	NeverFits                   // no machine type in the catalogue fits its tasks
	GangNeverFits               // the gang must be spread over two zones and fits in one only
	JobsAhead                   // jobs of higher priority or earlier jobs wait for the same machines
	Fetching                    // tasks are placed, and their machine is fetching the image
	WaitingForGang              // tasks are placed and wait for the gang's other tasks
	Starting                    // tasks are placed and being started
	Unreachable                 // tasks are placed on machines whose reports are overdue
	AwaitingFirstReport         // machines have not reported since the partition got its present owner
	ReservingForGang            // machines are being reserved for the gang until all its tasks fit
	reasonCount                 // number of reasons
)

// reasonTexts holds the name of each reason for metrics and programs, and its text for users.
var reasonTexts = [reasonCount]struct{ name, text string }{
	StateServiceDown:     {"state_service_down", "the state service does not answer"},
	NoOwner:              {"no_holder", "its share has no holder"},
	OwnerUnresponsive:    {"holder_silent", "the holder of its share does not answer"},
	Stopping:             {"being_stopped", "it is over, and what runs of it is being stopped"},
	GangLeaving:          {"gang_leaving", "its gang's earlier attempt is being stopped"},
	SiteWithoutLease:     {"site_without_lease", "the site has no lease from the gateway's members"},
	FailsEverywhere:      {"fails_everywhere", "its tasks fail on every machine"},
	RetryBackoff:         {"pausing", "a task failed and waits before its next try"},
	WritePending:         {"being_stored", "a change of it is being stored"},
	TeamLimit:            {"team_limit", "team limit"},
	GuaranteesFirst:      {"guarantees_first", "guarantees come first"},
	PreemptionInProgress: {"room_is_made", "room is being made for it"},
	NoFreeMachine:        {"no_free_machine", "no free machine"},
	GangIncomplete:       {"gang_incomplete", "gang incomplete"},
	ZoneBound:            {"zone_bound", "where its other tasks are leaves no room"},
	EarmarkedForGang:     {"kept_for_gang", "machines with room are kept for a gang"},
	Drained:              {"drained", "machines are being drained"},
	NotReady:             {"not_ready", "machines are not ready"},
	ReportOverdue:        {"silent", "machines are not heard"},
	Booting:              {"booting", "machines are on their way"},
	CloudRefused:         {"cloud_refused", "the cloud has no machine of an allowed kind"},
	NoCapacity:           {"no_capacity", "no capacity"},
	RentalsStopped:       {"rentals_stopped", "operators stopped rentals"},
	NeverFits:            {"never_fits", "no type of machine can take its tasks"},
	GangNeverFits:        {"never_together", "all of its gang must run at once, at most half of it in one zone, and there is one zone for it"},
	JobsAhead:            {"ahead", "other jobs come first"},
	Fetching:             {"fetching", "image being fetched"},
	WaitingForGang:       {"gang_gathering", "waiting for its gang"},
	Starting:             {"starting", "being started"},
	Unreachable:          {"unreachable", "machine unreachable"},
	AwaitingFirstReport:  {"unheard", "machines have not spoken since its share was taken"},
	ReservingForGang:     {"gathering_room", "machines are kept for it until all of its gang fits"},
}

// String returns the reason's name, for metrics and programs.
func (r Reason) String() string { return reasonTexts[r].name }

// Text describes the reason for users.
func (r Reason) Text() string { return reasonTexts[r].text }

// ReasonNames returns the names of all reasons.
func ReasonNames() []string {
	var out []string
	for _, t := range reasonTexts {
		if t.name != "" {
			out = append(out, t.name)
		}
	}
	return out
}
