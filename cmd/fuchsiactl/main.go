// Command fuchsiactl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/internal/climain"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

// callTimeout bounds a command that talks to the store.
const callTimeout = 30 * time.Second

func main() { climain.Run(command()) }

func command() *cli.Command {
	storeURL := &cli.StringFlag{
		Name: "store-url", Usage: "base URL of the platform's key-value service",
		Sources: cli.EnvVars("FUCHSIA_STORE_URL"), Required: true,
	}
	return &cli.Command{
		Name:  "fuchsiactl",
		Usage: "validate and publish configuration",
		Commands: []*cli.Command{
			{Name: "validate", Usage: "check the service files below DIR", ArgsUsage: "DIR", Action: validate},
			{Name: "publish", Usage: "publish the service files below DIR", ArgsUsage: "DIR", Flags: []cli.Flag{storeURL}, Action: publish},
		},
	}
}

func readTree(cmd *cli.Command) (*config.Tree, error) {
	if cmd.Args().Len() != 1 {
		return nil, errors.New("want one argument: the directory")
	}
	return config.ReadTree(os.DirFS(cmd.Args().First()))
}

func validate(_ context.Context, cmd *cli.Command) error {
	tree, err := readTree(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "valid: %d services, %d callers\n", len(tree.Services), len(tree.Callers))
	return nil
}

func publish(ctx context.Context, cmd *cli.Command) error {
	tree, err := readTree(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := consul.New(cmd.String("store-url"))
	base, err := config.Revision(ctx, s)
	if err != nil {
		return err
	}
	revision, err := config.Publish(ctx, s, tree, base)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "published revision %d\n", revision)
	return nil
}
