package membership

import (
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// maxPull bounds the records of one message.
const maxPull = 256

// DigestArgs ask whether two instances know the same.
type DigestArgs struct{ Hash uint64 }

// DigestReply is the answer: the digests of the regions, unless they are the
// same.
type DigestReply struct {
	Same    bool
	Regions map[string]uint64
}

// PullArgs ask for the records of regions, and bring the caller's.
type PullArgs struct {
	Regions []string
	Records []Update
}

// PullReply brings the records of the regions that fit.
type PullReply struct{ Records []Update }

// Digest answers a DigestArgs.
func (m *Machine) Digest(args DigestArgs) DigestReply {
	v := m.View()
	if v.hash == args.Hash {
		return DigestReply{Same: true}
	}
	return DigestReply{Regions: v.digests}
}

// Differing returns the regions whose records differ from those of an
// instance with the given digests.
func (m *Machine) Differing(digests map[string]uint64) []string {
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

// Records returns the records of whole regions, as many as fit in a message,
// and the regions they cover.
func (m *Machine) Records(now time.Time, regions []string) (records []Update, covered []string) {
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
			// A suspicion does not concern other regions; it spreads on probes.
			member := r.member
			u.State, u.Age, u.Member = Alive, 0, &member
		}
		byRegion[region] = append(byRegion[region], u)
	}
	for _, region := range regions {
		if len(covered) > 0 && len(records)+len(byRegion[region]) > maxPull {
			break
		}
		records = append(records, byRegion[region]...)
		covered = append(covered, region)
	}
	return records, covered
}

// Pull answers a PullArgs.
func (m *Machine) Pull(now time.Time, args PullArgs) PullReply {
	m.MergeRecords(now, args.Records)
	records, _ := m.Records(now, args.Regions)
	return PullReply{Records: records}
}

// MergeRecords takes over records. A few are spread further; many at once
// reach the others by their own pulls.
func (m *Machine) MergeRecords(now time.Time, records []Update) {
	m.locked(func() bool {
		var news []string
		for i := range records {
			if m.apply(now, &records[i]) {
				news = append(news, records[i].ID)
			}
		}
		for _, id := range news {
			if len(news) <= maxSpreadBatch {
				m.spreadID(id)
			}
		}
		return len(news) > 0
	})
}

// Reconnect returns a dead instance to try again, since it may have been cut
// off together with its half of the region.
func (m *Machine) Reconnect() (listing.Instance, bool) {
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
