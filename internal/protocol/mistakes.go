package protocol

import (
	"errors"
	"fmt"
	"net/netip"
)

// SettingErrors collects what is wrong with a settings file: one error for each field.
type SettingErrors struct{ errs []error }

// Add notes a mistake. The text begins with the field.
func (m *SettingErrors) Add(format string, args ...any) {
	m.errs = append(m.errs, fmt.Errorf(format, args...))
}

// CheckAddress notes a field that is not an IP address and port.
func (m *SettingErrors) CheckAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		m.Add("%s: not an address and port: %q", field, value)
	}
}

// CheckRange notes a field that is out of its bounds.
func (m *SettingErrors) CheckRange(field string, value, least, most float64) {
	if !(value >= least && value <= most) {
		m.Add("%s: %g is not within %g to %g", field, value, least, most)
	}
}

// CheckPositive notes a field that is not above 0.
func (m *SettingErrors) CheckPositive(field string, value float64) {
	if !(value > 0) {
		m.Add("%s: must be above 0", field)
	}
}

// Err joins all mistakes, one a line; nil if there are none.
func (m *SettingErrors) Err() error { return errors.Join(m.errs...) }
