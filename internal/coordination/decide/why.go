package decide

// Kind is a reason why a job waits.
type Kind uint8

const (
	None             Kind = iota
	StateLost             // the state service does not answer: nothing can be stored
	NoHolder              // nobody holds its share
	HolderSilent          // the share's holder does not answer
	Stopping              // it is cancelled, or its ticket failed: what runs is leaving
	GangLeaving           // tasks of its earlier attempt must be gone first
	SiteWithoutLease      // a job of the gateway, and the site has no lease
	FailsEverywhere       // most likely submitted with a mistake: tried now and then
	Pausing               // a task failed and waits before its next try
	BeingStored           // a change of it is on its way to the state service
	TeamLimit             // its team uses all that it may
	GuaranteesFirst       // a guest waits until nobody with a guarantee does
	RoomIsMade            // others are being stopped for it
	NoFreeMachine         // no allowed machine has room
	GangIncomplete        // not all tasks of the gang fit at once
	ZoneBound             // where its other tasks are leaves no room
	KeptForGang           // machines with room are kept for a gang
	Drained               // machines that it may use are being drained
	NotReady              // machines that it may use are not ready
	Silent                // machines that it may use are not heard
	Booting               // machines are on their way
	CloudRefused          // the cloud has none to give at present
	NoCapacity            // machines are wanted, and none is known to come yet
	RentalsStopped        // by operators
	NeverFits             // no type of machine in the catalogue can take its tasks
	NeverTogether         // its gang may not be in so few zones as it can be in
	Ahead                 // more urgent or earlier jobs wait for the same machines
	Fetching              // tasks are placed and their machine fetches the image
	GangGathering         // tasks are placed and wait for the rest of the gang
	Starting              // tasks are placed and about to start
	Unreachable           // tasks are on machines that are not heard
	Unheard               // machines have not spoken since its share was taken
	GatheringRoom         // machines are reserved for the gang until all of it fits
	kinds
)

var kindTexts = [kinds]struct{ name, text string }{
	StateLost:        {"state_service_down", "the state service does not answer"},
	NoHolder:         {"no_holder", "its share has no holder"},
	HolderSilent:     {"holder_silent", "the holder of its share does not answer"},
	Stopping:         {"being_stopped", "it is over, and what runs of it is being stopped"},
	GangLeaving:      {"gang_leaving", "its gang's earlier attempt is being stopped"},
	SiteWithoutLease: {"site_without_lease", "the site has no lease from the gateway's members"},
	FailsEverywhere:  {"fails_everywhere", "its tasks fail on every machine"},
	Pausing:          {"pausing", "a task failed and waits before its next try"},
	BeingStored:      {"being_stored", "a change of it is being stored"},
	TeamLimit:        {"team_limit", "team limit"},
	GuaranteesFirst:  {"guarantees_first", "guarantees come first"},
	RoomIsMade:       {"room_is_made", "room is being made for it"},
	NoFreeMachine:    {"no_free_machine", "no free machine"},
	GangIncomplete:   {"gang_incomplete", "gang incomplete"},
	ZoneBound:        {"zone_bound", "where its other tasks are leaves no room"},
	KeptForGang:      {"kept_for_gang", "machines with room are kept for a gang"},
	Drained:          {"drained", "machines are being drained"},
	NotReady:         {"not_ready", "machines are not ready"},
	Silent:           {"silent", "machines are not heard"},
	Booting:          {"booting", "machines are on their way"},
	CloudRefused:     {"cloud_refused", "the cloud has no machine of an allowed kind"},
	NoCapacity:       {"no_capacity", "no capacity"},
	RentalsStopped:   {"rentals_stopped", "operators stopped rentals"},
	NeverFits:        {"never_fits", "no type of machine can take its tasks"},
	NeverTogether:    {"never_together", "all of its gang must run at once, at most half of it in one zone, and there is one zone for it"},
	Ahead:            {"ahead", "other jobs come first"},
	Fetching:         {"fetching", "image being fetched"},
	GangGathering:    {"gang_gathering", "waiting for its gang"},
	Starting:         {"starting", "being started"},
	Unreachable:      {"unreachable", "machine unreachable"},
	Unheard:          {"unheard", "machines have not spoken since its share was taken"},
	GatheringRoom:    {"gathering_room", "machines are kept for it until all of its gang fits"},
}

// String is the reason's name, for metrics and programs.
func (k Kind) String() string { return kindTexts[k].name }

// Text is the reason in words.
func (k Kind) Text() string { return kindTexts[k].text }

// Kinds are all reasons by name.
func Kinds() []string {
	var out []string
	for _, t := range kindTexts {
		if t.name != "" {
			out = append(out, t.name)
		}
	}
	return out
}
