package routing

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// SummaryTopic carries the summaries of services between regions. It
// implements exchange.RegionTopic.
type SummaryTopic struct {
	Router *Router
	Table  *SummaryTable
}

// Name implements exchange.RegionTopic.
func (*SummaryTopic) Name() string { return "sum" }

// waitUnit is the resolution of a wait on the wire.
const waitUnit = 10 * time.Millisecond

// errSummary is returned for a state that cannot be decoded.
var errSummary = errors.New("routing: malformed summary")

// RegionState implements exchange.RegionTopic. Numbers are rounded, so that
// small changes do not make a new state.
func (t *SummaryTopic) RegionState() []byte {
	services := t.Router.Registry.Services()
	slices.Sort(services)
	var state []byte
	for _, service := range services {
		s := t.Router.Summarize(service)
		state = binary.AppendUvarint(state, uint64(len(service)))
		state = append(state, service...)
		state = binary.AppendUvarint(state, uint64(s.Servers))
		state = binary.AppendUvarint(state, uint64(s.Slots))
		state = binary.AppendUvarint(state, round(uint64(s.FreeSlots)))
		state = binary.AppendUvarint(state, round(uint64(s.Wait/waitUnit)))
		state = binary.AppendUvarint(state, round(uint64(s.PrefillRate)))
	}
	return state
}

// round keeps the two leading digits.
func round(n uint64) uint64 {
	const twoDigits = 100
	unit := uint64(1)
	for n/unit >= twoDigits {
		unit *= 10
	}
	return n / unit * unit
}

// MergeRegion implements exchange.RegionTopic.
func (t *SummaryTopic) MergeRegion(region string, state []byte, age time.Duration) error {
	at := t.Router.now().Add(-age)
	for len(state) > 0 {
		summary := RegionSummary{Region: region, At: at}
		var err error
		if state, err = parseSummary(&summary, state); err != nil {
			return err
		}
		t.Table.Put(summary)
	}
	return nil
}

// parseSummary reads one summary and returns the rest of the state.
func parseSummary(s *RegionSummary, state []byte) ([]byte, error) {
	length, n := binary.Uvarint(state)
	if n <= 0 || length > uint64(len(state)-n) {
		return nil, errSummary
	}
	s.Service, state = string(state[n:n+int(length)]), state[n+int(length):]
	var numbers [5]uint64
	for i := range numbers {
		value, n := binary.Uvarint(state)
		if n <= 0 || value > math.MaxInt32 {
			return nil, errSummary
		}
		numbers[i], state = value, state[n:]
	}
	s.Servers, s.Slots, s.FreeSlots = int(numbers[0]), int(numbers[1]), int(numbers[2])
	s.Wait, s.PrefillRate = time.Duration(numbers[3])*waitUnit, float64(numbers[4])
	return state, nil
}
