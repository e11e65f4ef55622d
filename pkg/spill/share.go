package spill

import "time"

const (
	// defaultAddedLatency is the difference between the round trips to another failure domain and within one.
	defaultAddedLatency = 1400 * time.Microsecond
	// stepTime is the least time between two changes of the share, and maxRiseTime the longest time that one rise covers,
	// so that a process without requests does not jump to a high share.
	stepTime    = 50 * time.Millisecond
	maxRiseTime = 500 * time.Millisecond
	// minRiseAbove and maxRiseAbove bound the pressure above which the share of a process rises. Different values in
	// different processes make their total rise gradually.
	minRiseAbove = 0.08
	maxRiseAbove = 0.2
	// startFactor is the multiple of that pressure above which spillover starts.
	startFactor = 2
	// fallShare is the fraction of that pressure below which the share falls.
	fallShare = 0.5
	// minPace and maxPace bound the factor of a process on the rates of change.
	minPace = 0.7
	maxPace = 1.3
	// riseGain is the rise of the share per second and unit of pressure above the threshold, thus also the largest rise per
	// second. A faster rise makes the total of the processes overshoot while the queues at home drain.
	riseGain = 0.15
	// fallRate is the fall of the share per second after home has recovered. It is lower than the rise, since a fall that is
	// too fast overloads home again.
	fallRate = 0.045
	// worseFallGain is the fall of the share per second and unit of pressure while the other domains do no better than home,
	// and maxFall the largest fall per second. The fall is in proportion, since a fixed one makes the total of the processes
	// swing when the other domains are nearly full.
	worseFallGain = 0.3
	maxFall       = 0.15
	// minGain is how much lower the pressure of the other domains must be for the share to rise, and keepGain for it to stay.
	minGain  = 0.1
	keepGain = 0.05
	// probeShare is the least share while home is under pressure, so that a process notices when other domains have room.
	probeShare = 0.02
	// untriedShare is the share above which there is no rise while fewer than triedWeight recent results of another domain are known.
	untriedShare = 0.2
	triedWeight  = 2
	// fruitlessTime is the time without a gain after which the probes pause.
	fruitlessTime = 20 * time.Second
	// minPause and maxPause bound the pause after fruitless probes, and restTime the one after home has recovered. The rest
	// also bounds the number of log lines about starts and stops.
	minPause = 30 * time.Second
	maxPause = 5 * time.Minute
	restTime = 3 * time.Second
)

// Advance changes the share for the time since the latest change. The other methods with a time call it.
func (c *Controller) Advance(now time.Time) {
	elapsed := now.Sub(c.stepped)
	if elapsed < stepTime {
		return
	}
	c.stepped = now
	home := c.homePressure(now)
	if !c.active && !c.begin(now, home) {
		return
	}
	gain := home - c.awayPressure(now)
	tried := c.tried(now)
	if gain > minGain && tried {
		c.gained = now
	}
	rising := min(elapsed, maxRiseTime).Seconds() * c.pace
	falling := elapsed.Seconds() * c.pace
	switch {
	case home < c.riseAbove*fallShare:
		c.share -= fallRate * falling
	case gain < keepGain:
		c.share = max(probeShare, c.share-falling*min(maxFall, worseFallGain*(keepGain-gain)))
	case home > c.riseAbove && gain > minGain && (tried || c.share < untriedShare):
		c.share = min(1, c.share+rising*riseGain*min(home-c.riseAbove, gain-minGain))
	}
	c.end(now)
}

// tried reports whether enough recent results of another domain are known.
func (c *Controller) tried(now time.Time) bool {
	for _, domain := range c.others {
		a := c.account(domain)
		a.decay(now)
		if a.weight >= triedWeight {
			return true
		}
	}
	return false
}

// begin starts spillover if home is under pressure and others have usable slots, and reports whether it has.
func (c *Controller) begin(now time.Time, home float64) bool {
	if home <= c.riseAbove*startFactor || now.Before(c.pausedUntil) || home-c.awayPressure(now) <= minGain {
		return false
	}
	c.active = true
	c.share = probeShare
	c.gained = now
	return true
}

// end stops spillover if the share has fallen to zero, no other domain has usable slots, or nothing was gained for long.
func (c *Controller) end(now time.Time) {
	switch {
	case c.share <= 0 || len(c.others) == 0:
		c.stop(now, restTime)
		c.pause = 0
	case now.Sub(c.gained) > fruitlessTime && c.share <= probeShare:
		c.pause = min(maxPause, max(minPause, 2*c.pause))
		c.stop(now, c.pause)
	}
}

func (c *Controller) stop(now time.Time, pause time.Duration) {
	c.active = false
	c.share = 0
	c.pausedUntil = now.Add(pause)
}

// homePressure returns the pressure at home, which is full if there is no usable slot or if this process alone has many
// more requests in flight than there are slots.
func (c *Controller) homePressure(now time.Time) float64 {
	home, slots := c.accounts[c.config.Home], c.slots[c.config.Home]
	if slots == 0 {
		return 1
	}
	crowd := (float64(home.inFlight)/float64(slots) - 1) / crowdRange
	return max(home.pressure(now), min(1, crowd))
}

// awayPressure returns the mean pressure that leaving requests meet. It is full if none would be in time.
func (c *Controller) awayPressure(now time.Time) float64 {
	sum, total := 0.0, 0.0
	objective := c.accounts[c.config.Home].objective
	for _, domain := range c.others {
		weight := c.weight(now, domain, objective)
		sum += weight * c.account(domain).pressure(now)
		total += weight
	}
	if total == 0 {
		return 1
	}
	return sum / total
}
