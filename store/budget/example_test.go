package budget_test

import (
	"fmt"

	"github.com/fuchsiastack/fuchsiastack/store/budget"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

// Example wraps the client of one instance. instanceCount returns the number of
// instances that share the limits.
func Example() {
	instanceCount := func() int { return 350 }
	limited := budget.New(consul.New("http://127.0.0.1:8500"), budget.DefaultLimits(), instanceCount)
	fmt.Println(limited.Counts().Calls)
	// Output: 0
}
