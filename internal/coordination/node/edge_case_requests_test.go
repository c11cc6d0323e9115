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

// invalidJob is a submission that must be rejected.
type invalidJob struct {
	name   string
	change func(fields map[string]any)
	status int
	reason string // part of the error that the user gets
	// needsCatalog is set if the rejection depends on the machine types.
	needsCatalog bool
}

// withField sets a field to a value; withoutField removes a field.
func withField(field string, value any) func(map[string]any) {
	return func(fields map[string]any) { fields[field] = value }
}

func withoutField(field string) func(map[string]any) {
	return func(fields map[string]any) { delete(fields, field) }
}

var invalidJobs = []invalidJob{
	{"without its number of tasks", withoutField("pieces"), 400, "field pieces", false},
	{"without a team", withoutField("crew"), 400, "field crew", false},
	{"team null", withField("crew", nil), 400, "field crew", false},
	{"without a shape", withoutField("shape"), 400, "field shape", false},
	{"an unknown shape", withField("shape", "ring"), 400, "field shape", false},
	{"no tasks", withField("pieces", 0), 400, "field pieces", false},
	{"memory as text", withField("memGb", "20"), 400, "field memGb", false},
	{"an empty list of types", withField("builds", []string{}), 400, "field builds", false},
	{"an unknown team", withField("crew", "mauve"), 422, "unknown team", false},
	{"a gang beyond its team's limit", func(f map[string]any) { f["shape"], f["pieces"], f["cards"] = "gang", 9, 1 }, 422, "team's limit", false},
	{"one task beyond its team's limit", withField("cards", 8.5), 422, "team's limit", false},
	{"more memory than any machine has", withField("memGb", 193), 422, "no allowed machine type", true},
	{"more processors than any machine has", withField("vcpus", 25), 422, "no allowed machine type", true},
	{"an unknown machine type", withField("builds", []string{"g5"}), 422, "no allowed machine type", true},
	{"an unknown zone", withField("region", "c"), 422, "no allowed machine type", true},
}

// submissionBody returns the body of a valid submission after a change of its fields.
func submissionBody(id string, change func(map[string]any)) string {
	fields := map[string]any{"id": id, "lot": "c", "crew": "red", "shape": "sweep", "urgency": "high", "pieces": 1, "vcpus": 4.0, "cards": 1.0,
		"memGb": 20.0, "bundle": "i", "sizeGb": 1.0, "builds": nil, "region": nil, "together": false, "scatter": false, "loaners": true,
		"expectS": 2.0, "snapshotS": 0, "storeS": 0, "dueS": nil}
	change(fields)
	return string(mustJSON(fields))
}

// postAt posts a body to a node's HTTP interface. It returns status 0 if the node has no process or
// does not answer in time.
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
		w.violation("%s answers %q with %q, which is not JSON", node, body, response.Body)
	}
	return response.Code, e.Error
}

// expectRejection submits an invalid job to a node until it gets a definite answer, and reports a
// violation unless that is the expected rejection with its reason and no node knows the job afterwards.
func (w *simCluster) expectRejection(node string, number int, invalid invalidJob) {
	id := fmt.Sprintf("job-96%05d", number)
	body := submissionBody(id, invalid.change)
	for w.ctx.Err() == nil {
		status, why := w.postAt(node, body)
		if status == 0 || status == 503 {
			time.Sleep(retryPause)
			continue
		}
		w.recordEvent(fmt.Sprintf("refused with %d", status))
		if status != invalid.status || !strings.Contains(why, invalid.reason) {
			w.violation("%s (%s) is answered %d %q at %s, want %d %q", id, invalid.name, status, why, node, invalid.status, invalid.reason)
		}
		break
	}
	for _, name := range w.names {
		ctx, cancel := context.WithTimeout(w.ctx, pollTimeout)
		if a, err := w.pollAt(ctx, name, id); err == nil && a.status != 404 && a.status != 503 {
			w.violation("%s (%s) was rejected and is answered %d at %s", id, invalid.name, a.status, name)
		}
		cancel()
	}
}

// edgeCaseRequests: users repeat submissions of unfinished jobs, cancel jobs that are done, and submit
// jobs that can never run or lack a field.
func edgeCaseRequests(w *simCluster) {
	w.mu.Lock()
	first := w.eventCounts["odd jobs"]
	w.eventCounts["odd jobs"] += len(invalidJobs)
	w.mu.Unlock()
	var users sync.WaitGroup
	for i, invalid := range invalidJobs {
		u := w.addTrackedUser(mixedShape(i))
		users.Go(func() { w.expectRejection(w.randomNode(), first+i, invalid) })
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

// repeatUnfinished repeats the submission at all nodes while the job is not final.
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

// cancelDone cancels a job that is done at all nodes; the answerChecker verifies that its status stays.
func (u *user) cancelDone() {
	for _, node := range u.w.names {
		if a, err := u.cancelOnce(node); err == nil && a.status == 200 {
			u.w.recordEvent("cancellation of a done job answered")
		}
	}
}

// restartWithoutCatalog restarts all processes while the cloud is down and no machine types are stored.
func (w *simCluster) restartWithoutCatalog() {
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

// Before the machine types are known no job may be accepted or rejected by them; jobs that are invalid
// whatever the types are rejected all the same.
func TestInvalidJobsBeforeCatalogIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.restartWithoutCatalog()
		for i, invalid := range invalidJobs {
			status, why := w.postAt(w.names[i%3], submissionBody(fmt.Sprintf("job-97%05d", i), invalid.change))
			want := invalid.status
			if invalid.needsCatalog {
				want = 503
			}
			if status != want || !invalid.needsCatalog && !strings.Contains(why, invalid.reason) {
				t.Errorf("%s: answered %d %q before the types are known, want %d", invalid.name, status, why, want)
			}
		}
		u := w.addTrackedUser(func(*protocol.JobSpec) {})
		if a, err := u.submitOnce("n-0"); err != nil || a.status != 503 {
			t.Errorf("a valid job is answered %d, %v before the types are known", a.status, err)
		}
		w.withLock(func() { w.cloudDown = false })
		time.Sleep(10 * time.Second)
		for i, invalid := range invalidJobs {
			w.expectRejection(w.names[i%3], i, invalid)
		}
		if a, err := u.submitOnce("n-0"); err != nil || a.status != 201 {
			t.Errorf("a valid job is answered %d, %v once the types are known", a.status, err)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
