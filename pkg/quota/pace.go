package quota

import "time"

const (
	// coldUse is the fraction of the bound of a cold server that the leader reserves. The rest is for processes that the
	// leader does not reach, or that do not know yet that the server is cold.
	coldUse = 0.75
	// coldBurstShare is the fraction of the tolerance of a cold server that is reserved at once.
	coldBurstShare = 0.5
	// coldSpread is the largest difference between the time for which a request is reserved and its arrival: PermitTTL, and
	// the way of a request whose sender has no processor time, or of which a packet is lost.
	coldSpread = PermitTTL + 350*time.Millisecond
	// PermitTTL is how long after its time a reserved request may still be sent. Later it would add to the ones that are
	// reserved for then.
	PermitTTL = 250 * time.Millisecond
	// coldStart is how long a cold server without reservations gets none: an earlier leader may have reserved requests for up
	// to longestWait ahead.
	coldStart = longestWait
)

// Pace is the rate at which a server takes requests.
type Pace struct {
	PerSecond float64
	// AtOnce is the number of requests that a server takes at once after it had none.
	AtOnce float64
	// Cold reports that the server may fail if it gets more. See ColdPace.
	Cold bool
}

// LimitPace returns the Pace of a server that names a rate.
func LimitPace(perSecond float64) Pace {
	return Pace{PerSecond: perSecond, AtOnce: perSecond * burst.Seconds()}
}

// ColdPace returns the Pace of a cold server that tolerates perSecond requests per second. It keeps the requests that arrive
// in any second below perSecond times overage plus tolerance, although they arrive up to coldSpread after their times.
//
// The load is a service whose servers have just started, or become cold again, while all processes have requests for them.
func ColdPace(perSecond, overage float64, tolerance int) Pace {
	budget := coldUse * float64(int(perSecond*overage)+tolerance)
	span := (time.Second + coldSpread).Seconds()
	p := Pace{PerSecond: perSecond, AtOnce: min(coldBurstShare*float64(tolerance), budget-perSecond*span), Cold: true}
	if p.AtOnce < 1 {
		p.AtOnce = 1
		p.PerSecond = min(perSecond, max(minRate, (budget-1)/span))
	}
	return p
}

// Stricter returns the lower rate and burst of both.
func (p Pace) Stricter(o Pace) Pace {
	return Pace{PerSecond: min(p.PerSecond, o.PerSecond), AtOnce: min(p.AtOnce, o.AtOnce), Cold: p.Cold || o.Cold}
}

// PaceOf returns the pace of a server by its notice and, if it is cold, its pace as a cold server. It also reports whether
// the server has any.
func PaceOf(n Notice, limited bool, cold Pace) (Pace, bool) {
	switch {
	case limited && cold.Cold:
		return cold.Stricter(LimitPace(n.PerSecond)), true
	case limited:
		return LimitPace(n.PerSecond), true
	}
	return cold, cold.Cold
}

// interval returns the mean time between the requests.
func (p Pace) interval() time.Duration { return intervalOf(p.PerSecond) }

// start returns how long a server without reservations gets no request.
func (p Pace) start() time.Duration {
	if p.Cold {
		return max(p.interval(), coldStart)
	}
	return p.interval()
}

// burstTime returns the time in which the server takes the requests of AtOnce.
func (p Pace) burstTime() time.Duration { return time.Duration(p.AtOnce * float64(p.interval())) }

// aloneShare returns the fraction of the rate that all processes together use while no leader answers them.
func (p Pace) aloneShare() float64 {
	if p.Cold {
		return coldAloneShare
	}
	return aloneShare
}
