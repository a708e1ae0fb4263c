package entry

import (
	"sync"

	"github.com/go-faster/errors"
)

// loadStepPercent is the resolution of a load on the wire. Only changed states
// are sent, and a smaller change does not justify a message.
const loadStepPercent = 5

const maxLoadPercent = 100

// errMalformedLoad is returned for the state of a peer that cannot be decoded.
var errMalformedLoad = errors.New("entry: decode load: state is not one byte from 0 to 100")

// Loads holds the load of each instance of a region: the fraction of its
// capacity in use. It implements exchange.Topic and is safe for concurrent use.
type Loads struct {
	// Self is the id of this instance.
	Self string
	// LocalLoad returns the load of this instance. State limits it to 0..1.
	LocalLoad func() float64

	mu       sync.Mutex
	reported map[string]byte // by instance, in percent
}

// Name implements exchange.Topic.
func (*Loads) Name() string { return "entry" }

// State implements exchange.Topic. The state is one byte, the load in percent.
func (l *Loads) State() []byte {
	percent := int(min(max(l.LocalLoad(), 0), 1)*maxLoadPercent + loadStepPercent/2.0)
	return []byte{byte(percent / loadStepPercent * loadStepPercent)}
}

// Merge implements exchange.Topic.
func (l *Loads) Merge(instance string, state []byte) error {
	if len(state) != 1 || state[0] > maxLoadPercent {
		return errMalformedLoad
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported == nil {
		l.reported = make(map[string]byte)
	}
	l.reported[instance] = state[0]
	return nil
}

// Forget implements exchange.Topic.
func (l *Loads) Forget(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reported, instance)
}

// Of returns the load of an instance, and whether it is known.
func (l *Loads) Of(id string) (float64, bool) {
	if id == l.Self {
		return l.LocalLoad(), true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	percent, ok := l.reported[id]
	return float64(percent) / maxLoadPercent, ok
}
