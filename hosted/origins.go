package hosted

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
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

	// lookupTime bounds a lookup, regionLookupTime and remoteLookupTime the parts of it in
	// the own region and in others.
	lookupTime       = time.Second
	regionLookupTime = 120 * time.Millisecond
	remoteLookupTime = 800 * time.Millisecond
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

	archive originArchive
	budget  *byteBudget
	lookups chan struct{} // has an element for each one in progress
}

func newOrigins(i *Instance) *origins {
	return &origins{
		instance: i, archive: newOriginArchive(i), budget: newByteBudget(i.settings.LinkRate, originLinkFraction), lookups: make(chan struct{}, maxLookups),
		table:  origin.Table{Capacity: maxOrigins, TTL: originTTL},
		region: origin.Table{Capacity: maxOrigins, TTL: originTTL},
		remote: origin.Table{Capacity: maxOrigins, TTL: originTTL},
	}
}

// streamBegan records the version that has sent the first event of a stream or, provisionally,
// the one that has been chosen to do so. The only version of a service needs no provisional
// record. The first event waits until the archive has that record.
func (o *origins) streamBegan(x *filters.Exchange, version origin.Version, provisional bool) {
	if !x.Work.Streamed || !x.Work.Resumable {
		return
	}
	key, contested := x.StreamKey(), o.instance.versions.contested()[version]
	if provisional && !contested {
		return
	}
	if chosen := o.table.Number(key); !provisional && contested && chosen > 0 {
		ctx, cancel := context.WithTimeout(x.Request.Context(), maxArchiveWait)
		defer cancel()
		o.archive.stored.await(ctx, chosen)
	}
	o.table.Add(time.Now(), origin.Record{Key: key, Version: version, Provisional: provisional})
}

// findLocal returns the version that began a stream, if this instance knows it for certain.
func (o *origins) findLocal(key origin.Key) (origin.Version, origin.Source) {
	record, known := o.record(key)
	if !known || record.Provisional {
		return 0, origin.SourceUnknown
	}
	return record.Version, origin.SourceLocal
}

// record returns what this instance knows of the origin of a stream.
func (o *origins) record(key origin.Key) (origin.Record, bool) {
	merged, now := origin.Table{Capacity: 1, TTL: originTTL}, time.Now()
	for _, table := range []*origin.Table{&o.table, &o.region, &o.remote, &o.archive.table} {
		if found, known := table.Find(now, key); known {
			merged.Add(now, found)
		}
	}
	return merged.Find(now, key)
}

// find asks other instances for the version that began a stream and, if its service has
// several versions, reads the archive.
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
	i := o.instance
	own, contested := i.settings.Region, len(i.versions.contested()) > 0
	found, complete := o.askFirst(ctx, key, o.holders(own), regionLookupTime)
	if found.Version != 0 && !found.Provisional {
		return found.Version, origin.SourceRegion
	}
	archived := make(chan time.Time, 1)
	if contested {
		go func() { archived <- o.archive.read(ctx) }()
	} else {
		archived <- start
	}
	var others []roster.Instance
	for _, region := range (regionPeers{i}).Reachable() {
		others = append(others, o.holders(region)...)
	}
	elsewhere, othersComplete := o.askFirst(ctx, key, others, remoteLookupTime)
	if elsewhere.Version != 0 && !elsewhere.Provisional {
		return elsewhere.Version, origin.SourceOtherRegion
	}
	readAt := <-archived
	complete = complete && othersComplete && !readAt.IsZero() && i.versions.regionsKnown()
	merged, now := origin.Table{Capacity: 1, TTL: originTTL}, time.Now()
	local, _ := o.record(key)
	for _, record := range []origin.Record{local, found, elsewhere} {
		merged.Add(now, record)
	}
	record, known := merged.Find(now, key)
	switch {
	case known && (complete || !record.Provisional):
		return record.Version, origin.SourceArchive
	// In a large region, records are under way for up to two exchanges.
	case !known && complete && contested && !readAt.Before(start) && len(i.roster.InRegion(own)) <= smallRegion:
		return 0, origin.SourceLost
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

// askFirst asks instances in parallel and returns the first record learned, its zero value if
// there is none within the timeout. Provisional records count only when all have responded.
// complete tells that all have.
func (o *origins) askFirst(ctx context.Context, key origin.Key, instances []roster.Instance, timeout time.Duration) (found origin.Record, complete bool) {
	// The other queries go on when a version has been learned: to cancel one closes its
	// connection.
	queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	records := make(chan origin.Record, len(instances))
	var failed atomic.Bool
	var group sync.WaitGroup
	for _, other := range instances {
		group.Go(func() {
			record, err := o.ask(queryCtx, key, other)
			if err != nil {
				failed.Store(true)
				o.instance.log.Debug().Str("event", "origin_query_failed").Str("peer", other.ID).Err(err).Msg("")
			}
			records <- record
		})
	}
	go func() { group.Wait(); cancel() }()
	provisional := origin.Table{Capacity: 1, TTL: originTTL}
	for range instances {
		select {
		case record := <-records:
			if record.Version != 0 && !record.Provisional {
				return record, true
			}
			provisional.Add(time.Now(), record)
		case <-ctx.Done():
			return origin.Record{}, false
		}
	}
	found, _ = provisional.Find(time.Now(), key)
	return found, !failed.Load()
}

func (o *origins) ask(ctx context.Context, key origin.Key, other roster.Instance) (origin.Record, error) {
	var response originResponse
	query := peerQuery{other.PeerAddr, originPath, url.Values{"key": {key.String()}}, remoteStallTimeout}
	if err := o.instance.queryPeer(ctx, query, &response); err != nil {
		return origin.Record{}, err
	}
	version, err := origin.ParseVersion(response.Version)
	return origin.Record{Key: key, Version: version, Provisional: response.Provisional}, err
}

// originResponse is what an instance knows of the origin of a stream.
type originResponse struct {
	Version     string `json:"version"` // that began the stream; "" if unknown
	Provisional bool   `json:"provisional,omitempty"`
}

// serveOrigin responds with the version that began a stream.
func (o *origins) serveOrigin(w http.ResponseWriter, r *http.Request) {
	key, err := origin.ParseKey(r.URL.Query().Get("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record, _ := o.record(key)
	o.instance.writeJSON(w, originResponse{record.Version.String(), record.Provisional})
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
