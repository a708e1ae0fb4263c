package collector_test

import (
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/collector"
)

func Example() {
	instances := []string{"entry-1", "entry-2", "entry-3"}
	now := time.Now()
	hub := &collector.Hub{TTL: time.Second} // of the collector that Select chooses
	hub.Report(now, collector.Member, "entry-2", collector.Work{42: {900, 0}})
	hub.Report(now, collector.Member, "entry-3", collector.Work{42: {100, 500}})
	fmt.Println(len(collector.Select(instances)), hub.OthersWork(now, nil, "entry-2")[42])
	// Output: 1 [100 500]
}
