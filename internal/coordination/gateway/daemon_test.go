package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// memStore is a store that can be full.
type memStore struct {
	mu       sync.Mutex
	writeErr error
	items    map[string]wire.Item
}

func (s *memStore) Write(_ context.Context, items []wire.Item) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return s.writeErr
	}
	for _, it := range items {
		s.items[it.ID] = it
	}
	return nil
}

func (s *memStore) setWriteErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
}

// memSite takes every job and never ends one.
type memSite struct{}

func (memSite) Call(_ context.Context, calls []Call) []Result {
	var rs []Result
	for _, c := range calls {
		r := Result{Call: c, Code: wire.Active}
		if c.Kind == wire.Stop {
			r.Code = wire.ClaimEnded
		}
		rs = append(rs, r)
	}
	return rs
}

func (memSite) Hint(context.Context) *wire.Hint {
	return &wire.Hint{GPUs: 8, FreeGPUs: 8, Types: []wire.TypeHint{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, Zones: []string{"a"}}}, Teams: []wire.TeamHint{{Name: "red"}}}
}

// testCluster is three members in one process.
type testCluster struct {
	t            *testing.T
	daemons      []*Daemon
	apis         []http.Handler
	stores       []*memStore
	mu           sync.Mutex
	disconnected [3]bool
}

func newTestCluster(t *testing.T) *testCluster { return newTestClusterMoving(t, 0) }

func newTestClusterMoving(t *testing.T, moveAfter float64) *testCluster {
	x := &testCluster{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range 3 {
		cfg := Config{Members: twoSites, Self: i, LeaseTime: 2 * time.Second, StopTime: time.Second, MaxInFlight: 100, Route: DefaultRoute()}
		cfg.Route.RampS = 0
		cfg.Route.MoveAfterS = moveAfter
		st := &memStore{items: map[string]wire.Item{}}
		var site Site
		if i > 0 {
			site = memSite{}
		}
		d := NewDaemon(ctx, cfg, 1, nil, st, func(to int, e *wire.Envelope) {
			data := wire.Encode(e)
			x.mu.Lock()
			drop := x.disconnected[i] || x.disconnected[to]
			x.mu.Unlock()
			if drop {
				return
			}
			go func() {
				if e, err := wire.Decode(data); err == nil {
					x.daemons[to].Receive(i, e)
				}
			}()
		}, site, uint64(i), slog.New(slog.DiscardHandler))
		x.daemons, x.stores = append(x.daemons, d), append(x.stores, st)
	}
	for _, d := range x.daemons {
		x.apis = append(x.apis, d.API())
		wg.Add(1)
		go func() { defer wg.Done(); d.Run() }()
	}
	x.waitFor("all ready", func() bool {
		for i := range x.apis {
			if code, _, _ := x.request(i, "GET", "/ready", ""); code != 200 {
				return false
			}
		}
		_, body, _ := x.request(0, "GET", "/admin/gateway/status", "")
		return strings.Count(body, `"lease":"granted`) == 2 && strings.Count(body, `"hint_age_s":-1`) == 1
	})
	return x
}

func (x *testCluster) setDisconnected(m int, away bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disconnected[m] = away
}

func (x *testCluster) request(m int, method, path, body string) (int, string, http.Header) {
	w := httptest.NewRecorder()
	x.apis[m].ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String(), w.Header()
}

func (x *testCluster) waitFor(what string, f func() bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatal("never: " + what)
		}
	}
}

func jobJSON(id string) string {
	return `{"id":"` + id + `","lot":"l","crew":"red","shape":"sweep","urgency":"standard","pieces":1,"vcpus":1.0,"cards":1.0,"memGb":1.0,"bundle":"i","sizeGb":1.0,"together":false,"scatter":false,"loaners":true,"expectS":5.0,"snapshotS":0.0,"storeS":0.0}`
}

// submit repeats a submission until it is accepted, as users do.
func (x *testCluster) submit(m int, id string) {
	x.t.Helper()
	x.waitFor(id+" accepted", func() bool {
		code, _, _ := x.request(m, "POST", "/api/jobs", jobJSON(id))
		return code == 201 || code == 200
	})
}

// owner is the site that the members agree holds job-1.
func (x *testCluster) owner() string {
	_, body, _ := x.request(0, "GET", "/admin/gateway/jobs/job-1", "")
	for _, m := range []string{"quito", "xela"} {
		if strings.Contains(body, `"holder":"`+m+`"`) && strings.Contains(body, `"agreed":true`) {
			return m
		}
	}
	return ""
}

// TestAnyOneMemberMayBeAway: the other two accept, tell and cancel; with two away
// the third answers 503 at once, with a time to come back.
func TestAnyOneMemberMayBeAway(t *testing.T) {
	x := newTestCluster(t)
	for gone := range 3 {
		x.setDisconnected(gone, true)
		here := (gone + 1) % 3
		id := "job-1" + string(rune('0'+gone))
		x.submit(here, id)
		other := (gone + 2) % 3
		x.waitFor("told by the other", func() bool { code, _, _ := x.request(other, "GET", "/api/jobs/"+id, ""); return code == 200 })
		x.waitFor("cancelled", func() bool {
			code, body, _ := x.request(other, "POST", "/api/jobs/"+id+"/cancel", "")
			return code == 200 && strings.Contains(body, "withdrawn")
		})
		x.setDisconnected(gone, false)
		x.waitFor("told by who was away", func() bool {
			code, body, _ := x.request(gone, "GET", "/api/jobs/"+id, "")
			return code == 200 && strings.Contains(body, "withdrawn")
		})
	}
	x.setDisconnected(1, true)
	x.setDisconnected(2, true)
	x.waitFor("503 at once", func() bool {
		begun := time.Now()
		code, body, h := x.request(0, "POST", "/api/jobs", jobJSON("job-99"))
		return code == 503 && h.Get("Retry-After") != "" && strings.Contains(body, "too few members") && time.Since(begun) < time.Second
	})
	if code, _, _ := x.request(0, "GET", "/ready", ""); code != 503 {
		t.Errorf("ready without a majority: %d", code)
	}
	if code, body, _ := x.request(0, "GET", "/api/jobs/job-10", ""); code != 200 || !strings.Contains(body, "withdrawn") {
		t.Errorf("a final answer is known without others: %d %s", code, body)
	}
	if _, body, _ := x.request(0, "GET", "/admin/gateway/status", ""); !strings.Contains(body, `"state":"unknown"`) {
		t.Errorf("members away are not shown as unknown: %s", body)
	}
}

// TestFullDisk: a member whose store is full promises nothing and says so; the
// other two go on, and it takes part again once there is room.
func TestFullDisk(t *testing.T) {
	x := newTestCluster(t)
	x.stores[0].setWriteErr(errors.New("no space left on device"))
	x.submit(1, "job-1") // by the two sites
	x.waitFor("said", func() bool {
		x.request(0, "POST", "/api/jobs", jobJSON("job-2"))
		_, body, _ := x.request(0, "GET", "/admin/gateway/status", "")
		return strings.Contains(body, "no space left on device")
	})
	if code, _, _ := x.request(0, "GET", "/ready", ""); code != 503 {
		t.Error("ready with a full disk")
	}
	x.stores[0].mu.Lock()
	if n := len(x.stores[0].items); n != 0 {
		t.Errorf("%d registers on the full disk", n)
	}
	x.stores[0].mu.Unlock()
	x.stores[0].setWriteErr(nil)
	x.waitFor("ready again", func() bool { code, _, _ := x.request(0, "GET", "/ready", ""); return code == 200 })
	x.setDisconnected(2, true) // now its part is needed
	x.submit(0, "job-3")
	x.waitFor("job-1 told", func() bool { code, _, _ := x.request(0, "GET", "/api/jobs/job-1", ""); return code == 200 })
}

// TestBadInputIsNamed: one clear error a mistake.
func TestBadInputIsNamed(t *testing.T) {
	x := newTestCluster(t)
	for _, c := range []struct {
		method, path, body string
		code               int
		says               string
	}{
		{"POST", "/api/jobs", "{", 400, "not a JSON object"},
		{"POST", "/api/jobs", strings.Replace(jobJSON("job-1"), `"pieces":1,`, `"pieces":0,`, 1), 400, "field pieces is invalid"},
		{"POST", "/api/jobs", strings.Replace(jobJSON("job-1"), `"red"`, `"nobody"`, 1), 422, "unknown team"},
		{"POST", "/api/jobs", strings.Replace(jobJSON("job-1"), `"cards":1.0`, `"cards":9.0`, 1), 422, "fits no allowed machine type"},
		{"GET", "/api/jobs/job-1", "", 404, "no such job"},
		{"GET", "/api/jobs/nonsense", "", 404, "no such job"},
		{"POST", "/api/jobs/job-1/cancel", "", 404, "no such job"},
		{"PUT", "/admin/gateway/drained", `{"on":true}`, 400, "no site's"},
		{"PUT", "/admin/gateway/drained", `{}`, 400, `need {"on":true}`},
	} {
		if code, body, _ := x.request(0, c.method, c.path, c.body); code != c.code || !strings.Contains(body, strings.ReplaceAll(c.says, `"`, `\"`)) {
			t.Errorf("%s %s: %d %s, want %d %q", c.method, c.path, code, body, c.code, c.says)
		}
	}
}

// TestDrainHandsOver: a drained site's job is at the other site without waiting for
// any lease, and the drained one is given nothing.
func TestDrainHandsOver(t *testing.T) {
	x := newTestCluster(t)
	x.submit(0, "job-1")
	holder := x.owner
	x.waitFor("held", func() bool { return holder() != "" })
	first := holder()
	at := map[string]int{"quito": 1, "xela": 2}[first]
	begun := time.Now()
	if code, body, _ := x.request(at, "PUT", "/admin/gateway/drained", `{"on":true}`); code != 200 {
		t.Fatalf("%d %s", code, body)
	}
	x.waitFor("handed over", func() bool { h := holder(); return h != "" && h != first })
	t.Logf("handed over in %v", time.Since(begun))
	x.stores[at].mu.Lock()
	if it := x.stores[at].items[""]; it.Kind != wire.SiteState || !it.Durable {
		t.Error("that it is drained is not stored")
	}
	x.stores[at].mu.Unlock()
}

// TestJobThatWaitsInVainIsMoved: a site that starts nothing of a job for the stated
// time, while another has room, hands it over in order.
func TestJobThatWaitsInVainIsMoved(t *testing.T) {
	x := newTestClusterMoving(t, 0.5)
	x.submit(0, "job-1")
	x.waitFor("held", func() bool { return x.owner() != "" })
	first := x.owner()
	x.waitFor("moved", func() bool { h := x.owner(); return h != "" && h != first })
}
