// Package climain runs the command of a program.
package climain

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Run runs the command with the program's arguments under a context that
// SIGTERM and SIGINT end, and exits with status 1 on an error. A second signal
// ends the program at once.
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
