package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// Periods and limits of the exchanges other than probes of neighbors. All
// periods are jittered.
const (
	neighborProbesPerRandomProbe = 4 // ProbePeriods between two probes of a random member
	syncPeriod                   = 10 * time.Second
	bridgePeriod                 = 2 * time.Second
	joinPeriod                   = 500 * time.Millisecond
	sweepPeriod                  = time.Minute
	jitterFraction               = 0.1 // of a period, in both directions
	pushFanout                   = 6   // instances that receive an urgent update at once
	maxDirectoryContacts         = 3   // instances contacted after one read of the directory
	syncTimeout                  = 2 * time.Second

	confirmingProbes   = 3                // sent to a suspect before it is Dead, so that a few lost messages do not remove it
	confirmingInterval = ProbeTimeout / 4 // between confirming probes

	// pauseTolerance is the delay of a timeout above which this process is assumed
	// to have been paused. It is less than the time for which a confirming probe
	// outlasts a pause of 2 s.
	pauseTolerance = 50 * time.Millisecond
)

// Transport calls other instances; *peer.Client implements it.
type Transport interface {
	Call(ctx context.Context, instance listing.Instance, method string, args, reply any) error
}

// Directory lists the instances of a region, or of all regions if region is empty.
// The list may be out of date. *listing.Client implements it.
type Directory interface {
	Instances(ctx context.Context, region string) ([]listing.Instance, error)
}

// Runner runs the timers of a StateMachine and sends and receives its messages
// over a Transport.
type Runner struct {
	StateMachine *StateMachine
	Transport    Transport
	Directory    Directory // may be nil
	Seeds        []string  // control addresses to try first
	// DirectoryPeriod is the time between reads of the directory by a bridge. An
	// instance that has not joined the others also reads it every joinPeriod.
	DirectoryPeriod time.Duration

	joined atomic.Bool   // records were synchronized with another instance at least once
	wake   chan struct{} // signals that a suspicion may expire earlier than expected
	// ctx is canceled when Run returns. It bounds work that outlives the call
	// that started it, and work for calls of other instances.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRunner returns a runner of m. directory may be nil.
func NewRunner(m *StateMachine, transport Transport, directory Directory, seeds []string, directoryPeriod time.Duration) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		StateMachine: m, Transport: transport, Directory: directory, Seeds: seeds,
		DirectoryPeriod: directoryPeriod, wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
}

// Run joins the other instances and takes part in the protocol until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.cancel()
	var group errgroup.Group
	loop := func(period time.Duration, f func(context.Context)) {
		random := r.StateMachine.newRandom()
		group.Go(func() error { every(ctx, period, random, f); return nil })
	}
	loop(ProbePeriod, r.probeNeighbor)
	loop(ProbePeriod*neighborProbesPerRandomProbe, r.probeRandom)
	loop(syncPeriod, r.syncRandom)
	loop(bridgePeriod, r.syncOtherRegion)
	loop(joinPeriod, r.join)
	loop(r.DirectoryPeriod, r.syncFromDirectory)
	loop(sweepPeriod, func(context.Context) { r.StateMachine.Sweep(time.Now()) })
	group.Go(func() error { r.expireSuspicions(ctx); return nil })
	_ = group.Wait()
}

// every calls f once per jittered period until ctx ends.
func every(ctx context.Context, period time.Duration, random *rand.Rand, f func(context.Context)) {
	for {
		interval := time.Duration(float64(period) * (1 + jitterFraction*(2*random.Float64()-1)))
		select {
		case <-time.After(interval):
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// SetServing announces to the other instances whether this one takes new work.
// It probes a few of them with the update before it returns.
func (r *Runner) SetServing(ctx context.Context, serving bool) {
	r.StateMachine.SetServing(serving)
	r.push(ctx)
}

// Leave announces to the other instances that this one terminates. It probes a
// few of them with the update before it returns.
func (r *Runner) Leave(ctx context.Context) {
	r.StateMachine.SetLeft()
	r.push(ctx)
}

// push sends the queued updates to a few random members of the region at once, on
// probes, and waits for the responses.
func (r *Runner) push(ctx context.Context) {
	var group errgroup.Group
	for _, member := range r.StateMachine.RandomMembers(pushFanout) {
		msg := r.StateMachine.Compose(time.Now(), member.Instance.ID)
		group.Go(func() error { return r.send(ctx, member.Instance, msg) })
	}
	_ = group.Wait()
}

// probeNeighbor probes the next neighbor. It does not wait for the response, so
// that the next probe is not delayed.
func (r *Runner) probeNeighbor(ctx context.Context) {
	if member, ok := r.StateMachine.NextNeighbor(); ok {
		go r.checkMember(ctx, member)
	}
}

// probeRandom probes a random member of the region, which spreads updates between
// zones: most neighbors share a zone.
func (r *Runner) probeRandom(ctx context.Context) {
	for _, member := range r.StateMachine.RandomMembers(1) {
		go r.checkMember(ctx, member)
	}
}

// checkMember probes a member directly and then on several paths. It reports a
// failure to the StateMachine if no probe gets a response.
func (r *Runner) checkMember(ctx context.Context, member Member) {
	sentAt, _, reached := repeatAfterPause(ProbeTimeout, func() bool { return r.probe(ctx, member.Instance) == nil })
	if reached || ctx.Err() != nil {
		return
	}
	resentAt, repeated, reached := repeatAfterPause(IndirectProbeTimeout, func() bool {
		return r.probeOnPaths(ctx, member.Instance, IndirectProbeTimeout)
	})
	if reached || ctx.Err() != nil {
		return
	}
	if repeated {
		sentAt = resentAt
	}
	r.StateMachine.ProbeFailed(sentAt, member.Instance.ID)
	r.wakeExpiry()
}

// repeatAfterPause calls probe, which returns false if it gets no response within
// timeout. If it returns later than that, this process was paused and may have
// missed a response, so probe is called once more. repeatAfterPause returns the
// start and the result of the last call, and whether it was the second one.
func repeatAfterPause(timeout time.Duration, probe func() bool) (sentAt time.Time, repeated, reached bool) {
	sentAt = time.Now()
	if reached = probe(); reached || time.Since(sentAt) < timeout+pauseTolerance {
		return sentAt, false, reached
	}
	sentAt = time.Now()
	return sentAt, true, probe()
}

// probeOnPaths probes an instance directly and through relays at the same time, and
// reports whether one of the probes got a response within timeout. A direct probe
// that fails alone may be a lost message.
func (r *Runner) probeOnPaths(ctx context.Context, to listing.Instance, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return anyOf(2, func(i int) bool {
		if i == 0 {
			return r.probe(ctx, to) == nil
		}
		return r.probeIndirectly(ctx, to)
	})
}

// anyOf calls f concurrently with 0 to n-1. It returns true as soon as one call
// does, and false once all have returned false.
func anyOf(n int, f func(i int) bool) bool {
	results := make(chan bool, n)
	for i := range n {
		go func() { results <- f(i) }()
	}
	for range n {
		if <-results {
			return true
		}
	}
	return false
}

// probe sends a probe with queued updates to an instance, and merges the response.
func (r *Runner) probe(ctx context.Context, to listing.Instance) error {
	return r.send(ctx, to, r.StateMachine.Compose(time.Now(), to.ID))
}

// send sends a probe with the given message, and merges the response.
func (r *Runner) send(ctx context.Context, to listing.Instance, msg Message) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	args := ProbeArgs{Message: msg}
	var reply Message
	if err := r.Transport.Call(ctx, to, methodProbe, &args, &reply); err != nil {
		return err
	}
	r.StateMachine.ProbeSucceeded(time.Now(), to.ID)
	r.merge(reply)
	return nil
}

// probeIndirectly requests random members to probe an instance and reports whether
// one of them got a response.
func (r *Runner) probeIndirectly(ctx context.Context, to listing.Instance) bool {
	relays := r.StateMachine.RandomMembers(relayCount, to.ID)
	return anyOf(len(relays), func(i int) bool {
		var reply RelayReply
		err := r.Transport.Call(ctx, relays[i].Instance, methodRelay, &RelayArgs{To: to}, &reply)
		return err == nil && reply.Reached
	})
}

// merge applies the updates of a message. If they make this instance refute an
// update about itself, it pushes its new record at once, since a refutation must
// spread faster than the suspicion.
func (r *Runner) merge(msg Message) {
	before := r.StateMachine.Incarnation()
	r.StateMachine.Merge(time.Now(), msg)
	if r.StateMachine.Incarnation() != before {
		go r.push(r.ctx)
	}
	r.wakeExpiry()
}

func (r *Runner) wakeExpiry() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// expireSuspicions sends the confirming probes to suspects whose SuspicionTimeout
// has expired, until ctx ends.
func (r *Runner) expireSuspicions(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(sweepPeriod)
		if at, ok := r.StateMachine.NextExpiry(); ok {
			timer.Reset(time.Until(at))
		}
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		for _, member := range r.StateMachine.ExpiredSuspects(time.Now()) {
			go r.confirmDead(ctx, member)
		}
	}
}

// confirmDead sends the confirming probes to a suspect and marks it as Dead if it
// answers none of them.
func (r *Runner) confirmDead(ctx context.Context, member Member) {
	_, _, reached := repeatAfterPause(ProbeTimeout, func() bool { return r.confirmAlive(ctx, member.Instance) })
	switch {
	case reached:
		r.StateMachine.ProbeSucceeded(time.Now(), member.Instance.ID)
	case ctx.Err() == nil:
		r.StateMachine.ConfirmDead(time.Now(), member.Instance.ID)
	}
}

// confirmAlive sends confirmingProbes probes confirmingInterval apart, all but the
// first also through relays, and reports whether one of them got a response within
// ProbeTimeout after the first was sent.
func (r *Runner) confirmAlive(ctx context.Context, to listing.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return anyOf(confirmingProbes, func(i int) bool {
		if i == 0 {
			return r.probe(ctx, to) == nil
		}
		select {
		case <-time.After(time.Duration(i) * confirmingInterval):
			return r.probeOnPaths(ctx, to, ProbeTimeout)
		case <-ctx.Done():
			return false
		}
	})
}

// syncRandom synchronizes records with a random member of the region, and with a
// random Dead instance in case it is reachable again.
func (r *Runner) syncRandom(ctx context.Context) {
	for _, member := range r.StateMachine.RandomMembers(1) {
		_ = r.Sync(ctx, member.Instance)
	}
	if dead, ok := r.StateMachine.ReconnectTarget(); ok {
		_ = r.Sync(ctx, dead)
	}
}

// syncOtherRegion synchronizes records with a random bridge of a random other
// region, if this instance is a bridge.
func (r *Runner) syncOtherRegion(ctx context.Context) {
	view := r.StateMachine.View()
	if !view.IsBridge() {
		return
	}
	own := view.self.Instance.Region
	regions := slices.DeleteFunc(view.Regions(), func(region string) bool { return region == own })
	if len(regions) == 0 {
		return
	}
	bridges := view.Bridges(regions[r.StateMachine.intN(len(regions))])
	go func() { _ = r.Sync(ctx, bridges[r.StateMachine.intN(len(bridges))]) }()
}

// join synchronizes with another instance as long as that has not succeeded once,
// or no other instance is known: with a member, with the seeds, and with instances
// of the directory's list of the own region and of all regions. A known member does
// not mean that the others are known: probes for an earlier process with the same
// id introduce a few of them.
func (r *Runner) join(ctx context.Context) {
	if !r.mustJoin() {
		return
	}
	targets := r.StateMachine.RandomMembers(1)
	for _, seed := range r.Seeds {
		targets = append(targets, Member{Instance: listing.Instance{ControlAddr: seed}})
	}
	for _, target := range targets {
		_ = r.Sync(ctx, target.Instance)
		if !r.mustJoin() {
			return
		}
	}
	r.syncListed(ctx, r.StateMachine.View().self.Instance.Region)
	if r.mustJoin() {
		r.syncListed(ctx, "")
	}
}

func (r *Runner) mustJoin() bool { return !r.joined.Load() || r.StateMachine.View().onlySelf }

// syncFromDirectory synchronizes with listed instances that are not members here,
// if this instance is a bridge. It reads the list of its own region and, once in
// as many reads on average as there are regions, the list of all regions.
func (r *Runner) syncFromDirectory(ctx context.Context) {
	view := r.StateMachine.View()
	if !view.IsBridge() {
		return
	}
	region := view.self.Instance.Region
	if len(view.regions) == 1 || r.StateMachine.intN(len(view.regions)) == 0 {
		region = ""
	}
	r.syncListed(ctx, region)
}

// syncListed synchronizes records with up to maxDirectoryContacts instances that
// the directory lists for a region and that are not members here. It starts at a
// random place in the list.
func (r *Runner) syncListed(ctx context.Context, region string) {
	if r.Directory == nil {
		return
	}
	listed, err := r.Directory.Instances(ctx, region)
	if err != nil {
		return
	}
	start := 0
	if len(listed) > 0 {
		start = r.StateMachine.intN(len(listed))
	}
	attempts := 0
	for i := range listed {
		instance := listed[(start+i)%len(listed)]
		if attempts == maxDirectoryContacts {
			return
		}
		if instance.ControlAddr != "" && !r.isMember(instance) {
			attempts++
			_ = r.Sync(ctx, instance)
		}
	}
}

func (r *Runner) isMember(instance listing.Instance) bool {
	return slices.ContainsFunc(r.StateMachine.View().Members(instance.Region), func(m Member) bool {
		return m.Instance.ID == instance.ID
	})
}

// Sync synchronizes records with another instance: it compares digests, and
// exchanges the records of the regions whose digests differ.
func (r *Runner) Sync(ctx context.Context, to listing.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	args := DigestArgs{Hash: r.StateMachine.View().hash}
	var digests DigestReply
	if err := r.Transport.Call(ctx, to, methodDigest, &args, &digests); err != nil {
		return err
	}
	if digests.Same {
		if to.ID != "" { // otherwise to may be this instance
			r.joined.Store(true)
		}
		return nil
	}
	for regions := r.StateMachine.DifferingRegions(digests.Regions); len(regions) > 0; {
		covered, err := r.pull(ctx, to, regions)
		if err != nil {
			return err
		}
		regions = regions[covered:]
	}
	r.joined.Store(true)
	return nil
}

// pull exchanges the records of the first of regions, as many regions as fit in a
// message, and returns the number of those regions.
func (r *Runner) pull(ctx context.Context, to listing.Instance, regions []string) (int, error) {
	records, covered := r.StateMachine.Records(time.Now(), regions)
	var reply PullReply
	if err := r.Transport.Call(ctx, to, methodPull, &PullArgs{Regions: covered, Records: records}, &reply); err != nil {
		return 0, err
	}
	before := r.StateMachine.Incarnation()
	r.StateMachine.MergeRecords(time.Now(), reply.Records)
	if r.StateMachine.Incarnation() != before {
		go r.push(r.ctx)
	}
	r.wakeExpiry()
	return len(covered), nil
}
