// Package ledger is the account of a site's jobs as a person sees it: one row a job, each
// in exactly one state, with the moment it is true for. What can't be known is a state of
// its own and never shown as fine. Whether a job is stuck is decided here, from facts,
// with its reason. All of it is pure; a Book is a bounded memory of what ended, and is
// owned by one routine.
package ledger
