// Package decide makes the scheduling decisions of a partition: on which machines a
// job's tasks are placed (the heavy-or-light threshold of Theorem 4), which tasks are
// preempted, which machines are rented or moved to another partition, and why a job
// waits. All functions are pure: the state of machines, jobs and teams goes in, and
// decisions come out, each with its reason as a value. The package uses no clock, no
// randomness and no I/O, and imports only the protocol and libraries.
//
// The actor (package node) owns the state. It updates the Index whenever a machine
// changes (Index.Set), creates a View for one scheduling pass, asks the View for a
// decision, and applies it by a conditional write before it asks for the next one. A
// View is read-only; the next decision reflects an applied one because the actor has
// updated the Index.
//
// Terms used throughout:
//
//   - Rank: a job's priority; 0 is the highest, and a larger rank is a lower priority.
//   - Offer: a kind of machine that can be rented, which is a type, a zone and whether
//     it is a spot machine.
//   - Unguaranteed team: a team without guaranteed resources. Its jobs use only what
//     teams with a guarantee leave unused.
//   - Earmark: a machine's capacity that is held for a gang for a limited time.
//   - Relocation: stopping a task that needs no GPU on a machine with GPUs so that it
//     runs on another machine at once.
package decide
