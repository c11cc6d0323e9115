package protocol

import (
	"errors"
	"fmt"
	"net/netip"
)

// SettingErrors collects the errors of a settings file, one for each invalid field.
type SettingErrors struct{ errs []error }

// Add adds an error. Its text begins with the name of the field.
func (e *SettingErrors) Add(format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf(format, args...))
}

// CheckAddress adds an error if the value is not an IP address and port.
func (e *SettingErrors) CheckAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		e.Add("%s: not an address and port: %q", field, value)
	}
}

// CheckRange adds an error if the value is not within lower and upper, both included.
func (e *SettingErrors) CheckRange(field string, value, lower, upper float64) {
	if !(value >= lower && value <= upper) {
		e.Add("%s: %g is not within %g to %g", field, value, lower, upper)
	}
}

// CheckPositive adds an error if the value is not above 0.
func (e *SettingErrors) CheckPositive(field string, value float64) {
	if !(value > 0) {
		e.Add("%s: must be above 0", field)
	}
}

// Err returns all errors joined, one per line, or nil if there are none.
func (e *SettingErrors) Err() error { return errors.Join(e.errs...) }
