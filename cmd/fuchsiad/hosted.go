package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/hosted"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// hostedCommand returns the command that runs an instance on a hosting platform.
func hostedCommand() *cli.Command {
	options := hosted.Options{LogLevel: "info"}
	return &cli.Command{
		Name:  "hosted",
		Usage: "run an entry instance with the settings that the hosting platform writes to the file named in " + platform.SettingsVariable,
		Flags: []cli.Flag{
			stringFlag("log", "lowest log level: debug, info, warn or error", &options.LogLevel),
			intFlag("metrics-port", "port that serves metrics; 0 disables them", &options.MetricsPort),
			stringFlag("concurrency", "where the learned concurrency of backend servers is used: full (everywhere), routing, or empty (it is not learned)", (*string)(&options.Concurrency)),
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			instance, err := hosted.New(settings, options, os.Stdout)
			if err != nil {
				return err
			}
			return instance.Run(ctx)
		},
	}
}
