// Command fuchsia-dev runs a complete system in one process: three regions with
// one entry instance each, and stand-ins for the platform, model engines and a
// plain service. It is for evaluation and local development.
package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/internal/climain"
)

func main() { climain.Run(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "fuchsia-dev",
		Usage: "run a complete system in one process, for evaluation and local development",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "setup", Usage: "example deployment: swatch-guild or rank-registry", Value: "swatch-guild"},
			&cli.StringFlag{Name: "log", Usage: "lowest log level: debug, info, warn or error", Value: "warn"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			setup, err := findSetup(cmd.String("setup"))
			if err != nil {
				return err
			}
			return run(ctx, setup, cmd.String("log"), cmd.Root().Writer)
		},
	}
}

// run starts the system and stops it when ctx ends. The instances drain first,
// while the stand-ins still serve them.
func run(ctx context.Context, setup setup, logLevel string, out io.Writer) error {
	instances, ctx := errgroup.WithContext(ctx)
	s := &system{instances: instances, ctx: ctx, setup: setup, logLevel: logLevel}
	defer s.closeStandins()
	if err := s.start(); err != nil {
		return err
	}
	s.printGuide(out)
	return instances.Wait()
}
