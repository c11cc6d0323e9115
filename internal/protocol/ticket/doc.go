// Package ticket implements the format of render-farm job tickets: Open Job Description
// templates of version jobtemplate-2023-09, as JSON or YAML, and the submissions that
// contain one. It parses, validates, encodes and expands templates; it does no scheduling,
// keeps no state and reads no clock. docs/tickets.md has a table of the supported features.
package ticket
