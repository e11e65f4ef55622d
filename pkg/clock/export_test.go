package clock

import "time"

// NewSystem returns a system clock with other sources than the machine's.
func NewSystem(wall func() time.Time, bootTime func() time.Duration) Clock {
	return newSystem(wall, bootTime)
}
