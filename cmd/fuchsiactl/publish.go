package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/rollout"
)

// storeTimeout limits the total time of the store calls of one command.
const storeTimeout = 30 * time.Second

// exitPending is the exit status if the revision is not accepted yet.
const exitPending = 2

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish the service files under DIR and wait until they are in force on every live instance",
		ArgsUsage: "DIR",
		Description: "Exit status 0: accepted, in force on every live instance. 1: nothing was published, " +
			"or it is unknown whether it was. 2: published, but pending; check again with status.",
		Flags: []cli.Flag{
			storeFlag(), platformFlag(true),
			&cli.Uint64Flag{Name: "base", Usage: "publish only if this is the newest revision"},
			&cli.DurationFlag{Name: "wait", Usage: "longest time to wait for acceptance", Value: defaultWait},
			&cli.BoolFlag{Name: "bootstrap", Usage: "allow regions that have no live instance yet"},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, cmd *cli.Command) error {
	tree, err := readTree(cmd)
	if err != nil {
		return err
	}
	if !cmd.Bool("bootstrap") {
		if err := checkRegions(ctx, tree, listing.New(cmd.String("platform-url"))); err != nil {
			return err
		}
	}
	var base *uint64
	if cmd.IsSet("base") {
		revision := cmd.Uint64("base")
		base = &revision
	}
	publisher := newPublisher(cmd)
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	state, err := publisher.Publish(storeCtx, tree, base)
	cancel()
	if err != nil && !errors.Is(err, rollout.ErrUnchanged) {
		return err
	}
	if err != nil {
		fmt.Fprintf(cmd.Root().Writer, "unchanged: revision %d already has this configuration\n", state.Revision)
	}
	return awaitAcceptance(ctx, cmd, publisher, state)
}

// awaitAcceptance waits for acceptance of the revision of state and prints the
// result. A revision that is still pending is an error with exit status
// exitPending.
func awaitAcceptance(ctx context.Context, cmd *cli.Command, publisher *rollout.Publisher, state *configlog.State) error {
	regions, err := rollout.RegionsOf(state)
	if err != nil {
		return err
	}
	report := publisher.Await(ctx, state.Revision, regions, cmd.Duration("wait"))
	if report.Accepted() {
		fmt.Fprintf(cmd.Root().Writer, "accepted: revision %d is in force on %d instances\n", state.Revision, len(report.InForce))
		return nil
	}
	return cli.Exit(fmt.Sprintf("pending: revision %d: %s", state.Revision, report), exitPending)
}
