package policybench

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFairRatios(t *testing.T) {
	c := qt.New(t)
	callers := []*callerTokens{{demand: 10, served: 10}, {demand: 100, served: 30}, {demand: 1000, served: 60}}
	// Of 100 tokens the first caller gets all its 10, the others 45 each.
	ratios := fairRatios(callers)
	c.Check(ratios[0], qt.Equals, 1.0)
	c.Check(ratios[1], qt.Equals, 30.0/45)
	c.Check(ratios[2], qt.Equals, 60.0/45)
}

func TestFairRatiosWithoutContention(t *testing.T) {
	c := qt.New(t)
	callers := []*callerTokens{{demand: 10, served: 10}, {demand: 1000, served: 1000}}
	c.Check(fairRatios(callers), qt.DeepEquals, []float64{1, 1})
}

func TestJain(t *testing.T) {
	c := qt.New(t)
	c.Check(jain([]float64{1, 1, 1}), qt.Equals, 1.0)
	c.Check(jain([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
