package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check the service files below DIR; with --platform-url also that every region is served",
		ArgsUsage: "DIR",
		Flags:     []cli.Flag{platformFlag(false)},
		Action:    validate,
	}
}

func validate(ctx context.Context, cmd *cli.Command) error {
	tree, err := readTree(cmd)
	if err != nil {
		return err
	}
	if base := cmd.String("platform-url"); base != "" {
		if err := checkRegions(ctx, tree, listing.New(base)); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "valid: %d services, %d callers\n", len(tree.Services), len(tree.Callers))
	return nil
}

// checkRegions refuses a tree that names a region without an instance.
func checkRegions(ctx context.Context, tree *config.Tree, directory *listing.Client) error {
	instances, err := directory.Instances(ctx, "")
	if err != nil {
		return err
	}
	var served []string
	for _, i := range instances {
		served = append(served, i.Region)
	}
	slices.Sort(served)
	return tree.CheckRegions(slices.Compact(served))
}
