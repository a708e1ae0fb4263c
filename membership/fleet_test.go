package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// node is an instance connected to a testlink.Link.
type node struct {
	*testlink.Node
	stateMachine *membership.StateMachine
	runner       *membership.Runner
	cancel       context.CancelFunc
	mu           sync.Mutex
	terminated   []string
	lifecycle    []string          // starts and ends of processes, in the order in which the views and OnTerminated showed them
	generations  map[string]uint64 // of the members of the last view, by id
}

// newNode returns an instance that answers calls, but makes none until its runner
// runs.
func newNode(l *testlink.Link, id, region, zone, addr string) *node {
	instance := listing.Instance{ID: id, Region: region, Zone: zone, ControlAddr: addr, URL: "http://" + addr + "0", PeerAddr: addr + "1"}
	self := membership.Member{Instance: instance, Generation: uint64(time.Now().UnixNano()), Serving: true}
	n := &node{
		Node: l.Node(instance), stateMachine: membership.NewStateMachine(self, rand.New(rand.NewPCG(l.Seed(), 3))),
		generations: make(map[string]uint64),
	}
	n.stateMachine.OnTerminated(func(id string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.terminated = append(n.terminated, id)
		n.lifecycle = append(n.lifecycle, "end "+id)
	})
	n.stateMachine.OnChange(n.recordStarts)
	n.runner = membership.NewRunner(n.stateMachine, n, l, nil, 10*time.Second)
	n.Attach(map[string]any{membership.ServiceName: n.runner.Service()})
	return n
}

// start runs an instance until ctx ends.
func start(ctx context.Context, l *testlink.Link, id, region, zone, addr string) *node {
	n := newNode(l, id, region, zone, addr)
	ctx, n.cancel = context.WithCancel(ctx)
	go n.runner.Run(ctx)
	return n
}

// startRegion runs count instances, distributed evenly over zones of a region.
func startRegion(ctx context.Context, l *testlink.Link, region string, zones, count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		id := fmt.Sprintf("%s-%d", region, i)
		nodes[i] = start(ctx, l, id, region, fmt.Sprintf("%s-%d", region, i%zones), id+":1")
	}
	return nodes
}

// kill ends a node without an announcement, as a crash does.
func (n *node) kill() {
	n.Kill()
	n.cancel()
}

// hasServing reports whether the node's view has another instance id that takes
// new work.
func (n *node) hasServing(id string) bool {
	for _, other := range n.stateMachine.View().ServingPeers() {
		if other.ID == id {
			return true
		}
	}
	return false
}

func (n *node) recordStarts(view *membership.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, region := range view.Regions() {
		for _, member := range view.Members(region) {
			if id := member.Instance.ID; n.generations[id] != member.Generation {
				n.generations[id] = member.Generation
				n.lifecycle = append(n.lifecycle, "start "+id)
			}
		}
	}
}

// lifecycleOf returns the starts and ends of processes with the given ids that the
// node has seen, in order.
func (n *node) lifecycleOf(ids ...string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var events []string
	for _, event := range n.lifecycle {
		if _, id, _ := strings.Cut(event, " "); slices.Contains(ids, id) {
			events = append(events, event)
		}
	}
	return events
}

// terminatedIDs returns the ids reported to OnTerminated of the node, in order.
func (n *node) terminatedIDs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.terminated...)
}

// servingCount returns the number of instances that take new work in the node's
// view, counting the node itself in any case.
func (n *node) servingCount() int { return len(n.stateMachine.View().ServingPeers()) + 1 }
