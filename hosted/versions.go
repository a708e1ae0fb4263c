package hosted

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	// versionsInterval is short compared with the time that a server takes to start.
	versionsInterval = 100 * time.Millisecond
	// departureMargin exceeds the time between two instances' notice that the last server of
	// a version has left: those of its region count it for maxMissingTime more.
	departureMargin = 15 * time.Second
	// versionSettleTime exceeds the difference in age of the copies of the store at two
	// instances that follow it.
	versionSettleTime = time.Second
	// maxVersionHold is how long at most new streams avoid a version that is not in the key.
	maxVersionHold = 3 * time.Second
	// versionsLogInterval is the shortest time between two lines on the possible versions of
	// a service.
	versionsLogInterval = time.Second
)

// versions tracks which versions of each service may have begun a stream that is not at its
// end. An instance remembers the ones that it has seen listed. For instances that start later,
// each service with resumable streams has a key in the store with these versions; see
// versionsKey.
type versions struct {
	instance *Instance
	held     atomic.Pointer[map[origin.Version]bool] // versions that new streams avoid; nil for none
	several  atomic.Pointer[map[origin.Version]bool] // see contested

	mu          sync.Mutex
	ttl         time.Duration // for streams after the last server of their version has left
	margin      time.Duration
	services    map[string]*serviceVersions
	current     bool      // the copy of the store was current at the last update
	regions     []string  // those with a live instance when the copy was current last; nil before
	listedSince time.Time // when the store was found to list this instance; zero if it does not
}

// serviceVersions is the state of a service.
type serviceVersions struct {
	history  origin.History
	listed   []string // versions of the listed servers
	key      versionsKey
	logged   []string // possible versions as last logged
	loggedAt time.Time
}

func newVersions(i *Instance) *versions {
	return &versions{instance: i, ttl: originTTL, margin: departureMargin, services: make(map[string]*serviceVersions)}
}

// service returns the state of a service. v.mu is held.
func (v *versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{key: newVersionsKey(name)}
		v.services[name] = s
	}
	s.history.TTL, s.history.Margin = v.ttl, v.margin
	return s
}

// possible returns the versions of a service that may have begun a stream which callers may
// still ask for. If there may be further ones that this instance does not know,
// origin.Ambiguous stands for them.
func (v *versions) possible(service string) []origin.Version {
	now := time.Now()
	known := v.regionsKnown()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	var list []origin.Version
	for _, text := range s.history.Possible(now) {
		list = append(list, origin.VersionOf(service, text))
	}
	if !known || !s.key.complete && !s.history.Complete(now) {
		list = append(list, origin.Ambiguous)
	}
	return list
}

// contested returns the versions of all services that have several possible ones, as of the
// last update. The map must not be modified.
func (v *versions) contested() map[origin.Version]bool {
	if contested := v.several.Load(); contested != nil {
		return *contested
	}
	return nil
}

// updateContested selects the versions of services that have several possible ones. v.mu is
// held.
func (v *versions) updateContested(now time.Time) {
	var contested map[origin.Version]bool
	for name, s := range v.services {
		possible := s.history.Possible(now)
		if len(possible) < 2 {
			continue
		}
		if contested == nil {
			contested = make(map[origin.Version]bool)
		}
		for _, text := range possible {
			contested[origin.VersionOf(name, text)] = true
		}
	}
	v.several.Store(&contested)
}

// regionsKnown reports whether the copy of the store has the versions of all regions, as far
// as instances may have used them: it follows the store, or the store is away and copies of
// every region in which instances were live can be read. A region that is cut off may follow
// the store and use a version that is not known here.
func (v *versions) regionsKnown() bool {
	if v.instance.mirror.Revision().IsZero() {
		return false
	}
	v.mu.Lock()
	before := v.regions
	v.mu.Unlock()
	if before == nil {
		return false
	}
	if v.instance.mirror.Outage() == 0 {
		return true
	}
	live := slices.Concat(v.instance.roster.Regions(), []string{v.instance.settings.Region})
	return !slices.ContainsFunc(before, func(region string) bool { return !slices.Contains(live, region) })
}

// observe sets the versions of the listed servers by service. It must be called before
// requests can be routed to a server that is listed for the first time.
func (v *versions) observe(now time.Time, listed map[string]map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name := range listed {
		v.service(name)
	}
	for name, s := range v.services {
		s.listed = slices.Sorted(maps.Keys(listed[name]))
		s.history.Observe(now, s.listed, v.current)
	}
	v.updateHeld(now)
	v.updateContested(now)
}

// update applies the keys of the copy of the store and the passage of time.
func (v *versions) update(now time.Time) {
	i := v.instance
	current := i.mirror.Outage() == 0 && !i.mirror.Revision().IsZero() && i.mirror.Revision().Era == i.store.Era()
	regions := i.roster.Regions()
	_, listed := i.mirror.Get(instanceKeyPrefix + i.settings.Instance)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current = current; current {
		v.regions = slices.Concat([]string{}, regions)
	}
	switch {
	case !listed:
		v.listedSince = time.Time{}
	case v.listedSince.IsZero():
		v.listedSince = now
	}
	streamed := v.streamServices()
	for _, name := range streamed {
		v.readKey(now, v.service(name))
	}
	for name, s := range v.services {
		s.history.Observe(now, s.listed, current)
		if !slices.Contains(streamed, name) && len(s.history.Possible(now)) == 0 {
			delete(v.services, name)
		}
	}
	v.updateHeld(now)
	v.updateContested(now)
	v.logPossible(now)
}

// streamServices returns the services with resumable streams, sorted. Only those have keys.
func (v *versions) streamServices() []string {
	snapshot := v.instance.table.Current()
	if snapshot == nil {
		return nil
	}
	var names []string
	for name, service := range snapshot.Services {
		for _, work := range service.Work {
			if isResumable(&work) {
				names = append(names, name)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

func isResumable(work *catalog.Work) bool { return work.Streamed && work.Resumable }

// updateHeld selects the versions that new streams avoid: those that other instances may not
// know of yet, while servers of other versions can be used. v.mu is held.
func (v *versions) updateHeld(now time.Time) {
	held := make(map[origin.Version]bool)
	for _, name := range v.streamServices() {
		s := v.service(name)
		if !v.current || !s.key.writable() {
			continue
		}
		fresh := make(map[origin.Version]bool)
		for _, text := range s.history.Fresh(now, versionSettleTime, maxVersionHold) {
			fresh[origin.VersionOf(name, text)] = true
		}
		if len(fresh) > 0 && v.hasOtherServer(name, fresh) {
			maps.Copy(held, fresh)
		}
	}
	if len(held) == 0 {
		v.held.Store(nil)
		return
	}
	v.held.Store(&held)
}

// hasOtherServer reports whether a server of a service can be used that has none of the given
// versions.
func (v *versions) hasOtherServer(service string, held map[origin.Version]bool) bool {
	return slices.ContainsFunc(v.instance.registry.Servers(service), func(server *backend.Server) bool {
		return server.Accepts() && !server.Health().Ejected() && !held[server.Origin()]
	})
}

// logPossible logs the possible versions of services where they have changed. v.mu is held.
func (v *versions) logPossible(now time.Time) {
	for _, name := range v.streamServices() {
		s := v.service(name)
		possible := s.history.Possible(now)
		if slices.Equal(possible, s.logged) || now.Sub(s.loggedAt) < versionsLogInterval {
			continue
		}
		s.logged, s.loggedAt = possible, now
		v.log("possible", name, possible, nil)
	}
}

func (v *versions) log(state, service string, list []string, err error) {
	v.instance.log.Info().Str("event", "service_versions").Str("service", service).Strs("versions", list).Str("state", state).
		AnErr("error", err).Msg("")
}

// settledVersions keeps the servers whose version other instances know of, for the first
// attempts of requests whose stream may be resumed.
type settledVersions struct{ versions *versions }

var _ routing.Filter = settledVersions{}

// Keep implements routing.Filter.
func (f settledVersions) Keep(_ time.Time, req *routing.Request, server *backend.Server) bool {
	held := f.versions.held.Load()
	if held == nil || !isResumable(&req.Work) || req.Version != 0 || len(req.Tried) > 0 {
		return true
	}
	return !(*held)[server.Origin()]
}
