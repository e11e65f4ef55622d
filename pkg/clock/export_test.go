package clock

import "time"

// NewSystem returns a system clock that reads the given clocks instead of the machine's.
func NewSystem(wall func() time.Time, bootTime func() time.Duration) Clock {
	return newSystem(wall, bootTime)
}
