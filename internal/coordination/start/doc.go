// Package start reconciles the stored state of a partition with the reports of its workers
// after a node has acquired the partition. At first no worker has reported to the new
// owner; after an outage of all controllers every worker reports at the same time. The
// package is pure: its inputs are stored placements, reports, answers and the time. It
// decides which machine to poll next, how many calls may run at once, which decisions are
// allowed already and which must wait. Nothing in it proves anything about a task; only
// fenced reports do. See docs/start.md.
package start
