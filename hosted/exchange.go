package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/quota"
	"github.com/fuchsiastack/fuchsiastack/roster"
)

const (
	// exchangePath is the path of the exchange of reports between instances.
	exchangePath = "/fuchsia/exchange"
	// exchangeInterval is the time between two exchanges with a collector of the
	// region: short compared with the time that a long prompt takes.
	exchangeInterval     = 120 * time.Millisecond
	exchangeStallTimeout = 150 * time.Millisecond
	// remoteExchangeInterval is the time between two exchanges with a collector of
	// another region: a few round trips.
	remoteExchangeInterval = 500 * time.Millisecond
	// workTTL allows for three lost reports.
	workTTL = 4 * exchangeInterval
	// maxReportedServers bounds the backend servers whose work is told to another
	// instance, and so the bytes that a collector sends.
	maxReportedServers = 64
	// collectorRetryTime is how long an instance uses another collector after its
	// first one has failed.
	collectorRetryTime = 2 * time.Second
)

// link is the state of the exchanges with one collector: what it has received, and what
// has been received from it.
type link struct {
	started                int64 // start of its process
	sentPlacements         uint64
	sentParts, partVersion uint64
	nextRegion, nextRemote uint64
	sentOrigins            uint64 // last record of the origin of a stream
	origins                originNumbers
}

// exchanger exchanges reports with collectors, and serves the exchanges of others.
type exchanger struct {
	instance *Instance
	hub      collector.Hub

	mu         sync.Mutex
	links      map[string]*link // by instance
	ownNext    uint64           // first placement of this instance that hub does not have
	summarized time.Time        // when summaries were last received
	failures   uint64           // of the collectors in use one after the other
	failedAt   time.Time
	// remoteFailures are the failures of the collectors of other regions.
	remoteFailures map[string]uint64
	selected       selection
}

// selection is the result of selecting the collectors among live instances.
type selection struct {
	live       []roster.Instance
	collectors []string
}

func newExchanger(i *Instance) *exchanger {
	return &exchanger{
		instance: i, hub: collector.Hub{TTL: workTTL}, links: make(map[string]*link), remoteFailures: make(map[string]uint64),
	}
}

// run exchanges reports until ctx ends.
func (e *exchanger) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { loop.Every(ctx, exchangeInterval, e.exchangeInRegion) })
	group.Go(func() { loop.Every(ctx, remoteExchangeInterval, e.exchangeWithRegions) })
	group.Wait()
}

// collectors returns the collectors of this region.
func (e *exchanger) collectors() []string {
	live := e.instance.roster.InRegion(e.instance.settings.Region)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := &e.selected; len(live) == 0 || len(s.live) != len(live) || &s.live[0] != &live[0] {
		e.selected = selection{live, collector.Select(ids(live))}
	}
	return e.selected.collectors
}

func ids(instances []roster.Instance) []string {
	list := make([]string, len(instances))
	for k := range instances {
		list[k] = instances[k].ID
	}
	return list
}

// find returns the live instance of a region with the given id.
func (e *exchanger) find(region, id string) (roster.Instance, bool) {
	for _, other := range e.instance.roster.InRegion(region) {
		if other.ID == id {
			return other, true
		}
	}
	return roster.Instance{}, false
}

// exchangeInRegion exchanges reports with the own collector or, as a collector, with
// all other collectors, and applies what the others have sent to backend servers.
func (e *exchanger) exchangeInRegion(ctx context.Context) {
	i := e.instance
	collectors := e.collectors()
	i.quotas.Tick(time.Now(), i.quotaMembers())
	e.publishOwn()
	if slices.Contains(collectors, i.settings.Instance) {
		e.hub.Receive(time.Now(), nil)
		var group sync.WaitGroup
		for _, id := range collectors {
			if other, live := e.find(i.settings.Region, id); live && id != i.settings.Instance {
				group.Go(func() { e.logFailure(id, e.exchange(ctx, other, collector.Collector)) })
			}
		}
		group.Wait()
	} else if len(collectors) > 0 {
		id := collector.Choose(collectors, i.settings.Instance, e.failureCount(time.Now()))
		other, live := e.find(i.settings.Region, id)
		if live {
			e.recordResult(ctx, id, e.exchange(ctx, other, collector.Member))
		}
	}
	e.apply()
}

// failureCount returns the number of failures of the collector in use, or 0 once the
// first choice is due to be tried again.
func (e *exchanger) failureCount(now time.Time) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.failedAt) > collectorRetryTime {
		e.failures = 0
	}
	return e.failures
}

// recordResult records the result of an exchange with the own collector. The first of
// several failures is logged.
func (e *exchanger) recordResult(ctx context.Context, id string, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failures == 0 {
		e.instance.log.Info().Str("event", "collector_failed").Str("peer", id).Err(err).Msg("")
	}
	e.failures++
	e.failedAt = time.Now()
}

func (e *exchanger) logFailure(id string, err error) {
	if err != nil {
		e.instance.log.Debug().Str("event", "exchange_failed").Str("peer", id).Err(err).Msg("")
	}
}

// publishOwn adds the new placements of this instance to those that it passes on.
func (e *exchanger) publishOwn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	list, next := e.instance.router.Prefix.PlacementsSince(e.ownNext)
	e.ownNext = next
	e.hub.AddPlacements(time.Now(), collector.Member, list)
}

// exchangeWithRegions receives, as a collector, what the collectors of other regions
// know of caches and of parts.
func (e *exchanger) exchangeWithRegions(ctx context.Context) {
	i := e.instance
	if !slices.Contains(e.collectors(), i.settings.Instance) {
		return
	}
	var group sync.WaitGroup
	for _, region := range (regionPeers{i}).Reachable() {
		remote := collector.Select(ids(i.roster.InRegion(region)))
		if len(remote) == 0 {
			continue
		}
		e.mu.Lock()
		failures := e.remoteFailures[region]
		e.mu.Unlock()
		other, live := e.find(region, collector.Choose(remote, i.settings.Instance, failures))
		if !live {
			continue
		}
		group.Go(func() {
			if err := e.exchange(ctx, other, collector.Remote); err != nil {
				e.logFailure(other.ID, err)
				e.mu.Lock()
				e.remoteFailures[region]++
				e.mu.Unlock()
			}
		})
	}
	group.Wait()
}

// exchange exchanges reports with another instance. role is what this instance is to
// it.
func (e *exchanger) exchange(ctx context.Context, other roster.Instance, role collector.Source) error {
	i := e.instance
	state := e.linkTo(other)
	now := time.Now()
	request := exchangeRequest{
		ID: i.settings.Instance, Started: i.roster.Self.Started, Role: role,
		Region: state.nextRegion, Remote: state.nextRemote, Since: state.partVersion,
		Parts: i.parts.Report(now, state.sentParts), Summaries: role == collector.Remote,
	}
	if role != collector.Remote {
		request.Quota = i.quotas.Report(now, quota.Role(role), other.ID)
	}
	sentPlacements, stall := state.sentPlacements, remoteStallTimeout
	var sentOrigins originNumbers
	if role != collector.Remote {
		own := e.hub.Placements(collector.Collector, state.sentPlacements, 0)
		request.Placements, sentPlacements = own.Region, own.NextRegion
		request.Work = e.hub.CellWork(now, i.ownWork()).Heaviest(maxReportedServers)
		request.Loads = recentLoads(now, i.registry.All())
		request.Slowdowns = recentSlowdowns(now, i.registry.All())
		request.RateLimits = currentRateLimits(now, i.registry.All())
		request.Capacities = capacityReports(now, i.registry.All(), true)
		request.Summaries = role == collector.Member && e.summariesDue(now)
		request.Origins, sentOrigins = i.origins.since(now, originNumbers{Cell: state.sentOrigins}, originsPerExchange, false)
		request.Leaving = i.draining.Load()
		stall = exchangeStallTimeout
	}
	if role != collector.Collector && i.origins.wanted(other.Region) {
		request.OriginsAfter = &state.origins
	}
	var response exchangeResponse
	if err := i.post(ctx, other.PeerAddr+exchangePath, stall, request, &response); err != nil {
		return err
	}
	if response.ID != other.ID {
		return errors.Errorf("exchange with %s: instance %s responded", other.ID, response.ID)
	}
	e.receive(now, &response, role)
	next := link{
		started: response.Started, sentPlacements: sentPlacements, sentParts: state.sentParts, partVersion: state.partVersion,
		nextRegion: response.NextRegion, nextRemote: response.NextRemote, sentOrigins: sentOrigins.Cell, origins: state.origins,
	}
	if response.OriginsLast != nil {
		next.origins = *response.OriginsLast
	}
	if request.Parts != nil {
		next.sentParts = request.Parts.Version
	}
	if response.Parts != nil {
		next.partVersion = response.Parts.Version
	}
	if response.Limited {
		next.nextRegion, next.nextRemote = state.nextRegion, state.nextRemote
	}
	if state.started != response.Started {
		next = link{started: response.Started} // a new process, which has nothing yet and numbers anew
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.links[other.ID] = &next
	return nil
}

// linkTo returns the state of the exchanges with an instance, and drops the state of
// those with instances that are gone.
func (e *exchanger) linkTo(other roster.Instance) link {
	e.mu.Lock()
	defer e.mu.Unlock()
	const maxLinks = 64
	if len(e.links) > maxLinks {
		clear(e.links)
	}
	if state := e.links[other.ID]; state != nil && state.started == other.Started {
		return *state
	}
	return link{started: other.Started}
}

// summariesDue reports whether the summaries of other regions are old enough to be
// requested again.
func (e *exchanger) summariesDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.summarized) >= remoteExchangeInterval-exchangeInterval/2
}

// receive merges the response to a request that was sent at the given time.
func (e *exchanger) receive(sent time.Time, response *exchangeResponse, role collector.Source) {
	i, now := e.instance, time.Now()
	if len(response.Summaries) > 0 {
		e.receiveSummaries(sent, response.Summaries)
	}
	if response.Parts != nil {
		i.parts.Merge(now, response.Parts)
	}
	if role == collector.Remote {
		i.origins.receive(now, collector.Remote, response.Origins)
		i.quotas.Merge(now, now.Sub(sent), quota.Remote, response.Region, response.Quota)
		i.router.Remote.MergePlacements(now, response.Placements)
		e.hub.AddPlacements(now, collector.Remote, response.Placements)
		return
	}
	i.origins.receive(now, collector.Collector, response.Origins)
	if role == collector.Collector {
		i.quotas.Merge(now, now.Sub(sent), quota.Collector, response.ID, response.Quota)
		e.hub.Report(now, collector.Collector, response.ID, response.Work)
	} else {
		i.quotas.Merge(now, now.Sub(sent), quota.Upstream, response.ID, response.Quota)
		e.hub.Receive(now, response.Work)
	}
	recordLoads(sent, response.Loads, i.registry.All())
	response.Slowdowns.record(now, i.registry.All())
	response.RateLimits.record(sent, i.registry.All())
	response.Capacities.record(sent, response.ID, role, i.registry.All())
	i.router.Prefix.MergePlacements(now, response.Placements)
	i.router.Remote.MergePlacements(now, response.Remote)
	e.hub.AddPlacements(now, collector.Collector, response.Placements)
}

// receiveSummaries stores summaries of other regions.
func (e *exchanger) receiveSummaries(sent time.Time, summaries []agedSummary) {
	for _, s := range summaries {
		if s.Region != e.instance.settings.Region && s.AgeMS >= 0 {
			s.At = sent.Add(-time.Duration(s.AgeMS) * time.Millisecond)
			e.instance.summaries.Put(s.RegionSummary)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.summarized = sent
}

// apply sets the prompt tokens that the other instances have sent to each server and
// that are not computed yet.
func (e *exchanger) apply() {
	work := e.hub.OthersWork(time.Now(), nil, e.instance.settings.Instance)
	for _, server := range e.instance.registry.All() {
		for rank, tokens := range work[server.Key] {
			server.SetPeerPrefill(catalog.Rank(rank), tokens)
		}
	}
}

// ownWork returns the prompt tokens that this instance has sent to backend servers and
// that are not computed yet.
func (i *Instance) ownWork() collector.Work {
	own := make(collector.Work)
	for _, server := range i.registry.All() {
		var tokens [catalog.RankCount]int
		for rank := range tokens {
			tokens[rank] = server.LocalPrefill(catalog.Rank(rank))
		}
		if tokens != ([catalog.RankCount]int{}) {
			own[server.Key] = tokens
		}
	}
	return own
}

// post sends a message to another instance, decodes the response into response and
// counts whether that succeeded.
func (i *Instance) post(ctx context.Context, target string, stallTimeout time.Duration, message, response any) error {
	body, err := json.Marshal(message)
	if err == nil {
		err = i.do(ctx, http.MethodPost, target, stallTimeout, bytes.NewReader(body), response)
	}
	i.traffic.RecordQuery(err)
	return err
}
