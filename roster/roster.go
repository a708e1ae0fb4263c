// Package roster tells which instances are live. An instance keeps a key in the
// platform's store under a lease. A key that vanishes does not alone make its
// instance count as gone, since leases also run out while the store is away:
// the instance is asked first.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	// leaseTime is the life of the key of an instance that has ended. The
	// directory may name an instance for as long after it was killed.
	leaseTime = 4 * time.Second
	// renewInterval leaves room for two lost renewals.
	renewInterval = leaseTime / 4
	// askInterval is the time between two questions to an instance whose key is
	// gone.
	askInterval = 500 * time.Millisecond
	// askTimeout covers a round trip between regions.
	askTimeout = 700 * time.Millisecond
	// trustTime is how long an answer shows that an instance lives.
	trustTime = 2500 * time.Millisecond
)

// Instance is an entry instance.
type Instance struct {
	ID         string `json:"id"`
	Started    int64  `json:"started"` // Unix milliseconds
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	CallerAddr string `json:"caller_addr"` // host:port for callers
	PeerAddr   string `json:"peer_addr"`   // host:port for other instances
}

// Ask asks an instance whether it lives and takes requests.
type Ask func(ctx context.Context, instance Instance) error

// Observer is told of changes of the belief about an instance.
type Observer interface {
	InstanceSeen(instance Instance, listed bool)
	InstanceGone(instance Instance, cause error)
	RegistrationFailed(err error)
	EntryUnreadable(key string, err error)
}

// Roster follows the instances and registers one of them. Its methods are safe
// for concurrent use.
type Roster struct {
	Self     Instance
	Leases   store.Leases
	Prefix   string // of the keys of instances
	Ask      Ask
	Observer Observer
	// Away returns how long the store has not answered; 0 if it does.
	Away func() time.Duration

	mu      sync.Mutex
	members map[string]*member
	lease   store.LeaseID
	renewed time.Time
	lost    bool // the own key has vanished
	leaving bool
}

// member is what is known of another instance.
type member struct {
	Instance
	listed  bool
	askedAt time.Time
	alive   time.Time // last answer
	failed  bool      // the last question was not answered
}

// Update takes in the entries below Prefix.
func (r *Roster) Update(entries []store.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		r.members = make(map[string]*member)
	}
	listed := make(map[string]bool)
	for _, e := range entries {
		var instance Instance
		if err := json.Unmarshal(e.Value, &instance); err != nil || instance.ID == "" {
			r.Observer.EntryUnreadable(e.Key, err)
			continue
		}
		listed[instance.ID] = true
		m := r.members[instance.ID]
		if m == nil || m.Instance != instance {
			r.members[instance.ID] = &member{Instance: instance, listed: true}
			r.Observer.InstanceSeen(instance, true)
			continue
		}
		m.listed = true
	}
	for id, m := range r.members {
		if !listed[id] {
			m.listed = false
		}
	}
	r.lost = r.lease != "" && !listed[r.Self.ID]
}

// Run registers the instance and asks about those whose keys are gone, until
// ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		r.register(ctx)
		r.askUnlisted(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Roster) register(ctx context.Context) {
	r.mu.Lock()
	lease, due, lost, leaving := r.lease, time.Since(r.renewed) >= renewInterval, r.lost, r.leaving
	r.mu.Unlock()
	if leaving || lease != "" && !due && !lost {
		return
	}
	var err error
	if lease != "" && !lost {
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
	if err = r.enter(ctx); err == nil {
		err = r.undo(ctx)
	}
	if err != nil {
		r.Observer.RegistrationFailed(err)
	}
}

// undo ends a registration that Leave has overtaken.
func (r *Roster) undo(ctx context.Context) error {
	r.mu.Lock()
	lease, leaving := r.lease, r.leaving
	r.mu.Unlock()
	if !leaving {
		return nil
	}
	return r.Leases.Revoke(ctx, lease)
}

// enter writes the key under a new lease.
func (r *Roster) enter(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	lease, err := r.Leases.Grant(ctx, leaseTime)
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
	r.lease, r.renewed, r.lost = lease, time.Now(), false
}

// Leave ends the registration.
func (r *Roster) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	lease := r.lease
	r.mu.Unlock()
	if lease == "" {
		return nil
	}
	return r.Leases.Revoke(ctx, lease)
}

// askUnlisted asks the instances whose keys are gone, and all while the store
// is away.
func (r *Roster) askUnlisted(ctx context.Context) {
	away := r.Away() > 0
	var group sync.WaitGroup
	r.mu.Lock()
	for _, m := range r.members {
		if m.ID == r.Self.ID || m.listed && !away || time.Since(m.askedAt) < askInterval {
			continue
		}
		m.askedAt = time.Now()
		instance := m.Instance
		group.Go(func() { r.ask(ctx, instance) })
	}
	r.mu.Unlock()
	group.Wait()
}

func (r *Roster) ask(ctx context.Context, instance Instance) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := r.Ask(ctx, instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[instance.ID]
	if m == nil || m.Instance != instance {
		return
	}
	if err == nil {
		m.alive, m.failed = time.Now(), false
		return
	}
	if !m.failed {
		r.Observer.InstanceGone(instance, err)
	}
	m.failed = true
	if !m.listed && time.Since(m.alive) > trustTime {
		delete(r.members, instance.ID)
	}
}

// live reports whether an instance is believed to take requests. r.mu is held.
func (r *Roster) live(m *member, away bool) bool {
	if m.ID == r.Self.ID {
		return !r.leaving
	}
	if m.listed && !away {
		return true
	}
	if m.askedAt.IsZero() {
		return m.listed
	}
	return !m.failed || time.Since(m.alive) < trustTime
}

// Live returns the instances that take requests, this one included unless it
// leaves, in the order of their ids.
func (r *Roster) Live() []Instance {
	away := r.Away() > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []Instance
	for _, m := range r.members {
		if m.ID != r.Self.ID && r.live(m, away) {
			live = append(live, m.Instance)
		}
	}
	if !r.leaving {
		live = append(live, r.Self)
	}
	slices.SortFunc(live, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// In returns the live instances of a region.
func (r *Roster) In(region string) []Instance {
	return slices.DeleteFunc(r.Live(), func(i Instance) bool { return i.Region != region })
}
