package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// oddJob is a submission that must be refused.
type oddJob struct {
	name   string
	change func(fields map[string]any)
	status int
	reason string // a part of what the user is told
	// byCatalog says that it can't be decided before the machine types are known.
	byCatalog bool
}

// withField gives a field a value, withoutField leaves one out.
func withField(field string, value any) func(map[string]any) {
	return func(fields map[string]any) { fields[field] = value }
}

func withoutField(field string) func(map[string]any) {
	return func(fields map[string]any) { delete(fields, field) }
}

var oddJobs = []oddJob{
	{"without its number of tasks", withoutField("pieces"), 400, "field pieces", false},
	{"without a team", withoutField("crew"), 400, "field crew", false},
	{"team null", withField("crew", nil), 400, "field crew", false},
	{"without a shape", withoutField("shape"), 400, "field shape", false},
	{"a shape that there is not", withField("shape", "ring"), 400, "field shape", false},
	{"no tasks", withField("pieces", 0), 400, "field pieces", false},
	{"memory as text", withField("memGb", "20"), 400, "field memGb", false},
	{"an empty list of types", withField("builds", []string{}), 400, "field builds", false},
	{"a team that there is not", withField("crew", "mauve"), 422, "unknown team", false},
	{"a gang beyond its team's limit", func(f map[string]any) { f["shape"], f["pieces"], f["cards"] = "gang", 9, 1 }, 422, "team's limit", false},
	{"one task beyond its team's limit", withField("cards", 8.5), 422, "team's limit", false},
	{"more memory than any machine has", withField("memGb", 193), 422, "no allowed machine type", true},
	{"more processors than any machine has", withField("vcpus", 25), 422, "no allowed machine type", true},
	{"a type that there is not", withField("builds", []string{"g5"}), 422, "no allowed machine type", true},
	{"a zone that there is not", withField("region", "c"), 422, "no allowed machine type", true},
}

// submissionBody is a good submission as users send it, with a change.
func submissionBody(id string, change func(map[string]any)) string {
	fields := map[string]any{"id": id, "lot": "c", "crew": "red", "shape": "sweep", "urgency": "high", "pieces": 1, "vcpus": 4.0, "cards": 1.0,
		"memGb": 20.0, "bundle": "i", "sizeGb": 1.0, "builds": nil, "region": nil, "together": false, "scatter": false, "loaners": true,
		"expectS": 2.0, "snapshotS": 0, "storeS": 0, "dueS": nil}
	change(fields)
	return string(mustJSON(fields))
}

// postAt sends a submission as it is to a node's HTTP interface; no status: it has no process.
func (w *simCluster) postAt(node, body string) (status int, why string) {
	n := w.node(node)
	if n == nil {
		return 0, ""
	}
	ctx, cancel := context.WithTimeout(w.ctx, submitTimeout)
	defer cancel()
	response := httptest.NewRecorder()
	n.API().ServeHTTP(response, httptest.NewRequestWithContext(ctx, http.MethodPost, "/api/jobs", strings.NewReader(body)))
	if ctx.Err() != nil {
		return 0, ""
	}
	var e errorBody
	if err := json.Unmarshal(response.Body.Bytes(), &e); err != nil {
		w.violation("%s answers %q with %q", node, body, response.Body)
	}
	return response.Code, e.Error
}

// refuses sends an odd job to a node until it is refused, and complains unless the refusal is
// the right one and says why. No node then knows the job.
func (w *simCluster) refuses(node string, number int, odd oddJob) {
	id := fmt.Sprintf("job-96%05d", number)
	body := submissionBody(id, odd.change)
	for w.ctx.Err() == nil {
		status, why := w.postAt(node, body)
		if status == 0 || status == 503 {
			time.Sleep(retryPause)
			continue
		}
		w.recordEvent(fmt.Sprintf("refused with %d", status))
		if status != odd.status || !strings.Contains(why, odd.reason) {
			w.violation("%s (%s) is answered %d %q at %s, want %d %q", id, odd.name, status, why, node, odd.status, odd.reason)
		}
		break
	}
	for _, name := range w.names {
		ctx, cancel := context.WithTimeout(w.ctx, pollTimeout)
		if a, err := w.pollAt(ctx, name, id); err == nil && a.status != 404 && a.status != 503 {
			w.violation("%s (%s) was refused and is answered %d at %s", id, odd.name, a.status, name)
		}
		cancel()
	}
}

// oddRequests: users repeat submissions of unfinished jobs, cancel jobs that are done, and send
// jobs that can never run or lack a field.
func edgeCaseRequests(w *simCluster) {
	w.mu.Lock()
	first := w.eventCounts["odd jobs"]
	w.eventCounts["odd jobs"] += len(oddJobs)
	w.mu.Unlock()
	var users sync.WaitGroup
	for i, odd := range oddJobs {
		u := w.addTrackedUser(mixedShape(i))
		users.Go(func() { w.refuses(w.randomNode(), first+i, odd) })
		users.Go(func() {
			u.retryUntilSuccess(u.submitOnce)
			u.repeatUnfinished()
			u.awaitEnd()
			u.cancelDone()
		})
		time.Sleep(w.randDuration(0, 500*time.Millisecond))
	}
	w.awaitAll(&users)
}

// repeatUnfinished repeats the submission at all nodes while the job is not over.
func (u *user) repeatUnfinished() {
	for range 4 {
		for _, node := range u.w.names {
			if a, err := u.submitOnce(node); err == nil && a.status == 200 && u.knownFinalStatus() == "" {
				u.w.recordEvent("submission of an unfinished job repeated")
			}
		}
		time.Sleep(u.w.randDuration(0, 500*time.Millisecond))
	}
}

// cancelDone cancels a job that is over at all nodes; the answerChecker sees that it stays so.
func (u *user) cancelDone() {
	for _, node := range u.w.names {
		if a, err := u.cancelOnce(node); err == nil && a.status == 200 {
			u.w.recordEvent("a job that was done cancelled")
		}
	}
}

// forgetCatalog begins all processes anew, with the cloud out of reach and no types stored.
func (w *simCluster) forgetCatalog() {
	w.withLock(func() { w.cloudDown = true })
	for _, name := range w.names {
		w.stopNode(name)
	}
	time.Sleep(5 * time.Second)
	if _, _, _, err := w.state.Txn(w.ctx, nil, []storage.Write{{Delete: protocol.CatalogKey}}); err != nil {
		w.t.Fatal(err)
	}
	for _, name := range w.names {
		w.startIfStopped(name)
	}
	time.Sleep(10 * time.Second)
}

// Before the machine types are known nothing is decided that depends on them, and nothing is
// accepted; what is wrong without them is refused all the same.
func TestOddJobsBeforeTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.forgetCatalog()
		for i, odd := range oddJobs {
			status, why := w.postAt(w.names[i%3], submissionBody(fmt.Sprintf("job-97%05d", i), odd.change))
			want := odd.status
			if odd.byCatalog {
				want = 503
			}
			if status != want || !odd.byCatalog && !strings.Contains(why, odd.reason) {
				t.Errorf("%s: answered %d %q before the types are known, want %d", odd.name, status, why, want)
			}
		}
		u := w.addTrackedUser(func(*protocol.JobSpec) {})
		if a, err := u.submitOnce("n-0"); err != nil || a.status != 503 {
			t.Errorf("a good job is answered %d, %v before the types are known", a.status, err)
		}
		w.withLock(func() { w.cloudDown = false })
		time.Sleep(10 * time.Second)
		for i, odd := range oddJobs {
			w.refuses(w.names[i%3], i, odd)
		}
		if a, err := u.submitOnce("n-0"); err != nil || a.status != 201 {
			t.Errorf("a good job is answered %d, %v once the types are known", a.status, err)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
