package storage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Guards against starvation of background changes while user changes use up the whole rate.
// On a simulated day no rented machine was recorded during 35 s of submissions, and so no
// machine was rented after the first.
func TestBackgroundNotStarvedByUserChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewRateLimiter(protocol.StateSettings{WriteRPS: 40, TxnOps: 12}, 3)
		ctx := t.Context()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					limiter.wait(ctx, 4, UserPriority)
				}
			}
		}()
		start := time.Now()
		for range 10 {
			if err := limiter.wait(ctx, 2, BackgroundPriority); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > 15*time.Second {
			t.Errorf("20 background changes took %v beside a wave of user changes", took)
		}
		close(stop)
		synctest.Wait()
		time.Sleep(time.Minute)
		// With the rate unused again, a user change need not wait for background changes.
		go limiter.wait(ctx, 12, BackgroundPriority)
		synctest.Wait()
		start = time.Now()
		limiter.wait(ctx, 1, UserPriority)
		if took := time.Since(start); took > 0 {
			t.Errorf("a user change waited %v for background changes", took)
		}
		time.Sleep(time.Minute)
	})
}

// While background changes use the whole rate, user changes do not wait and urgent ones wait
// only briefly. On simulated days with 20 changes a second the placement of small tasks
// delayed half of the submissions by more than 200 ms.
func TestUserChangesDoNotWaitForBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewRateLimiter(protocol.StateSettings{WriteRPS: 20, TxnOps: 12}, 3)
		ctx, cancel := context.WithCancel(t.Context())
		done := 0
		go func() {
			for limiter.wait(ctx, 4, BackgroundPriority) == nil {
				done += 4
			}
		}()
		time.Sleep(20 * time.Second)
		var userWait, urgentWait time.Duration
		for i := range 40 {
			time.Sleep(time.Second)
			level, longest := UserPriority, &userWait
			if i%2 == 1 {
				level, longest = UrgentPriority, &urgentWait
			}
			start := time.Now()
			limiter.wait(ctx, 1, level)
			*longest = max(*longest, time.Since(start))
		}
		if userWait > 20*time.Millisecond || urgentWait > 400*time.Millisecond {
			t.Errorf("a user change waited up to %v, an urgent one up to %v", userWait, urgentWait)
		}
		if made := float64(done) / 60; made < 4 {
			t.Errorf("only %.1f background changes a second of 6", made)
		}
		cancel()
	})
}

// Background changes get their minimum of the rate during a wave of urgent changes.
func TestBackgroundNotStarvedByUrgentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewRateLimiter(protocol.StateSettings{WriteRPS: 40, TxnOps: 12}, 3)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for limiter.wait(ctx, 4, UrgentPriority) == nil {
			}
		}()
		done := 0
		go func() {
			for limiter.wait(ctx, 2, BackgroundPriority) == nil {
				done += 2
			}
		}()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if done < 60 {
			t.Errorf("%d background changes in a minute", done)
		}
	})
}
