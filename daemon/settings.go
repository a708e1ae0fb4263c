// Package daemon runs one entry instance: the listeners for callers and for
// other instances, and the controllers that keep its state.
package daemon

import (
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/entry"
)

// Settings configure an instance.
type Settings struct {
	Instance    string // unique id
	Region      string
	Zone        string
	Listen      string // host:port for callers
	PeerListen  string // host:port for requests of other instances
	AdminListen string // host:port for metrics and status
	PublicURL   string // base URL that callers are told; default from Listen
	PeerAddr    string // host:port that instances are told; default from PeerListen
	StoreURL    string
	PlatformURL string
	Log         string // "debug", "info", "warn" or "error"

	ControlListen string // host:port for control messages of other instances
	ControlAddr   string // host:port that instances are told; default from ControlListen
	PeerCert      string // file with the certificate of this instance
	PeerKey       string // file with its key
	PeerCA        string // file with the authorities that issue certificates of instances
	PeerInsecure  bool   // no authentication among instances
	Production    bool   // refuses settings that are for development only

	Seeds          []string      // control addresses of instances to join, beside the directory
	ClaimRetention time.Duration // how long an idempotency key can be used; the same on all instances

	MaxBodyBytes  int64
	MaxAnswer     int64         // bytes of the body of an answer; a larger one is cut
	ListInterval  time.Duration // between reads of the list of backend servers
	LoadInterval  time.Duration // between load reports of a backend server
	DirectoryTTL  time.Duration // life of the entry in the directory
	JoinDelay     time.Duration // until callers are sent to a new instance; it has its part of limits and slots then
	DrainNotice   time.Duration // how long callers are told of another instance before the listeners close
	DrainDeadline time.Duration // longest wait for the work in flight after that
	MaxLoading    int           // engines of a service that load a model at the same time, in the region

	MaxConnections   int           // open connections of callers
	MaxInFlight      int           // requests held at once, waiting ones included
	MaxHeldBytes     int64         // memory of the request bodies held at once
	MaxHeapBytes     int64         // live heap from which requests are shed
	QueueEntries     int           // requests of one service and rank that wait
	BodyTimeout      time.Duration // for a caller to send its body
	WriteTimeout     time.Duration // for a caller to take one piece of an answer
	DigestKey        string        // secret of the deployment, for digests of requests
	QuarantineSpread time.Duration // until all instances know of a crash
	LinkMegabits     float64       // cap of the region's links to others, each way, in Mbit/s
	LinkLatency      time.Duration // one way, between regions
}

// DefaultSettings returns the settings that have defaults.
func DefaultSettings() Settings {
	return Settings{
		Listen:        "127.0.0.1:8080",
		PeerListen:    "127.0.0.1:8081",
		AdminListen:   "127.0.0.1:8082",
		ControlListen: "127.0.0.1:8083",
		Log:           "info",
		MaxBodyBytes:  8 << 20,
		MaxAnswer:     dispatch.DefaultMaxAnswerBytes,
		ListInterval:  time.Second,
		LoadInterval:  500 * time.Millisecond,
		DirectoryTTL:  10 * time.Second,
		JoinDelay:     6 * time.Second,
		DrainNotice:   entry.MaxTTL + time.Second,
		DrainDeadline: 10 * time.Minute,
		MaxLoading:    2,

		MaxConnections:   8192,
		MaxInFlight:      4096,
		MaxHeldBytes:     256 << 20,
		MaxHeapBytes:     1 << 30,
		QueueEntries:     2048,
		BodyTimeout:      30 * time.Second,
		WriteTimeout:     30 * time.Second,
		QuarantineSpread: 2 * time.Second,
		LinkMegabits:     2000,
		LinkLatency:      80 * time.Millisecond,
		ClaimRetention:   claim.DefaultRetention,
	}
}

// Check returns all faults of the settings at once.
func (s *Settings) Check() error {
	var faults []string
	fault := func(bad bool, text string) {
		if bad {
			faults = append(faults, text)
		}
	}
	fault(s.Instance == "", "instance: must be set")
	fault(s.Region == "", "region: must be set")
	fault(s.Zone == "", "zone: must be set")
	fault(!slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log), "log: want debug, info, warn or error")
	for name, addr := range map[string]string{"listen": s.Listen, "peer-listen": s.PeerListen, "admin-listen": s.AdminListen, "control-listen": s.ControlListen} {
		_, _, err := net.SplitHostPort(addr)
		fault(err != nil, name+": want host:port")
	}
	for name, raw := range map[string]string{"store-url": s.StoreURL, "platform-url": s.PlatformURL} {
		u, err := url.Parse(raw)
		fault(err != nil || u.Host == "", name+": want a URL such as http://10.0.0.1:8500")
	}
	files := s.PeerCert != "" && s.PeerKey != "" && s.PeerCA != ""
	fault(!files && !s.PeerInsecure, "peer-cert, peer-key, peer-ca: must be set, or peer-insecure for development")
	fault(s.PeerInsecure && s.Production, "peer-insecure: refused in production")
	fault(s.MaxBodyBytes < 1<<10 || s.MaxBodyBytes > 64<<20, "max-body-bytes: want 1024 to 67108864")
	fault(s.ListInterval < 100*time.Millisecond || s.ListInterval > 10*time.Second, "list-interval: want 100ms to 10s")
	fault(s.LoadInterval < 50*time.Millisecond || s.LoadInterval > time.Second, "load-interval: want 50ms to 1s")
	fault(s.DirectoryTTL < 2*time.Second || s.DirectoryTTL > time.Minute, "directory-ttl: want 2s to 1m")
	fault(s.JoinDelay < 0 || s.JoinDelay > time.Minute, "join-delay: want 0s to 1m")
	fault(s.DrainNotice < 0 || s.DrainNotice > time.Minute, "drain-notice: want 0s to 1m")
	fault(s.DrainDeadline < time.Second || s.DrainDeadline > time.Hour, "drain-deadline: want 1s to 1h")
	fault(s.ClaimRetention < 10*time.Minute || s.ClaimRetention > 7*24*time.Hour, "claim-retention: want 10m to 168h")
	fault(s.MaxLoading < 1, "max-loading: want 1 or more")
	fault(s.MaxConnections < 16, "max-connections: want 16 or more")
	fault(s.MaxInFlight < 16, "max-in-flight: want 16 or more")
	fault(s.MaxAnswer < 1<<10, "max-answer-bytes: want 1024 or more")
	fault(s.MaxHeldBytes < s.MaxBodyBytes, "max-held-bytes: want max-body-bytes or more")
	fault(s.MaxHeapBytes < 64<<20, "max-heap-bytes: want 67108864 or more")
	fault(s.QueueEntries < 1, "queue-entries: want 1 or more")
	fault(s.BodyTimeout < time.Second || s.BodyTimeout > 10*time.Minute, "body-timeout: want 1s to 10m")
	fault(s.WriteTimeout < time.Second || s.WriteTimeout > 10*time.Minute, "write-timeout: want 1s to 10m")
	fault(s.DigestKey != "" && len(s.DigestKey) < 16, "digest-key: want 16 characters or more")
	fault(s.QuarantineSpread < 100*time.Millisecond || s.QuarantineSpread > time.Minute, "quarantine-spread: want 100ms to 1m")
	fault(s.LinkMegabits < 1, "link-megabits: want 1 or more")
	fault(s.LinkLatency < 0 || s.LinkLatency > time.Second, "link-latency: want 0s to 1s")
	slices.Sort(faults)
	if len(faults) > 0 {
		return errors.New("bad settings: " + strings.Join(faults, "; "))
	}
	return nil
}
