package gateway

import (
	"math"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Routing: pure functions of what is known of the sites.

// RouteConfig are the limits of routing.
type RouteConfig struct {
	// JobsPerSecond is how many jobs a second a site is given at most.
	JobsPerSecond float64
	// RampS is how long a site that came back takes to be given as many as others.
	RampS float64
	// HintMaxAgeS is the age from which a hint says nothing of load.
	HintMaxAgeS float64
	// MaxOpenPerSite is how many unfinished jobs a site holds at most; 0: any number.
	MaxOpenPerSite int
	// MoveAfterS is how long a job may wait at a site without any task placed while
	// another site has room for it; 0: for ever.
	MoveAfterS float64
}

// DefaultRoute are the limits that a gateway starts with.
func DefaultRoute() RouteConfig {
	return RouteConfig{JobsPerSecond: 50, RampS: 60, HintMaxAgeS: 10, MaxOpenPerSite: 20000, MoveAfterS: 60}
}

// SiteView is what is known of one site.
type SiteView struct {
	Site        int
	Unavailable bool // not heard of, or without a lease
	Excluded    bool // the job can never run there
	HintAgeS    float64
	Hint        *wire.Hint
	UnseenJobs  float64 // jobs given to it that its hint can't show yet
	OpenJobs    int     // unfinished jobs that it holds
	WithinRate  bool    // within its rate
}

// routeResult says whether a job can be routed.
type routeResult uint8

const (
	routeFound     routeResult = iota
	routeNeverFits             // no site can ever run it, and all sites are known
	routeSitesFull             // only sites that have been given enough for now
	routeNoSite                // no site that could is known to be there
)

// Route chooses the site for a job: of those that can run it and are there, the
// one with the least work waiting a GPU, counting an image that it lacks and a
// guarantee that its team has used up there as work. What is unknown is never
// taken for good news: a site without a fresh hint comes after all others.
func Route(spec *protocol.JobSpec, sites []SiteView, cfg RouteConfig) (site int, result routeResult) {
	lowest, chosen := math.Inf(1), -1
	knownSites, capableSites, availableSites := 0, 0, 0
	for i := range sites {
		view := &sites[i]
		if view.Excluded {
			knownSites++
			continue
		}
		if view.Hint == nil {
			continue
		}
		knownSites++
		if !CanRun(spec, view.Hint) {
			continue
		}
		capableSites++
		if view.Unavailable || view.Hint.Drained {
			continue
		}
		availableSites++
		if !view.WithinRate || cfg.MaxOpenPerSite > 0 && view.OpenJobs >= cfg.MaxOpenPerSite {
			continue
		}
		if cost := routingCost(spec, view, cfg); cost < lowest {
			lowest, chosen = cost, view.Site
		}
	}
	switch {
	case chosen >= 0:
		return chosen, routeFound
	case availableSites > 0:
		return 0, routeSitesFull
	case capableSites == 0 && knownSites == len(sites) && knownSites > 0:
		return 0, routeNeverFits
	}
	return 0, routeNoSite
}

// routingCost is about how many tasks wait before the job, for each GPU that is up.
func routingCost(spec *protocol.JobSpec, view *SiteView, cfg RouteConfig) float64 {
	hint := view.Hint
	if view.HintAgeS > cfg.HintMaxAgeS {
		return 1e6 + view.UnseenJobs
	}
	cost := (float64(hint.Waiting) + view.UnseenJobs) / max(1, hint.GPUs)
	if free := hint.FreeGPUs - view.UnseenJobs*max(spec.GPUs, 0.25); free < spec.GPUs*float64(minTasksToStart(spec)) {
		cost += 0.5 // it would have to wait, or machines to be rented
	}
	if !slices.Contains(hint.Images, spec.Image) {
		cost += min(1, spec.ImageGB/20)
	}
	for i := range hint.Teams {
		if team := &hint.Teams[i]; team.Name == spec.Team {
			cost += float64(team.Waiting) / max(1, hint.GPUs)
			if team.GPUs > 0 && team.UsedGPUs+spec.GPUs*float64(minTasksToStart(spec)) > team.GPUs {
				cost++ // beyond its guarantee there
			}
		}
	}
	return cost
}

func minTasksToStart(spec *protocol.JobSpec) int {
	if spec.Shape == protocol.Array {
		return 1
	}
	return spec.Tasks
}

// CanRun says whether a site could ever run a job: its team is known there, the
// team's limit allows it, and a task fits an allowed machine type in an allowed zone.
func CanRun(spec *protocol.JobSpec, hint *wire.Hint) bool {
	index := slices.IndexFunc(hint.Teams, func(team wire.TeamHint) bool { return team.Name == spec.Team })
	if index < 0 {
		return false
	}
	team, tasks := &hint.Teams[index], float64(minTasksToStart(spec))
	if team.GPUsMax > 0 && spec.GPUs*tasks > team.GPUsMax+1e-3 || team.CPUsMax > 0 && spec.CPUs*tasks > team.CPUsMax+1e-3 {
		return false
	}
	for i := range hint.Types {
		machineType := &hint.Types[i]
		if len(spec.Types) > 0 && !slices.Contains(spec.Types, machineType.Name) || spec.Zone != "" && !slices.Contains(machineType.Zones, spec.Zone) {
			continue
		}
		if spec.CPUs <= machineType.CPUs+1e-3 && spec.GPUs <= machineType.GPUs+1e-3 && spec.MemoryGB <= machineType.MemoryGB+1e-3 {
			return true
		}
	}
	return false
}

// routeLimit is how many jobs a site is given: a token bucket whose rate rises slowly
// after the site has come back, so that a site in trouble gets less, not more.
type routeLimit struct {
	tokens         float64
	lastRefill     time.Duration
	availableSince time.Duration // when the site was last found back
	available      bool
	recentJobs     float64 // given lately, decaying
	lastDecay      time.Duration
}

// setAvailable notes whether a site is there.
func (b *routeLimit) setAvailable(now time.Duration, there bool) {
	if there && !b.available {
		b.availableSince, b.tokens, b.lastRefill = now, 1, now
	}
	b.available = there
}

// rate is how many jobs a second the site is given now: a twentieth at first.
func (b *routeLimit) rate(now time.Duration, cfg RouteConfig) float64 {
	if cfg.RampS <= 0 {
		return cfg.JobsPerSecond
	}
	fraction := min(1, 0.05+0.95*(now-b.availableSince).Seconds()/cfg.RampS)
	return cfg.JobsPerSecond * fraction
}

func (b *routeLimit) allowed(now time.Duration, cfg RouteConfig) bool {
	rate := b.rate(now, cfg)
	b.tokens = min(max(1, rate), b.tokens+rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
	return b.tokens >= 1
}

func (b *routeLimit) takeToken(now time.Duration) {
	b.tokens--
	b.recentJobs = b.unseenJobs(now) + 1
	b.lastDecay = now
}

// unseenJobs is about how many jobs were given that the site's hint can't show yet.
func (b *routeLimit) unseenJobs(now time.Duration) float64 {
	return b.recentJobs * math.Exp(-(now-b.lastDecay).Seconds()/2)
}
