// Command fuchsiactl is the command-line tool for operators: it validates and
// publishes configuration, shows which revision is in force and explains
// decisions about single requests.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/internal/boundedhttp"
	"github.com/fuchsiastack/fuchsiastack/internal/climain"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

// defaultWait is the default time that publish waits for acceptance.
const defaultWait = 30 * time.Second

func main() { climain.Run(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "fuchsiactl",
		Usage: "validate and publish the configuration of fuchsiastack",
		Commands: []*cli.Command{
			validateCommand(),
			publishCommand(),
			statusCommand(),
			explainCommand(),
		},
	}
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "store-url", Usage: "base URL of the platform's key-value service",
		Sources: cli.EnvVars("FUCHSIA_STORE_URL"), Required: true,
	}
}

func platformFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name: "platform-url", Usage: "base URL of the platform's instance directory",
		Sources: cli.EnvVars("FUCHSIA_PLATFORM_URL"), Required: required,
	}
}

func newPublisher(cmd *cli.Command) *rollout.Publisher {
	return &rollout.Publisher{
		Log:       &configlog.Log{Store: consul.New(cmd.String("store-url"))},
		Directory: listing.New(cmd.String("platform-url")),
		Prober:    rollout.HTTPProber{Client: &http.Client{Transport: boundedhttp.NewTransport()}},
	}
}

func readTree(cmd *cli.Command) (*config.Tree, error) {
	if cmd.Args().Len() != 1 {
		return nil, errors.New("want one argument: the directory that holds the service files")
	}
	dir := cmd.Args().First()
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, errors.Errorf("%s is not an accessible directory", dir)
	}
	return config.ReadTree(os.DirFS(dir))
}
