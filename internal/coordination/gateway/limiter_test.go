package gateway

import (
	"testing"
	"time"
)

// fillLimiter has rounds of a class run until there is no room for one more, and returns how
// many run.
func fillLimiter(l *roundLimiter, class changeClass) int {
	for l.hasRoom(class) {
		l.running[class]++
	}
	return l.running[class]
}

// Guards against users who are refused after 2.5 s while the jobs of a lost site come over:
// their changes waited for one of the handovers to end, each of which takes as long as theirs.
func TestBackgroundLeavesRoomForUsers(t *testing.T) {
	for _, limit := range []float64{minRounds, 8, 100} {
		l := newRoundLimiter(500)
		l.limit = limit
		background := fillLimiter(l, backgroundChange)
		if background < 1 || !l.hasRoom(userChange) {
			t.Errorf("limit %v: %d changes run that nobody waits for, room for users %v", limit, background, l.hasRoom(userChange))
		}
		if users := fillLimiter(l, userChange); users+background > int(limit) {
			t.Errorf("limit %v: %d and %d changes run", limit, users, background)
		}
	}
}

// Guards against changes of a site that never begin while users fill the limit.
func TestUsersLeaveRoomForBackground(t *testing.T) {
	l := newRoundLimiter(500)
	l.waiting[backgroundChange] = []*round{{class: backgroundChange}}
	fillLimiter(l, userChange)
	if !l.hasRoom(backgroundChange) {
		t.Errorf("%d changes of users of %v leave no room for others that wait", l.running[userChange], l.limit)
	}
}

// The limit grows while rounds are quick and the limit is used, shrinks at most once in the
// time of a slow round, and never below its minimum.
func TestLimitFollowsLatency(t *testing.T) {
	l := newRoundLimiter(500)
	now := time.Minute
	for range 1000 {
		l.running[userChange] = int(l.limit)
		l.completed(50*time.Millisecond, now)
	}
	if l.limit != 500 {
		t.Errorf("limit %v after quick rounds, want the greatest", l.limit)
	}
	l.running[userChange] = 1
	for range 100 {
		l.completed(2*slowRound, now)
	}
	if l.limit != 500*roundBackoff {
		t.Errorf("limit %v after many slow rounds at once, want one decrease", l.limit)
	}
	for range 100 {
		now += slowRound
		l.completed(2*slowRound, now)
	}
	if l.limit != minRounds {
		t.Errorf("limit %v after slow rounds for minutes, want the least", l.limit)
	}
	l.completed(50*time.Millisecond, now)
	if l.limit != minRounds {
		t.Error("the limit grows though it is not used")
	}
}
