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
		Usage:     "check the service files under DIR; with --platform-url, also check that every region has a live instance",
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
	if platformURL := cmd.String("platform-url"); platformURL != "" {
		if err := checkRegions(ctx, tree, listing.New(platformURL)); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "valid: %d services, %d callers\n", len(tree.Services), len(tree.Callers))
	return nil
}

// checkRegions returns an error if tree names a region without an instance in
// the directory.
func checkRegions(ctx context.Context, tree *config.Tree, directory *listing.Client) error {
	instances, err := directory.Instances(ctx, "")
	if err != nil {
		return err
	}
	var regions []string
	for _, instance := range instances {
		regions = append(regions, instance.Region)
	}
	slices.Sort(regions)
	return tree.CheckRegions(slices.Compact(regions))
}
