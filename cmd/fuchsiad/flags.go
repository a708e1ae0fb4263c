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

func number(name, usage string, to *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *to, Destination: to, Sources: env(name)}
}

func size(name, usage string, to *int64) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: *to, Destination: to, Sources: env(name)}
}

func boolean(name, usage string, to *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Value: *to, Destination: to, Sources: env(name)}
}

func flags(s *daemon.Settings) []cli.Flag {
	return []cli.Flag{
		text("instance", "unique id of this instance", &s.Instance),
		text("region", "region of this instance", &s.Region),
		text("zone", "availability zone of this instance", &s.Zone),
		text("listen", "host:port for callers", &s.Listen),
		text("peer-listen", "host:port for requests of other instances", &s.PeerListen),
		text("control-listen", "host:port for control messages of other instances", &s.ControlListen),
		text("control-addr", "host:port for control messages that other instances are told (default: from control-listen)", &s.ControlAddr),
		text("peer-cert", "file with the certificate of this instance (PEM)", &s.PeerCert),
		text("peer-key", "file with the key of this instance (PEM)", &s.PeerKey),
		text("peer-ca", "file with the authorities that issue certificates of instances (PEM)", &s.PeerCA),
		boolean("peer-insecure", "no authentication among instances, for development only", &s.PeerInsecure),
		&cli.StringSliceFlag{Name: "seeds", Usage: "host:port for control messages of instances to join, beside the directory", Destination: &s.Seeds, Sources: env("seeds")},
		boolean("production", "refuse settings that are for development only", &s.Production),
		text("admin-listen", "host:port for metrics and status", &s.AdminListen),
		text("public-url", "base URL that callers are told (default: from listen)", &s.PublicURL),
		text("peer-addr", "host:port that other instances are told (default: from peer-listen)", &s.PeerAddr),
		text("store-url", "base URL of the platform's key-value service", &s.StoreURL),
		text("platform-url", "base URL of the platform's list and directory", &s.PlatformURL),
		text("log", "lowest level logged: debug, info, warn or error", &s.Log),
		size("max-body-bytes", "largest request body, in bytes", &s.MaxBodyBytes),
		size("max-answer-bytes", "largest body of an answer, in bytes", &s.MaxAnswer),
		duration("list-interval", "time between reads of the list of backend servers", &s.ListInterval),
		duration("load-interval", "time between two load reports of a backend server", &s.LoadInterval),
		duration("directory-ttl", "life of this instance's entry in the directory", &s.DirectoryTTL),
		duration("join-delay", "time until callers are sent to a new instance, so that it has its part of limits and slots", &s.JoinDelay),
		duration("drain-notice", "how long callers are told of another instance before the listeners close", &s.DrainNotice),
		duration("drain-deadline", "longest wait for the work in flight after drain-notice", &s.DrainDeadline),
		duration("claim-retention", "how long an idempotency key can be used, the same on all instances", &s.ClaimRetention),
		number("max-loading", "engines of a service that load a model at the same time, in the region", &s.MaxLoading),
		number("max-connections", "open connections of callers", &s.MaxConnections),
		number("max-in-flight", "requests held at once, waiting ones included", &s.MaxInFlight),
		size("max-held-bytes", "memory of the request bodies held at once, in bytes", &s.MaxHeldBytes),
		size("max-heap-bytes", "live heap from which requests are shed, in bytes", &s.MaxHeapBytes),
		number("queue-entries", "requests of one service and rank that wait", &s.QueueEntries),
		duration("body-timeout", "time for a caller to send its body", &s.BodyTimeout),
		duration("write-timeout", "time for a caller to take one piece of an answer", &s.WriteTimeout),
		text("digest-key", "secret of the deployment for digests of requests, the same for all instances", &s.DigestKey),
		duration("quarantine-spread", "time until every instance knows of a crash", &s.QuarantineSpread),
		&cli.FloatFlag{Name: "link-megabits", Usage: "cap of the region's links to other regions, each way, in Mbit/s", Value: s.LinkMegabits, Destination: &s.LinkMegabits, Sources: env("link-megabits")},
		duration("link-latency", "one-way latency between regions", &s.LinkLatency),
	}
}
