package entry

import (
	"sync"

	"github.com/go-faster/errors"
)

// loadStep is the resolution of a load on the wire, in percent. Smaller changes
// are not worth a message.
const loadStep = 5

const maxLoadPercent = 100

// errLoad is a load that cannot be decoded.
var errLoad = errors.New("entry: malformed load")

// Loads holds the load of the instances of a region. It is an exchange.Topic
// and is safe for concurrent use.
type Loads struct {
	// Self is the id of this instance.
	Self string
	// Own returns the part of this instance's capacity in use.
	Own func() float64

	mu   sync.Mutex
	told map[string]byte // by instance, in percent
}

// Name implements exchange.Topic.
func (*Loads) Name() string { return "entry" }

// State implements exchange.Topic.
func (l *Loads) State() []byte {
	percent := int(min(max(l.Own(), 0), 1)*maxLoadPercent + loadStep/2.0)
	return []byte{byte(percent / loadStep * loadStep)}
}

// Merge implements exchange.Topic.
func (l *Loads) Merge(instance string, state []byte) error {
	if len(state) != 1 || state[0] > maxLoadPercent {
		return errLoad
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		l.told = make(map[string]byte)
	}
	l.told[instance] = state[0]
	return nil
}

// Forget implements exchange.Topic.
func (l *Loads) Forget(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.told, instance)
}

// Of returns the load of an instance, and whether it is known.
func (l *Loads) Of(id string) (float64, bool) {
	if id == l.Self {
		return l.Own(), true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	percent, ok := l.told[id]
	return float64(percent) / maxLoadPercent, ok
}
