// Command fuchsiad runs one entry instance of the gateway.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/daemon"
	"github.com/fuchsiastack/fuchsiastack/internal/climain"
)

func main() { climain.Run(command()) }

func command() *cli.Command {
	s := daemon.DefaultSettings()
	return &cli.Command{
		Name:     "fuchsiad",
		Usage:    "run an entry instance of a multi-region inference gateway",
		Flags:    settingsFlags(&s),
		Commands: []*cli.Command{hostedCommand()},
		Action: func(ctx context.Context, _ *cli.Command) error {
			d, err := daemon.New(s, os.Stdout)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
