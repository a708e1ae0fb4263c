// Command rig-2 plays one case of the review: rig-2 CASE ROOT RECORD TROUBLE. A TROUBLE of 0
// leaves the disruption out. It exits with 1 if the rule of the case was broken, with 0 if it
// held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(w func(zones map[string]string) *World, trouble bool) []string{}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig-2 CASE ROOT RECORD TROUBLE")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes too long") })
	var world *World
	broken := cases[os.Args[1]](func(zones map[string]string) *World {
		world = NewWorld(os.Args[2], os.Args[3], zones)
		return world
	}, os.Args[4] != "0")
	stopAll()
	for _, line := range broken[:min(len(broken), 20)] {
		fmt.Println(line)
		world.Record.Add("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		fmt.Printf("broken, %d times\n", len(broken))
		os.Exit(1)
	}
	fmt.Println("held")
}
