package gateway

import (
	"math"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Routing of jobs to sites, as pure functions of what a member knows about the sites.

// RouteConfig holds the limits of routing.
type RouteConfig struct {
	// JobsPerSecond is the greatest rate at which a site is given jobs.
	JobsPerSecond float64
	// RampS is how long it takes until a site that became available again is given jobs at the
	// full rate.
	RampS float64
	// HintMaxAgeS is the age above which a hint is not used as the site's load.
	HintMaxAgeS float64
	// MaxOpenPerSite limits the open jobs that a site owns; 0: no limit.
	MaxOpenPerSite int
	// MoveAfterS is how long a job may wait at a site with no task placed while another site
	// has capacity for it; 0: without limit.
	MoveAfterS float64
}

// DefaultRoute returns the default limits of a gateway.
func DefaultRoute() RouteConfig {
	return RouteConfig{JobsPerSecond: 50, RampS: 60, HintMaxAgeS: 10, MaxOpenPerSite: 20000, MoveAfterS: 60}
}

// SiteView is what a member knows about one site when it routes a job.
type SiteView struct {
	Site        int
	Unavailable bool       // unreachable, or without a lease
	Excluded    bool       // the job can never run there
	HintAgeS    float64    // +Inf: there is no hint
	Hint        *wire.Hint // last load report; nil: none
	UnseenJobs  float64    // estimated number of jobs given to the site that its hint does not include yet
	OpenJobs    int        // open jobs that the site owns
	WithinRate  bool       // a job is within the site's rate
}

// routeResult is the result of routing a job.
type routeResult uint8

// Results of routing.
const (
	routeFound     routeResult = iota // a site was chosen
	routeNeverFits                    // no site can ever run the job, and all sites have reported their machine types and teams
	routeSitesFull                    // the available sites that can run it are at their rate or job limit
	routeNoSite                       // no site that can run it is known to be available
)

// Route chooses the site for a job: among the available sites that can run it, the one with
// the least waiting work per GPU. An image that the site lacks and a guarantee that the
// team has used up there count as work. Unknown load counts as high: a site without a fresh
// hint comes after all others.
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

// routingCost estimates the number of tasks that wait before the job per running GPU.
func routingCost(spec *protocol.JobSpec, view *SiteView, cfg RouteConfig) float64 {
	hint := view.Hint
	if view.HintAgeS > cfg.HintMaxAgeS {
		return 1e6 + view.UnseenJobs
	}
	cost := (float64(hint.Waiting) + view.UnseenJobs) / max(1, hint.GPUs)
	if free := hint.FreeGPUs - view.UnseenJobs*max(spec.GPUs, 0.25); free < spec.GPUs*float64(minTasksToStart(spec)) {
		cost += 0.5 // the job would wait, or need new machines
	}
	if !slices.Contains(hint.Images, spec.Image) {
		cost += min(1, spec.ImageGB/20)
	}
	for i := range hint.Teams {
		if team := &hint.Teams[i]; team.Name == spec.Team {
			cost += float64(team.Waiting) / max(1, hint.GPUs)
			if team.GPUs > 0 && team.UsedGPUs+spec.GPUs*float64(minTasksToStart(spec)) > team.GPUs {
				cost++ // above the team's guarantee at the site
			}
		}
	}
	return cost
}

// minTasksToStart returns how many tasks of a job have to start together.
func minTasksToStart(spec *protocol.JobSpec) int {
	if spec.Shape == protocol.Array {
		return 1
	}
	return spec.Tasks
}

// CanRun reports whether a site could ever run a job: the site knows its team, the team's
// limit allows it, and a task fits an allowed machine type in an allowed zone.
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

// routeLimit limits the rate at which a site is given jobs: a token bucket whose rate rises
// slowly after the site became available, so that a site in trouble is given fewer jobs,
// not more.
type routeLimit struct {
	tokens         float64
	lastRefill     time.Duration
	availableSince time.Duration // when the site last became available
	available      bool
	recentJobs     float64 // jobs given recently, with exponential decay
	lastDecay      time.Duration
}

// setAvailable records whether the site is available.
func (b *routeLimit) setAvailable(now time.Duration, there bool) {
	if there && !b.available {
		b.availableSince, b.tokens, b.lastRefill = now, 1, now
	}
	b.available = there
}

// rate returns the number of jobs per second that the site is given now; it starts at a
// twentieth of the configured rate.
func (b *routeLimit) rate(now time.Duration, cfg RouteConfig) float64 {
	if cfg.RampS <= 0 {
		return cfg.JobsPerSecond
	}
	fraction := min(1, 0.05+0.95*(now-b.availableSince).Seconds()/cfg.RampS)
	return cfg.JobsPerSecond * fraction
}

// allowed refills the bucket and reports whether the site may be given a job now.
func (b *routeLimit) allowed(now time.Duration, cfg RouteConfig) bool {
	rate := b.rate(now, cfg)
	b.tokens = min(max(1, rate), b.tokens+rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
	return b.tokens >= 1
}

// takeToken counts a job that is given to the site.
func (b *routeLimit) takeToken(now time.Duration) {
	b.tokens--
	b.recentJobs = b.unseenJobs(now) + 1
	b.lastDecay = now
}

// unseenJobs estimates the number of jobs given to the site that its hint does not include
// yet.
func (b *routeLimit) unseenJobs(now time.Duration) float64 {
	return b.recentJobs * math.Exp(-(now-b.lastDecay).Seconds()/2)
}
