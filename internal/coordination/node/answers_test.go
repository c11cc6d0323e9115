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

// Every request of a user in a simulated test goes through submitAt, pollAt, cancelAt or sendChecked,
// which pass the request and its response to one answerChecker. The checker knows what every node has
// answered to any user, and reports responses that contradict that.

// requestKind is the kind of a user's request.
type requestKind string

const (
	submitRequest requestKind = "submission"
	statusRequest requestKind = "status read"
	cancelRequest requestKind = "cancellation"
)

// userRequest is one request about a job, with its response if there is one yet.
type userRequest struct {
	kind       requestKind
	job, node  string
	sentAt     instant
	answeredAt instant
	httpStatus int
	jobStatus  string // the job's status in the body, if there is one
}

// instant orders requests and responses: several may have the same simulated time.
type instant struct {
	order int
	at    time.Time
}

func (r *userRequest) String() string {
	return fmt.Sprintf("%s of %s at %s, sent %s, answered %s: %d %s", r.kind, r.job, r.node, r.sentAt.at.Format("4:05.000"), r.answeredAt.at.Format("4:05.000"), r.httpStatus, r.jobStatus)
}

// jobAnswers is what users were told of one job.
type jobAnswers struct {
	submitted bool         // a submission was sent
	cancelled bool         // a cancellation was sent
	accepted  *userRequest // the first response that showed that the job was accepted
	final     *userRequest // the first response with the status done, cancelled or failed
}

// answerChecker compares each response with all earlier ones.
type answerChecker struct {
	mu        sync.Mutex
	lastOrder int
	byJob     map[string]*jobAnswers
}

func newAnswerChecker() *answerChecker { return &answerChecker{byJob: map[string]*jobAnswers{}} }

func (c *answerChecker) next() instant {
	c.lastOrder++
	return instant{c.lastOrder, time.Now()}
}

func (c *answerChecker) answersFor(job string) *jobAnswers {
	answers := c.byJob[job]
	if answers == nil {
		answers = &jobAnswers{}
		c.byJob[job] = answers
	}
	return answers
}

// cancelRequested reports whether a user has sent a cancellation of a job.
func (c *answerChecker) cancelRequested(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answersFor(job).cancelled
}

// noteRequest records that a request is sent.
func (c *answerChecker) noteRequest(kind requestKind, job, node string) *userRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.answersFor(job)
	answers.submitted = answers.submitted || kind == submitRequest
	answers.cancelled = answers.cancelled || kind == cancelRequest
	return &userRequest{kind: kind, job: job, node: node, sentAt: c.next()}
}

// checkResponse records the response to a request and returns its violations.
func (c *answerChecker) checkResponse(r *userRequest, httpStatus int, jobStatus string) (wrong []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.httpStatus, r.jobStatus, r.answeredAt = httpStatus, jobStatus, c.next()
	answers := c.answersFor(r.job)
	for _, check := range []func(*userRequest, *jobAnswers) string{inventedJob, forgottenJob, acceptedTwice, rejectedAfterAcceptance, malformedAnswer, staleAnswer, unrequestedCancellation} {
		if why := check(r, answers); why != "" {
			wrong = append(wrong, fmt.Sprintf("%s (%s)", why, r))
		}
	}
	if !r.accepts() {
		return wrong
	}
	if answers.accepted == nil {
		answers.accepted = r
	}
	if answers.final == nil && isFinal(jobStatus) {
		answers.final = r
	}
	return wrong
}

// accepts reports whether a response shows that the job was accepted.
func (r *userRequest) accepts() bool { return r.httpStatus == 200 || r.httpStatus == 201 }

// before reports whether a response was received before another request was sent.
func (r *userRequest) before(other *userRequest) bool {
	return r != nil && r.answeredAt.order < other.sentAt.order
}

func isFinal(jobStatus string) bool {
	return jobStatus == protocol.JobDone || jobStatus == protocol.JobCancelled || jobStatus == protocol.JobFailed
}

func inventedJob(r *userRequest, answers *jobAnswers) string {
	if r.accepts() && !answers.submitted {
		return "a job that no user submitted"
	}
	return ""
}

func forgottenJob(r *userRequest, answers *jobAnswers) string {
	if r.httpStatus == 404 && answers.accepted.before(r) {
		return fmt.Sprintf("forgotten after the %s", answers.accepted)
	}
	return ""
}

func acceptedTwice(r *userRequest, answers *jobAnswers) string {
	if r.httpStatus == 201 && answers.accepted.before(r) {
		return fmt.Sprintf("accepted again after the %s", answers.accepted)
	}
	return ""
}

func rejectedAfterAcceptance(r *userRequest, answers *jobAnswers) string {
	if (r.httpStatus == 400 || r.httpStatus == 422) && answers.accepted.before(r) {
		return fmt.Sprintf("refused after the %s", answers.accepted)
	}
	return ""
}

// malformedAnswer finds responses whose status code or job status does not fit the request.
func malformedAnswer(r *userRequest, _ *jobAnswers) string {
	switch {
	case !r.accepts():
		return ""
	case r.httpStatus == 201 && r.kind != submitRequest:
		return "201 for a request other than a submission"
	case r.kind == cancelRequest && !isFinal(r.jobStatus):
		return "cancellation confirmed without a final status"
	case !isFinal(r.jobStatus) && r.jobStatus != protocol.JobQueued && r.jobStatus != protocol.JobRunning:
		return "unknown job status"
	}
	return ""
}

// staleAnswer finds responses older than an earlier one, and two different final statuses of one job.
func staleAnswer(r *userRequest, answers *jobAnswers) string {
	switch {
	case !r.accepts() || answers.final == nil || r.jobStatus == answers.final.jobStatus:
		return ""
	case isFinal(r.jobStatus), answers.final.before(r):
		return fmt.Sprintf("reverted after the %s", answers.final)
	}
	return ""
}

func unrequestedCancellation(r *userRequest, answers *jobAnswers) string {
	if r.accepts() && r.jobStatus == protocol.JobCancelled && !answers.cancelled {
		return "reported as cancelled without a cancellation request"
	}
	return ""
}

// sendChecked sends one request of a user to a node and checks the response.
func (w *simCluster) sendChecked(ctx context.Context, kind requestKind, node, id string, send func(n *Node, reply chan<- answer)) (answer, error) {
	r := w.answers.noteRequest(kind, id, node)
	if withoutGuard := answerWithoutGuard[w.disabledGuard]; withoutGuard != nil {
		send = withoutGuard(w, kind, id, send)
	}
	a, err := w.userRequest(ctx, node, send)
	if err != nil {
		return a, err
	}
	jobStatus, answeredID := statusInAnswer(a)
	for _, wrong := range w.answers.checkResponse(r, a.status, jobStatus) {
		w.violation("%s", wrong)
	}
	if r.accepts() && answeredID != id {
		w.violation("the response is about %q (%s)", answeredID, r)
	}
	if r.accepts() {
		w.noteStatusAnswer(id, jobStatus)
	}
	return a, nil
}

// statusInAnswer returns the status in a response and the id of the job that it is about.
func statusInAnswer(a answer) (jobStatus, id string) {
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

// pollAt polls a job's status at a node once.
func (w *simCluster) pollAt(ctx context.Context, node, id string) (answer, error) {
	return w.sendChecked(ctx, statusRequest, node, id, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
}

// cancelAt asks a node once to cancel a job.
func (w *simCluster) cancelAt(ctx context.Context, node, id string) (answer, error) {
	return w.sendChecked(ctx, cancelRequest, node, id, func(n *Node, reply chan<- answer) { n.onCancel(id, cancelTries, reply) })
}

// cancelTries is how often a node tries to store a cancellation, as for a request over HTTP.
const cancelTries = 5

// noteStatusAnswer records a status that any user was told. A confirmed cancellation, whichever request
// confirmed it, is passed to the fleet's check of starts.
func (w *simCluster) noteStatusAnswer(id, jobStatus string) {
	w.mu.Lock()
	u := w.userOf[id]
	w.mu.Unlock()
	if u != nil {
		u.checkAnswer(jobStatus)
	}
	if jobStatus != protocol.JobCancelled {
		return
	}
	if left := w.fleet.RemainingTasks(id); w.fleet.CancelConfirmedAfterStop && left > 0 && u == nil {
		w.violation("%s is called cancelled with %d tasks left", id, left)
	}
	w.fleet.NoteCancelConfirmed(id)
}

// Checks that each response that the rules forbid is detected and none that they allow.
func TestAnswersAreChecked(t *testing.T) {
	const queued, running, done, cancelled = protocol.JobQueued, protocol.JobRunning, protocol.JobDone, protocol.JobCancelled
	type step struct {
		name      string // of the request: a step with a kind sends it, one without receives its response
		kind      requestKind
		code      int
		jobStatus string
	}
	send := func(name string, kind requestKind) step { return step{name: name, kind: kind} }
	receive := func(name string, code int, jobStatus string) step {
		return step{name: name, code: code, jobStatus: jobStatus}
	}
	// exchange returns the steps of a request that is answered before the next step.
	exchange := func(kind requestKind, code int, jobStatus string) []step {
		return []step{send("", kind), receive("", code, jobStatus)}
	}
	accepted := exchange(submitRequest, 201, queued)
	doneJob := append(append([]step{}, accepted...), exchange(statusRequest, 200, done)...)
	cancelledJob := append(append([]step{}, accepted...), exchange(cancelRequest, 200, cancelled)...)
	join := func(parts ...[]step) (out []step) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	for _, c := range []struct {
		name  string
		steps []step
		wrong string // part of the expected violation; "": none
	}{
		{"all statuses of a job", join(accepted, exchange(statusRequest, 200, queued), exchange(statusRequest, 200, running), exchange(statusRequest, 200, queued), exchange(submitRequest, 200, running), exchange(statusRequest, 200, done), exchange(submitRequest, 200, done), exchange(cancelRequest, 200, done)), ""},
		{"all statuses of a cancelled job", join(accepted, exchange(cancelRequest, 503, ""), exchange(statusRequest, 200, running), exchange(cancelRequest, 200, cancelled), exchange(submitRequest, 200, cancelled), exchange(statusRequest, 200, cancelled)), ""},
		{"unknown until it is accepted", join(exchange(statusRequest, 404, ""), exchange(cancelRequest, 404, ""), accepted), ""},
		{"status read sent before the acceptance, answered after it", join([]step{send("early", statusRequest)}, accepted, []step{receive("early", 404, "")}), ""},
		{"two submissions at once", []step{send("a", submitRequest), send("b", submitRequest), receive("a", 201, queued), receive("b", 201, queued)}, ""},
		{"status read sent before the end, answered after it", join(accepted, []step{send("early", statusRequest)}, exchange(statusRequest, 200, done), []step{receive("early", 200, running)}), ""},
		{"rejected before it was accepted", join(exchange(submitRequest, 422, ""), accepted), ""},
		{"503 and 429 contradict nothing", join(doneJob, exchange(statusRequest, 503, ""), exchange(submitRequest, 429, "")), ""},

		{"404 after it was accepted", join(accepted, exchange(statusRequest, 404, "")), "forgotten"},
		{"404 for a cancellation after it was accepted", join(accepted, exchange(cancelRequest, 404, "")), "forgotten"},
		{"404 after a repeat's 200", join(exchange(submitRequest, 200, queued), exchange(statusRequest, 404, "")), "forgotten"},
		{"404 after the end", join(doneJob, exchange(statusRequest, 404, "")), "forgotten"},
		{"accepted again", join(accepted, exchange(submitRequest, 201, queued)), "accepted again"},
		{"accepted again after the end", join(doneJob, exchange(submitRequest, 201, queued)), "accepted again"},
		{"accepted again after a cancellation", join(cancelledJob, exchange(submitRequest, 201, queued)), "accepted again"},
		{"a repeat gets 400", join(accepted, exchange(submitRequest, 400, "")), "refused"},
		{"a repeat gets 422 after the end", join(doneJob, exchange(submitRequest, 422, "")), "refused"},
		{"a job that no user submitted", exchange(statusRequest, 200, queued), "no user submitted"},
		{"cancellation of a job that no user submitted", exchange(cancelRequest, 200, cancelled), "no user submitted"},
		{"running after done", join(doneJob, exchange(statusRequest, 200, running)), "reverted"},
		{"queued for a repeat after done", join(doneJob, exchange(submitRequest, 200, queued)), "reverted"},
		{"running after cancelled", join(cancelledJob, exchange(statusRequest, 200, running)), "reverted"},
		{"cancelled after done", join(doneJob, exchange(cancelRequest, 200, cancelled)), "reverted"},
		{"done after cancelled", join(cancelledJob, exchange(statusRequest, 200, done)), "reverted"},
		{"two final statuses at the same time", join(accepted, []step{send("a", statusRequest), send("b", cancelRequest), receive("a", 200, done), receive("b", 200, cancelled)}), "reverted"},
		{"cancelled without a request", join(accepted, exchange(statusRequest, 200, cancelled)), "without a cancellation request"},
		{"a cancellation answered with running", join(accepted, exchange(cancelRequest, 200, running)), "without a final status"},
		{"an unknown job status", join(accepted, exchange(statusRequest, 200, "")), "unknown job status"},
		{"a status read gets 201", join(accepted, exchange(statusRequest, 201, queued)), "201 for a request other than a submission"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, open, wrong := newAnswerChecker(), map[string]*userRequest{}, []string{}
			for _, s := range c.steps {
				if s.kind != "" {
					open[s.name] = checker.noteRequest(s.kind, "job-1", "n-0")
					continue
				}
				wrong = append(wrong, checker.checkResponse(open[s.name], s.code, s.jobStatus)...)
			}
			if found := strings.Join(wrong, "; "); (c.wrong == "") != (found == "") || !strings.Contains(found, c.wrong) {
				t.Errorf("found %q, want %q", found, c.wrong)
			}
		})
	}
}
