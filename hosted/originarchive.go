package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// originArchivePrefix is the prefix of the keys with records of streams in the store. It is
	// followed by a region and the number of a slot.
	originArchivePrefix = "fuchsiastack/origins/"
	// archiveSendInterval and archiveInterval are the times between two messages to the writer,
	// and between two writes.
	archiveSendInterval = 30 * time.Millisecond
	archiveInterval     = 80 * time.Millisecond
	// archiveSlots is the number of slots of a region, each for archiveSlotTime. They hold more
	// than originTTL.
	archiveSlots    = 256
	archiveSlotTime = 250 * time.Millisecond
	// maxTxnOps is the largest number of operations that the store takes at once.
	maxTxnOps = 32
	// maxArchiveWait is how long the first event of a stream waits for its record to be in the
	// store: no longer than a write usually takes.
	maxArchiveWait = 350 * time.Millisecond
	// archiveReadInterval is the shortest time between two listings of the archive, and
	// archiveReadTime the longest time of one.
	archiveReadInterval = time.Second
	archiveReadTime     = 2 * time.Second
)

// originArchive keeps records of streams in the store, for the case that all instances are
// killed at once. Only streams of services with several versions are written: of a service
// with one version, the origin of a stream is known without a record. One collector of each
// region writes those of the region. In a small region it receives them from the others at
// once; in a large one they come with the exchange.
type originArchive struct {
	instance *Instance

	// Only run uses these.
	versions  map[origin.Version]bool // of the services with several ones
	writer    string                  // instance that the records go to
	numbers   originNumbers           // of the last records written, or sent to the writer
	slot      int
	records   origin.Records // in slot
	writtenAt time.Time      // start of the last write
	removed   int            // slots that are known to be absent, the first ones

	pending []sentRecords // to the writer, not known to be in the store

	stored storedRecords

	table  origin.Table // records read
	reads  singleflight.Group
	mu     sync.Mutex
	readAt time.Time // start of the last reading
}

// sentRecords are records that have been sent to the writer.
type sentRecords struct {
	own     uint64 // number of the last one in the table of this instance
	writers uint64 // number of the last record of the writer by then
}

// storedRecords tells which records of an instance's table are in the store.
type storedRecords struct {
	mu       sync.Mutex
	last     uint64        // number of the last one
	advanced chan struct{} // closed when last changes or active ends; nil if nobody waits
	active   bool          // last follows the table closely
}

// set records the number of the last record in the store.
func (s *storedRecords) set(last uint64, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == last && s.active == active {
		return
	}
	s.last, s.active = last, active
	if s.advanced != nil {
		close(s.advanced)
		s.advanced = nil
	}
}

// get returns the number of the last record in the store.
func (s *storedRecords) get() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// await waits until a record is in the store, as long as records are stored, or until ctx ends.
func (s *storedRecords) await(ctx context.Context, number uint64) {
	for {
		s.mu.Lock()
		if !s.active || s.last >= number {
			s.mu.Unlock()
			return
		}
		if s.advanced == nil {
			s.advanced = make(chan struct{})
		}
		advanced := s.advanced
		s.mu.Unlock()
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}

func newOriginArchive(i *Instance) originArchive {
	return originArchive{instance: i, removed: archiveSlots, table: origin.Table{Capacity: maxOrigins, TTL: originTTL}}
}

// run writes the archive until ctx ends.
func (a *originArchive) run(ctx context.Context) { loop.Every(ctx, archiveSendInterval, a.update) }

// update passes the new records on to the writer or, at the writer, to the store. The writer
// removes its slots once no service has several versions.
func (a *originArchive) update(ctx context.Context) {
	i := a.instance
	collectors, versions := i.exchanger.collectors(), i.versions.contested()
	if len(collectors) == 0 {
		return
	}
	if writer := slices.Min(collectors); writer != a.writer {
		a.writer, a.versions, a.pending = writer, nil, nil
	}
	if a.writer == i.settings.Instance && len(versions) == 0 {
		a.remove(ctx, time.Now())
	}
	for version := range versions {
		if !a.versions[version] {
			a.numbers, a.records = originNumbers{}, nil // records of its service were left out so far
		}
	}
	if a.versions = versions; len(versions) == 0 {
		a.stored.set(0, false)
		return
	}
	if a.writer == i.settings.Instance {
		a.write(ctx, time.Now())
		return
	}
	if len(i.roster.InRegion(i.settings.Region)) <= smallRegion {
		a.send(ctx, time.Now())
	}
}

// send sends the new records of this instance to the writer, or asks it which ones are in the
// store.
func (a *originArchive) send(ctx context.Context, now time.Time) {
	i := a.instance
	records, numbers := a.collect(now, originsPerExchange)
	other, live := i.exchanger.find(i.settings.Region, a.writer)
	if !live || len(records) == 0 && len(a.pending) == 0 {
		a.numbers = numbers
		a.stored.set(numbers.Cell, live)
		return
	}
	var response archiveResponse
	if err := i.post(ctx, other.PeerAddr+originPath, exchangeStallTimeout, records, &response); err != nil {
		a.stored.set(a.stored.get(), false)
		return
	}
	if len(a.pending) > 0 && response.Last < a.pending[len(a.pending)-1].writers {
		// The writer is another process, which has none of the records.
		a.numbers, a.pending = originNumbers{}, nil
		return
	}
	a.numbers = numbers
	if len(records) > 0 {
		a.pending = append(a.pending, sentRecords{numbers.Cell, response.Last})
	}
	stored := a.stored.get()
	for len(a.pending) > 0 && a.pending[0].writers <= response.Stored {
		stored, a.pending = a.pending[0].own, a.pending[1:]
	}
	a.stored.set(stored, response.Active)
}

// archiveResponse is the response of the writer to records. Numbers are those of its table.
type archiveResponse struct {
	Last   uint64 `json:"last"`   // of the last record, those of the request included
	Stored uint64 `json:"stored"` // of the last one that is in the store
	Active bool   `json:"active"` // records are being stored
}

// serveRecords receives the records that another instance sends to this one, the writer.
func (a *originArchive) serveRecords(w http.ResponseWriter, r *http.Request) {
	var records origin.Records
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExchangeBytes)).Decode(&records); err != nil {
		http.Error(w, "records: "+err.Error(), http.StatusBadRequest)
		return
	}
	o := a.instance.origins
	o.receive(time.Now(), collector.Member, records)
	a.stored.mu.Lock()
	response := archiveResponse{Last: o.table.Last(), Stored: a.stored.last, Active: a.stored.active}
	a.stored.mu.Unlock()
	a.instance.writeJSON(w, response)
}

// write writes the new records to the current slot.
func (a *originArchive) write(ctx context.Context, now time.Time) {
	if now.Sub(a.writtenAt) < archiveInterval {
		return
	}
	a.writtenAt = now
	if slot := int(now.UnixMilli() / archiveSlotTime.Milliseconds() % archiveSlots); slot != a.slot {
		a.slot, a.records = slot, nil
	}
	added, numbers := a.collect(now, origin.MaxRecords-len(a.records))
	if len(added) == 0 {
		a.numbers = numbers
		a.stored.set(numbers.Cell, true)
		return
	}
	records := slices.Concat(a.records, added)
	value, err := json.Marshal(records)
	if err != nil {
		return
	}
	if err := a.instance.store.Txn(ctx, []store.Op{{Kind: store.OpSet, Key: a.slotKey(a.slot), Value: value}}); err != nil {
		a.instance.log.Debug().Str("event", "origin_archive").Str("state", "failed").Err(err).Msg("")
		a.stored.set(a.stored.get(), false)
		return
	}
	a.records, a.numbers, a.removed = records, numbers, 0
	a.stored.set(numbers.Cell, true)
}

// collect returns at most limit records of contested versions that have not been written yet,
// and the numbers of the last ones.
func (a *originArchive) collect(now time.Time, limit int) (records origin.Records, numbers originNumbers) {
	o := a.instance.origins
	numbers = a.numbers
	for _, source := range []struct {
		table  *origin.Table
		number *uint64
	}{{&o.table, &numbers.Cell}, {&o.region, &numbers.Region}} {
		for room := limit - len(records); room > 0; room = limit - len(records) {
			next, last := source.table.After(now, *source.number, room)
			if last == *source.number {
				break
			}
			*source.number = last
			for _, record := range next {
				if a.versions[record.Version] || record.Version == origin.Ambiguous {
					records = append(records, record)
				}
			}
		}
	}
	return records, numbers
}

// remove deletes some of the slots that this instance may have written.
func (a *originArchive) remove(ctx context.Context, now time.Time) {
	if a.removed == archiveSlots || now.Sub(a.writtenAt) < archiveInterval {
		return
	}
	a.writtenAt = now
	var ops []store.Op
	for slot := a.removed; slot < min(a.removed+maxTxnOps, archiveSlots); slot++ {
		ops = append(ops, store.Op{Kind: store.OpDelete, Key: a.slotKey(slot)})
	}
	if a.instance.store.Txn(ctx, ops) == nil {
		a.removed += len(ops)
	}
}

func (a *originArchive) slotKey(slot int) string {
	return originArchivePrefix + a.instance.settings.Region + "/" + strconv.Itoa(slot)
}

// read adds the records of all regions to the table, unless that was done a moment ago. It
// returns when the reading began, the zero time if it failed or ctx has ended.
func (a *originArchive) read(ctx context.Context) time.Time {
	a.mu.Lock()
	readAt := a.readAt
	a.mu.Unlock()
	if time.Since(readAt) < archiveReadInterval {
		return readAt
	}
	done := a.reads.DoChan("", func() (any, error) {
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), archiveReadTime)
		defer cancel()
		start := time.Now()
		count, err := a.list(readCtx)
		a.instance.log.Info().Str("event", "origin_archive").Str("state", "read").Int("records", count).
			Dur("elapsed", time.Since(start)).AnErr("error", err).Msg("")
		if err != nil {
			return time.Time{}, err
		}
		a.mu.Lock()
		a.readAt = start
		a.mu.Unlock()
		return start, nil
	})
	select {
	case result := <-done:
		start, _ := result.Val.(time.Time)
		return start
	case <-ctx.Done():
		return time.Time{}
	}
}

// list reads the archive and returns the number of its records. A slot that cannot be decoded
// is left out.
func (a *originArchive) list(ctx context.Context) (count int, err error) {
	for after := ""; ; {
		page, err := a.instance.store.Page(ctx, originArchivePrefix, after)
		if err != nil {
			return count, err
		}
		for _, entry := range page.Entries {
			var records origin.Records
			if json.Unmarshal(entry.Value, &records) != nil {
				continue
			}
			for _, record := range records {
				a.table.Add(time.Now(), record)
			}
			count += len(records)
		}
		if !page.More || len(page.Entries) == 0 {
			return count, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
