// Package start squares what is stored of a share with what its workers report, after
// a node has taken it: at first nobody has spoken, and after all controllers went down
// everybody speaks at once. It is pure: fed with stored placements, reports, answers
// and the time, it says whom to ask next, how many at once, what may be decided now and
// what must wait. Nothing in it proves anything about a task; that is what fenced
// reports do. See docs/start.md.
package start
