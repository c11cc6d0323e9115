// Package ticket is the format of render-farm job tickets: Open Job Description
// templates of version jobtemplate-2023-09, as JSON or YAML, and the submission that
// carries one. It reads, checks, prints and expands; it schedules nothing, keeps
// nothing and knows no clock. docs/tickets.md has a table of what is supported.
package ticket
