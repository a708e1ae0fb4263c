package policybench

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFairRatios(t *testing.T) {
	c := qt.New(t)
	callers := []callerTokens{{0: {10, 10}}, {0: {100, 30}}, {0: {1000, 60}}}
	// Of 100 tokens, the fair share of the first caller is its whole demand of 10;
	// that of the others is 45 each.
	ratios := fairRatios(callers)
	c.Check(ratios[0], qt.Equals, 1.0)
	c.Check(ratios[1], qt.Equals, 30.0/45)
	c.Check(ratios[2], qt.Equals, 60.0/45)
}

func TestFairRatiosWithoutContention(t *testing.T) {
	c := qt.New(t)
	callers := []callerTokens{{0: {10, 10}}, {0: {1000, 1000}}}
	c.Check(fairRatios(callers), qt.DeepEquals, []float64{1, 1})
}

func TestFairRatiosPerInterval(t *testing.T) {
	c := qt.New(t)
	// In interval 0 the second caller receives what the first one does not
	// demand. In the contended interval 1 both receive the same.
	callers := []callerTokens{{0: {10, 10}, 1: {100, 50}}, {0: {100, 90}, 1: {100, 50}}}
	c.Check(fairRatios(callers), qt.DeepEquals, []float64{1, 1})
	// In the contended interval the first caller receives nothing.
	callers[0][1] = tokenCounts{100, 0}
	c.Check(fairRatios(callers)[0], qt.Equals, 10.0/35)
}

func TestJain(t *testing.T) {
	c := qt.New(t)
	c.Check(jainIndex([]float64{1, 1, 1}), qt.Equals, 1.0)
	c.Check(jainIndex([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
