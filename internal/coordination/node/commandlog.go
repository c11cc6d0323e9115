package node

import (
	"log/slog"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Log lines and metrics about commands: what was started directly and under which token, why a
// worker forgets an attempt, and which tasks run where they are not placed.

// Values of the outcome label of direct starts.
const (
	startAnswered   = "answered"
	startRefused    = "refused" // by the worker, for its token or session
	startUnanswered = "unanswered"
)

// logDirectStarts logs starts that are sent directly.
func (n *Node) logDirectStarts(m *machine, tasks []directStart, orders protocol.Orders) {
	for _, started := range tasks {
		n.log.Debug("started directly", "task", started.task, "attempt", started.attempt, "machine", m.name, "token", orders.Token, "session", orders.Session)
	}
}

// countDirectStarts counts direct starts by the outcome of their call.
func (n *Node) countDirectStarts(tasks []directStart, answered, executed bool) {
	outcome := startAnswered
	switch {
	case !answered:
		outcome = startUnanswered
	case !executed:
		outcome = startRefused
	}
	n.metrics.directStarts.WithLabelValues(outcome).Add(float64(len(tasks)))
}

// logForgotten logs that a worker is told to forget an attempt; t is nil if the task is not known.
func (n *Node) logForgotten(m *machine, report *protocol.TaskReport, t *task) {
	n.log.Debug("attempt forgotten", "task", report.Task, "attempt", report.Attempt, "machine", m.name, "token", n.fencingToken(m), "session", m.session, "cause", report.Cause, placementOf(t))
}

// noteMisplacedTask logs and counts a task that a worker has though it is not placed there.
func (n *Node) noteMisplacedTask(m *machine, report *protocol.TaskReport, t *task) {
	n.metrics.misplacedTasks.Inc()
	n.log.Info("task runs where it is not placed", "task", report.Task, "attempt", report.Attempt, "state", report.State, "machine", m.name, "token", n.fencingToken(m), "session", m.session, placementOf(t))
}

// placementOf returns where a task is placed, as attributes of a log line; t is nil if the task is
// not known.
func placementOf(t *task) slog.Attr {
	switch {
	case t == nil:
		return slog.String("placed", "unknown task")
	case t.machine == nil:
		return slog.String("placed", "nowhere")
	}
	return slog.Group("placed", "machine", t.machine.name, "attempt", t.attempt)
}
