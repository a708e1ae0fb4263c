// Package daemon runs one entry instance: the listeners for callers and for
// other instances, and the controllers that keep its state current.
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

// Settings is the configuration of an instance.
type Settings struct {
	Instance    string // unique id
	Region      string
	Zone        string
	Listen      string // host:port for callers
	PeerListen  string // host:port for requests forwarded by other instances
	AdminListen string // host:port for metrics, status and ExplainPath
	PublicURL   string // base URL announced to callers; default: address of Listen
	PeerAddr    string // host:port announced to other instances for forwarded requests; default: address of PeerListen
	StoreURL    string
	PlatformURL string
	LogLevel    string // lowest level logged: "debug", "info", "warn" or "error"

	ControlListen string // host:port for control messages of other instances
	ControlAddr   string // host:port announced to other instances for control messages; default: address of ControlListen
	PeerCert      string // file with the certificate of this instance
	PeerKey       string // file with the private key of PeerCert
	PeerCA        string // file with the certificate authorities that issue the certificates of instances
	PeerInsecure  bool   // no authentication between instances; for development only
	Production    bool   // refuses settings that are for development only

	Seeds          []string      // control addresses of instances to join, in addition to those in the directory
	ClaimRetention time.Duration // how long an idempotency key can be used; must be the same on all instances

	MaxBodyBytes     int64
	MaxResponseBytes int64         // largest body of a response, in bytes; a larger one is cut
	ListInterval     time.Duration // between reads of the list of backend servers
	LoadInterval     time.Duration // between polls of the backend servers for load reports
	DirectoryTTL     time.Duration // lifetime of this instance's entry in the directory
	JoinDelay        time.Duration // from the start of an instance until callers are directed to it; by then it holds its shares of limits and slots
	DrainNotice      time.Duration // shortest time for which callers are redirected to another instance before the listeners close
	DrainDeadline    time.Duration // longest wait for requests in flight after DrainNotice
	MaxLoading       int           // engines of a service in the region that may load a model at the same time

	MaxConnections             int           // open connections from callers
	MaxInFlight                int           // requests in flight, including those that wait
	MaxHeldBytes               int64         // memory for the request bodies in flight
	MaxHeapBytes               int64         // live heap at which requests are shed
	QueueEntries               int           // waiting requests of one service and rank
	BodyTimeout                time.Duration // for a caller to send its body
	WriteTimeout               time.Duration // for a caller to receive one write of a response
	DigestKey                  string        // secret key for digests of requests; must be the same on all instances
	QuarantinePropagationDelay time.Duration // after which every instance is assumed to have received the report of a crash
	LinkMegabits               float64       // bandwidth limit of the region's links to other regions, per direction, in Mbit/s
	LinkLatency                time.Duration // one way, between regions
}

// DefaultSettings returns Settings with the default values. Settings that have no
// default are zero.
func DefaultSettings() Settings {
	return Settings{
		Listen:           "127.0.0.1:8080",
		PeerListen:       "127.0.0.1:8081",
		AdminListen:      "127.0.0.1:8082",
		ControlListen:    "127.0.0.1:8083",
		LogLevel:         "info",
		MaxBodyBytes:     8 << 20,
		MaxResponseBytes: dispatch.DefaultMaxResponseBytes,
		ListInterval:     time.Second,
		LoadInterval:     500 * time.Millisecond,
		DirectoryTTL:     10 * time.Second,
		JoinDelay:        6 * time.Second,
		DrainNotice:      entry.MaxTTL + time.Second,
		DrainDeadline:    10 * time.Minute,
		MaxLoading:       2,

		MaxConnections:             8192,
		MaxInFlight:                4096,
		MaxHeldBytes:               256 << 20,
		MaxHeapBytes:               1 << 30,
		QueueEntries:               2048,
		BodyTimeout:                30 * time.Second,
		WriteTimeout:               30 * time.Second,
		QuarantinePropagationDelay: 2 * time.Second,
		LinkMegabits:               2000,
		LinkLatency:                80 * time.Millisecond,
		ClaimRetention:             claim.DefaultRetention,
	}
}

// Check returns one error that lists all invalid settings, or nil.
func (s *Settings) Check() error {
	var problems []string
	rejectIf := func(bad bool, text string) {
		if bad {
			problems = append(problems, text)
		}
	}
	rejectIf(s.Instance == "", "instance: must be set")
	rejectIf(s.Region == "", "region: must be set")
	rejectIf(s.Zone == "", "zone: must be set")
	rejectIf(!slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log: must be debug, info, warn or error")
	for name, addr := range map[string]string{"listen": s.Listen, "peer-listen": s.PeerListen, "admin-listen": s.AdminListen, "control-listen": s.ControlListen} {
		_, _, err := net.SplitHostPort(addr)
		rejectIf(err != nil, name+": must be host:port")
	}
	for name, raw := range map[string]string{"store-url": s.StoreURL, "platform-url": s.PlatformURL} {
		u, err := url.Parse(raw)
		rejectIf(err != nil || u.Host == "", name+": must be a URL such as http://10.0.0.1:8500")
	}
	files := s.PeerCert != "" && s.PeerKey != "" && s.PeerCA != ""
	rejectIf(!files && !s.PeerInsecure, "peer-cert, peer-key, peer-ca: must be set, or peer-insecure for development")
	rejectIf(s.PeerInsecure && s.Production, "peer-insecure: refused in production")
	rejectIf(s.MaxBodyBytes < 1<<10 || s.MaxBodyBytes > 64<<20, "max-body-bytes: must be from 1024 to 67108864")
	rejectIf(s.ListInterval < 100*time.Millisecond || s.ListInterval > 10*time.Second, "list-interval: must be from 100ms to 10s")
	rejectIf(s.LoadInterval < 50*time.Millisecond || s.LoadInterval > time.Second, "load-interval: must be from 50ms to 1s")
	rejectIf(s.DirectoryTTL < 2*time.Second || s.DirectoryTTL > time.Minute, "directory-ttl: must be from 2s to 1m")
	rejectIf(s.JoinDelay < 0 || s.JoinDelay > time.Minute, "join-delay: must be from 0s to 1m")
	rejectIf(s.DrainNotice < 0 || s.DrainNotice > time.Minute, "drain-notice: must be from 0s to 1m")
	rejectIf(s.DrainDeadline < time.Second || s.DrainDeadline > time.Hour, "drain-deadline: must be from 1s to 1h")
	rejectIf(s.ClaimRetention < 10*time.Minute || s.ClaimRetention > 7*24*time.Hour, "claim-retention: must be from 10m to 168h")
	rejectIf(s.MaxLoading < 1, "max-loading: must be at least 1")
	rejectIf(s.MaxConnections < 16, "max-connections: must be at least 16")
	rejectIf(s.MaxInFlight < 16, "max-in-flight: must be at least 16")
	rejectIf(s.MaxResponseBytes < 1<<10, "max-answer-bytes: must be at least 1024")
	rejectIf(s.MaxHeldBytes < s.MaxBodyBytes, "max-held-bytes: must be at least max-body-bytes")
	rejectIf(s.MaxHeapBytes < 64<<20, "max-heap-bytes: must be at least 67108864")
	rejectIf(s.QueueEntries < 1, "queue-entries: must be at least 1")
	rejectIf(s.BodyTimeout < time.Second || s.BodyTimeout > 10*time.Minute, "body-timeout: must be from 1s to 10m")
	rejectIf(s.WriteTimeout < time.Second || s.WriteTimeout > 10*time.Minute, "write-timeout: must be from 1s to 10m")
	rejectIf(s.DigestKey != "" && len(s.DigestKey) < 16, "digest-key: must be at least 16 characters")
	rejectIf(s.QuarantinePropagationDelay < 100*time.Millisecond || s.QuarantinePropagationDelay > time.Minute, "quarantine-spread: must be from 100ms to 1m")
	rejectIf(s.LinkMegabits < 1, "link-megabits: must be at least 1")
	rejectIf(s.LinkLatency < 0 || s.LinkLatency > time.Second, "link-latency: must be from 0s to 1s")
	slices.Sort(problems)
	if len(problems) > 0 {
		return errors.New("invalid settings: " + strings.Join(problems, "; "))
	}
	return nil
}
