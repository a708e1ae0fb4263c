// Package testlink is an in-memory transport for control messages with loss,
// delay, pauses and partitions, for tests under virtual time. It also counts
// what the messages would cost on the wire.
package testlink

import (
	"context"
	"encoding/gob"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/peer"
)

// callOverheadBytes are the bytes of a call under TLS beside the arguments and
// the reply: headers of net/rpc and records of TLS, both directions.
const callOverheadBytes = 76

// Link connects nodes. It is also their directory.
type Link struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*Node // by control address
	meters map[reflect.Type]*meter
	state  State
}

// State is what a Link does to messages.
type State struct {
	Loss   float64 // part of the messages that is lost
	Delay  time.Duration
	Cut    func(from, to *Node) bool
	Listed bool // the directory answers
}

// Node is an instance on a Link. It implements the transport of its instance.
type Node struct {
	Instance listing.Instance
	link     *Link
	services map[string]reflect.Value
	resume   time.Time // paused until then
	down     bool
	calls    int
	bytes    int // sent and received
}

// New returns a link without nodes.
func New() *Link {
	return &Link{
		random: rand.New(rand.NewPCG(1, 2)),
		nodes:  make(map[string]*Node),
		meters: make(map[reflect.Type]*meter),
		state:  State{Delay: time.Millisecond, Listed: true},
	}
}

// Set changes the state.
func (l *Link) Set(f func(s *State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.state)
}

// Seed returns a seed for a random source.
func (l *Link) Seed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Uint64()
}

// Node returns a node that is not yet attached.
func (l *Link) Node(instance listing.Instance) *Node {
	return &Node{Instance: instance, link: l, services: make(map[string]reflect.Value)}
}

// Attach connects a node with its services by name, in place of the node that
// had its address.
func (n *Node) Attach(services map[string]any) {
	for name, service := range services {
		n.services[name] = reflect.ValueOf(service)
	}
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.link.nodes[n.Instance.ControlAddr] = n
}

// Kill makes a node silent for ever.
func (n *Node) Kill() {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.down = true
}

// Pause stops the messages of a node for a while.
func (n *Node) Pause(d time.Duration) {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.resume = time.Now().Add(d)
}

// Cost returns the calls that the node made and the bytes that it sent and
// received since the last Cost.
func (n *Node) Cost() (calls, bytes int) {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	calls, bytes = n.calls, n.bytes
	n.calls, n.bytes = 0, 0
	return calls, bytes
}

// Instances implements the directory.
func (l *Link) Instances(_ context.Context, region string) ([]listing.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed []listing.Instance
	for _, n := range l.nodes {
		if l.state.Listed && !n.down && (region == "" || n.Instance.Region == region) {
			listed = append(listed, n.Instance)
		}
	}
	return listed, nil
}

// Call implements the transport.
func (n *Node) Call(ctx context.Context, to listing.Instance, method string, args, reply any) error {
	target := n.link.begin(n, to, args)
	if err := n.link.pass(ctx, n, target); err != nil {
		return err
	}
	if to.ID != "" && to.ID != target.Instance.ID {
		return peer.ErrIdentity
	}
	if setter, ok := args.(peer.CallerSetter); ok {
		setter.SetCaller(peer.Identity{ID: n.Instance.ID, Region: n.Instance.Region})
	}
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	service, name, _ := strings.Cut(method, ".")
	result := target.services[service].MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), answer})
	if err, _ := result[0].Interface().(error); err != nil {
		return err
	}
	n.link.end(n, target, answer.Interface())
	if err := n.link.pass(ctx, target, n); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(answer.Elem())
	return nil
}

// begin counts a call and returns its target, or nil.
func (l *Link) begin(from *Node, to listing.Instance, args any) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.nodes[to.ControlAddr]
	from.calls++
	l.charge(from, target, callOverheadBytes+l.size(args))
	return target
}

func (l *Link) end(from, to *Node, reply any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charge(from, to, l.size(reply))
}

func (l *Link) charge(from, to *Node, bytes int) {
	from.bytes += bytes
	if to != nil {
		to.bytes += bytes
	}
}

// meter measures values of a type as a connection in use does: the type's
// description is sent once only.
type meter struct {
	enc  *gob.Encoder
	size int
}

// Write implements io.Writer.
func (m *meter) Write(p []byte) (int, error) {
	m.size += len(p)
	return len(p), nil
}

// size returns the length of a value in gob. The caller holds the lock.
func (l *Link) size(value any) int {
	kind := reflect.TypeOf(value)
	m := l.meters[kind]
	if m == nil {
		m = &meter{}
		m.enc = gob.NewEncoder(m)
		l.meters[kind] = m
		_ = m.enc.Encode(value)
	}
	m.size = 0
	_ = m.enc.Encode(value)
	return m.size
}

// pass carries one message, or loses it.
func (l *Link) pass(ctx context.Context, from, to *Node) error {
	l.mu.Lock()
	lost := to == nil || to.down || from.down || l.random.Float64() < l.state.Loss || l.state.Cut != nil && l.state.Cut(from, to)
	delay := max(l.state.Delay, time.Until(from.resume))
	if to != nil {
		delay = max(delay, time.Until(to.resume))
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
	// A paused process learns of its timeouts only when it wakes.
	l.mu.Lock()
	asleep := time.Until(from.resume)
	l.mu.Unlock()
	time.Sleep(asleep)
	return errors.Wrap(ctx.Err(), "link")
}
