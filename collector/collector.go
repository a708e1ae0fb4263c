// Package collector merges what the instances of a region know of its backend servers:
// the prompt tokens that they have sent and that are not computed yet, and the servers
// that have cached prefixes. A few instances of each region are collectors. Each other
// instance exchanges reports with one of them, and the collectors with each other, so
// that every instance has what all others know after two exchanges, for a number of
// messages that grows with the number of instances and not with its square.
//
// Nothing is elected or stored. A collector is a place where knowledge meets, never a
// condition for a request: an instance without one goes by what it has sent itself.
// The package does no I/O.
package collector

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	// cellSize is the largest number of instances that share a collector on average.
	cellSize = 16
	// selectionKey selects the collectors among the instances of a region.
	selectionKey = "collectors"
	minKeepers   = 2
	// MaxTokens bounds the pending prompt tokens of a server and rank.
	MaxTokens = 1 << 30
	// maxSources bounds the instances whose reports are kept.
	maxSources = 1 << 10
)

// Select returns the ids of the collectors among the instances of a region. Instances
// that know the same instances select the same collectors.
func Select(instances []string) []string {
	return membership.Rendezvous(instances, selectionKey, (len(instances)+cellSize-1)/cellSize)
}

// Keepers returns the ids of the instances that know the streams of all instances of a
// region: the collectors and, if there is only one, the next in line. The loss of one
// instance leaves another that knows them.
func Keepers(instances []string) []string {
	return membership.Rendezvous(instances, selectionKey, max(len(Select(instances)), minKeepers))
}

// Choose returns the collector that an instance uses after a number of failures of
// collectors: each failure leads to the next one in an order of its own. collectors
// must not be empty.
func Choose(collectors []string, instance string, failures uint64) string {
	order := membership.Rendezvous(collectors, instance, len(collectors))
	return order[failures%uint64(len(order))]
}

// Work holds the prompt tokens that were sent to backend servers and are not computed
// yet, by key of the server and rank.
type Work map[uint64][catalog.RankCount]int

// Add adds other to w.
func (w Work) Add(other Work) {
	for server, tokens := range other {
		total := w[server]
		for rank := range total {
			total[rank] = min(total[rank]+tokens[rank], MaxTokens)
		}
		w[server] = total
	}
}

// Heaviest returns the servers with the most tokens, at most count of them: the ones that
// others should avoid.
func (w Work) Heaviest(count int) Work {
	if len(w) <= count {
		return w
	}
	servers := slices.SortedFunc(maps.Keys(w), func(a, b uint64) int { return cmp.Compare(w.total(b), w.total(a)) })
	heaviest := make(Work, count)
	for _, server := range servers[:count] {
		heaviest[server] = w[server]
	}
	return heaviest
}

func (w Work) total(server uint64) (tokens int) {
	for _, count := range w[server] {
		tokens += count
	}
	return tokens
}

// Source is the kind of a sender of reports.
type Source string

// The kinds of senders.
const (
	Member    Source = "member"    // an instance of the collector's cell
	Collector Source = "collector" // another collector of the region
	Remote    Source = "remote"    // a collector of another region

	// upstream is the collector of an instance that is none.
	upstream Source = "upstream"
)

// Hub holds the reports that an instance has received. Its methods are safe for
// concurrent use.
type Hub struct {
	// TTL is how long the work in a report counts. It allows for a few lost reports.
	TTL time.Duration

	mu      sync.Mutex
	reports map[sourceKey]report
	cell    placementLog // of this instance and of the members of its cell
	region  placementLog // of all instances of the region
	remote  placementLog // of other regions
}

type sourceKey struct {
	source Source
	id     string
}

type report struct {
	work Work
	at   time.Time
}

// Receive stores the work of all other instances of the region, as the collector of this
// instance has responded. It replaces the response of an earlier collector. An instance
// that is a collector itself receives nil.
func (h *Hub) Receive(now time.Time, work Work) { h.Report(now, upstream, "", work) }

// Report stores the work that another instance has reported. It replaces the last
// report of the same source.
func (h *Hub) Report(now time.Time, source Source, id string, work Work) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reports == nil {
		h.reports = make(map[sourceKey]report)
	}
	maps.DeleteFunc(h.reports, func(_ sourceKey, r report) bool { return h.expired(now, r) })
	if len(h.reports) < maxSources {
		h.reports[sourceKey{source, id}] = report{work, now}
	}
}

func (h *Hub) expired(now time.Time, r report) bool { return now.Sub(r.at) > h.TTL }

// CellWork returns the work of this instance and of the members of its cell, for other
// collectors.
func (h *Hub) CellWork(now time.Time, own Work) Work {
	total := make(Work)
	total.Add(own)
	h.addReports(now, total, func(key sourceKey) bool { return key.source == Member })
	return total
}

// OthersWork returns the work of all instances of the region but one. own is the work
// of this instance; nil if it is the one.
func (h *Hub) OthersWork(now time.Time, own Work, but string) Work {
	total := make(Work)
	total.Add(own)
	h.addReports(now, total, func(key sourceKey) bool { return key.id != but })
	return total
}

func (h *Hub) addReports(now time.Time, total Work, include func(sourceKey) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, r := range h.reports {
		if !h.expired(now, r) && include(key) {
			total.Add(r.work)
		}
	}
}

// AddPlacements records placements from a source, so that other instances receive them
// by Placements. Those of this instance have the source Member.
func (h *Hub) AddPlacements(now time.Time, source Source, list []routing.Placement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch source {
	case Member:
		h.cell.add(now, list)
		h.region.add(now, list)
	case Collector:
		h.region.add(now, list)
	case Remote:
		h.remote.add(now, list)
	}
}

// News holds placements, and the numbers of the first ones that were not returned, with
// which the next ones can be requested.
type News struct {
	Region, Remote         Placements
	NextRegion, NextRemote uint64
}

// Placements returns the placements for another instance from the given numbers on. A
// collector receives those of this cell, a member all, and a collector of another
// region those of this region.
func (h *Hub) Placements(to Source, fromRegion, fromRemote uint64) News {
	h.mu.Lock()
	defer h.mu.Unlock()
	var p News
	log := &h.region
	if to == Collector {
		log = &h.cell
	}
	p.Region, p.NextRegion = log.since(fromRegion)
	if to == Member {
		p.Remote, p.NextRemote = h.remote.since(fromRemote)
	}
	return p
}

const (
	// placementLimit is the number of placements that a log keeps. Older ones are
	// hints that do not justify a larger response.
	placementLimit = 512
	// repeatInterval is the least time between two entries of the same placement. It
	// is well below the time for which receivers assume a prefix to stay cached.
	repeatInterval = 2500 * time.Millisecond
)

// placementLog keeps the last placements, numbered in the order in which they came.
type placementLog struct {
	list  []routing.Placement
	next  uint64 // number of the next placement
	added map[routing.Placement]time.Time
}

func (l *placementLog) add(now time.Time, list []routing.Placement) {
	if l.added == nil {
		l.added = make(map[routing.Placement]time.Time)
	}
	for _, placement := range list {
		if last, known := l.added[placement]; known && now.Sub(last) < repeatInterval {
			continue
		}
		l.added[placement] = now
		l.list = append(l.list, placement)
		l.next++
	}
	if surplus := len(l.list) - placementLimit; surplus > 0 {
		l.list = slices.Clone(l.list[surplus:])
		maps.DeleteFunc(l.added, func(_ routing.Placement, at time.Time) bool { return now.Sub(at) >= repeatInterval })
	}
}

// since returns the kept placements from a number on, and the next number. A number
// above the next one is of another process and treated as 0.
func (l *placementLog) since(number uint64) ([]routing.Placement, uint64) {
	if number > l.next {
		number = 0
	}
	first := l.next - uint64(len(l.list))
	return slices.Clone(l.list[max(number, first)-first:]), l.next
}
