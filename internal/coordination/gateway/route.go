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
	// PerSecond is how many jobs a second a site is given at most.
	PerSecond float64
	// RampS is how long a site that came back takes to be given as many as others.
	RampS float64
	// StaleS is the age from which a hint says nothing of load.
	StaleS float64
	// OpenPerSite is how many unfinished jobs a site holds at most; 0: any number.
	OpenPerSite int
	// MoveAfterS is how long a job may wait at a site without any task placed while
	// another site has room for it; 0: for ever.
	MoveAfterS float64
}

// DefaultRoute are the limits that a gateway starts with.
func DefaultRoute() RouteConfig {
	return RouteConfig{PerSecond: 50, RampS: 60, StaleS: 10, OpenPerSite: 20000, MoveAfterS: 60}
}

// SiteView is what is known of one site.
type SiteView struct {
	Site     int
	Away     bool // not heard of, or without a lease
	Barred   bool // the job can never run there
	AgeS     float64
	Hint     *wire.Hint
	UnderWay float64 // jobs given to it that its hint can't show yet
	Open     int     // unfinished jobs that it holds
	Allowed  bool    // within its rate
}

// verdict says whether a job can be routed.
type verdict uint8

const (
	fits      verdict = iota
	neverFits         // no site can ever run it, and all sites are known
	full              // only sites that have been given enough for now
	nobody            // no site that could is known to be there
)

// Route chooses the site for a job: of those that can run it and are there, the
// one with the least work waiting a GPU, counting an image that it lacks and a
// guarantee that its team has used up there as work. What is unknown is never
// taken for good news: a site without a fresh hint comes after all others.
func Route(spec *protocol.JobSpec, sites []SiteView, cfg RouteConfig) (site int, v verdict) {
	best, at := math.Inf(1), -1
	known, able, there := 0, 0, 0
	for i := range sites {
		s := &sites[i]
		if s.Barred {
			known++
			continue
		}
		if s.Hint == nil {
			continue
		}
		known++
		if !CanRun(spec, s.Hint) {
			continue
		}
		able++
		if s.Away || s.Hint.Drained {
			continue
		}
		there++
		if !s.Allowed || cfg.OpenPerSite > 0 && s.Open >= cfg.OpenPerSite {
			continue
		}
		if c := cost(spec, s, cfg); c < best {
			best, at = c, s.Site
		}
	}
	switch {
	case at >= 0:
		return at, fits
	case there > 0:
		return 0, full
	case able == 0 && known == len(sites) && known > 0:
		return 0, neverFits
	}
	return 0, nobody
}

// cost is about how many tasks wait before the job, for each GPU that is up.
func cost(spec *protocol.JobSpec, s *SiteView, cfg RouteConfig) float64 {
	h := s.Hint
	if s.AgeS > cfg.StaleS {
		return 1e6 + s.UnderWay
	}
	c := (float64(h.Waiting) + s.UnderWay) / max(1, h.GPUs)
	if free := h.FreeGPUs - s.UnderWay*max(spec.GPUs, 0.25); free < spec.GPUs*float64(atOnce(spec)) {
		c += 0.5 // it would have to wait, or machines to be rented
	}
	if !slices.Contains(h.Images, spec.Image) {
		c += min(1, spec.ImageGB/20)
	}
	for i := range h.Teams {
		if t := &h.Teams[i]; t.Name == spec.Team {
			c += float64(t.Waiting) / max(1, h.GPUs)
			if t.GPUs > 0 && t.UsedGPU+spec.GPUs*float64(atOnce(spec)) > t.GPUs {
				c++ // beyond its guarantee there
			}
		}
	}
	return c
}

func atOnce(spec *protocol.JobSpec) int {
	if spec.Shape == protocol.Array {
		return 1
	}
	return spec.Tasks
}

// CanRun says whether a site could ever run a job: its team is known there, the
// team's limit allows it, and a task fits an allowed machine type in an allowed zone.
func CanRun(spec *protocol.JobSpec, h *wire.Hint) bool {
	at := slices.IndexFunc(h.Teams, func(t wire.TeamHint) bool { return t.Name == spec.Team })
	if at < 0 {
		return false
	}
	t, n := &h.Teams[at], float64(atOnce(spec))
	if t.GPUsMax > 0 && spec.GPUs*n > t.GPUsMax+1e-3 || t.CPUsMax > 0 && spec.CPUs*n > t.CPUsMax+1e-3 {
		return false
	}
	for i := range h.Types {
		m := &h.Types[i]
		if len(spec.Types) > 0 && !slices.Contains(spec.Types, m.Name) || spec.Zone != "" && !slices.Contains(m.Zones, spec.Zone) {
			continue
		}
		if spec.CPUs <= m.CPUs+1e-3 && spec.GPUs <= m.GPUs+1e-3 && spec.MemoryGB <= m.MemoryGB+1e-3 {
			return true
		}
	}
	return false
}

// budget is how many jobs a site is given: a token bucket whose rate rises slowly
// after the site has come back, so that a site in trouble gets less, not more.
type budget struct {
	tokens  float64
	filled  time.Duration
	since   time.Duration // when the site was last found back
	there   bool
	recent  float64 // given lately, decaying
	decayed time.Duration
}

// back notes whether a site is there.
func (b *budget) back(now time.Duration, there bool) {
	if there && !b.there {
		b.since, b.tokens, b.filled = now, 1, now
	}
	b.there = there
}

// rate is how many jobs a second the site is given now: a twentieth at first.
func (b *budget) rate(now time.Duration, cfg RouteConfig) float64 {
	if cfg.RampS <= 0 {
		return cfg.PerSecond
	}
	part := min(1, 0.05+0.95*(now-b.since).Seconds()/cfg.RampS)
	return cfg.PerSecond * part
}

func (b *budget) allowed(now time.Duration, cfg RouteConfig) bool {
	r := b.rate(now, cfg)
	b.tokens = min(max(1, r), b.tokens+r*(now-b.filled).Seconds())
	b.filled = now
	return b.tokens >= 1
}

func (b *budget) take(now time.Duration) {
	b.tokens--
	b.recent = b.underWay(now) + 1
	b.decayed = now
}

// underWay is about how many jobs were given that the site's hint can't show yet.
func (b *budget) underWay(now time.Duration) float64 {
	return b.recent * math.Exp(-(now-b.decayed).Seconds()/2)
}
