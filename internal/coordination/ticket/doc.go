// Package ticket decides about render-farm tickets: which class a ticket has and what
// it is granted, which jobs its steps become, which step may start, when a task has
// used up its tries and when the ticket is over. All of it is pure: no clock, no
// store, no network. The node applies what it says in conditional writes, by the same
// paths as every other job, so that no ticket passes classes, quotas or drains.
package ticket
