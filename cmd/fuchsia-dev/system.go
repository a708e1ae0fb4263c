package main

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/daemon"
	"github.com/fuchsiastack/fuchsiastack/examples"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/standin/plain"
	"github.com/fuchsiastack/fuchsiastack/standin/platform"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

const (
	anyPort             = "127.0.0.1:0"
	firstListenAddr     = "127.0.0.1:8080"       // listen address of the instance in the first region
	listRefreshInterval = time.Second            // refresh interval of the list of backend servers
	loadRefreshInterval = 500 * time.Millisecond // refresh interval of the load report of an engine
	engineSlots         = 16
	prefillPerToken     = 100 * time.Microsecond
	decodePerToken      = 20 * time.Millisecond
	plainDelay          = 10 * time.Millisecond
	publishTimeout      = 10 * time.Second
	digestKey           = "for local development only"
	drainNotice         = 500 * time.Millisecond
)

// system is a running deployment: entry instances and the stand-ins that they
// use.
type system struct {
	instances   *errgroup.Group
	standins    []*http.Server
	ctx         context.Context
	setup       setup
	logLevel    string
	storeURL    string
	platformURL string
	daemons     []*daemon.Daemon
}

func (s *system) start() error {
	var err error
	if s.storeURL, err = s.serveStandin(kv.New()); err != nil {
		return err
	}
	list := platform.New(listRefreshInterval)
	if s.platformURL, err = s.serveStandin(list); err != nil {
		return err
	}
	if err := s.publish(); err != nil {
		return err
	}
	if err := s.startBackendServers(list); err != nil {
		return err
	}
	for i, region := range s.setup.regions {
		if err := s.startInstance(i, region); err != nil {
			return err
		}
	}
	return nil
}

// serveStandin runs a handler on a free port and returns its base URL.
func (s *system) serveStandin(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "listen on "+anyPort)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.standins = append(s.standins, server)
	go func() { _ = server.Serve(listener) }() // until closeStandins
	return "http://" + listener.Addr().String(), nil
}

func (s *system) closeStandins() {
	for _, server := range s.standins {
		_ = server.Close()
	}
}

func (s *system) publish() error {
	files, err := fs.Sub(examples.Files, s.setup.name)
	if err != nil {
		return err
	}
	tree, err := config.ReadTree(files)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, publishTimeout)
	defer cancel()
	publisher := &rollout.Publisher{Log: &configlog.Log{Store: consul.New(s.storeURL)}}
	_, err = publisher.Publish(ctx, tree, nil)
	return err
}

// startBackendServers starts the backend servers and assigns them to the regions
// in turn.
func (s *system) startBackendServers(list *platform.Platform) error {
	for i := range s.setup.modelReplicas {
		e := engine.New(engine.Config{
			Slots: engineSlots, PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, LoadLag: loadRefreshInterval,
		})
		if err := s.addBackendServer(list, s.setup.modelService, i, e); err != nil {
			return err
		}
	}
	for i := range s.setup.plainReplicas {
		if err := s.addBackendServer(list, s.setup.plainService, i, plain.New(plainDelay)); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addBackendServer(list *platform.Platform, service string, i int, handler http.Handler) error {
	url, err := s.serveStandin(handler)
	if err != nil {
		return err
	}
	region := s.setup.regions[i%len(s.setup.regions)]
	list.Put(platform.Server{
		ID: fmt.Sprintf("%s-%d", service, i), Addr: url[len("http://"):],
		Region: region, Zone: region + "-a", Service: service, State: "live",
	})
	return nil
}

func (s *system) startInstance(i int, region string) error {
	settings := daemon.DefaultSettings()
	settings.Instance = "entry-" + region
	settings.Region = region
	settings.Zone = region + "-a"
	settings.Listen = anyPort
	if i == 0 {
		settings.Listen = firstListenAddr
	}
	settings.PeerListen, settings.AdminListen, settings.ControlListen = anyPort, anyPort, anyPort
	settings.PeerInsecure = true
	settings.DigestKey = digestKey
	settings.DrainNotice = drainNotice
	settings.JoinDelay = 0
	settings.StoreURL, settings.PlatformURL = s.storeURL, s.platformURL
	settings.LogLevel = s.logLevel
	d, err := daemon.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	s.instances.Go(func() error { return d.Run(s.ctx) })
	return nil
}

// printGuide prints the addresses of the instances and example requests.
func (s *system) printGuide(out io.Writer) {
	fmt.Fprintf(out, "%s: %d model engines, %d plain servers\n\n", s.setup.name, s.setup.modelReplicas, s.setup.plainReplicas)
	for i, d := range s.daemons {
		fmt.Fprintf(out, "  %-10s %s  metrics http://%s/metrics\n", s.setup.regions[i], d.PublicURL(), d.AdminAddr())
	}
	fmt.Fprintf(out, `
List the instances that callers of a region should use:
  curl '%[1]s/v1/entry?region=%[2]s'

Request a chat completion:
  curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"%[4]s/%[5]s","stream":true,"messages":[{"role":"user","content":"hello"}]}'

Stop with Ctrl-C.
`, s.daemons[0].PublicURL(), s.setup.regions[0], s.setup.apiKey, s.setup.modelService, s.setup.work)
}
