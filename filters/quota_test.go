package filters

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quota"
)

type quotaRefusals []*quota.Refusal

func (r *quotaRefusals) OverQuota(_ *Exchange, exceeded *quota.Refusal, _ *outcome.Error) {
	*r = append(*r, exceeded)
}

// TestQuotaFilter guards against charges of requests that did not run, against requests
// beyond the quota that reach the next filter, and against charges without an organization.
func TestQuotaFilter(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	organization := &catalog.Organization{Name: "oslo", Quota: catalog.Quota{Rate: 1, Burst: 1000, Unit: catalog.QuotaTokens, PlainTokens: 100}}
	organizations := catalog.NewOrganizations()
	organizations.Add(organization, nil)
	start := time.Now().Add(-2000 * time.Second)
	l := quota.New(start, quota.Bounds{Window: time.Second})
	l.Configure(start, organizations)
	for now := start; now.Before(time.Now()); now = now.Add(quota.TickInterval) {
		l.Tick(now, quota.Members{Own: 1})
	}
	var refusals quotaRefusals
	f := Quota{Limiter: l, Observer: &refusals}
	run := func(result *outcome.Error, organization *catalog.Organization) (reached bool, err *outcome.Error) {
		err = f.Handle(&Exchange{Organization: organization, PromptTokens: 500, MaxOutputTokens: 400}, func(*Exchange) *outcome.Error {
			reached = true
			return result
		})
		return reached, err
	}
	notRun := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "draining")
	for range 5 {
		reached, err := run(notRun, organization)
		c.Check(reached, qt.IsTrue)
		c.Check(err, qt.Equals, notRun)
	}
	_, err := run(nil, organization)
	c.Check(err == nil, qt.IsTrue)
	reached, err := run(nil, organization)
	c.Check(reached, qt.IsFalse)
	c.Assert(err, qt.IsNotNil)
	c.Check(err.Status, qt.Equals, http.StatusTooManyRequests)
	c.Check(err.Outcome, qt.Equals, outcome.NotRun)
	c.Check(err.RetryAfter > 0, qt.IsTrue)
	c.Check(refusals, qt.HasLen, 1)
	reached, _ = run(nil, nil)
	c.Check(reached, qt.IsTrue)
}
