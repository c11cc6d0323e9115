// Package gateway joins several sites. Its members agree, job by job, on which site owns a
// job and on the job's outcome, and they make sure that a job leaves a site only when none
// of its tasks can run there any more.
//
// Core implements the whole agreement as one deterministic state machine. Its inputs are
// messages, the completions of its own effects, user requests and time; its outputs are
// what to store, what to send and what to ask of the site's controllers. It reads no clock
// and does no I/O, so the same code runs in simulated time from a seed and in the daemon.
// docs/gateway.md lists the invariants and explains why each of them holds.
package gateway
