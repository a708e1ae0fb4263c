// Package roster tracks which instances are live. Each instance keeps a key in the
// platform's store under a lease. An instance whose key is removed is not
// considered dead at once, since leases also expire while the store is
// unavailable: the instance is probed first.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// leaseTTL is how long the key of a killed instance remains. The directory may
	// return the instance's address for that long.
	leaseTTL = 4 * time.Second
	// renewInterval allows for two lost renewals before the lease expires.
	renewInterval = leaseTTL / 4
	// probeInterval is the time between two probes of an instance whose key has
	// been removed, or of any instance while the store is unavailable.
	probeInterval = 500 * time.Millisecond
	// probeTimeout allows for a round trip between regions.
	probeTimeout = 700 * time.Millisecond
	// livenessTTL is how long a successful probe counts as evidence that an
	// instance is live.
	livenessTTL = 2500 * time.Millisecond
	// reregisterSpread is the time over which instances register again after a change of
	// era. At 350 instances with two writes each, that is less than half of the 1,200 writes
	// per second that the store allows. Instances that are not listed meanwhile are probed.
	reregisterSpread = 1500 * time.Millisecond
	// viewTTL is how long a view is used while the liveness of instances depends on
	// the age of their probes. It is short compared with livenessTTL.
	viewTTL = 50 * time.Millisecond
)

// Instance is an entry instance, one that serves callers.
type Instance struct {
	ID         string `json:"id"`
	Started    int64  `json:"started"` // Unix milliseconds
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	CallerAddr string `json:"caller_addr"` // host:port for callers
	PeerAddr   string `json:"peer_addr"`   // host:port for other instances
}

// decodeInstance decodes the entry of the instance with the given id.
func decodeInstance(id string, value []byte) (Instance, error) {
	var instance Instance
	if err := check.DecodeJSON(value, &instance); err != nil {
		return instance, err
	}
	return instance, instance.check(id)
}

// check returns a *check.FieldError for the first field that cannot be used.
func (i *Instance) check(id string) error {
	if err := check.HeaderValue(id); err != nil || i.ID != id {
		return check.Field("id", i.ID, errIDMismatch)
	}
	if i.Region == "" {
		return check.Field("region", i.Region, check.ErrMissing)
	}
	if i.Zone == "" {
		return check.Field("zone", i.Zone, check.ErrMissing)
	}
	if err := check.Addr(i.CallerAddr); err != nil {
		return check.Field("caller_addr", i.CallerAddr, err)
	}
	return check.Field("peer_addr", i.PeerAddr, check.Addr(i.PeerAddr))
}

// errIDMismatch is the cause if an entry is not stored under the key of its
// instance.
var errIDMismatch = errors.New("is not the valid id that the key contains")

// Probe probes an instance. It returns nil if the instance is running and ready
// for requests.
type Probe func(ctx context.Context, instance Instance) error

// Observer is notified of changes in the state of instances, and of failures.
type Observer interface {
	// InstanceSeen is called when an instance is listed for the first time or with
	// changed data.
	InstanceSeen(instance Instance, listed bool)
	// InstanceProbeFailed is called at the first failed probe of an instance, and
	// at the first one after a successful probe.
	InstanceProbeFailed(instance Instance, cause error)
	// RegistrationFailed is called when the registration of this instance could not be
	// written or renewed.
	RegistrationFailed(err error)
	// EntryUnreadable is called once for each revision of an entry that cannot be
	// used.
	EntryUnreadable(key string, revision uint64, err error)
}

// Roster tracks the live instances and registers this instance in the store.
// Its methods are safe for concurrent use.
type Roster struct {
	Self     Instance
	Leases   store.Leases
	Prefix   string // of the keys of instances, followed by the id
	Probe    Probe
	Observer Observer
	// StoreOutage returns for how long the store has been unavailable; 0 if it is
	// available.
	StoreOutage func() time.Duration

	mu           sync.Mutex
	members      map[string]*member
	view         *view                     // of the live instances; nil after a change
	unreadable   map[string]store.Revision // revisions of the entries that cannot be used, by key
	lease        store.LeaseID
	renewedAt    time.Time // when lease was last granted or renewed
	keyMissing   bool      // the key of Self was missing at the last Update although there is a lease
	deregistered bool      // Deregister has been called
	registerAt   time.Time // no registration before; see EnterEra
}

// member is the state of an instance, as last listed or probed.
type member struct {
	Instance
	revision    store.Revision // of its key, as last listed
	listed      bool           // its key is in the store
	probedAt    time.Time      // start of the last probe
	aliveAt     time.Time      // last successful probe
	probeFailed bool           // the last probe failed
}

// view is the live instances at a time.
type view struct {
	live       []Instance // sorted by id
	byRegion   map[string][]Instance
	regions    []string // those of live, sorted
	storeDown  bool
	validUntil time.Time // zero: until a change
}

// Update sets which instances are listed. entries are all entries below Prefix. An
// instance that is no longer listed is kept until its probes fail.
func (r *Roster) Update(entries []store.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		r.members = make(map[string]*member)
	}
	r.view = nil
	listed := make(map[string]bool)
	unreadable := make(map[string]store.Revision)
	for _, e := range entries {
		id := strings.TrimPrefix(e.Key, r.Prefix)
		if m := r.members[id]; m != nil && m.revision == e.Revision() {
			listed[id], m.listed = true, true
			continue
		}
		instance, err := decodeInstance(id, e.Value)
		if err != nil {
			unreadable[e.Key] = e.Revision()
			if r.unreadable[e.Key] != e.Revision() {
				r.Observer.EntryUnreadable(e.Key, e.Version, errors.Wrapf(err, "decode %q", e.Key))
			}
			continue
		}
		listed[instance.ID] = true
		m := r.members[instance.ID]
		if m == nil || m.Instance != instance {
			r.members[instance.ID] = &member{Instance: instance, revision: e.Revision(), listed: true}
			r.Observer.InstanceSeen(instance, true)
			continue
		}
		m.listed, m.revision = true, e.Revision()
	}
	for id, m := range r.members {
		if !listed[id] {
			m.listed = false
		}
	}
	r.unreadable = unreadable
	r.keyMissing = r.lease != "" && !listed[r.Self.ID]
}

// Run keeps this instance registered and probes unlisted instances, until ctx
// ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.register(ctx)
		r.probeUnlisted(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// register renews the lease if that is due, or registers this instance if it
// has no lease, its lease has expired or its key was removed. It does nothing
// after Deregister.
func (r *Roster) register(ctx context.Context) {
	r.mu.Lock()
	lease, renewalDue, keyMissing, deregistered := r.lease, time.Since(r.renewedAt) >= renewInterval, r.keyMissing, r.deregistered
	r.mu.Unlock()
	if deregistered || r.waitsForEra() || lease != "" && !renewalDue && !keyMissing {
		return
	}
	var err error
	if lease != "" && !keyMissing {
		err = r.Leases.KeepAlive(ctx, lease)
		if err == nil {
			r.setLease(lease)
			return
		}
		if !errors.Is(err, store.ErrNotFound) {
			r.Observer.RegistrationFailed(err)
			return
		}
	}
	if r.waitsForEra() {
		return // learned from the response
	}
	if err = r.acquireKey(ctx); err == nil {
		err = r.revokeIfDeregistered(ctx)
	}
	if err != nil {
		r.Observer.RegistrationFailed(err)
	}
}

// EnterEra records that the store is in a new era, so that the lease and maybe the key of
// this instance are gone. It registers this instance again after a random time, so that not
// all instances write at once. An instance that has no lease registers as before.
func (r *Roster) EnterEra(uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == "" {
		return
	}
	r.lease = ""
	r.registerAt = time.Now().Add(rand.N(reregisterSpread))
}

// waitsForEra reports whether the random time after a change of era has not passed.
func (r *Roster) waitsForEra() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.registerAt)
}

// revokeIfDeregistered revokes the lease if Deregister was called while this
// instance was being registered.
func (r *Roster) revokeIfDeregistered(ctx context.Context) error {
	r.mu.Lock()
	lease, deregistered := r.lease, r.deregistered
	r.mu.Unlock()
	if !deregistered {
		return nil
	}
	return r.Leases.Revoke(ctx, lease)
}

// acquireKey writes the key of this instance under a new lease.
func (r *Roster) acquireKey(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	lease, err := r.Leases.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := r.Leases.Acquire(ctx, r.Prefix+r.Self.ID, value, lease); err != nil {
		return err
	}
	r.setLease(lease)
	return nil
}

func (r *Roster) setLease(lease store.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.renewedAt, r.keyMissing = lease, time.Now(), false
}

// Deregister revokes the lease, which removes the key of this instance. From
// then on, Live does not return this instance, and Run does not register it
// again.
func (r *Roster) Deregister(ctx context.Context) error {
	r.mu.Lock()
	r.deregistered = true
	r.view = nil
	lease := r.lease
	r.mu.Unlock()
	if lease == "" {
		return nil
	}
	return r.Leases.Revoke(ctx, lease)
}

// probeUnlisted probes the other instances whose keys have been removed, and all
// other instances while the store is unavailable.
func (r *Roster) probeUnlisted(ctx context.Context) {
	storeDown := r.StoreOutage() > 0
	var group sync.WaitGroup
	r.mu.Lock()
	for _, m := range r.members {
		if m.ID == r.Self.ID || m.listed && !storeDown || time.Since(m.probedAt) < probeInterval {
			continue
		}
		m.probedAt = time.Now()
		r.view = nil
		instance := m.Instance
		group.Go(func() { r.probe(ctx, instance) })
	}
	r.mu.Unlock()
	group.Wait()
}

// probe probes an instance and records the result. An unlisted instance without a
// successful probe within livenessTTL is removed.
func (r *Roster) probe(ctx context.Context, instance Instance) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.Probe(ctx, instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[instance.ID]
	if m == nil || m.Instance != instance {
		return
	}
	r.view = nil
	if err == nil {
		m.aliveAt, m.probeFailed = time.Now(), false
		return
	}
	if !m.probeFailed {
		r.Observer.InstanceProbeFailed(instance, err)
	}
	m.probeFailed = true
	if !m.listed && time.Since(m.aliveAt) > livenessTTL {
		delete(r.members, instance.ID)
	}
}

// live reports whether an instance counts as ready for requests. A listed instance
// counts as ready while the store is available. An unlisted one, and every one
// while the store is unavailable, counts as ready if its last probe has not failed
// or an earlier probe succeeded within livenessTTL; before its first probe, it
// counts as ready if it is listed. r.mu is held.
func (r *Roster) live(m *member, storeDown bool) bool {
	if m.ID == r.Self.ID {
		return !r.deregistered
	}
	if m.listed && !storeDown {
		return true
	}
	if m.probedAt.IsZero() {
		return m.listed
	}
	return !m.probeFailed || time.Since(m.aliveAt) < livenessTTL
}

// Live returns the instances that count as ready for requests, sorted by id. It
// includes this instance unless Deregister has been called. The result must not be
// modified.
func (r *Roster) Live() []Instance { return r.current().live }

// InRegion returns the live instances of a region, sorted by id. The result must not
// be modified.
func (r *Roster) InRegion(region string) []Instance { return r.current().byRegion[region] }

// Regions returns the regions that have a live instance, sorted. The result must not be
// modified.
func (r *Roster) Regions() []string { return r.current().regions }

// current returns the view of the live instances. It is kept until a change, because
// several of them are needed for each request.
func (r *Roster) current() *view {
	storeDown := r.StoreOutage() > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	if v == nil || v.storeDown != storeDown || !v.validUntil.IsZero() && time.Now().After(v.validUntil) {
		v = r.newView(storeDown)
		r.view = v
	}
	return v
}

// newView returns the view of the live instances now. r.mu is held.
func (r *Roster) newView(storeDown bool) *view {
	v := &view{byRegion: make(map[string][]Instance), storeDown: storeDown}
	probed := storeDown
	for _, m := range r.members {
		probed = probed || !m.listed
		if m.ID != r.Self.ID && r.live(m, storeDown) {
			v.live = append(v.live, m.Instance)
		}
	}
	if !r.deregistered {
		v.live = append(v.live, r.Self)
	}
	if probed {
		v.validUntil = time.Now().Add(viewTTL)
	}
	slices.SortFunc(v.live, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, instance := range v.live {
		v.byRegion[instance.Region] = append(v.byRegion[instance.Region], instance)
	}
	v.regions = slices.Sorted(maps.Keys(v.byRegion))
	return v
}
