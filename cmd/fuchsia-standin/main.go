// Command fuchsia-standin runs one stand-in: the key-value service or the
// directory of the platform, a model engine or a plain service. It is for tests
// and local development.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/internal/climain"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/standin/plain"
	"github.com/fuchsiastack/fuchsiastack/standin/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/withdraw"
)

func main() { climain.Run(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "fuchsia-standin",
		Usage: "run a stand-in for tests and local development",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Usage: "host:port to listen on", Value: "127.0.0.1:0"}},
		Commands: []*cli.Command{
			{Name: "kv", Usage: "key-value service", Action: runKV},
			{
				Name: "platform", Usage: "list of backend servers and instance directory", Action: runPlatform,
				Flags: []cli.Flag{&cli.DurationFlag{Name: "lag", Usage: "refresh interval of the list of backend servers", Value: time.Second}},
			},
			{
				Name: "engine", Usage: "model engine", Action: runEngine,
				Flags: append(
					serverFlags(),
					&cli.IntFlag{Name: "slots", Usage: "sequences that run at the same time", Value: 8},
					&cli.DurationFlag{Name: "prefill", Usage: "prefill time per prompt token", Value: 50 * time.Microsecond},
					&cli.DurationFlag{Name: "decode", Usage: "decode time per output token", Value: 5 * time.Millisecond},
				),
			},
			{
				Name: "plain", Usage: "plain service", Action: runPlain,
				Flags: append(serverFlags(), &cli.DurationFlag{Name: "delay", Usage: "duration of a call", Value: 5 * time.Millisecond}),
			},
		},
	}
}

func serverFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "ID in the list of backend servers", Required: true},
		&cli.StringFlag{Name: "service", Usage: "service of this backend server", Required: true},
		&cli.StringFlag{Name: "region", Required: true},
		&cli.StringFlag{Name: "zone", Required: true},
		&cli.StringFlag{Name: "platform-url", Usage: "base URL of the platform to register with", Required: true},
		&cli.StringFlag{Name: "crash-on", Usage: "word in a request body that crashes the server"},
		&cli.DurationFlag{Name: "leave-after", Usage: "time after which responses announce that the server leaves; 0 for never"},
		&cli.DurationFlag{Name: "pause-for", Usage: "pause that the server asks for in each period of pause-every; 0 for none"},
		&cli.DurationFlag{Name: "pause-every", Usage: "time between the starts of two pauses; 0 for a single one"},
	}
}

func runKV(ctx context.Context, cmd *cli.Command) error {
	return serve(ctx, cmd, kv.New(), nil)
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	return serve(ctx, cmd, platform.New(cmd.Duration("lag")), nil)
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	e := engine.New(engine.Config{
		ID:              cmd.String("id"),
		Slots:           cmd.Int("slots"),
		PrefillPerToken: cmd.Duration("prefill"),
		DecodePerToken:  cmd.Duration("decode"),
	})
	return serveServer(ctx, cmd, e)
}

func runPlain(ctx context.Context, cmd *cli.Command) error {
	return serveServer(ctx, cmd, plain.New(cmd.Duration("delay")))
}

// serveServer serves a backend server that may crash and withdraw.
func serveServer(ctx context.Context, cmd *cli.Command, handler http.Handler) error {
	server := withdraw.New(crashOn(cmd.String("crash-on"), handler))
	if after := cmd.Duration("leave-after"); after > 0 {
		time.AfterFunc(after, server.Announce)
	}
	server.Pause(cmd.Duration("pause-for"), cmd.Duration("pause-every"))
	return serve(ctx, cmd, server, register)
}

// serve listens, calls onListen if it is not nil, prints "listening HOST:PORT"
// and serves until ctx ends.
func serve(ctx context.Context, cmd *cli.Command, handler http.Handler, onListen func(context.Context, *cli.Command, string) error) error {
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", cmd.String("listen"))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if onListen != nil {
		if err := onListen(ctx, cmd, listener.Addr().String()); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "listening %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// register adds this backend server to the platform's list.
func register(ctx context.Context, cmd *cli.Command, addr string) error {
	body, err := json.Marshal(platform.Server{
		Addr: addr, Region: cmd.String("region"), Zone: cmd.String("zone"),
		Service: cmd.String("service"), State: "live",
	})
	if err != nil {
		return err
	}
	target := cmd.String("platform-url") + "/v1/servers/" + cmd.String("id")
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "register backend server %s", cmd.String("id"))
	}
	return resp.Body.Close()
}
