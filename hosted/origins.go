package hosted

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/roster"
)

const (
	// originPath is the path of the queries for the version that began a stream.
	originPath = "/fuchsia/stream-origin"

	// originTTL exceeds the time from the first event of a stream until its caller can ask for
	// the rest: the longest timeout of a request.
	originTTL  = time.Minute
	maxOrigins = 1 << 17 // in each table

	// originsPerExchange and originsPerRemoteExchange bound the records that are sent at
	// once.
	originsPerExchange       = 1 << 10
	originsPerRemoteExchange = origin.MaxRecords
	// originLinkFraction is the fraction of the link rate that records may use.
	originLinkFraction = 0.05

	// lookupTime bounds a lookup at other instances, and regionLookupTime the part of it in
	// the own region.
	lookupTime       = 400 * time.Millisecond
	regionLookupTime = 120 * time.Millisecond
	maxLookups       = 64 // at once
	// keepersAsked is how many keepers of a region a lookup asks: one may have been lost or
	// have just become a keeper.
	keepersAsked = 2
	// smallRegion is the largest number of instances of the own region that are all asked.
	// They know records that have not reached a keeper.
	smallRegion = 8
)

// origins finds which version of a service began a stream. The record of a stream goes from
// the instance that made it to its collector, and from there to the other collectors of the
// region and to the collectors of one other region.
type origins struct {
	instance *Instance
	// table has the records of this instance and, at a collector, those of the members of
	// its cell. They are passed on to the other collectors.
	table  origin.Table
	region origin.Table // records received from collectors of the region
	remote origin.Table // records of the regions that this one keeps a copy of

	budget  *byteBudget
	lookups chan struct{} // has an element for each one in progress
}

func newOrigins(i *Instance) *origins {
	return &origins{
		instance: i, budget: newByteBudget(i.settings.LinkRate, originLinkFraction), lookups: make(chan struct{}, maxLookups),
		table:  origin.Table{Capacity: maxOrigins, TTL: originTTL},
		region: origin.Table{Capacity: maxOrigins, TTL: originTTL},
		remote: origin.Table{Capacity: maxOrigins, TTL: originTTL},
	}
}

// streamBegan records the version that has sent the first event of a stream.
func (o *origins) streamBegan(x *filters.Exchange, version origin.Version) {
	if !x.Work.Streamed || !x.Work.Resumable {
		return
	}
	o.table.Add(time.Now(), origin.Record{Key: x.StreamKey(), Version: version})
}

// findLocal returns the version that began a stream, if this instance knows it.
func (o *origins) findLocal(key origin.Key) (origin.Version, origin.Source) {
	version, now := origin.Version(0), time.Now()
	for _, table := range []*origin.Table{&o.table, &o.region, &o.remote} {
		found, known := table.Find(now, key)
		switch {
		case !known || found == version:
		case version == 0:
			version = found
		default:
			version = origin.Ambiguous
		}
	}
	if version == 0 {
		return 0, origin.SourceUnknown
	}
	return version, origin.SourceLocal
}

// find asks other instances for the version that began a stream.
func (o *origins) find(ctx context.Context, key origin.Key) (version origin.Version, source origin.Source) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	defer func() {
		o.instance.log.Info().Str("event", "stream_origin").Str("key", key.String()).Str("version", version.String()).
			Str("source", string(source)).Dur("elapsed", time.Since(start)).Msg("")
	}()
	select {
	case o.lookups <- struct{}{}:
		defer func() { <-o.lookups }()
	case <-ctx.Done():
		return 0, origin.SourceUnknown
	}
	if version = o.askFirst(ctx, key, o.holders(o.instance.settings.Region), regionLookupTime); version != 0 {
		return version, origin.SourceRegion
	}
	var others []roster.Instance
	for _, region := range (regionPeers{o.instance}).Reachable() {
		others = append(others, o.holders(region)...)
	}
	if version = o.askFirst(ctx, key, others, lookupTime-time.Since(start)); version != 0 {
		return version, origin.SourceOtherRegion
	}
	return 0, origin.SourceUnknown
}

// holders returns the instances of a region to ask for the origin of a stream: its keepers
// or, in the own region if it is small, all instances.
func (o *origins) holders(region string) []roster.Instance {
	i := o.instance
	holders, limit := ids(i.roster.InRegion(region)), smallRegion
	if region != i.settings.Region || len(holders) > smallRegion {
		holders, limit = collector.Keepers(holders), keepersAsked
	}
	holders = slices.DeleteFunc(holders, func(id string) bool { return id == i.settings.Instance })
	var list []roster.Instance
	for _, id := range membership.Rendezvous(holders, i.settings.Instance, limit) {
		if holder, live := i.exchanger.find(region, id); live {
			list = append(list, holder)
		}
	}
	return list
}

// askFirst asks instances in parallel and returns the first version learned, 0 if there is
// none within the timeout.
func (o *origins) askFirst(ctx context.Context, key origin.Key, instances []roster.Instance, timeout time.Duration) origin.Version {
	// The other queries go on when a version has been learned: to cancel one closes its
	// connection.
	queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	versions := make(chan origin.Version, len(instances))
	var group sync.WaitGroup
	for _, other := range instances {
		group.Go(func() {
			version, err := o.ask(queryCtx, key, other)
			if err != nil {
				o.instance.log.Debug().Str("event", "origin_query_failed").Str("peer", other.ID).Err(err).Msg("")
			}
			versions <- version
		})
	}
	go func() { group.Wait(); cancel() }()
	for range instances {
		select {
		case version := <-versions:
			if version != 0 {
				return version
			}
		case <-ctx.Done():
			return 0
		}
	}
	return 0
}

func (o *origins) ask(ctx context.Context, key origin.Key, other roster.Instance) (origin.Version, error) {
	var response originResponse
	query := peerQuery{other.PeerAddr, originPath, url.Values{"key": {key.String()}}, remoteStallTimeout}
	if err := o.instance.queryPeer(ctx, query, &response); err != nil {
		return 0, err
	}
	return origin.ParseVersion(response.Version)
}

// originResponse is what an instance knows of the origin of a stream.
type originResponse struct {
	Version string `json:"version"` // that began the stream; "" if unknown
}

// serveOrigin responds with the version that began a stream.
func (o *origins) serveOrigin(w http.ResponseWriter, r *http.Request) {
	key, err := origin.ParseKey(r.URL.Query().Get("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, _ := o.findLocal(key)
	o.instance.writeJSON(w, originResponse{Version: version.String()})
}

// originNumbers are the numbers of the last records received from an instance.
type originNumbers struct {
	Cell   uint64 `json:"cell"`   // in its table of records to pass on
	Region uint64 `json:"region"` // in its table of records from other collectors
}

// since returns records that were made after the given ones, and the numbers of the last
// ones. Those of the region are included if whole is set.
func (o *origins) since(now time.Time, after originNumbers, limit int, whole bool) (origin.Records, originNumbers) {
	if !o.budget.available() {
		return nil, after
	}
	records, last := o.table.After(now, after.Cell, limit)
	after.Cell = last
	if whole {
		others, last := o.region.After(now, after.Region, limit-len(records))
		records, after.Region = append(records, others...), last
	}
	o.budget.spend(origin.Records(records).EncodedLen())
	return records, after
}

// receive stores records from an instance that is source to this one.
func (o *origins) receive(now time.Time, source collector.Source, records origin.Records) {
	table := &o.region
	switch source {
	case collector.Member:
		table = &o.table
	case collector.Remote:
		table = &o.remote
	}
	for _, record := range records {
		table.Add(now, record)
	}
}

// wanted reports whether this instance requests the records that an instance of a region
// keeps: all keepers have those of their region, and the collectors of one other region.
func (o *origins) wanted(region string) bool {
	i := o.instance
	if region == i.settings.Region {
		return slices.Contains(collector.Keepers(ids(i.roster.InRegion(region))), i.settings.Instance)
	}
	others := slices.DeleteFunc(slices.Clone(i.roster.Regions()), func(r string) bool { return r == region })
	return slices.Contains(membership.Rendezvous(others, region, 1), i.settings.Region)
}
