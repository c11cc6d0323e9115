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

// memStore is a Store in memory whose writes can be made to fail.
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

// ProveOwnership implements Store.
func (s *memStore) ProveOwnership(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr
}

// BatchBytes implements Store.
func (s *memStore) BatchBytes() int { return 0 }

func (s *memStore) setWriteErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
}

// memSite is a Site that accepts every job and never completes one.
type memSite struct{}

func (memSite) Call(_ context.Context, calls []Call) []Result {
	var results []Result
	for _, call := range calls {
		result := Result{Call: call, Code: wire.Active}
		if call.Kind == wire.Stop {
			result.Code = wire.ClaimEnded
		}
		results = append(results, result)
	}
	return results
}

func (memSite) Hint(context.Context) *wire.Hint {
	return &wire.Hint{GPUs: 8, FreeGPUs: 8, Types: []wire.TypeHint{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, Zones: []string{"a"}}}, Teams: []wire.TeamHint{{Name: "red"}}}
}

// testCluster is a gateway and two sites in one process.
type testCluster struct {
	t            *testing.T
	daemons      []*Daemon
	apis         []http.Handler
	stores       []*memStore
	mu           sync.Mutex
	disconnected [3]bool
}

func newTestCluster(t *testing.T) *testCluster { return newTestClusterMoving(t, 0) }

// newTestClusterMoving returns a cluster that moves a job if none of its tasks was placed
// for moveAfterS seconds.
func newTestClusterMoving(t *testing.T, moveAfterS float64) *testCluster {
	c := &testCluster{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range 3 {
		config := Config{Members: twoSites, Self: i, LeaseTime: 2 * time.Second, StopTime: time.Second, MaxInFlight: 100, Route: DefaultRoute()}
		config.Route.RampS = 0
		config.Route.MoveAfterS = moveAfterS
		store := &memStore{items: map[string]wire.Item{}}
		var site Site
		if i > 0 {
			site = memSite{}
		}
		daemon := NewDaemon(ctx, config, 1, nil, store, func(to int, e *wire.Envelope) {
			data := wire.Encode(e)
			c.mu.Lock()
			drop := c.disconnected[i] || c.disconnected[to]
			c.mu.Unlock()
			if drop {
				return
			}
			go func() {
				if e, err := wire.Decode(data); err == nil {
					c.daemons[to].Receive(i, e)
				}
			}()
		}, site, uint64(i), slog.New(slog.DiscardHandler))
		c.daemons, c.stores = append(c.daemons, daemon), append(c.stores, store)
	}
	for _, daemon := range c.daemons {
		c.apis = append(c.apis, daemon.API())
		wg.Add(1)
		go func() { defer wg.Done(); daemon.Run() }()
	}
	c.waitFor("all ready", func() bool {
		for i := range c.apis {
			if code, _, _ := c.request(i, "GET", "/ready", ""); code != 200 {
				return false
			}
		}
		_, body, _ := c.request(0, "GET", "/admin/gateway/status", "")
		return strings.Count(body, `"lease":"granted`) == 2 && strings.Count(body, `"hint_age_s":-1`) == 1
	})
	return c
}

// setDisconnected drops all messages to and from a member, or delivers them again.
func (c *testCluster) setDisconnected(member int, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[member] = disconnected
}

func (c *testCluster) request(member int, method, path, body string) (int, string, http.Header) {
	w := httptest.NewRecorder()
	c.apis[member].ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String(), w.Header()
}

func (c *testCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatal("never: " + what)
		}
	}
}

func jobJSON(id string) string {
	return `{"id":"` + id + `","lot":"l","crew":"red","shape":"sweep","urgency":"standard","pieces":1,"vcpus":1.0,"cards":1.0,"memGb":1.0,"bundle":"i","sizeGb":1.0,"together":false,"scatter":false,"loaners":true,"expectS":5.0,"snapshotS":0.0,"storeS":0.0}`
}

// submit repeats a submission until it is accepted, as users do.
func (c *testCluster) submit(member int, id string) {
	c.t.Helper()
	c.waitFor(id+" accepted", func() bool {
		code, _, _ := c.request(member, "POST", "/api/jobs", jobJSON(id))
		return code == 201 || code == 200
	})
}

// owner returns the site that owns job-1, once a majority has agreed on it; empty before.
func (c *testCluster) owner() string {
	_, body, _ := c.request(0, "GET", "/admin/gateway/jobs/job-1", "")
	for _, name := range []string{"quito", "xela"} {
		if strings.Contains(body, `"holder":"`+name+`"`) && strings.Contains(body, `"agreed":true`) {
			return name
		}
	}
	return ""
}

// With one member unreachable, the other two accept, show and cancel jobs. With two
// unreachable, the third answers 503 at once with a Retry-After header, and still knows the
// jobs whose outcome it has stored.
func TestAnyMemberMayBeUnreachable(t *testing.T) {
	c := newTestCluster(t)
	for disconnected := range 3 {
		c.setDisconnected(disconnected, true)
		first := (disconnected + 1) % 3
		id := "job-1" + string(rune('0'+disconnected))
		c.submit(first, id)
		second := (disconnected + 2) % 3
		c.waitFor("status at the other member", func() bool { code, _, _ := c.request(second, "GET", "/api/jobs/"+id, ""); return code == 200 })
		c.waitFor("cancelled", func() bool {
			code, body, _ := c.request(second, "POST", "/api/jobs/"+id+"/cancel", "")
			return code == 200 && strings.Contains(body, "withdrawn")
		})
		c.setDisconnected(disconnected, false)
		c.waitFor("status at the reconnected member", func() bool {
			code, body, _ := c.request(disconnected, "GET", "/api/jobs/"+id, "")
			return code == 200 && strings.Contains(body, "withdrawn")
		})
	}
	c.setDisconnected(1, true)
	c.setDisconnected(2, true)
	c.waitFor("503 at once", func() bool {
		started := time.Now()
		code, body, header := c.request(0, "POST", "/api/jobs", jobJSON("job-99"))
		return code == 503 && header.Get("Retry-After") != "" && strings.Contains(body, "too few members") && time.Since(started) < time.Second
	})
	if code, _, _ := c.request(0, "GET", "/ready", ""); code != 503 {
		t.Errorf("ready without a majority: %d", code)
	}
	if code, body, _ := c.request(0, "GET", "/api/jobs/job-10", ""); code != 200 || !strings.Contains(body, "withdrawn") {
		t.Errorf("status of a final job without a majority: %d %s", code, body)
	}
	if _, body, _ := c.request(0, "GET", "/admin/gateway/status", ""); !strings.Contains(body, `"state":"unknown"`) {
		t.Errorf("unreachable members are not shown as unknown: %s", body)
	}
}

// A member whose store is full promises nothing and shows the error in its status. The
// other two continue, and it takes part again once its store can be written.
func TestFullDisk(t *testing.T) {
	c := newTestCluster(t)
	c.stores[0].setWriteErr(errors.New("no space left on device"))
	c.submit(1, "job-1") // accepted by the two sites
	c.waitFor("error in the status", func() bool {
		c.request(0, "POST", "/api/jobs", jobJSON("job-2"))
		_, body, _ := c.request(0, "GET", "/admin/gateway/status", "")
		return strings.Contains(body, "no space left on device")
	})
	if code, _, _ := c.request(0, "GET", "/ready", ""); code != 503 {
		t.Error("ready with a full disk")
	}
	c.stores[0].mu.Lock()
	if n := len(c.stores[0].items); n != 0 {
		t.Errorf("%d registers on the full disk", n)
	}
	c.stores[0].mu.Unlock()
	c.stores[0].setWriteErr(nil)
	c.waitFor("ready again", func() bool { code, _, _ := c.request(0, "GET", "/ready", ""); return code == 200 })
	c.setDisconnected(2, true) // now member 0 is needed for a majority
	c.submit(0, "job-3")
	c.waitFor("status of job-1", func() bool { code, _, _ := c.request(0, "GET", "/api/jobs/job-1", ""); return code == 200 })
}

// Each invalid request is answered with its own status and an error that names the fault.
func TestInvalidRequests(t *testing.T) {
	c := newTestCluster(t)
	for _, tc := range []struct {
		method, path, body string
		code               int
		wantError          string
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
		if code, body, _ := c.request(0, tc.method, tc.path, tc.body); code != tc.code || !strings.Contains(body, strings.ReplaceAll(tc.wantError, `"`, `\"`)) {
			t.Errorf("%s %s: %d %s, want %d %q", tc.method, tc.path, code, body, tc.code, tc.wantError)
		}
	}
}

// A job of a drained site moves to the other site without waiting for a lease to expire,
// and the drained site is given no job.
func TestDrainHandsOver(t *testing.T) {
	c := newTestCluster(t)
	c.submit(0, "job-1")
	ownerOfJob := c.owner
	c.waitFor("owned by a site", func() bool { return ownerOfJob() != "" })
	first := ownerOfJob()
	drained := map[string]int{"quito": 1, "xela": 2}[first]
	started := time.Now()
	if code, body, _ := c.request(drained, "PUT", "/admin/gateway/drained", `{"on":true}`); code != 200 {
		t.Fatalf("%d %s", code, body)
	}
	c.waitFor("handed over", func() bool { now := ownerOfJob(); return now != "" && now != first })
	t.Logf("handed over in %v", time.Since(started))
	c.stores[drained].mu.Lock()
	if item := c.stores[drained].items[""]; item.Kind != wire.SiteState || !item.Durable {
		t.Error("the drain state is not stored")
	}
	c.stores[drained].mu.Unlock()
}

// A site that places no task of a job for the configured time, while another site has
// capacity, hands the job over.
func TestWaitingJobIsMoved(t *testing.T) {
	c := newTestClusterMoving(t, 0.5)
	c.submit(0, "job-1")
	c.waitFor("owned by a site", func() bool { return c.owner() != "" })
	first := c.owner()
	c.waitFor("moved", func() bool { now := c.owner(); return now != "" && now != first })
}
