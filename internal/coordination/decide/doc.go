// Package decide holds the decisions about a share's work: which machines a job's tasks
// take (the heavy-or-light threshold of Theorem 4), who is stopped for whom, what to
// rent, which machines to move, and why a job waits. All of it is pure: facts about
// machines, jobs and teams go in, decisions come out, each with its reason as a value.
// There is no clock, no randomness and no I/O here, and nothing is imported but the
// protocol and libraries.
//
// The actor (package node) owns the state. It tells Index what has changed of a
// machine (Set), makes a View for one look, asks, and applies each answer by a
// conditional write before it asks for the next: a View is read-only, and what was
// applied shows in the next answer because the Index was told.
package decide
