package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	maxUpdates       = 6 // on one message
	resendMultiplier = 3 // transmissions of an update, times log2 of the region's size
)

// queue holds the ids of members whose news is still spread, with the number
// of transmissions left. The news itself is read when it is sent.
type queue struct {
	left map[string]int
}

// push starts to spread the news of a member among n instances.
func (q *queue) push(id string, n int) {
	q.left[id] = resendMultiplier * bits.Len(uint(n))
}

// pop returns the ids for one message, the newest news first.
func (q *queue) pop() []string {
	if len(q.left) == 0 {
		return nil
	}
	ids := make([]string, 0, len(q.left))
	for id := range q.left {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.left[b], q.left[a]), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), maxUpdates)]
	for _, id := range ids {
		if q.left[id]--; q.left[id] == 0 {
			delete(q.left, id)
		}
	}
	return ids
}
