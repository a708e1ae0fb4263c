// Package testlink is an in-memory transport for control messages with loss,
// delay, pauses and partitions, for tests in virtual time. It also counts the
// bytes that the messages would take on the wire.
package testlink

import (
	"context"
	"encoding/gob"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// callOverheadBytes is the size of a call over TLS without its arguments and its
// reply: net/rpc headers and TLS records in both directions.
const callOverheadBytes = 76

// maxDelayVariation limits a random addition to the delay of a message. It orders
// messages that would else arrive at the same instant.
const maxDelayVariation = 10 * time.Microsecond

// Link connects nodes. It also implements their instance directory.
type Link struct {
	mu         sync.Mutex
	seed       uint64
	random     *rand.Rand
	nodes      map[string]*Node // by control address
	meters     map[reflect.Type]*sizeMeter
	conditions Conditions
}

// Conditions holds the network conditions that a Link applies to messages.
type Conditions struct {
	Loss float64 // fraction of the messages that is lost
	// Delay is the one-way delay of a message.
	Delay time.Duration
	// Partitioned reports whether messages from one node to the other are
	// lost. It may be nil.
	Partitioned        func(from, to *Node) bool
	DirectoryAvailable bool // if false, the directory returns an empty list
}

// Node is the endpoint of an instance on a Link. It implements
// membership.Transport.
type Node struct {
	Instance    listing.Instance
	link        *Link
	services    map[string]reflect.Value
	pausedUntil time.Time             // the node is paused until then
	paths       map[string]*rand.Rand // random source of the messages to each other node, by its id
	down        bool
	calls       int
	bytes       int // sent and received
}

// New returns a link without nodes, with a delay of 1 ms and no loss. Its random
// sources have a fixed seed.
func New() *Link { return NewSeeded(2) }

// NewSeeded is like New with another seed of the random sources.
func NewSeeded(seed uint64) *Link {
	return &Link{
		seed:       seed,
		random:     rand.New(rand.NewPCG(1, seed)),
		nodes:      make(map[string]*Node),
		meters:     make(map[reflect.Type]*sizeMeter),
		conditions: Conditions{Delay: time.Millisecond, DirectoryAvailable: true},
	}
}

// UpdateConditions calls f to change the network conditions. They apply to
// messages that are sent later.
func (l *Link) UpdateConditions(f func(s *Conditions)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.conditions)
}

// Seed returns a new seed from the random source of the link.
func (l *Link) Seed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Uint64()
}

// Node returns a node that is not attached yet.
func (l *Link) Node(instance listing.Instance) *Node {
	return &Node{Instance: instance, link: l, services: make(map[string]reflect.Value), paths: make(map[string]*rand.Rand)}
}

// Attach adds the node to the link with its services by name. It replaces a node
// with the same control address.
func (n *Node) Attach(services map[string]any) {
	for name, service := range services {
		n.services[name] = reflect.ValueOf(service)
	}
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.link.nodes[n.Instance.ControlAddr] = n
}

// Kill stops a node for good: all messages from and to it are lost, and the
// directory does not list it.
func (n *Node) Kill() {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.down = true
}

// Pause holds back all messages from and to a node for d.
func (n *Node) Pause(d time.Duration) {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

// TakeCounters returns the number of calls that the node made and of bytes
// that it sent and received, and resets both to zero.
func (n *Node) TakeCounters() (calls, bytes int) {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	calls, bytes = n.calls, n.bytes
	n.calls, n.bytes = 0, 0
	return calls, bytes
}

// Instances implements membership.Directory.
func (l *Link) Instances(_ context.Context, region string) ([]listing.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed []listing.Instance
	for _, addr := range slices.Sorted(maps.Keys(l.nodes)) {
		n := l.nodes[addr]
		if l.conditions.DirectoryAvailable && !n.down && (region == "" || n.Instance.Region == region) {
			listed = append(listed, n.Instance)
		}
	}
	return listed, nil
}

// Call implements membership.Transport.
func (n *Node) Call(ctx context.Context, to listing.Instance, method string, args, reply any) error {
	target := n.link.startCall(n, to, args)
	if err := n.link.deliver(ctx, n, target); err != nil {
		return err
	}
	if to.ID != "" && to.ID != target.Instance.ID {
		return peer.ErrIdentity
	}
	if setter, ok := args.(peer.CallerSetter); ok {
		setter.SetCaller(peer.Identity{ID: n.Instance.ID, Region: n.Instance.Region})
	}
	response := reflect.New(reflect.TypeOf(reply).Elem())
	service, name, _ := strings.Cut(method, ".")
	results := make(chan []reflect.Value, 1)
	go func() {
		results <- target.services[service].MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), response})
	}()
	select {
	case result := <-results:
		if err, _ := result[0].Interface().(error); err != nil {
			return err
		}
	case <-ctx.Done():
		return n.timedOut(ctx)
	}
	n.link.endCall(n, target, response.Interface())
	if err := n.link.deliver(ctx, target, n); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(response.Elem())
	return nil
}

// startCall counts a call and the bytes of its arguments. It returns the target
// node, or nil if there is none at the address.
func (l *Link) startCall(from *Node, to listing.Instance, args any) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.nodes[to.ControlAddr]
	from.calls++
	l.addBytes(from, target, callOverheadBytes+l.size(args))
	return target
}

func (l *Link) endCall(from, to *Node, reply any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBytes(from, to, l.size(reply))
}

func (l *Link) addBytes(from, to *Node, bytes int) {
	from.bytes += bytes
	if to != nil {
		to.bytes += bytes
	}
}

// sizeMeter measures the encoded size of values of one type as on an established
// connection, where gob has already sent the description of the type.
type sizeMeter struct {
	enc  *gob.Encoder
	size int
}

// Write implements io.Writer.
func (m *sizeMeter) Write(p []byte) (int, error) {
	m.size += len(p)
	return len(p), nil
}

// size returns the size of a value encoded by gob. The caller holds the lock.
func (l *Link) size(value any) int {
	valueType := reflect.TypeOf(value)
	m := l.meters[valueType]
	if m == nil {
		m = &sizeMeter{}
		m.enc = gob.NewEncoder(m)
		l.meters[valueType] = m
		_ = m.enc.Encode(value)
	}
	m.size = 0
	_ = m.enc.Encode(value)
	return m.size
}

// path returns the random source of the messages from one node to another. Each
// path has its own, so that what happens on it does not depend on the order in which
// goroutines send on other paths at the same time.
func (l *Link) path(from, to *Node) *rand.Rand {
	id := to.Instance.ID
	if from.paths[id] == nil {
		from.paths[id] = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(from.Instance.ID+"\x00"+id)))
	}
	return from.paths[id]
}

// deliver delays one message. A lost message is delayed for an hour, so that the
// timeout of ctx ends it.
func (l *Link) deliver(ctx context.Context, from, to *Node) error {
	l.mu.Lock()
	lost := to == nil || to.down || from.down
	delay := max(l.conditions.Delay, time.Until(from.pausedUntil))
	if to != nil {
		path := l.path(from, to)
		lost = path.Float64() < l.conditions.Loss || lost || l.conditions.Partitioned != nil && l.conditions.Partitioned(from, to)
		delay = max(delay, time.Until(to.pausedUntil)) + time.Duration(path.Int64N(int64(maxDelayVariation)))
	}
	l.mu.Unlock()
	if lost {
		delay = time.Hour
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
	}
	return from.timedOut(ctx)
}

// timedOut returns the error of a call whose ctx has ended. A paused process
// observes its timeouts only after the pause.
func (n *Node) timedOut(ctx context.Context) error {
	n.link.mu.Lock()
	pauseLeft := time.Until(n.pausedUntil)
	n.link.mu.Unlock()
	time.Sleep(pauseLeft)
	return errors.Wrapf(ctx.Err(), "deliver message from %s", n.Instance.ID)
}
