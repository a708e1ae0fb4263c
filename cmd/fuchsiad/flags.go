package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/daemon"
)

// envPrefix is the prefix of the environment variable of each flag.
const envPrefix = "FUCHSIA_"

func envSource(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func stringFlag(name, usage string, destination *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: envSource(name)}
}

func durationFlag(name, usage string, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: envSource(name)}
}

func intFlag(name, usage string, destination *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: envSource(name)}
}

func int64Flag(name, usage string, destination *int64) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: envSource(name)}
}

func boolFlag(name, usage string, destination *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: envSource(name)}
}

func settingsFlags(s *daemon.Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("instance", "unique ID of this instance", &s.Instance),
		stringFlag("region", "region of this instance", &s.Region),
		stringFlag("zone", "availability zone of this instance", &s.Zone),
		stringFlag("listen", "host:port for callers", &s.Listen),
		stringFlag("peer-listen", "host:port for requests from other instances", &s.PeerListen),
		stringFlag("control-listen", "host:port for control messages from other instances", &s.ControlListen),
		stringFlag("control-addr", "host:port for control messages, as advertised to other instances (default: from control-listen)", &s.ControlAddr),
		stringFlag("peer-cert", "file with the certificate of this instance (PEM)", &s.PeerCert),
		stringFlag("peer-key", "file with the private key of this instance (PEM)", &s.PeerKey),
		stringFlag("peer-ca", "file with the CA certificates that instance certificates are verified against (PEM)", &s.PeerCA),
		boolFlag("peer-insecure", "disable authentication between instances, for development only", &s.PeerInsecure),
		&cli.StringSliceFlag{Name: "seeds", Usage: "control addresses (host:port) of instances to join, in addition to those in the directory", Destination: &s.Seeds, Sources: envSource("seeds")},
		boolFlag("production", "reject settings that are for development only", &s.Production),
		stringFlag("admin-listen", "host:port for metrics and status", &s.AdminListen),
		stringFlag("public-url", "base URL advertised to callers (default: from listen)", &s.PublicURL),
		stringFlag("peer-addr", "host:port for requests, as advertised to other instances (default: from peer-listen)", &s.PeerAddr),
		stringFlag("store-url", "base URL of the platform's key-value service", &s.StoreURL),
		stringFlag("platform-url", "base URL of the platform's list of backend servers and instance directory", &s.PlatformURL),
		stringFlag("log", "lowest log level: debug, info, warn or error", &s.LogLevel),
		int64Flag("max-body-bytes", "largest request body, in bytes", &s.MaxBodyBytes),
		int64Flag("max-answer-bytes", "largest response body, in bytes", &s.MaxResponseBytes),
		durationFlag("list-interval", "interval between reads of the list of backend servers", &s.ListInterval),
		durationFlag("load-interval", "interval between load reports of a backend server", &s.LoadInterval),
		durationFlag("directory-ttl", "time to live of this instance's entry in the directory", &s.DirectoryTTL),
		durationFlag("join-delay", "delay before a new instance is announced to callers, in which it receives its share of limits and slots", &s.JoinDelay),
		durationFlag("drain-notice", "minimum time during a drain for which the listeners stay open and refer callers to another instance", &s.DrainNotice),
		durationFlag("drain-deadline", "longest wait for requests in flight after drain-notice", &s.DrainDeadline),
		durationFlag("claim-retention", "time for which an idempotency key is valid; must be the same on all instances", &s.ClaimRetention),
		intFlag("max-loading", "largest number of engines of a service in the region that load a model at the same time", &s.MaxLoading),
		intFlag("max-connections", "largest number of open caller connections", &s.MaxConnections),
		intFlag("max-in-flight", "largest number of requests in progress, including queued ones", &s.MaxInFlight),
		int64Flag("max-held-bytes", "largest total size of the request bodies in memory, in bytes", &s.MaxHeldBytes),
		int64Flag("max-heap-bytes", "live heap size at which all requests are shed, in bytes; batch requests are shed earlier", &s.MaxHeapBytes),
		intFlag("queue-entries", "largest number of queued requests per service and rank", &s.QueueEntries),
		durationFlag("body-timeout", "longest time for a caller to send a request body", &s.BodyTimeout),
		durationFlag("write-timeout", "longest time for a caller to receive one chunk of a response", &s.WriteTimeout),
		stringFlag("digest-key", "secret key for request digests; must be the same on all instances of the deployment", &s.DigestKey),
		durationFlag("quarantine-spread", "time in which a crash report reaches every instance", &s.QuarantinePropagationDelay),
		&cli.FloatFlag{Name: "link-megabits", Usage: "bandwidth limit of the region's links to other regions, per direction, in Mbit/s", Value: s.LinkMegabits, Destination: &s.LinkMegabits, Sources: envSource("link-megabits")},
		durationFlag("link-latency", "one-way latency between regions", &s.LinkLatency),
	}
}
