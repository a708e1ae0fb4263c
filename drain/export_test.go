package drain

// Kinds returns the number of kinds of which anything is kept.
func (d *Durations) Kinds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.kinds)
}
