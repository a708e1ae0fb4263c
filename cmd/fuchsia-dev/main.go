// Command fuchsia-dev runs a whole system in one process: three regions with
// an entry instance each, the stand-ins of the platform, model engines and a
// plain service. It is for a first look and for local development.
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
		Usage: "a whole system in one process, for a first look",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "setup", Usage: "swatch-guild or rank-registry", Value: "swatch-guild"},
			&cli.StringFlag{Name: "log", Usage: "lowest level logged: debug, info, warn or error", Value: "warn"},
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

// run starts the system and ends it with ctx: the instances drain first, while
// the stand-ins still answer them.
func run(ctx context.Context, setup setup, level string, out io.Writer) error {
	instances, ctx := errgroup.WithContext(ctx)
	s := &system{instances: instances, ctx: ctx, setup: setup, level: level}
	defer s.closeStandins()
	if err := s.start(); err != nil {
		return err
	}
	s.describe(out)
	return instances.Wait()
}
