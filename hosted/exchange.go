package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/routing"
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
	// maxSummaryAge is the age above which a summary is not passed on.
	maxSummaryAge = 5 * time.Second
	// newsAge is the mean time from the dispatch of a prompt until the other instances
	// know of it: half of each of two intervals, and the processing of two messages.
	newsAge = exchangeInterval + 80*time.Millisecond
	// workTTL allows for three lost reports.
	workTTL = 4 * exchangeInterval
	// collectorRetryTime is how long an instance uses another collector after its
	// first one has failed.
	collectorRetryTime = 2 * time.Second

	maxExchangeBytes   = 1 << 20
	maxNewPlacements   = 1 << 12 // in one message
	maxSlowdownsInList = 1 << 12
)

// exchangeRequest is what an instance tells a collector, and from where on it wants
// the placements and the evidence against parts of prompts.
type exchangeRequest struct {
	ID      string `json:"id"`
	Started int64  `json:"started"` // of the process, in Unix milliseconds
	// Role is what the sender is to the receiver.
	Role       collector.Source       `json:"role"`
	Work       collector.Work         `json:"work,omitempty"`
	Slowdowns  slowdowns              `json:"slowdowns,omitempty"`
	Placements placements             `json:"placements,omitempty"`
	Parts      *quarantine.PartReport `json:"parts,omitempty"`

	// Summaries asks for the summaries of other regions, or of the receiver's region if
	// the sender is of another one.
	Summaries bool `json:"summaries,omitempty"`

	Region uint64 `json:"region"` // first placement of the region that is wanted
	Remote uint64 `json:"remote"` // the same of other regions
	Since  uint64 `json:"since"`  // version of the last parts received
}

// exchangeResponse is what a collector knows of other instances.
type exchangeResponse struct {
	ID         string                 `json:"id"`
	Started    int64                  `json:"started"`
	Work       collector.Work         `json:"work,omitempty"`
	Slowdowns  slowdowns              `json:"slowdowns,omitempty"`
	Placements placements             `json:"placements,omitempty"` // of the region
	Remote     placements             `json:"remote,omitempty"`     // of other regions
	Parts      *quarantine.PartReport `json:"parts,omitempty"`
	Summaries  []agedSummary          `json:"summaries,omitempty"`

	NextRegion uint64 `json:"next-region"`
	NextRemote uint64 `json:"next-remote"`
	// Limited means that placements and parts are missing, as the link carries
	// enough of them already.
	Limited bool `json:"limited,omitempty"`
}

// agedSummary is the summary of a service in a region, and how old it is.
type agedSummary struct {
	routing.RegionSummary
	AgeMS int64 `json:"age-ms"`
}

// check returns a *check.FieldError for the first field that cannot be used.
func (r *exchangeRequest) check() error {
	switch r.Role {
	case collector.Member, collector.Collector, collector.Remote:
	default:
		return check.Field("role", string(r.Role), check.ErrUnknown)
	}
	if len(r.Placements) > maxNewPlacements || len(r.Slowdowns) > maxSlowdownsInList {
		return check.Field("placements", r.ID, check.ErrOutOfRange)
	}
	return nil
}

// link is the state of the exchanges with one collector: what it has received, and what
// has been received from it.
type link struct {
	started                int64 // start of its process
	sentPlacements         uint64
	sentParts, partVersion uint64
	nextRegion, nextRemote uint64
}

// exchanger exchanges reports with collectors, and serves the exchanges of others.
type exchanger struct {
	instance *Instance
	hub      collector.Hub
	// addr returns the address at which another instance is reached.
	addr func(other roster.Instance) string

	mu         sync.Mutex
	links      map[string]*link // by instance
	ownNext    uint64           // first placement of this instance that hub does not have
	summarized time.Time        // when summaries were last received
	failures   uint64           // of the collector in use
	failedAt   time.Time
	selected   selection
}

// selection is the result of selecting the collectors among live instances.
type selection struct {
	live       []roster.Instance
	collectors []string
}

func newExchanger(i *Instance) *exchanger {
	return &exchanger{
		instance: i, hub: collector.Hub{TTL: workTTL}, links: make(map[string]*link),
		addr: func(other roster.Instance) string { return other.PeerAddr },
	}
}

// run exchanges reports until ctx ends.
func (e *exchanger) run(ctx context.Context) {
	var remoteAt time.Time
	loop.Every(ctx, exchangeInterval, func(ctx context.Context) {
		e.exchangeInRegion(ctx)
		if now := time.Now(); now.Sub(remoteAt) >= remoteExchangeInterval {
			remoteAt = now
			e.exchangeWithRegions(ctx)
		}
	})
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
	e.publishOwn()
	if slices.Contains(collectors, i.settings.Instance) {
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
			e.recordResult(id, e.exchange(ctx, other, collector.Member))
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

func (e *exchanger) recordResult(id string, err error) {
	if err == nil {
		return
	}
	e.logFailure(id, err)
	e.mu.Lock()
	defer e.mu.Unlock()
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
		if other, live := e.find(region, collector.Choose(remote, i.settings.Instance, 0)); live {
			group.Go(func() { e.logFailure(other.ID, e.exchange(ctx, other, collector.Remote)) })
		}
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
	sentPlacements, stall := state.sentPlacements, remoteStallTimeout
	if role != collector.Remote {
		own := e.hub.Placements(collector.Collector, state.sentPlacements, 0)
		request.Placements, sentPlacements = own.Region, own.NextRegion
		request.Work = e.hub.CellWork(now, i.ownWork())
		request.Slowdowns = recentSlowdowns(now, i.registry.All())
		request.Summaries = role == collector.Member && e.summariesDue(now)
		stall = exchangeStallTimeout
	}
	var response exchangeResponse
	if err := i.post(ctx, e.addr(other)+exchangePath, stall, request, &response); err != nil {
		return err
	}
	if response.ID != other.ID {
		return errors.Errorf("exchange with %s: instance %s responded", other.ID, response.ID)
	}
	e.receive(now, &response, role)
	next := link{
		started: response.Started, sentPlacements: sentPlacements, sentParts: state.sentParts, partVersion: state.partVersion,
		nextRegion: response.NextRegion, nextRemote: response.NextRemote,
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
		i.router.Remote.MergePlacements(now, response.Placements)
		e.hub.AddPlacements(now, collector.Remote, response.Placements)
		return
	}
	e.hub.Report(now, collector.Collector, response.ID, response.Work)
	response.Slowdowns.record(now, i.registry.All())
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

// ownSummaries returns the summaries of this region.
func (e *exchanger) ownSummaries() []agedSummary {
	var own []agedSummary
	for _, service := range e.instance.registry.Services() {
		own = append(own, agedSummary{RegionSummary: e.instance.router.Summarize(service)})
	}
	return own
}

// otherSummaries returns the summaries of other regions, with their age.
func (e *exchanger) otherSummaries(now time.Time) []agedSummary {
	var others []agedSummary
	for _, summary := range e.instance.summaries.All() {
		if age := now.Sub(summary.At); age <= maxSummaryAge {
			others = append(others, agedSummary{summary, age.Milliseconds()})
		}
	}
	return others
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

// serveExchange merges the report of another instance and responds with what this one
// knows of the others.
func (e *exchanger) serveExchange(w http.ResponseWriter, r *http.Request) {
	i := e.instance
	var request exchangeRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExchangeBytes))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err == nil {
		err = request.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	response := exchangeResponse{ID: i.settings.Instance, Started: i.roster.Self.Started}
	if request.Parts != nil {
		i.parts.Merge(now, request.Parts)
	}
	if request.Role != collector.Remote {
		if _, live := e.find(i.settings.Region, request.ID); !live {
			http.Error(w, "instance "+check.Shorten(request.ID)+" is not known in region "+i.settings.Region, http.StatusConflict)
			return
		}
		e.hub.Report(now, request.Role, request.ID, request.Work)
		request.Slowdowns.record(now, i.registry.All())
		i.router.Prefix.MergePlacements(now, request.Placements)
		e.hub.AddPlacements(now, request.Role, request.Placements)
		own := i.ownWork()
		if request.Role == collector.Collector {
			response.Work = e.hub.CellWork(now, own)
		} else {
			response.Work = e.hub.OthersWork(now, own, request.ID)
		}
		response.Slowdowns = recentSlowdowns(now, i.registry.All())
	}
	switch {
	case !request.Summaries:
	case request.Role == collector.Remote:
		response.Summaries = e.ownSummaries()
	default:
		response.Summaries = e.otherSummaries(now)
	}
	response.Limited = !i.reportBudget.available()
	if !response.Limited {
		known := e.hub.Placements(request.Role, request.Region, request.Remote)
		response.Placements, response.NextRegion = known.Region, known.NextRegion
		response.Remote, response.NextRemote = known.Remote, known.NextRemote
		response.Parts = i.parts.Report(now, request.Since)
	}
	i.reportBudget.spend(i.writeJSON(w, response))
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
