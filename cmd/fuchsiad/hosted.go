package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/hosted"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// hostedCommand runs an instance on a hosting platform.
func hostedCommand() *cli.Command {
	options := hosted.Options{LogLevel: "info"}
	return &cli.Command{
		Name:  "hosted",
		Usage: "entry instance whose settings the hosting platform writes to the file named in " + platform.SettingsVariable,
		Flags: []cli.Flag{
			text("log", "lowest level logged: debug, info, warn or error", &options.LogLevel),
			number("metrics-port", "port of the metrics; 0 for none", &options.MetricsPort),
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
