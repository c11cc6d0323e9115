package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Every request of a user in a simulated test goes through submitAt, pollAt, cancelAt or
// askAs, which hand it and its response to one answerChecker. It knows what any user was told
// by any node, and says which responses contradict that.

// requestKind is what a user asked for.
type requestKind string

const (
	submitRequest requestKind = "submission"
	statusRequest requestKind = "status read"
	cancelRequest requestKind = "cancellation"
)

// userRequest is one request about a job, with its response if one has come.
type userRequest struct {
	kind       requestKind
	job, node  string
	asked      instant
	answered   instant
	httpStatus int    // the HTTP status
	jobStatus  string // the job's status in the body, if there is one
}

// instant orders requests and responses: several may carry the same simulated time.
type instant struct {
	order int
	at    time.Time
}

func (r *userRequest) String() string {
	return fmt.Sprintf("%s of %s at %s, asked %s, answered %s: %d %s", r.kind, r.job, r.node, r.asked.at.Format("4:05.000"), r.answered.at.Format("4:05.000"), r.httpStatus, r.jobStatus)
}

// toldOfJob is what users were told of one job.
type toldOfJob struct {
	submitted bool         // somebody has sent a submission
	cancelled bool         // somebody has asked to cancel it
	accepted  *userRequest // the first response that showed that it was accepted
	final     *userRequest // the first response that called it done, cancelled or failed
}

// answerChecker compares each response with all earlier ones.
type answerChecker struct {
	mu    sync.Mutex
	order int
	told  map[string]*toldOfJob
}

func newAnswerChecker() *answerChecker { return &answerChecker{told: map[string]*toldOfJob{}} }

func (c *answerChecker) next() instant {
	c.order++
	return instant{c.order, time.Now()}
}

func (c *answerChecker) of(job string) *toldOfJob {
	t := c.told[job]
	if t == nil {
		t = &toldOfJob{}
		c.told[job] = t
	}
	return t
}

// cancelRequested says whether somebody has asked to cancel a job.
func (c *answerChecker) cancelRequested(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(job).cancelled
}

// noteRequest notes that a request is sent.
func (c *answerChecker) noteRequest(kind requestKind, job, node string) *userRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := c.of(job)
	told.submitted = told.submitted || kind == submitRequest
	told.cancelled = told.cancelled || kind == cancelRequest
	return &userRequest{kind: kind, job: job, node: node, asked: c.next()}
}

// checkResponse takes in the response to a request and returns what is wrong with it.
func (c *answerChecker) checkResponse(r *userRequest, status int, said string) (wrong []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.httpStatus, r.jobStatus, r.answered = status, said, c.next()
	told := c.of(r.job)
	for _, check := range []func(*userRequest, *toldOfJob) string{invented, forgotten, acceptedTwice, refusedAgain, unclear, wentBack, cancelledByNobody} {
		if why := check(r, told); why != "" {
			wrong = append(wrong, fmt.Sprintf("%s (%s)", why, r))
		}
	}
	if !r.accepts() {
		return wrong
	}
	if told.accepted == nil {
		told.accepted = r
	}
	if told.final == nil && isFinal(said) {
		told.final = r
	}
	return wrong
}

// accepts says whether a response shows that the job was accepted.
func (r *userRequest) accepts() bool { return r.httpStatus == 200 || r.httpStatus == 201 }

// before says whether a response was given before another request was sent.
func (r *userRequest) before(other *userRequest) bool {
	return r != nil && r.answered.order < other.asked.order
}

func isFinal(said string) bool {
	return said == protocol.JobDone || said == protocol.JobCancelled || said == protocol.JobFailed
}

func invented(r *userRequest, told *toldOfJob) string {
	if r.accepts() && !told.submitted {
		return "a job that nobody submitted"
	}
	return ""
}

func forgotten(r *userRequest, told *toldOfJob) string {
	if r.httpStatus == 404 && told.accepted.before(r) {
		return fmt.Sprintf("forgotten after the %s", told.accepted)
	}
	return ""
}

func acceptedTwice(r *userRequest, told *toldOfJob) string {
	if r.httpStatus == 201 && told.accepted.before(r) {
		return fmt.Sprintf("accepted again after the %s", told.accepted)
	}
	return ""
}

func refusedAgain(r *userRequest, told *toldOfJob) string {
	if (r.httpStatus == 400 || r.httpStatus == 422) && told.accepted.before(r) {
		return fmt.Sprintf("refused after the %s", told.accepted)
	}
	return ""
}

// unclear finds responses that say nothing a user could understand.
func unclear(r *userRequest, _ *toldOfJob) string {
	switch {
	case !r.accepts():
		return ""
	case r.httpStatus == 201 && r.kind != submitRequest:
		return "201 for what is not a submission"
	case r.kind == cancelRequest && !isFinal(r.jobStatus):
		return "a cancellation confirmed without saying how the job ended"
	case !isFinal(r.jobStatus) && r.jobStatus != protocol.JobQueued && r.jobStatus != protocol.JobRunning:
		return "a status that there is not"
	}
	return ""
}

// wentBack finds responses older than an earlier one, and two ends of one job.
func wentBack(r *userRequest, told *toldOfJob) string {
	switch {
	case !r.accepts() || told.final == nil || r.jobStatus == told.final.jobStatus:
		return ""
	case isFinal(r.jobStatus), told.final.before(r):
		return fmt.Sprintf("went back after the %s", told.final)
	}
	return ""
}

func cancelledByNobody(r *userRequest, told *toldOfJob) string {
	if r.accepts() && r.jobStatus == protocol.JobCancelled && !told.cancelled {
		return "called cancelled, but nobody asked for that"
	}
	return ""
}

// sendChecked sends one request of a user to a node and checks the response.
func (w *simCluster) sendChecked(ctx context.Context, kind requestKind, node, id string, send func(n *Node, reply chan<- answer)) (answer, error) {
	r := w.answers.noteRequest(kind, id, node)
	if without := answerWithoutGuard[w.disabledGuard]; without != nil {
		send = without(w, kind, id, send)
	}
	a, err := w.userRequest(ctx, node, send)
	if err != nil {
		return a, err
	}
	said, about := statusInAnswer(a)
	for _, wrong := range w.answers.checkResponse(r, a.status, said) {
		w.violation("%s", wrong)
	}
	if r.accepts() && about != id {
		w.violation("the response is about %q (%s)", about, r)
	}
	if r.accepts() {
		w.userTold(id, said)
	}
	return a, nil
}

// statusInAnswer is the status that a response gives, and of which job.
func statusInAnswer(a answer) (said, id string) {
	switch body := a.body.(type) {
	case protocol.JobStatus:
		return body.Status, body.ID
	case *TicketStatus:
		return body.Status, body.ID
	}
	return "", ""
}

// submitAt submits a job to a node once.
func (w *simCluster) submitAt(ctx context.Context, node string, s *protocol.JobSpec) (answer, error) {
	return w.sendChecked(ctx, submitRequest, node, s.ID, func(n *Node, reply chan<- answer) { n.onSubmit(s, time.Now(), reply) })
}

// pollAt asks a node once how a job is.
func (w *simCluster) pollAt(ctx context.Context, node, id string) (answer, error) {
	return w.sendChecked(ctx, statusRequest, node, id, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
}

// cancelAt asks a node once to cancel a job.
func (w *simCluster) cancelAt(ctx context.Context, node, id string) (answer, error) {
	return w.sendChecked(ctx, cancelRequest, node, id, func(n *Node, reply chan<- answer) { n.onCancel(id, cancelTries, reply) })
}

// cancelTries is how often a node tries to store a cancellation, as for a request over HTTP.
const cancelTries = 5

// userTold notes what any user was told of a job: a cancellation that is confirmed, in whichever
// way, reaches the checker of starts.
func (w *simCluster) userTold(id, said string) {
	w.mu.Lock()
	u := w.userOf[id]
	w.mu.Unlock()
	if u != nil {
		u.checkAnswer(said)
	}
	if said != protocol.JobCancelled {
		return
	}
	if left := w.fleet.Left(id); w.fleet.ToldLate && left > 0 && u == nil {
		w.violation("%s is called cancelled with %d tasks left", id, left)
	}
	w.fleet.Cancelled(id)
}

// Each response that the rules forbid is found, and none that they allow.
func TestAnswersAreChecked(t *testing.T) {
	const queued, running, done, cancelled = protocol.JobQueued, protocol.JobRunning, protocol.JobDone, protocol.JobCancelled
	type step struct {
		name string // of the request; it is sent by a step with a kind, answered by one without
		kind requestKind
		code int
		said string
	}
	send := func(name string, kind requestKind) step { return step{name: name, kind: kind} }
	get := func(name string, code int, said string) step { return step{name: name, code: code, said: said} }
	// Whole exchanges: sent and answered before the next step.
	whole := func(kind requestKind, code int, said string) []step {
		return []step{send("", kind), get("", code, said)}
	}
	accepted := whole(submitRequest, 201, queued)
	ended := append(append([]step{}, accepted...), whole(statusRequest, 200, done)...)
	gone := append(append([]step{}, accepted...), whole(cancelRequest, 200, cancelled)...)
	join := func(parts ...[]step) (out []step) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	for _, c := range []struct {
		name  string
		steps []step
		wrong string // a part of what is found; "": nothing
	}{
		{"a job's life", join(accepted, whole(statusRequest, 200, queued), whole(statusRequest, 200, running), whole(statusRequest, 200, queued), whole(submitRequest, 200, running), whole(statusRequest, 200, done), whole(submitRequest, 200, done), whole(cancelRequest, 200, done)), ""},
		{"a cancelled job's life", join(accepted, whole(cancelRequest, 503, ""), whole(statusRequest, 200, running), whole(cancelRequest, 200, cancelled), whole(submitRequest, 200, cancelled), whole(statusRequest, 200, cancelled)), ""},
		{"unknown until it is accepted", join(whole(statusRequest, 404, ""), whole(cancelRequest, 404, ""), accepted), ""},
		{"asked before it was accepted, answered after", join([]step{send("early", statusRequest)}, accepted, []step{get("early", 404, "")}), ""},
		{"two submissions at once", []step{send("a", submitRequest), send("b", submitRequest), get("a", 201, queued), get("b", 201, queued)}, ""},
		{"asked before the end, answered after", join(accepted, []step{send("early", statusRequest)}, whole(statusRequest, 200, done), []step{get("early", 200, running)}), ""},
		{"refused before it was accepted", join(whole(submitRequest, 422, ""), accepted), ""},
		{"busy says nothing", join(ended, whole(statusRequest, 503, ""), whole(submitRequest, 429, "")), ""},

		{"404 after it was accepted", join(accepted, whole(statusRequest, 404, "")), "forgotten"},
		{"404 for a cancellation after it was accepted", join(accepted, whole(cancelRequest, 404, "")), "forgotten"},
		{"404 after a repeat's 200", join(whole(submitRequest, 200, queued), whole(statusRequest, 404, "")), "forgotten"},
		{"404 after the end", join(ended, whole(statusRequest, 404, "")), "forgotten"},
		{"accepted again", join(accepted, whole(submitRequest, 201, queued)), "accepted again"},
		{"accepted again after the end", join(ended, whole(submitRequest, 201, queued)), "accepted again"},
		{"accepted again after a cancellation", join(gone, whole(submitRequest, 201, queued)), "accepted again"},
		{"a repeat gets 400", join(accepted, whole(submitRequest, 400, "")), "refused"},
		{"a repeat gets 422 after the end", join(ended, whole(submitRequest, 422, "")), "refused"},
		{"a job that nobody submitted", whole(statusRequest, 200, queued), "nobody submitted"},
		{"a job that nobody submitted is cancelled", whole(cancelRequest, 200, cancelled), "nobody submitted"},
		{"running after done", join(ended, whole(statusRequest, 200, running)), "went back"},
		{"queued for a repeat after done", join(ended, whole(submitRequest, 200, queued)), "went back"},
		{"running after cancelled", join(gone, whole(statusRequest, 200, running)), "went back"},
		{"cancelled after done", join(ended, whole(cancelRequest, 200, cancelled)), "went back"},
		{"done after cancelled", join(gone, whole(statusRequest, 200, done)), "went back"},
		{"two ends told at the same time", join(accepted, []step{send("a", statusRequest), send("b", cancelRequest), get("a", 200, done), get("b", 200, cancelled)}), "went back"},
		{"cancelled by nobody", join(accepted, whole(statusRequest, 200, cancelled)), "nobody asked"},
		{"a cancellation says running", join(accepted, whole(cancelRequest, 200, running)), "without saying how"},
		{"a status that there is not", join(accepted, whole(statusRequest, 200, "")), "a status that there is not"},
		{"a status read gets 201", join(accepted, whole(statusRequest, 201, queued)), "201 for what is not a submission"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, open, wrong := newAnswerChecker(), map[string]*userRequest{}, []string{}
			for _, s := range c.steps {
				if s.kind != "" {
					open[s.name] = checker.noteRequest(s.kind, "job-1", "n-0")
					continue
				}
				wrong = append(wrong, checker.checkResponse(open[s.name], s.code, s.said)...)
			}
			if found := strings.Join(wrong, "; "); (c.wrong == "") != (found == "") || !strings.Contains(found, c.wrong) {
				t.Errorf("found %q, want %q", found, c.wrong)
			}
		})
	}
}
