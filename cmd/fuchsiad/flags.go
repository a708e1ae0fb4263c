package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/daemon"
)

// envPrefix begins the environment variable of each flag.
const envPrefix = "FUCHSIA_"

func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func text(name, usage string, to *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *to, Destination: to, Sources: env(name)}
}

func duration(name, usage string, to *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *to, Destination: to, Sources: env(name)}
}

func flags(s *daemon.Settings) []cli.Flag {
	return []cli.Flag{
		text("instance", "unique id of this instance", &s.Instance),
		text("region", "region of this instance", &s.Region),
		text("zone", "availability zone of this instance", &s.Zone),
		text("listen", "host:port for callers", &s.Listen),
		text("peer-listen", "host:port for other instances", &s.PeerListen),
		text("admin-listen", "host:port for metrics and status", &s.AdminListen),
		text("public-url", "base URL that callers are told (default: from listen)", &s.PublicURL),
		text("peer-addr", "host:port that other instances are told (default: from peer-listen)", &s.PeerAddr),
		text("store-url", "base URL of the platform's key-value service", &s.StoreURL),
		text("platform-url", "base URL of the platform's list and directory", &s.PlatformURL),
		text("log", "lowest level logged: debug, info, warn or error", &s.Log),
		&cli.Int64Flag{Name: "max-body-bytes", Usage: "largest request body, in bytes", Value: s.MaxBodyBytes, Destination: &s.MaxBodyBytes, Sources: env("max-body-bytes")},
		duration("list-interval", "time between reads of the list of backend servers", &s.ListInterval),
		duration("load-interval", "time between two load reports of a backend server", &s.LoadInterval),
		duration("directory-ttl", "life of this instance's entry in the directory", &s.DirectoryTTL),
		duration("drain-deadline", "longest graceful shutdown", &s.DrainDeadline),
		text("claim-secret", "key of the digests of idempotency keys, 16 bytes or more, the same on all instances; prefer the environment variable", &s.ClaimSecret),
		duration("claim-retention", "how long an idempotency key can be used, the same on all instances", &s.ClaimRetention),
	}
}
