// Package duty holds tasks that only one controller may do at a time, as pure state
// machines: their inputs are reports, stored values, answers and the time, and they return
// what to store next. A controller's right to a change is proved by the condition that the
// change is stored under; nothing here relies on time for that.
package duty
