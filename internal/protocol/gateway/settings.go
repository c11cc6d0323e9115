package gateway

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Settings is a member's file. What stands above [[members]] and the members
// themselves must be the same for all of them.
type Settings struct {
	Member string `toml:"member"`
	Listen string `toml:"listen"`   // for the other members
	API    string `toml:"api_addr"` // for users and operators

	LeaseS        float64 `toml:"lease_s"`
	ControllersS  float64 `toml:"controllers_s"`
	WorkersLeaseS float64 `toml:"workers_lease_s"` // the longest of any site
	CancelS       float64 `toml:"cancel_s"`        // the shortest of any site
	InFlight      int     `toml:"in_flight"`

	Members []Peer `toml:"members"`
	Keys    struct {
		Dir       string `toml:"dir"`
		Member    string `toml:"member"`
		Authority string `toml:"authority"`
		Revoked   string `toml:"revoked"`
	} `toml:"keys"`
	Journal struct {
		Path string `toml:"path"`
	} `toml:"journal"`
	Route struct {
		PerSecond  float64 `toml:"per_second"`
		RampS      float64 `toml:"ramp_s"`
		StaleS     float64 `toml:"stale_s"`
		Open       int     `toml:"open_per_site"`
		MoveAfterS float64 `toml:"move_after_s"`
	} `toml:"route"`
	Site struct {
		// Settings is the settings file of one of the site's controllers.
		Settings string `toml:"settings"`
		// Local is where the controllers ask for the lease.
		Local       string   `toml:"local"`
		Controllers []string `toml:"controllers"`
		// Part is the part of the state service's changes that may be used.
		Part float64 `toml:"part"`
	} `toml:"site"`

	dir string
}

// Peer is a member as the others know it.
type Peer struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
	Site bool   `toml:"site"`
}

// ReadSettings reads and checks a member's file, and for a site the controllers'
// settings that it names. The error has a line for each mistake, which names field
// and bound.
func ReadSettings(path string) (*Settings, *protocol.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s := &Settings{LeaseS: 8, ControllersS: 3, InFlight: 500, dir: filepath.Dir(path)}
	s.Route.Open = 20000
	s.Route.PerSecond, s.Route.RampS, s.Route.StaleS, s.Route.MoveAfterS = 50, 60, 10, 60
	s.Site.Part = 0.25
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	mistakes := &protocol.SettingErrors{}
	s.check(mistakes)
	var site *protocol.Settings
	if s.IsSite() && s.Site.Settings != "" {
		if site, err = protocol.ReadSettings(s.ResolvePath(s.Site.Settings)); err != nil {
			mistakes.Add("site.settings: %w", err)
		} else if w := site.Params.Workers; w.LeaseS > s.WorkersLeaseS || w.CancelS < s.CancelS {
			mistakes.Add("workers_lease_s: the site's lease_s %g must be at most that (%g), and its cancel_s %g at least cancel_s (%g)", w.LeaseS, s.WorkersLeaseS, w.CancelS, s.CancelS)
		}
	}
	if err := mistakes.Err(); err != nil {
		return nil, nil, err
	}
	slices.SortFunc(s.Members, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return s, site, nil
}

// IsSite says whether this member is a site's.
func (s *Settings) IsSite() bool {
	return slices.ContainsFunc(s.Members, func(p Peer) bool { return p.Name == s.Member && p.Site })
}

// ResolvePath is a file named in the settings: relative to their own place.
func (s *Settings) ResolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(s.dir, p)
}

// Checksum is of what all members must agree on. Addresses may differ: members may
// reach one another by different ways.
func (s *Settings) Checksum() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, Version, s.LeaseS, s.ControllersS, s.WorkersLeaseS, s.CancelS)
	for _, m := range s.Members {
		fmt.Fprint(h, m.Name, m.Site)
	}
	return h.Sum64()
}

func (s *Settings) check(m *protocol.SettingErrors) {
	m.CheckAddress("listen", s.Listen)
	m.CheckAddress("api_addr", s.API)
	s.checkTimes(m)
	s.checkMembers(m)
	if s.Keys.Dir == "" && (s.Keys.Member == "" || s.Keys.Authority == "") {
		m.Add("keys.dir: missing (or keys.member and keys.authority)")
	}
	if s.IsSite() {
		s.checkSite(m)
	} else if s.Journal.Path == "" {
		m.Add("journal.path: missing")
	}
}

func (s *Settings) checkTimes(m *protocol.SettingErrors) {
	m.CheckRange("lease_s", s.LeaseS, 2, 60)
	m.CheckRange("controllers_s", s.ControllersS, 1, 30)
	m.CheckRange("workers_lease_s", s.WorkersLeaseS, 1, 3600)
	m.CheckRange("in_flight", float64(s.InFlight), 1, 100000)
	m.CheckRange("route.per_second", s.Route.PerSecond, 0.1, 10000)
	m.CheckRange("route.ramp_s", s.Route.RampS, 0, 3600)
	m.CheckRange("route.stale_s", s.Route.StaleS, 3, 600)
	m.CheckRange("route.open_per_site", float64(s.Route.Open), 1, 1e6)
	m.CheckRange("route.move_after_s", s.Route.MoveAfterS, 0, 86400)
	// A cancellation must end what the site's workers run though the site can't be told.
	if most := s.CancelS - s.WorkersLeaseS - s.ControllersS - 4; s.LeaseS*1.002 >= most {
		m.Add("lease_s: %g must be below %g (cancel_s %g less workers_lease_s %g, controllers_s %g and 4)", s.LeaseS, most, s.CancelS, s.WorkersLeaseS, s.ControllersS)
	}
}

func (s *Settings) checkMembers(m *protocol.SettingErrors) {
	if n := len(s.Members); n < 3 || n > MaxMembers {
		m.Add("members: %d, at least 3 and at most %d", n, MaxMembers)
	}
	seen, sites := map[string]bool{}, 0
	for i, p := range s.Members {
		if p.Name == "" || seen[p.Name] {
			m.Add("members[%d].name: missing or repeated: %q", i, p.Name)
		}
		seen[p.Name] = true
		if p.Site {
			sites++
		}
		m.CheckAddress(fmt.Sprintf("members[%d].addr", i), p.Addr)
	}
	if !seen[s.Member] {
		m.Add("member: %q is not among the members", s.Member)
	}
	if sites < 2 {
		m.Add("members: %d sites, at least 2", sites)
	}
}

func (s *Settings) checkSite(m *protocol.SettingErrors) {
	m.CheckAddress("site.local", s.Site.Local)
	if len(s.Site.Controllers) == 0 {
		m.Add("site.controllers: none")
	}
	for i, c := range s.Site.Controllers {
		m.CheckAddress(fmt.Sprintf("site.controllers[%d]", i), c)
	}
	if s.Site.Settings == "" {
		m.Add("site.settings: missing")
	}
	m.CheckRange("site.part", s.Site.Part, 0.01, 0.9)
}
