package protocol

import (
	"errors"
	"fmt"
	"net/netip"
)

// Mistakes collects what is wrong with a settings file: one error for each field.
type Mistakes struct{ errs []error }

// Add notes a mistake. The text begins with the field.
func (m *Mistakes) Add(format string, args ...any) {
	m.errs = append(m.errs, fmt.Errorf(format, args...))
}

// Address notes a field that is not an IP address and port.
func (m *Mistakes) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		m.Add("%s: not an address and port: %q", field, value)
	}
}

// Between notes a field that is out of its bounds.
func (m *Mistakes) Between(field string, value, least, most float64) {
	if !(value >= least && value <= most) {
		m.Add("%s: %g is not within %g to %g", field, value, least, most)
	}
}

// Positive notes a field that is not above 0.
func (m *Mistakes) Positive(field string, value float64) {
	if !(value > 0) {
		m.Add("%s: must be above 0", field)
	}
}

// Err joins all mistakes, one a line; nil if there are none.
func (m *Mistakes) Err() error { return errors.Join(m.errs...) }
