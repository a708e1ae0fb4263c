// Command fuchsia-slopes measures what control costs an instance and the
// platform at several sizes of the fleet: it runs the stand-ins and real
// fuchsiad processes on loopback under mutual TLS, and prints a table.
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
		Usage: "measures what control costs at several sizes of the fleet",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of instances", Value: []int{7, 20, 50}},
			&cli.DurationFlag{Name: "phase", Usage: "length of each phase", Value: 15 * time.Second, Destination: &phase},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			fmt.Fprintln(os.Stdout, "| instances | regions | phase | store reads/s | store writes/s | most calls in 100 ms | control B/s an instance (most) | processor % of a core (most) | memory MB (most) |")
			fmt.Fprintln(os.Stdout, "|---|---|---|---|---|---|---|---|---|")
			for _, size := range cmd.IntSlice("sizes") {
				if err := measure(ctx, size, phase); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// measure runs one fleet through all phases.
func measure(ctx context.Context, size int, phase time.Duration) error {
	f, err := start(ctx, size)
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	sleep(ctx, phase) // connections are made, caches filled
	for _, p := range []struct {
		name string
		run  func(context.Context, time.Duration)
	}{
		{"idle", sleep},
		{"a change each second", f.publishEachSecond},
		{"store down", f.storeDown},
		{"after the outage", sleep},
	} {
		if err := f.report(ctx, p.name, func() { p.run(ctx, phase) }); err != nil {
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
