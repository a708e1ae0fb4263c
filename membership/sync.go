package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// maxPullRecords limits the records of one message, unless a single region has more.
const maxPullRecords = 256

// DigestArgs are the arguments of Service.Digest: the digest of the caller's view.
type DigestArgs struct{ Hash uint64 }

// DigestReply is the result of Service.Digest. Regions holds a digest for each
// region, unless the views are the same.
type DigestReply struct {
	Same    bool
	Regions map[string]uint64
}

// PullArgs are the arguments of Service.Pull: the regions whose records are
// requested, and the caller's records of them.
type PullArgs struct {
	Regions []string
	Records []Update
}

// PullReply is the result of Service.Pull: the records of the requested regions
// that fit in a message.
type PullReply struct{ Records []Update }

// Digest returns the reply to a Service.Digest call.
func (m *StateMachine) Digest(args DigestArgs) DigestReply {
	v := m.View()
	if v.hash == args.Hash {
		return DigestReply{Same: true}
	}
	return DigestReply{Regions: v.digests}
}

// DifferingRegions returns, sorted, the regions whose live members differ from
// those of an instance with the given digests.
func (m *StateMachine) DifferingRegions(digests map[string]uint64) []string {
	v := m.View()
	var regions []string
	for region, digest := range digests {
		if v.digests[region] != digest {
			regions = append(regions, region)
		}
	}
	for region := range v.digests {
		if _, ok := digests[region]; !ok {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// Records returns the records of the first of regions, and these regions: as many
// whole regions as fit in a message, but at least one.
func (m *StateMachine) Records(now time.Time, regions []string) (records []Update, covered []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byRegion := make(map[string][]Update)
	for _, r := range m.records {
		region := r.member.Instance.Region
		if !slices.Contains(regions, region) {
			continue
		}
		u := r.update(now)
		if r.state == Suspect {
			// Suspicions are not sent to other regions; they spread on probes.
			member := r.member
			u.State, u.Age, u.Member = Alive, 0, &member
		}
		byRegion[region] = append(byRegion[region], u)
	}
	for _, region := range regions {
		slices.SortFunc(byRegion[region], func(a, b Update) int { return cmp.Compare(a.ID, b.ID) })
		if len(covered) > 0 && len(records)+len(byRegion[region]) > maxPullRecords {
			break
		}
		records = append(records, byRegion[region]...)
		covered = append(covered, region)
	}
	return records, covered
}

// Pull merges the records of args and returns the reply to a Service.Pull call.
func (m *StateMachine) Pull(now time.Time, args PullArgs) PullReply {
	m.MergeRecords(now, args.Records)
	records, _ := m.Records(now, args.Regions)
	return PullReply{Records: records}
}

// MergeRecords applies the records of a pull. If at most maxGossipedRecords of them
// changed a record here, those are gossiped; more than that reach the other
// instances by their own pulls.
func (m *StateMachine) MergeRecords(now time.Time, records []Update) {
	m.mutate(func() bool {
		var changed []string
		for i := range records {
			if m.apply(now, &records[i]) {
				changed = append(changed, records[i].ID)
			}
		}
		for _, id := range changed {
			if len(changed) <= maxGossipedRecords {
				m.gossipID(id)
			}
		}
		return len(changed) > 0
	})
}

// ReconnectTarget returns a random Dead instance to contact again, since it may be
// alive on the other side of a network partition that has ended. It returns false
// if there is none.
func (m *StateMachine) ReconnectTarget() (listing.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var dead []*record
	for _, r := range m.records {
		if r.state == Dead && r.member.Instance.ControlAddr != "" {
			dead = append(dead, r)
		}
	}
	members := m.sample(dead, 1)
	if len(members) == 0 {
		return listing.Instance{}, false
	}
	return members[0].Instance, true
}
