package node

import (
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/storage"
)

// Counts changes of the state service by their purpose. The rate of changes is the scarcest
// resource of the system.

// changePurpose is what a change is made for.
type changePurpose uint8

const (
	forOther         changePurpose = iota // partitions, nodes, settings, accounts, tickets
	forSubmissions                        // submissions
	forCancellations                      // cancellations
	forStarts                             // placements, and losses of tasks
	forJobEnds                            // ends of jobs
	forTaskEnds                           // ends of single tasks of arrays
	forMachines                           // machines rented, booted or gone
	forMoves                              // machines moved to other partitions
	forCompaction                         // compaction of entries into records, and removal of what ended jobs left
	purposeCount
)

var purposeNames = [purposeCount]string{"others", "accepts", "cancels", "starts", "ends", "facts", "machines", "moves", "folds"}

// changeCounts counts changes by purpose. Any goroutine may add to it.
type changeCounts struct {
	counts     [purposeCount]atomic.Int64
	lastLogged [purposeCount]int64 // counts when they were last logged
}

func (c *changeCounts) add(op *storage.Op) {
	c.counts[min(changePurpose(op.Purpose), purposeCount-1)].Add(int64(len(op.Writes)))
}

// logChangeCounts logs the number of changes by purpose since it was last called.
func (n *Node) logChangeCounts(since time.Duration) {
	args := []any{"per_s", roundToTenth(n.rateLimiter.PerSecond())}
	total := int64(0)
	for i, name := range purposeNames {
		count := n.changeCounts.counts[i].Load()
		added := count - n.changeCounts.lastLogged[i]
		n.changeCounts.lastLogged[i] = count
		args = append(args, name, added)
		total += added
		n.metrics.changes.WithLabelValues(name).Add(float64(added))
	}
	n.log.Info("changes", append(args, "made_per_s", roundToTenth(float64(total)/since.Seconds()))...)
}

// purposeOf is the purpose of storing a job, by the urgency of that.
var purposeOf = [...]changePurpose{storeEnd: forJobEnds, storeUrgentStart: forStarts, storeStart: forStarts, storeOutcomes: forTaskEnds}
