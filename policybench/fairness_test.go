package policybench

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFairRatios(t *testing.T) {
	c := qt.New(t)
	callers := []accounts{{0: {10, 10}}, {0: {100, 30}}, {0: {1000, 60}}}
	// Of 100 tokens the first caller gets all its 10, the others 45 each.
	ratios := fairRatios(callers)
	c.Check(ratios[0], qt.Equals, 1.0)
	c.Check(ratios[1], qt.Equals, 30.0/45)
	c.Check(ratios[2], qt.Equals, 60.0/45)
}

func TestFairRatiosWithoutContention(t *testing.T) {
	c := qt.New(t)
	callers := []accounts{{0: {10, 10}}, {0: {1000, 1000}}}
	c.Check(fairRatios(callers), qt.DeepEquals, []float64{1, 1})
}

func TestFairRatiosOwesNothingForQuietTimes(t *testing.T) {
	c := qt.New(t)
	// The second caller receives what is left in the quiet interval; in the
	// busy one both receive the same.
	callers := []accounts{{0: {10, 10}, 1: {100, 50}}, {0: {100, 90}, 1: {100, 50}}}
	c.Check(fairRatios(callers), qt.DeepEquals, []float64{1, 1})
	// In the busy interval the first one is left out.
	callers[0][1] = account{100, 0}
	c.Check(fairRatios(callers)[0], qt.Equals, 10.0/35)
}

func TestJain(t *testing.T) {
	c := qt.New(t)
	c.Check(jain([]float64{1, 1, 1}), qt.Equals, 1.0)
	c.Check(jain([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
