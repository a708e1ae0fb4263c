package budget_test

import (
	"fmt"

	"github.com/fuchsiastack/fuchsiastack/store/budget"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

// Each instance wraps its client of the service; members is the number of
// instances that share the budget.
func Example() {
	members := func() int { return 350 }
	limited := budget.New(consul.New("http://127.0.0.1:8500"), budget.DefaultLimits(), members)
	fmt.Println(limited.Counts().Calls)
	// Output: 0
}
