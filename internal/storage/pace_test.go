package storage

import (
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
		p := NewPace(protocol.StateSettings{WriteRPS: 40, TxnOps: 12}, 3)
		ctx := t.Context()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					p.wait(ctx, 4, true)
				}
			}
		}()
		start := time.Now()
		for range 10 {
			if err := p.wait(ctx, 2, false); err != nil {
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
		go p.wait(ctx, 12, false)
		synctest.Wait()
		start = time.Now()
		p.wait(ctx, 1, true)
		if took := time.Since(start); took > 0 {
			t.Errorf("a user waited %v for the books", took)
		}
		time.Sleep(time.Minute)
	})
}
