package rollout

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// fakeFleet lists an instance for each id and returns its revision; one with revision 0
// does not answer. The region of an instance is its id.
type fakeFleet map[string]uint64

func (f fakeFleet) Instances(context.Context, string) ([]listing.Instance, error) {
	var list []listing.Instance
	for _, id := range []string{"alex", "cairo", "delta"} {
		if _, listed := f[id]; listed {
			list = append(list, listing.Instance{ID: id, Region: id})
		}
	}
	return list, nil
}

func (f fakeFleet) Revision(_ context.Context, instance listing.Instance) (uint64, error) {
	if f[instance.ID] == 0 {
		return 0, errors.New("connection refused")
	}
	return f[instance.ID], nil
}

// TestOlderRevisionIsNotReportedAsNoAnswer guards against a report that sends operators
// to look for a lost region whose instances answered, with an older revision.
func TestOlderRevisionIsNotReportedAsNoAnswer(t *testing.T) {
	c := qt.New(t)
	fleet := fakeFleet{"alex": 6, "cairo": 7, "delta": 0}
	p := &Publisher{Directory: fleet, Prober: fleet}
	report := p.Check(t.Context(), 7, []string{"alex", "cairo", "delta", "giza"})
	c.Check(report.Accepted(), qt.IsFalse)
	c.Check(report.UnconfirmedRegions, qt.DeepEquals, []string{"alex", "delta", "giza"})
	c.Check(report.String(), qt.Equals, "lagging: alex, delta; no answer from region: delta, giza; older revision in region: alex")
}
