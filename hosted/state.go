package hosted

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// maxMissingTime is how long a backend server is used after its entry was removed.
// Entries that expired while the store was unreachable are restored within 2 s.
const maxMissingTime = 2200 * time.Millisecond

// minShare is the fraction of a service's capacity that is reserved for each
// rank while the other one overloads the service. A rank of which less than a
// quarter is served counts as starved.
const minShare = 0.2

// applyChanges applies the changes of the mirrored keys.
func (i *Instance) applyChanges(keys []string) {
	var config, servers, instances, versions bool
	for _, key := range keys {
		switch {
		case key == platform.ConfigKey:
			config = true
		case strings.HasPrefix(key, instanceKeyPrefix):
			instances = true
		case strings.HasPrefix(key, versionsPrefix):
			versions = true
		default:
			servers = true
		}
	}
	if config {
		i.updateConfig()
	}
	if instances {
		i.roster.Update(i.mirror.ByPrefix(instanceKeyPrefix))
		i.updateRetryBurst()
	}
	if versions || config {
		i.versions.update(time.Now())
	}
	if servers || config {
		i.servers.update()
	}
}

// updateRetryBurst divides the retry burst among the live instances. Before this instance
// is listed, those that started together with it need not be listed either.
func (i *Instance) updateRetryBurst() {
	if i.listed.Load() || i.isListed() {
		i.listed.Store(true)
		i.retry.Budgets.SetInstances(time.Now(), len(i.roster.Live()), i.mirror.Outage() == 0)
	}
}

// isListed reports whether the store lists this process. The entry of its previous process
// has another start time.
func (i *Instance) isListed() bool {
	entry, ok := i.mirror.Get(instanceKeyPrefix + i.roster.Self.ID)
	var listed roster.Instance
	return ok && json.Unmarshal(entry.Value, &listed) == nil && listed == i.roster.Self
}

func (i *Instance) updateConfig() {
	entry, ok := i.mirror.Get(platform.ConfigKey)
	if !ok {
		return
	}
	snapshot, err := platform.DecodeConfig(entry.Value, &i.settings.Bounds)
	if err != nil {
		i.observer.EntryRejected(telemetry.ConfigEntry, entry.Key, entry.Version, err)
		return
	}
	for _, service := range snapshot.Services {
		for rank := range service.Ranks {
			service.Ranks[rank].MinShare = minShare
		}
	}
	if current := i.table.Current(); current == nil || snapshot.Revision > current.Revision {
		// The buckets exist before the first request that they are charged for.
		i.quotas.Configure(time.Now(), snapshot.Organizations)
	}
	if i.table.Advance(snapshot) {
		i.usage.setRoutes(snapshot)
		telemetry.Revision(i.log.Info().Str("event", "config_in_force").Uint64("revision", snapshot.Revision), entry.Revision()).
			Int("services", len(snapshot.Services)).Msg("")
	} else if current := i.revision(); snapshot.Revision < current {
		// The store has returned from a copy that is older than this configuration.
		telemetry.Revision(i.log.Warn().Str("event", "config_not_taken").Uint64("revision", snapshot.Revision).Uint64("in_force", current), entry.Revision()).
			Msg("")
	}
}

// servers holds the backend servers that the store lists, those of this region
// apart from those of others.
type servers struct {
	instance     *Instance
	missingGrace time.Duration // how long a server is used after its entry was removed

	mu        sync.Mutex
	local     map[string]*serverEntry   // of this region
	remote    map[string]*serverEntry   // of other regions, for fetches from their caches
	rejected  map[string]store.Revision // revisions of the entries that cannot be used
	evacuated map[string]evacuation     // by availability zone
	removed   map[string]removedEntry   // entries that must not come back, by key
}

type serverEntry struct {
	platform.Server
	revision store.Revision // of the entry
	value    []byte         // of the entry
	missing  time.Time      // when the entry was found to be missing; zero if it exists
}

func newServers(i *Instance) *servers {
	return &servers{
		instance: i, local: make(map[string]*serverEntry), remote: make(map[string]*serverEntry),
		rejected: make(map[string]store.Revision), evacuated: make(map[string]evacuation), removed: make(map[string]removedEntry),
		missingGrace: min(maxMissingTime, i.settings.Bounds.DrainDelay/2),
	}
}

// update applies the mirrored entries of backend servers and evacuated zones.
func (s *servers) update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	listed := make(map[string]bool)
	for _, e := range s.instance.mirror.ByPrefix(platform.ServerPrefix) {
		listed[e.Key] = true
		if s.isRemoved(now, e) {
			delete(listed, e.Key)
			continue
		}
		if entry := s.local[e.Key]; entry != nil && entry.covers(e) {
			entry.revision, entry.missing = e.Revision(), time.Time{}
			continue
		}
		if entry := s.remote[e.Key]; entry != nil && entry.covers(e) {
			entry.revision = e.Revision()
			continue
		}
		if revision, rejected := s.rejected[e.Key]; rejected && revision == e.Revision() {
			continue
		}
		s.addEntry(e)
	}
	for key, entry := range s.local {
		if !listed[key] && entry.missing.IsZero() {
			entry.missing = now
			s.logState(entry, "missing")
			s.remember(now, key, entry)
		}
	}
	maps.DeleteFunc(s.remote, func(key string, _ *serverEntry) bool { return !listed[key] })
	maps.DeleteFunc(s.rejected, func(key string, _ store.Revision) bool { return !listed[key] })
	s.updateEvacuations(now)
	s.publish(now)
	s.publishRemote()
}

func (s *servers) addEntry(e store.Entry) {
	key := e.Key
	server, err := platform.DecodeServer(key, e.Value, s.instance.settings.Regions)
	if err != nil {
		s.instance.observer.EntryRejected(telemetry.ServerEntry, key, e.Version, err)
		s.rejected[key] = e.Revision()
		delete(s.local, key)
		delete(s.remote, key)
		return
	}
	delete(s.rejected, key)
	entry := &serverEntry{Server: *server, revision: e.Revision(), value: e.Value}
	if server.Region != s.instance.settings.Region {
		delete(s.local, key)
		s.remote[key] = entry
		return
	}
	delete(s.remote, key)
	s.local[key] = entry
	s.logState(entry, server.State)
}

func (s *servers) logState(entry *serverEntry, state string) {
	telemetry.Revision(s.instance.log.Info().Str("event", "server").Str("server", entry.ID).Str("service", entry.Service).Str("addr", entry.Addr).
		Str("state", state), entry.revision).Dur("warmup_left", entry.WarmupLeft).Msg("")
}

// updateEvacuations updates the set of evacuated zones. When the evacuation of a
// zone ends, its servers are marked cold, as their caches may be cold.
func (s *servers) updateEvacuations(now time.Time) {
	zones := make(map[string]evacuation)
	for _, e := range s.instance.mirror.ByPrefix(platform.EvacuatePrefix) {
		zones[strings.TrimPrefix(e.Key, platform.EvacuatePrefix)] = evacuation{revision: e.Revision()}
	}
	for zone, known := range s.evacuated {
		if _, listed := zones[zone]; !listed && s.lostWithEra(now, zone, &known) {
			zones[zone] = known
			continue
		}
		if _, listed := zones[zone]; !listed {
			s.instance.log.Info().Str("event", "zone_back").Str("zone", zone).Msg("")
			s.markCold(now, zone)
		}
	}
	for zone := range zones {
		if _, known := s.evacuated[zone]; !known {
			s.instance.log.Info().Str("event", "zone_evacuated").Str("zone", zone).Msg("")
		}
	}
	s.evacuated = zones
}

// markCold marks the servers of a zone as cold for the warm-up time of their
// service.
func (s *servers) markCold(now time.Time, zone string) {
	snapshot := s.instance.table.Current()
	if snapshot == nil {
		return
	}
	for _, server := range s.instance.registry.All() {
		if service := snapshot.Services[server.Service]; server.Zone == zone && service != nil {
			server.ExtendCold(now.Add(service.Warmup.Time))
		}
	}
}

// publish removes servers that have been missing for missingGrace and puts the
// other local ones into the registry.
func (s *servers) publish(now time.Time) {
	var list []backend.Info
	warmup := make(map[string]time.Duration) // remaining, by id
	for key, entry := range s.local {
		if !entry.missing.IsZero() && now.Sub(entry.missing) >= s.missingGrace {
			delete(s.local, key)
			s.logState(entry, "gone")
			continue
		}
		info := entry.Info
		if _, evacuated := s.evacuated[entry.Zone]; evacuated {
			info.State = backend.StateDraining
		}
		list = append(list, info)
		if entry.WarmupLeft > 0 {
			warmup[entry.ID] = entry.WarmupLeft
			entry.WarmupLeft = 0 // applied once, as it counts from when the entry was read
		}
	}
	slices.SortFunc(list, func(a, b backend.Info) int { return strings.Compare(a.ID, b.ID) })
	s.instance.versions.observe(now, s.listedVersions())
	s.instance.registry.ReplacePrepared(list, func(server *backend.Server) {
		if remaining := warmup[server.ID]; remaining > 0 {
			server.ExtendCold(now.Add(remaining))
		}
	})
}

// listedVersions returns the versions of the servers of all regions, by service.
func (s *servers) listedVersions() map[string]map[string]bool {
	versions := make(map[string]map[string]bool)
	for _, entries := range []map[string]*serverEntry{s.local, s.remote} {
		for _, entry := range entries {
			if versions[entry.Service] == nil {
				versions[entry.Service] = make(map[string]bool)
			}
			versions[entry.Service][entry.Version] = true
		}
	}
	return versions
}

// publishRemote updates the router's list of servers in other regions from whose
// caches prefixes may be fetched.
func (s *servers) publishRemote() {
	var list []backend.Info
	for _, entry := range s.remote {
		if _, evacuated := s.evacuated[entry.Zone]; entry.State == backend.StateLive && !evacuated {
			list = append(list, entry.Info)
		}
	}
	s.instance.router.Remote.Replace(list)
}

// expire removes servers whose entries have been missing for missingGrace.
func (s *servers) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.evacuationEnds(now) {
		s.updateEvacuations(now)
		s.publish(now)
		s.publishRemote()
		return
	}
	for _, entry := range s.local {
		if !entry.missing.IsZero() && now.Sub(entry.missing) >= s.missingGrace {
			s.publish(now)
			return
		}
	}
}
