package node

import (
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/storage"
)

// Where the state service's changes go, by what they are for: they are what there is
// least of.

// changePurpose is what a change is for.
type changePurpose uint8

const (
	forOther         changePurpose = iota // shares, nodes, settings, accounts, tickets
	forSubmissions                        // submissions
	forCancellations                      // cancellations
	forStarts                             // placements, and tasks that were lost
	forJobEnds                            // ends of jobs
	forTaskEnds                           // ends of single tasks of arrays
	forMachines                           // machines rented, up, gone
	forMoves                              // machines handed to other shares
	forCompaction                         // what entries told of jobs, in records of their own; what ended jobs left
	spendings
)

var spendingNames = [spendings]string{"others", "accepts", "cancels", "starts", "ends", "facts", "machines", "moves", "folds"}

// spent counts changes by what they are for; any routine may add.
type changeCounts struct {
	now  [spendings]atomic.Int64
	said [spendings]int64 // as last logged
}

func (s *changeCounts) add(op *storage.Op) {
	s.now[min(changePurpose(op.Purpose), spendings-1)].Add(int64(len(op.Writes)))
}

// logChangeCounts logs where the changes went since it was last said.
func (n *Node) logChangeCounts(since time.Duration) {
	args := []any{"per_s", roundToTenth(n.rateLimiter.PerSecond())}
	total := int64(0)
	for i, name := range spendingNames {
		now := n.changeCounts.now[i].Load()
		more := now - n.changeCounts.said[i]
		n.changeCounts.said[i] = now
		args = append(args, name, more)
		total += more
		n.metrics.changes.WithLabelValues(name).Add(float64(more))
	}
	n.log.Info("changes", append(args, "made_per_s", roundToTenth(float64(total)/since.Seconds()))...)
}

// purposeOf is what storing a job is for, by how urgent that is.
var purposeOf = [...]changePurpose{storeEnd: forJobEnds, storeUrgentStart: forStarts, storeStart: forStarts, storeOutcomes: forTaskEnds}
