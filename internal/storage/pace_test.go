package storage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// While users' changes use up the whole rate, the books still get theirs stored.
// (Seen on a simulated day: for 35 s of submissions no rented machine was
// recorded, and so none rented after the first.)
func TestBooksAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewRateLimiter(protocol.StateSettings{WriteRPS: 40, TxnOps: 12}, 3)
		ctx := t.Context()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					p.wait(ctx, 4, UserPriority)
				}
			}
		}()
		start := time.Now()
		for range 10 {
			if err := p.wait(ctx, 2, BackgroundPriority); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > 15*time.Second {
			t.Errorf("20 changes of the books took %v beside a wave of users", took)
		}
		close(stop)
		synctest.Wait()
		time.Sleep(time.Minute)
		// With the rate unused again, a user need not wait for the books' changes.
		go p.wait(ctx, 12, BackgroundPriority)
		synctest.Wait()
		start = time.Now()
		p.wait(ctx, 1, UserPriority)
		if took := time.Since(start); took > 0 {
			t.Errorf("a user waited %v for the books", took)
		}
		time.Sleep(time.Minute)
	})
}

// While what is ordinary takes all that there is of the rate, a user's change does not
// wait, and a pressing one hardly. (On simulated days with 20 changes a second the placing
// of small tasks kept half of the submissions for more than 200 ms.)
func TestUsersDoNotWaitForTheBooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewRateLimiter(protocol.StateSettings{WriteRPS: 20, TxnOps: 12}, 3)
		ctx, cancel := context.WithCancel(t.Context())
		done := 0
		go func() {
			for p.wait(ctx, 4, BackgroundPriority) == nil {
				done += 4
			}
		}()
		time.Sleep(20 * time.Second)
		var user, pressing time.Duration
		for i := range 40 {
			time.Sleep(time.Second)
			level, longest := UserPriority, &user
			if i%2 == 1 {
				level, longest = UrgentPriority, &pressing
			}
			from := time.Now()
			p.wait(ctx, 1, level)
			*longest = max(*longest, time.Since(from))
		}
		if user > 20*time.Millisecond || pressing > 400*time.Millisecond {
			t.Errorf("a user's change waited up to %v, a pressing one up to %v", user, pressing)
		}
		if made := float64(done) / 60; made < 4 {
			t.Errorf("only %.1f ordinary changes a second of 6", made)
		}
		cancel()
	})
}

// A wave of pressing changes leaves the ordinary ones their least.
func TestOrdinaryChangesAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewRateLimiter(protocol.StateSettings{WriteRPS: 40, TxnOps: 12}, 3)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for p.wait(ctx, 4, UrgentPriority) == nil {
			}
		}()
		done := 0
		go func() {
			for p.wait(ctx, 2, BackgroundPriority) == nil {
				done += 2
			}
		}()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if done < 60 {
			t.Errorf("%d ordinary changes in a minute", done)
		}
	})
}
