package admission

import "math"

// Capacity is what is known of a service's slots when an instance sets its
// own.
type Capacity struct {
	Slots    int     // of the backend servers that accept work
	Free     int     // of Slots, by the last load reports
	Fraction float64 // this instance's share of Slots
	Running  int     // requests of this instance that hold a slot
	Members  int     // instances that share the slots
}

// InstanceSlots returns the slots that this instance may use: its share, or
// what it uses and its part of the free slots, if that is more. A burst at one
// instance so reaches slots that no other uses before the shares have moved.
//
// The shares of all instances, each rounded, exceed the slots by at most half
// a slot for each instance, or one for an instance whose share is below one.
// What is borrowed beyond them is at most the free slots, once for each load
// report: it must be computed once for each.
func InstanceSlots(c Capacity) int {
	if c.Slots <= 0 {
		return 0
	}
	share := max(int(math.Round(float64(c.Slots)*c.Fraction)), 1)
	borrowed := c.Running + max(c.Free, 0)/max(c.Members, 1)
	return min(max(share, borrowed), c.Slots)
}
