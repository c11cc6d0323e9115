// Package ticket makes the decisions about render-farm tickets: the class of a ticket and
// the limits it is granted, the jobs that its steps become, which steps may start, when a
// task has used up its retries, and when the ticket has ended. It is pure: it uses no
// clock, no store and no network. The node applies the decisions in conditional writes, in
// the same way as for every other job, so that no ticket bypasses classes, quotas or
// drains.
package ticket
