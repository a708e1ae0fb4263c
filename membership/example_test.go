package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// ExampleStateMachine shows an instance that receives the record of another one, and
// later the update that the other one has left.
func ExampleStateMachine() {
	self := membership.Member{Instance: listing.Instance{ID: "a", Region: "cairo"}, Generation: 1, Serving: true}
	stateMachine := membership.NewStateMachine(self, rand.New(rand.NewPCG(1, 2)))
	stateMachine.OnTerminated(func(id string) { fmt.Println("terminated", id) })

	other := membership.Member{Instance: listing.Instance{ID: "b", Region: "cairo"}, Generation: 5, Serving: true}
	now := time.Now()
	stateMachine.Merge(now, membership.Message{Updates: []membership.Update{{ID: "b", Region: "cairo", Incarnation: 5, Member: &other}}})
	fmt.Println(len(stateMachine.View().ServingPeers()), "other")
	stateMachine.Merge(now, membership.Message{Updates: []membership.Update{{ID: "b", Region: "cairo", Incarnation: 6, State: membership.Left}}})
	fmt.Println(len(stateMachine.View().ServingPeers()), "others")
	// Output:
	// 1 other
	// terminated b
	// 0 others
}
