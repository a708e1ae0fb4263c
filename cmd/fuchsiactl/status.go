package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "tell the newest revision and which instances have it in force",
		Description: "Exit status 0: accepted. 2: pending; the instances that lag are named. " +
			"With --wait it waits for acceptance.",
		Flags: []cli.Flag{
			storeFlag(), platformFlag(true),
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for acceptance", Value: 0},
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
	return await(ctx, cmd, publisher, state)
}
