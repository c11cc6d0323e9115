// Package gateway joins sites: it agrees, job by job, on which site holds a job
// and what became of it, and it sees to it that a job leaves a site only once
// nothing of it can run there any more.
//
// Core is the whole of the agreement as one state machine. It is fed messages,
// the ends of its own effects, requests and time, and returns what to store, what
// to send and what to ask of the site's controllers. It reads no clock and does no
// I/O, so the same code runs in simulated time from a seed and in the daemon.
// docs/gateway.md gives the invariants and why each holds.
package gateway
