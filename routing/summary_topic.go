package routing

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// SummaryTopic encodes the summaries of this region for other regions and stores
// those that it receives. It implements exchange.RegionTopic.
type SummaryTopic struct {
	Router *Router       // source of the summaries of this region
	Table  *SummaryTable // receives the summaries of other regions
}

// Name implements exchange.RegionTopic.
func (*SummaryTopic) Name() string { return "sum" }

// waitUnit is the unit of RegionSummary.Wait in the encoded state.
const waitUnit = 10 * time.Millisecond

// errMalformedSummary is returned for a state that is truncated or has a number out
// of range.
var errMalformedSummary = errors.New("routing: decode region summary: truncated or number out of range")

// RegionState implements exchange.RegionTopic. Free slots, waits and prefill rates
// are rounded so that small changes do not produce a new state.
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
		state = binary.AppendUvarint(state, roundToTwoDigits(uint64(s.FreeSlots)))
		state = binary.AppendUvarint(state, roundToTwoDigits(uint64(s.Wait/waitUnit)))
		state = binary.AppendUvarint(state, roundToTwoDigits(uint64(s.PrefillRate)))
	}
	return state
}

// roundToTwoDigits rounds n down to its two leading digits.
func roundToTwoDigits(n uint64) uint64 {
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

// parseSummary decodes one summary into s and returns the rest of the state.
func parseSummary(s *RegionSummary, state []byte) ([]byte, error) {
	length, n := binary.Uvarint(state)
	if n <= 0 || length > uint64(len(state)-n) {
		return nil, errMalformedSummary
	}
	s.Service, state = string(state[n:n+int(length)]), state[n+int(length):]
	var numbers [5]uint64
	for i := range numbers {
		value, n := binary.Uvarint(state)
		if n <= 0 || value > math.MaxInt32 {
			return nil, errMalformedSummary
		}
		numbers[i], state = value, state[n:]
	}
	s.Servers, s.Slots, s.FreeSlots = int(numbers[0]), int(numbers[1]), int(numbers[2])
	s.Wait, s.PrefillRate = time.Duration(numbers[3])*waitUnit, float64(numbers[4])
	return state, nil
}
