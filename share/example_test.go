package share_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/share"
)

func ExampleTable() {
	now := time.Unix(1000, 0)
	member := func(name string) *share.Table {
		config := share.DefaultConfig("limits", name)
		config.Clock = func() time.Time { return now }
		t := share.NewTable(config)
		t.SetMembers([]string{"entry-a", "entry-b"})
		return t
	}
	a, b := member("entry-a"), member("entry-b")
	now = now.Add(10 * time.Second)
	key := share.KeyOf("drafting-desk", "nile-press")
	a.SetDemand(key, share.NewDemand(2))
	fmt.Println(a.Fraction(key), b.Fraction(key))
	for range 2 {
		_ = b.Merge("entry-a", a.State())
		_ = a.Merge("entry-b", b.State())
	}
	fmt.Println(a.Fraction(key), b.Fraction(key))
	// Output:
	// 0.5 0.5
	// 0.875 0.125
}
