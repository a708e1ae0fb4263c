package overload_test

import (
	"fmt"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/overload"
)

func ExampleGuard() {
	guard := overload.NewGuard(overload.Limits{InFlight: 5})
	for range 5 {
		guard.StartRequest()
	}
	fmt.Println("batch:", guard.Check(catalog.Batch))
	fmt.Printf("urgent: %q\n", guard.Check(catalog.Urgent))
	fmt.Println("next:", guard.StartRequest())
	// Output:
	// batch: in_flight
	// urgent: ""
	// next: in_flight
}
