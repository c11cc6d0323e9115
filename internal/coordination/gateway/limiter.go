package gateway

import "time"

// A member limits the rounds that it runs at a time. Every round costs the stores of all
// members a write or two; rounds beyond what the stores complete in time would be given up
// after the stores had worked for them, and begun anew. The limit follows the time that
// rounds take: it grows while they are quick and shrinks when they become slow, so that the
// members share what their stores take without knowing their rates. Users whose change can't
// be begun soon are refused at once; changes that no user waits for wait.

const (
	minRounds     = 4  // rounds that a member may always run
	initialRounds = 16 // limit at the start of a member
	// slowRound is how long a round may take. Users wait for up to half a limit of rounds
	// before theirs, so that they are answered within userTimeout.
	slowRound = 1500 * time.Millisecond
	// roundGrowth is how many rounds the limit grows by while as many rounds as it allows end.
	// Until rounds have become slow once it doubles meanwhile.
	roundGrowth = 4
	// roundBackoff is what is left of the limit when rounds become slow.
	roundBackoff = 0.7
	// backgroundMinimum is the part of the limit that is left to changes for which no user
	// waits, while there are any; backgroundMaximum is the most that they get, so that a user
	// need not wait for one of them to end.
	backgroundMinimum = 0.25
	backgroundMaximum = 0.75
)

// roundLimiter limits the rounds in progress.
type roundLimiter struct {
	maxRounds    float64
	limit        float64
	running      [2]int      // rounds in progress, by class
	waiting      [2][]*round // rounds that are not begun, by class, in order; some are not waiting any more
	latency      time.Duration
	lastDecrease time.Duration // 0: rounds have not become slow yet
}

func newRoundLimiter(maxRounds int) *roundLimiter {
	return &roundLimiter{maxRounds: float64(max(minRounds, maxRounds)), limit: float64(min(initialRounds, max(minRounds, maxRounds)))}
}

// hasRoom reports whether a round of a class may begin.
func (l *roundLimiter) hasRoom(class changeClass) bool {
	if l.running[userChange]+l.running[backgroundChange] >= int(l.limit) {
		return false
	}
	share := 1.0
	switch {
	case class == backgroundChange && l.waitingRounds(userChange) > 0:
		share = backgroundMinimum
	case class == backgroundChange:
		share = backgroundMaximum
	case l.waitingRounds(backgroundChange) > 0:
		share = 1 - backgroundMinimum
	}
	return float64(l.running[class]) < share*l.limit
}

// waitingRounds returns the number of rounds of a class that wait.
func (l *roundLimiter) waitingRounds(class changeClass) int {
	queue := l.waiting[class]
	for len(queue) > 0 && !queue[0].waitsAs(class) {
		queue = queue[1:]
	}
	l.waiting[class] = queue
	return len(queue)
}

// refusesUsers reports whether a change that a user waits for could not be begun soon.
func (l *roundLimiter) refusesUsers() bool {
	return !l.hasRoom(userChange) && l.waitingRounds(userChange) >= int(l.limit/2)
}

// next removes the next waiting round that may begin; nil if there is none.
func (l *roundLimiter) next() *round {
	for _, class := range []changeClass{userChange, backgroundChange} {
		if l.waitingRounds(class) > 0 && l.hasRoom(class) {
			r := l.waiting[class][0]
			l.waiting[class] = l.waiting[class][1:]
			return r
		}
	}
	return nil
}

// completed adjusts the limit after a round that took some time from its begin.
func (l *roundLimiter) completed(took, now time.Duration) {
	l.latency += (took - l.latency) / 8
	switch {
	case took > slowRound:
		l.decrease(now)
	case took < slowRound/2 && float64(l.running[userChange]+l.running[backgroundChange]) > l.limit/2:
		growth := roundGrowth / l.limit
		if l.lastDecrease == 0 {
			growth = 1
		}
		l.limit = min(l.maxRounds, l.limit+growth)
	}
}

// decrease lowers the limit, at most once in the time that rounds of the earlier limit take
// to end.
func (l *roundLimiter) decrease(now time.Duration) {
	if l.lastDecrease > 0 && now-l.lastDecrease < slowRound {
		return
	}
	l.lastDecrease = now
	l.limit = max(minRounds, roundBackoff*l.limit)
}

// waitsAs reports whether a round waits among those of a class.
func (r *round) waitsAs(class changeClass) bool {
	return r.phase == phaseWaiting && r.class == class && !r.ended
}

// beginRound begins a round, or lets it wait until it may begin.
func (c *Core) beginRound(r *round) {
	if !c.limiter.hasRoom(r.class) || c.limiter.waitingRounds(r.class) > 0 {
		c.limiter.waiting[r.class] = append(c.limiter.waiting[r.class], r)
		return
	}
	c.runRound(r)
}

// runRound begins a round that may begin now. Only now does the time run in which a change
// has to end that no user waits for.
func (c *Core) runRound(r *round) {
	c.limiter.running[r.class]++
	r.startedAt = c.now
	for _, pending := range r.queued {
		if pending.class == backgroundChange {
			pending.deadline = c.now + pending.class.timeout()
		}
	}
	c.startRound(r)
}

// endRound removes a round that has ended or was given up, and begins those that may begin
// in its place.
func (c *Core) endRound(r *round) {
	delete(c.rounds, r.id)
	r.ended = true
	if r.phase == phaseWaiting {
		return
	}
	c.limiter.running[r.class]--
	for next := c.limiter.next(); next != nil; next = c.limiter.next() {
		c.runRound(next)
	}
}

// raiseToUser lets a waiting round that a user waits for now wait among those of users.
func (c *Core) raiseToUser(r *round) {
	if r.waitsAs(backgroundChange) {
		r.class = userChange
		c.beginRound(r)
	}
}
