// Package ledger implements the account of a site's jobs for users and operators: one row
// for each job, with exactly one state and the time as of which it is true. Unknown is a
// state of its own, so a job whose state can't be determined is never shown as healthy.
// The package also decides whether a job is stuck, and gives the reason. It is pure. A
// History keeps a bounded number of ended jobs and is owned by one goroutine.
package ledger
