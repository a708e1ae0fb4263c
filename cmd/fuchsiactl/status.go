package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show whether the newest revision is in force on every live instance",
		Description: "Exit status 0: accepted, or no revision has been published. 2: pending; the lagging instances " +
			"are listed. With --wait the command waits for acceptance.",
		Flags: []cli.Flag{
			storeFlag(), platformFlag(true),
			&cli.DurationFlag{Name: "wait", Usage: "longest time to wait for acceptance", Value: 0},
		},
		Action: status,
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	publisher := newPublisher(cmd)
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	state, err := publisher.Log.Read(storeCtx)
	cancel()
	if err != nil {
		return err
	}
	if state.Revision == 0 {
		fmt.Fprintln(cmd.Root().Writer, "no revision has been published")
		return nil
	}
	return awaitAcceptance(ctx, cmd, publisher, state)
}
