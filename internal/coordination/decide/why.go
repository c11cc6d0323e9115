package decide

// Reason is a reason why a job waits.
type Reason uint8

const (
	NoReason             Reason = iota
	StateServiceDown            // the state service does not answer: nothing can be stored
	NoOwner                     // nobody holds its share
	OwnerUnresponsive           // the share's holder does not answer
	Stopping                    // it is cancelled, or its ticket failed: what runs is leaving
	GangLeaving                 // tasks of its earlier attempt must be gone first
	SiteWithoutLease            // a job of the gateway, and the site has no lease
	FailsEverywhere             // most likely submitted with a mistake: tried now and then
	RetryBackoff                // a task failed and waits before its next try
	WritePending                // a change of it is on its way to the state service
	TeamLimit                   // its team uses all that it may
	GuaranteesFirst             // a guest waits until nobody with a guarantee does
	PreemptionInProgress        // others are being stopped for it
	NoFreeMachine               // no allowed machine has room
	GangIncomplete              // not all tasks of the gang fit at once
	ZoneBound                   // where its other tasks are leaves no room
	EarmarkedForGang            // machines with room are kept for a gang
	Drained                     // machines that it may use are being drained
	NotReady                    // machines that it may use are not ready
	ReportOverdue               // machines that it may use are not heard
	Booting                     // machines are on their way
	CloudRefused                // the cloud has none to give at present
	NoCapacity                  // machines are wanted, and none is known to come yet
	RentalsStopped              // by operators
	NeverFits                   // no type of machine in the catalogue can take its tasks
	GangNeverFits               // its gang may not be in so few zones as it can be in
	JobsAhead                   // more urgent or earlier jobs wait for the same machines
	Fetching                    // tasks are placed and their machine fetches the image
	WaitingForGang              // tasks are placed and wait for the rest of the gang
	Starting                    // tasks are placed and about to start
	Unreachable                 // tasks are on machines that are not heard
	AwaitingFirstReport         // machines have not spoken since its share was taken
	ReservingForGang            // machines are reserved for the gang until all of it fits
	reasonCount
)

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

// String is the reason's name, for metrics and programs.
func (k Reason) String() string { return reasonTexts[k].name }

// Text is the reason in words.
func (k Reason) Text() string { return reasonTexts[k].text }

// ReasonNames are all reasons by name.
func ReasonNames() []string {
	var out []string
	for _, t := range reasonTexts {
		if t.name != "" {
			out = append(out, t.name)
		}
	}
	return out
}
