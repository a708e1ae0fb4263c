// Package climain runs the command of a program with signal handling.
package climain

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Run runs the command with the program's arguments and a context that SIGTERM or
// SIGINT cancels. On an error it exits with status 1. A second signal terminates
// the program immediately.
func Run(cmd *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
		os.Exit(1)
	}
}
