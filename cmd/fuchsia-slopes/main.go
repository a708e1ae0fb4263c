// Command fuchsia-slopes measures how the load of control traffic on an instance
// and on the platform grows with the size of the fleet. It runs the stand-ins
// and real fuchsiad processes on loopback with mutual TLS and prints a table.
//
//	go build -o /tmp/bin ./cmd/... && PATH=/tmp/bin:$PATH fuchsia-slopes
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/internal/climain"
)

func main() { climain.Run(command()) }

func command() *cli.Command {
	var phase time.Duration
	return &cli.Command{
		Name:  "fuchsia-slopes",
		Usage: "measure the cost of control traffic at several fleet sizes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "fleet sizes to measure, in instances", Value: []int{7, 20, 50}},
			&cli.DurationFlag{Name: "phase", Usage: "length of each phase", Value: 15 * time.Second, Destination: &phase},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			fmt.Fprintln(os.Stdout, "| instances | regions | phase | store reads/s | store writes/s | max store calls in 100 ms | control B/s per instance (max) | CPU % of a core (max) | memory MB (max) |")
			fmt.Fprintln(os.Stdout, "|---|---|---|---|---|---|---|---|---|")
			for _, size := range cmd.IntSlice("sizes") {
				if err := measureFleet(ctx, size, phase); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// measureFleet starts a fleet of size instances and prints a table row for each
// phase.
func measureFleet(ctx context.Context, size int, phase time.Duration) error {
	f, err := startFleet(ctx, size)
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.awaitMembership(ctx); err != nil {
		return err
	}
	sleep(ctx, phase) // until connections are established and caches are filled
	for _, p := range []struct {
		name string
		run  func(context.Context, time.Duration)
	}{
		{"idle", sleep},
		{"one publish per second", f.publishEverySecond},
		{"store down", f.failStore},
		{"after store outage", sleep},
	} {
		if err := f.measurePhase(ctx, p.name, func() { p.run(ctx, phase) }); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
