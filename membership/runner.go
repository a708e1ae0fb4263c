package membership

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// Periods of the exchanges other than probes. All are jittered.
const (
	randomEvery  = 4 // probes of neighbors for each probe of a random instance
	syncPeriod   = 10 * time.Second
	bridgePeriod = 2 * time.Second
	joinPeriod   = 500 * time.Millisecond
	sweepPeriod  = time.Minute
	jitter       = 0.1 // part of a period
	pushCount    = 6   // instances told at once of urgent news
	maxContacts  = 3   // instances of the directory tried at a time
	syncTimeout  = 2 * time.Second
)

// Transport calls other instances; *peer.Client implements it.
type Transport interface {
	Call(ctx context.Context, instance listing.Instance, method string, args, reply any) error
}

// Directory lists instances, perhaps late; *listing.Client implements it.
type Directory interface {
	Instances(ctx context.Context, region string) ([]listing.Instance, error)
}

// Runner drives a Machine over a transport.
type Runner struct {
	Machine   *Machine
	Transport Transport
	Directory Directory // may be nil
	Seeds     []string  // control addresses to try first
	// DirectoryPeriod is the time between reads of the directory by a bridge,
	// and between tries of an instance that knows no other.
	DirectoryPeriod time.Duration

	wake chan struct{} // a suspicion may be due earlier
	// ctx ends with Run. It bounds the work that calls of other instances
	// start.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRunner returns a runner of a machine.
func NewRunner(m *Machine, transport Transport, directory Directory, seeds []string, directoryPeriod time.Duration) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		Machine: m, Transport: transport, Directory: directory, Seeds: seeds,
		DirectoryPeriod: directoryPeriod, wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
}

// Run joins the fleet and follows it until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.cancel()
	var group errgroup.Group
	loop := func(period time.Duration, f func(context.Context)) {
		group.Go(func() error { r.every(ctx, period, f); return nil })
	}
	loop(ProbePeriod, r.probeNeighbor)
	loop(ProbePeriod*randomEvery, r.probeRandom)
	loop(syncPeriod, r.syncRandom)
	loop(bridgePeriod, r.syncRegion)
	loop(joinPeriod, r.join)
	loop(r.DirectoryPeriod, r.readDirectory)
	loop(sweepPeriod, func(context.Context) { r.Machine.Sweep(time.Now()) })
	group.Go(func() error { r.expire(ctx); return nil })
	_ = group.Wait()
}

// every calls f each period, jittered, until ctx ends.
func (r *Runner) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	const steps = 1 << 16
	for {
		part := float64(r.Machine.intN(steps)) / steps
		pause := time.Duration(float64(period) * (1 + jitter*(2*part-1)))
		select {
		case <-time.After(pause):
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// SetServing announces whether this instance takes new work.
func (r *Runner) SetServing(ctx context.Context, serving bool) {
	r.Machine.SetServing(serving)
	r.push(ctx)
}

// End announces that this instance ends.
func (r *Runner) End(ctx context.Context) {
	r.Machine.SetLeft()
	r.push(ctx)
}

// push tells a few instances of the region at once.
func (r *Runner) push(ctx context.Context) {
	var group errgroup.Group
	for _, member := range r.Machine.Random(pushCount) {
		group.Go(func() error { return r.probe(ctx, member.Instance) })
	}
	_ = group.Wait()
}

// probeNeighbor probes the next neighbor without holding up the next period.
func (r *Runner) probeNeighbor(ctx context.Context) {
	if member, ok := r.Machine.Watch(); ok {
		go r.check(ctx, member)
	}
}

// probeRandom probes any instance of the region, which spreads news between
// zones.
func (r *Runner) probeRandom(ctx context.Context) {
	for _, member := range r.Machine.Random(1) {
		go r.check(ctx, member)
	}
}

// check probes a member, itself and then through others.
func (r *Runner) check(ctx context.Context, member Member) {
	sentAt := time.Now()
	if r.probe(ctx, member.Instance) == nil || ctx.Err() != nil {
		return
	}
	if r.probeIndirectly(ctx, member.Instance) || ctx.Err() != nil {
		return
	}
	r.Machine.Missed(sentAt, member.Instance.ID)
	r.wakeExpiry()
}

// probe exchanges a message with an instance.
func (r *Runner) probe(ctx context.Context, to listing.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	args := ProbeArgs{Message: r.Machine.Compose(time.Now(), to.ID)}
	var reply Message
	if err := r.Transport.Call(ctx, to, methodProbe, &args, &reply); err != nil {
		return err
	}
	r.Machine.Heard(time.Now(), to.ID)
	r.merge(reply)
	return nil
}

// probeIndirectly asks others to probe an instance and reports whether one of
// them got an answer.
func (r *Runner) probeIndirectly(ctx context.Context, to listing.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, IndirectTimeout)
	defer cancel()
	helpers := r.Machine.Random(helperCount, to.ID)
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			var reply RelayReply
			err := r.Transport.Call(ctx, helper.Instance, methodRelay, &RelayArgs{To: to}, &reply)
			results <- err == nil && reply.Reached
		}()
	}
	for range helpers {
		if <-results {
			return true
		}
	}
	return false
}

// merge takes over the news of a message. News that refutes a suspicion of
// this instance must overtake the suspicion.
func (r *Runner) merge(msg Message) {
	before := r.Machine.Incarnation()
	r.Machine.Merge(time.Now(), msg)
	if r.Machine.Incarnation() != before {
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

// expire probes suspects a last time when their time is over.
func (r *Runner) expire(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(sweepPeriod)
		if at, ok := r.Machine.NextDue(); ok {
			timer.Reset(time.Until(at))
		}
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		for _, member := range r.Machine.Due(time.Now()) {
			go r.confirm(ctx, member)
		}
	}
}

func (r *Runner) confirm(ctx context.Context, member Member) {
	if r.probe(ctx, member.Instance) != nil && ctx.Err() == nil {
		r.Machine.Confirm(time.Now(), member.Instance.ID)
	}
}

// syncRandom compares all records with an instance of the region, and tries a
// dead one again.
func (r *Runner) syncRandom(ctx context.Context) {
	for _, member := range r.Machine.Random(1) {
		_ = r.Sync(ctx, member.Instance)
	}
	if dead, ok := r.Machine.Reconnect(); ok {
		_ = r.Sync(ctx, dead)
	}
}

// syncRegion compares the records with a bridge of another region, if this
// instance is a bridge.
func (r *Runner) syncRegion(ctx context.Context) {
	view := r.Machine.View()
	if !view.IsBridge() {
		return
	}
	own := view.self.Instance.Region
	regions := slices.DeleteFunc(view.Regions(), func(region string) bool { return region == own })
	if len(regions) == 0 {
		return
	}
	bridges := view.Bridges(regions[r.Machine.intN(len(regions))])
	go func() { _ = r.Sync(ctx, bridges[r.Machine.intN(len(bridges))]) }()
}

// join looks for other instances until one is known.
func (r *Runner) join(ctx context.Context) {
	if !r.Machine.View().alone {
		return
	}
	for _, seed := range r.Seeds {
		if r.Sync(ctx, listing.Instance{ControlAddr: seed}) == nil {
			return
		}
	}
	r.contactListed(ctx, r.Machine.View().self.Instance.Region)
	if r.Machine.View().alone {
		r.contactListed(ctx, "")
	}
}

// readDirectory looks for instances that are not known here: bridges look
// after their own region and, in turn, all of them.
func (r *Runner) readDirectory(ctx context.Context) {
	view := r.Machine.View()
	if !view.IsBridge() {
		return
	}
	region := view.self.Instance.Region
	if len(view.regions) == 1 || r.Machine.intN(len(view.regions)) == 0 {
		region = ""
	}
	r.contactListed(ctx, region)
}

// contactListed exchanges records with instances that are listed for a region
// and not known here.
func (r *Runner) contactListed(ctx context.Context, region string) {
	if r.Directory == nil {
		return
	}
	listed, err := r.Directory.Instances(ctx, region)
	if err != nil {
		return
	}
	start := 0
	if len(listed) > 0 {
		start = r.Machine.intN(len(listed))
	}
	contacts := 0
	for i := range listed {
		instance := listed[(start+i)%len(listed)]
		if contacts == maxContacts {
			return
		}
		if instance.ControlAddr != "" && !r.knows(instance) {
			contacts++
			_ = r.Sync(ctx, instance)
		}
	}
}

func (r *Runner) knows(instance listing.Instance) bool {
	return slices.ContainsFunc(r.Machine.View().Members(instance.Region), func(m Member) bool {
		return m.Instance.ID == instance.ID
	})
}

// Sync makes the records here and at another instance the same.
func (r *Runner) Sync(ctx context.Context, to listing.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	args := DigestArgs{Hash: r.Machine.View().hash}
	var digests DigestReply
	if err := r.Transport.Call(ctx, to, methodDigest, &args, &digests); err != nil {
		return err
	}
	if digests.Same {
		return nil
	}
	for regions := r.Machine.Differing(digests.Regions); len(regions) > 0; {
		covered, err := r.pull(ctx, to, regions)
		if err != nil {
			return err
		}
		regions = regions[covered:]
	}
	return nil
}

// pull exchanges the records of the first of regions, as many as fit in a
// message, and returns their number.
func (r *Runner) pull(ctx context.Context, to listing.Instance, regions []string) (int, error) {
	records, covered := r.Machine.Records(time.Now(), regions)
	var reply PullReply
	if err := r.Transport.Call(ctx, to, methodPull, &PullArgs{Regions: covered, Records: records}, &reply); err != nil {
		return 0, err
	}
	before := r.Machine.Incarnation()
	r.Machine.MergeRecords(time.Now(), reply.Records)
	if r.Machine.Incarnation() != before {
		go r.push(r.ctx)
	}
	r.wakeExpiry()
	return len(covered), nil
}
