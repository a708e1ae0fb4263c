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
	machine := membership.NewStateMachine(self, rand.New(rand.NewPCG(1, 2)))
	machine.OnTerminated(func(id string) { fmt.Println("terminated", id) })

	other := membership.Member{Instance: listing.Instance{ID: "b", Region: "cairo"}, Generation: 5, Serving: true}
	now := time.Now()
	machine.Merge(now, membership.Message{Updates: []membership.Update{{ID: "b", Region: "cairo", Incarnation: 5, Member: &other}}})
	fmt.Println(len(machine.View().ServingPeers()), "other")
	machine.Merge(now, membership.Message{Updates: []membership.Update{{ID: "b", Region: "cairo", Incarnation: 6, State: membership.Left}}})
	fmt.Println(len(machine.View().ServingPeers()), "others")
	// Output:
	// 1 other
	// terminated b
	// 0 others
}
