package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/peer"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// link is an in-memory transport with loss, delay, pauses and partitions. It
// is also the directory.
type link struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*node // by control address
	loss   float64          // of each message
	delay  time.Duration
	cut    func(from, to *node) bool
	calls  int
	listed bool // the directory answers
}

// node is an instance on a link.
type node struct {
	link    *link
	self    membership.Member
	machine *membership.Machine
	runner  *membership.Runner
	cancel  context.CancelFunc
	resume  time.Time // paused until then
	down    bool
	forgot  []string
}

func newLink() *link {
	return &link{random: rand.New(rand.NewPCG(1, 2)), nodes: make(map[string]*node), delay: time.Millisecond, listed: true}
}

// start runs an instance until ctx ends. seed is a control address or "".
func (l *link) start(ctx context.Context, id, region, zone, addr string) *node {
	self := membership.Member{
		Instance: platform.Instance{
			ID: id, Region: region, Zone: zone, ControlAddr: addr,
			URL: "http://" + addr + "0", PeerAddr: addr + "1",
		},
		Generation: uint64(time.Now().UnixNano()),
		Serving:    true,
	}
	l.mu.Lock()
	n := &node{link: l, self: self, machine: membership.NewMachine(self, rand.New(rand.NewPCG(l.random.Uint64(), 3)))}
	l.mu.Unlock()
	n.machine.OnForget(func(id string) { l.set(func() { n.forgot = append(n.forgot, id) }) })
	n.runner = membership.NewRunner(n.machine, n, l, nil, 10*time.Second)
	ctx, n.cancel = context.WithCancel(ctx)
	l.set(func() { l.nodes[addr] = n })
	go n.runner.Run(ctx)
	return n
}

// startRegion runs count instances spread over zones of a region.
func (l *link) startRegion(ctx context.Context, region string, zones, count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		id := fmt.Sprintf("%s-%d", region, i)
		nodes[i] = l.start(ctx, id, region, fmt.Sprintf("%s-%d", region, i%zones), id+":1")
	}
	return nodes
}

// Instances implements membership.Directory.
func (l *link) Instances(_ context.Context, region string) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed []platform.Instance
	for _, n := range l.nodes {
		if l.listed && !n.down && (region == "" || n.self.Instance.Region == region) {
			listed = append(listed, n.self.Instance)
		}
	}
	return listed, nil
}

// set changes the link or a node on it.
func (l *link) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// kill ends a node without a word.
func (n *node) kill() {
	n.link.set(func() { n.down = true })
	n.cancel()
}

func (n *node) pause(d time.Duration) {
	n.link.set(func() { n.resume = time.Now().Add(d) })
}

// knows reports whether the node's view holds an instance that takes work.
func (n *node) knows(id string) bool {
	for _, other := range n.machine.View().Others() {
		if other.ID == id {
			return true
		}
	}
	return false
}

// forgotten returns the ids that the node has forgotten.
func (n *node) forgotten() (ids []string) {
	n.link.set(func() { ids = append(ids, n.forgot...) })
	return ids
}

func (n *node) size() int { return len(n.machine.View().Others()) + 1 }

// Call implements membership.Transport.
func (n *node) Call(ctx context.Context, to platform.Instance, method string, args, reply any) error {
	n.link.mu.Lock()
	n.link.calls++
	target := n.link.nodes[to.ControlAddr]
	n.link.mu.Unlock()
	if err := n.link.pass(ctx, n, target); err != nil {
		return err
	}
	if to.ID != "" && to.ID != target.self.Instance.ID {
		return peer.ErrIdentity
	}
	if setter, ok := args.(peer.CallerSetter); ok {
		setter.SetCaller(peer.Identity{ID: n.self.Instance.ID, Region: n.self.Instance.Region})
	}
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	name := strings.TrimPrefix(method, membership.ServiceName+".")
	result := reflect.ValueOf(target.runner.Service()).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), answer})
	if err, _ := result[0].Interface().(error); err != nil {
		return err
	}
	if err := n.link.pass(ctx, target, n); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(answer.Elem())
	return nil
}

// pass carries one message, or loses it.
func (l *link) pass(ctx context.Context, from, to *node) error {
	l.mu.Lock()
	lost := to == nil || to.down || from.down || l.random.Float64() < l.loss || l.cut != nil && l.cut(from, to)
	delay := l.delay
	for _, n := range []*node{from, to} {
		if n != nil {
			delay = max(delay, time.Until(n.resume))
		}
	}
	l.mu.Unlock()
	if lost {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
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
