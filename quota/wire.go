package quota

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxOrganizations bounds the organizations of a message.
	MaxOrganizations = 256
	// recordBytes is the size of a record: key of the organization, recent spending of the
	// region and of other regions.
	recordBytes = 16
	// maxCovered bounds the instances of a region.
	maxCovered = 1 << 12
	// maxSpending bounds the recent spending in a message.
	maxSpending = 1e15
	// minReported is the least recent spending that is reported, in units.
	minReported = 0.5
)

// Spending is the recent spending for an organization.
type Spending struct {
	Region float64 // by instances of the sender's region
	Remote float64 // by other regions; only for members of the sender's cell
}

// Message reports recent spending by key of the organization.
type Message struct {
	Process  uint64  // of the sender
	Covered  int     // instances of the region whose spending it contains
	Settled  bool    // the sender has known what others spend for a while
	Silent   float64 // part of the instances that are in regions from which it hears nothing
	Partial  bool    // organizations are missing, as there are more than MaxOrganizations
	Spending map[uint64]Spending
}

type messageFile struct {
	Process  uint64  `json:"process"`
	Covered  int     `json:"covered"`
	Settled  bool    `json:"settled,omitempty"`
	Silent   float64 `json:"silent,omitempty"`
	Partial  bool    `json:"partial,omitempty"`
	Spending []byte  `json:"spending,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (m *Message) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, len(m.Spending)*recordBytes)
	for key, s := range m.Spending {
		data = binary.LittleEndian.AppendUint64(data, key)
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(s.Region)))
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(s.Remote)))
	}
	return json.Marshal(messageFile{m.Process, m.Covered, m.Settled, m.Silent, m.Partial, data})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Message) UnmarshalJSON(text []byte) error {
	var file messageFile
	if err := json.Unmarshal(text, &file); err != nil {
		return errors.Wrap(err, "decode quota message")
	}
	data := file.Spending
	switch {
	case len(data)%recordBytes != 0:
		return errors.Errorf("decode quota message: length of %d bytes is not a multiple of %d", len(data), recordBytes)
	case len(data) > MaxOrganizations*recordBytes:
		return errors.Errorf("decode quota message: %d organizations, limit %d", len(data)/recordBytes, MaxOrganizations)
	case !(file.Silent >= 0 && file.Silent <= 1):
		return errors.Errorf("decode quota message: silent part %v, want 0 to 1", file.Silent)
	case file.Covered < 0 || file.Covered > maxCovered:
		return errors.Errorf("decode quota message: %d instances, limit %d", file.Covered, maxCovered)
	}
	*m = Message{file.Process, file.Covered, file.Settled, file.Silent, file.Partial, make(map[uint64]Spending, len(data)/recordBytes)}
	for ; len(data) > 0; data = data[recordBytes:] {
		s := Spending{decodeUnits(data[8:]), decodeUnits(data[12:])}
		if !(math.Abs(s.Region) <= maxSpending && math.Abs(s.Remote) <= maxSpending) {
			return errors.Errorf("decode quota message: spending %v and %v, limit %v", s.Region, s.Remote, maxSpending)
		}
		m.Spending[binary.LittleEndian.Uint64(data)] = s
	}
	return nil
}

func decodeUnits(data []byte) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(data)))
}

// Report returns what this instance tells an instance to which it has the given role:
// a Member its own spending, a Collector that of its cell, an Upstream what all others
// but that member spend, and Remote that of the region. It returns nil while this
// instance does not know enough to speak for others.
func (l *Limiter) Report(now time.Time, role Role, to string) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := l.accounts.Load()
	if len(set.byKey) == 0 || role != Member && now.Sub(l.started) < warmupTime {
		return nil
	}
	m := &Message{Process: l.process, Covered: 1, Spending: make(map[uint64]Spending)}
	var sources []*source
	for key, s := range l.sources {
		include := role != Member && key.role == Member || (role == Upstream || role == Remote) && key.role == Collector
		if include && !s.silent(now, key.role) && (role != Upstream || key.id != to) {
			sources = append(sources, s)
			m.Covered += s.covered
		}
	}
	v := l.view(now)
	m.Silent = v.remoteSilent
	if v.upstream != nil {
		m.Silent = v.upstream.remoteSilent
	}
	m.Settled = now.Sub(l.unsettled) > settleTime
	v.region = sources
	v.missing = 0
	if role == Remote {
		v.missing = max(l.members.Own-m.Covered, 0)
	}
	ranks := make(map[uint64]float64)
	for key, a := range set.byKey {
		a.mu.Lock()
		s := v.of(a, key)
		s.Region += a.own
		rate := a.quota.Rate
		a.mu.Unlock()
		if role != Upstream {
			s.Remote = 0
		}
		if math.Abs(s.Region)+math.Abs(s.Remote) >= minReported {
			m.Spending[key] = s
			ranks[key] = (math.Abs(s.Region) + math.Abs(s.Remote)) / rate
		}
	}
	l.limit(m, ranks)
	return m
}

// limit reduces a message to MaxOrganizations: half of them those with the highest
// spending in proportion to their quota, and in turn some of the others, which have room.
func (l *Limiter) limit(m *Message, ranks map[uint64]float64) {
	if len(ranks) <= MaxOrganizations {
		return
	}
	keys := make([]uint64, 0, len(ranks))
	for key := range ranks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b)) })
	const fixed = MaxOrganizations / 2
	others := keys[fixed:]
	slices.Sort(others)
	l.rotated %= len(others)
	kept := MaxOrganizations - fixed
	for position, key := range others {
		if (position-l.rotated+len(others))%len(others) >= kept {
			delete(m.Spending, key)
		}
	}
	l.rotated += kept
	m.Partial = true
}
