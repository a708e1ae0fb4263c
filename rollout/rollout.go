// Package rollout publishes configuration revisions and checks whether they are
// in force everywhere. A revision is accepted once every live instance has it or
// a newer one in force, and every region named in the configuration has at least
// one such instance. Until then it is pending. An unreachable region keeps a
// revision pending, because its instances continue to serve requests under the
// old one.
package rollout

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

const (
	pollInterval        = 200 * time.Millisecond
	probeTimeout        = 2 * time.Second
	maxConcurrentProbes = 64 // instances queried concurrently
)

// Directory lists the live instances of a region, or of all regions if region is
// empty.
type Directory interface {
	Instances(ctx context.Context, region string) ([]listing.Instance, error)
}

// Prober queries an instance for the revision that it has in force.
type Prober interface {
	Revision(ctx context.Context, instance listing.Instance) (uint64, error)
}

// Publisher publishes configuration trees and checks whether instances have them
// in force.
type Publisher struct {
	Log       *configlog.Log
	Directory Directory
	Prober    Prober
}

// ErrUnchanged means that the newest revision already has the content of the tree.
var ErrUnchanged = errors.New("nothing to publish: the newest revision holds the same")

// Publish writes tree as the next revision and returns the new state. If base
// is not nil, the newest revision must be *base. If it is not, or if another
// operator published first, Publish writes nothing and returns an error that
// wraps configlog.ErrConflict. If tree changes nothing, it returns the current
// state and ErrUnchanged. Other errors are those of configlog.Log.
func (p *Publisher) Publish(ctx context.Context, tree *config.Tree, base *uint64) (*configlog.State, error) {
	current, err := p.Log.Read(ctx)
	if err != nil {
		return nil, err
	}
	if base != nil && current.Revision != *base {
		return nil, errors.Wrapf(configlog.ErrConflict, "publish: newest revision is %d, not the expected base %d", current.Revision, *base)
	}
	delta, changed := current.DeltaTo(tree.Entries())
	if !changed {
		return current, ErrUnchanged
	}
	return p.Log.Publish(ctx, current, delta)
}

// Report lists the instances and regions that do or do not have a revision in
// force.
type Report struct {
	Revision           uint64
	InForce            []string // ids of instances that have it or a newer one in force
	Lagging            []string // ids of instances that have an older one or did not return theirs
	UnconfirmedRegions []string // configured regions without an instance in InForce
	SilentRegions      []string // those of them where no instance returned its revision
	DirectoryError     error    // set if the directory could not be read; then the lists are empty
}

// Accepted reports whether the revision is in force everywhere.
func (r *Report) Accepted() bool {
	return r.DirectoryError == nil && len(r.InForce) > 0 && len(r.Lagging) == 0 && len(r.UnconfirmedRegions) == 0
}

// String describes why the revision is not accepted yet, or that it is.
func (r *Report) String() string {
	switch {
	case r.DirectoryError != nil:
		return "directory cannot be read: " + r.DirectoryError.Error()
	case r.Accepted():
		return "in force on every instance"
	}
	var parts []string
	if len(r.Lagging) > 0 {
		parts = append(parts, "lagging: "+strings.Join(r.Lagging, ", "))
	}
	if len(r.SilentRegions) > 0 {
		parts = append(parts, "no answer from region: "+strings.Join(r.SilentRegions, ", "))
	}
	older := slices.DeleteFunc(slices.Clone(r.UnconfirmedRegions), func(region string) bool { return slices.Contains(r.SilentRegions, region) })
	if len(older) > 0 {
		parts = append(parts, "older revision in region: "+strings.Join(older, ", "))
	}
	if len(parts) == 0 {
		return "no instance is listed"
	}
	return strings.Join(parts, "; ")
}

// Check queries every live instance once. regions are the regions named in the
// configuration.
func (p *Publisher) Check(ctx context.Context, revision uint64, regions []string) *Report {
	report := &Report{Revision: revision}
	instances, err := p.Directory.Instances(ctx, "")
	if err != nil {
		report.DirectoryError = err
		return report
	}
	probes := p.probeAll(ctx, instances)
	answered, confirmed := make(map[string]bool), make(map[string]bool)
	for i, instance := range instances {
		answered[instance.Region] = answered[instance.Region] || probes[i].answered
		if !probes[i].answered || probes[i].revision < revision {
			report.Lagging = append(report.Lagging, instance.ID)
			continue
		}
		report.InForce = append(report.InForce, instance.ID)
		confirmed[instance.Region] = true
	}
	for _, region := range regions {
		if !confirmed[region] {
			report.UnconfirmedRegions = append(report.UnconfirmedRegions, region)
		}
		if !answered[region] {
			report.SilentRegions = append(report.SilentRegions, region)
		}
	}
	return report
}

// probeResult is the revision that an instance has in force, if it answered.
type probeResult struct {
	answered bool
	revision uint64
}

// probeAll queries each instance for the revision that it has in force.
func (p *Publisher) probeAll(ctx context.Context, instances []listing.Instance) []probeResult {
	results := make([]probeResult, len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i, instance := range instances {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			revision, err := p.Prober.Revision(probeCtx, instance)
			results[i] = probeResult{answered: err == nil, revision: revision}
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Await calls Check repeatedly until the revision is accepted, wait has passed or
// ctx is done, and returns the last report. It calls Check at least once.
func (p *Publisher) Await(ctx context.Context, revision uint64, regions []string, wait time.Duration) *Report {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	end := time.Now().Add(wait)
	for {
		report := p.Check(ctx, revision, regions)
		if report.Accepted() || time.Now().After(end) {
			return report
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return report
		}
	}
}

// RegionsOf returns the names of the regions that the services in a state use,
// sorted.
func RegionsOf(state *configlog.State) ([]string, error) {
	snapshot, err := (&config.Builder{}).Build(state)
	if err != nil {
		return nil, err
	}
	tree := &config.Tree{Services: slices.Collect(maps.Values(snapshot.Services))}
	return tree.Regions(), nil
}
