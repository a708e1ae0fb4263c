package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	maxMessageUpdates = 6 // in one message
	resendMultiplier  = 3 // transmissions of an update per bit of the region's size, so that their number grows with its log2
)

// gossipQueue holds the ids of members whose records are being gossiped. An
// update is built from the record when it is sent, so that it is current.
type gossipQueue struct {
	remaining map[string]int // transmissions left by member id
}

// push queues the record of a member for gossip in a region of regionSize
// instances, and restarts its count of transmissions.
func (q *gossipQueue) push(id string, regionSize int) {
	q.remaining[id] = resendMultiplier * bits.Len(uint(regionSize))
}

// nextBatch returns the ids for one message, those with the most remaining
// transmissions first, and counts one transmission of each.
func (q *gossipQueue) nextBatch() []string {
	if len(q.remaining) == 0 {
		return nil
	}
	ids := make([]string, 0, len(q.remaining))
	for id := range q.remaining {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.remaining[b], q.remaining[a]), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), maxMessageUpdates)]
	for _, id := range ids {
		if q.remaining[id]--; q.remaining[id] == 0 {
			delete(q.remaining, id)
		}
	}
	return ids
}
