package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/standin/kv"
)

// Units of /proc.
const (
	ticksPerSecond = 100
	statUserTime   = 11 // fields after the name of the process
	statSystemTime = 12
	kilobytesPerMB = 1024
	peakInterval   = 100 * time.Millisecond
)

// sample is what an instance has used so far.
type sample struct {
	bytes  uint64  // sent and received
	ticks  uint64  // of processor time
	memory float64 // resident, MB
}

func (d *instance) sample() sample {
	control := d.read().Control
	return sample{
		bytes:  control.SentBytes + control.ReceivedBytes,
		ticks:  processorTicks(d.pid),
		memory: residentMB(d.pid),
	}
}

func processorTicks(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseUint(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseUint(fields[statSystemTime], 10, 64)
	return user + system
}

func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _ := strconv.ParseFloat(strings.Fields(after + " 0")[0], 64)
	return kilobytes / kilobytesPerMB
}

// report runs a phase and prints what it cost.
func (f *fleet) report(ctx context.Context, name string, run func()) error {
	before := make([]sample, len(f.daemons))
	for i, d := range f.daemons {
		before[i] = d.sample()
	}
	calls, err := f.counters()
	if err != nil {
		return err
	}
	begun := time.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	peak := make(chan uint64, 1)
	go func() { peak <- f.peak(watchCtx) }()
	run()
	cancel()
	seconds := time.Since(begun).Seconds()
	after, err := f.counters()
	if err != nil {
		return err
	}
	var bytes, processor, memory average
	for i, d := range f.daemons {
		now := d.sample()
		bytes.add(float64(now.bytes-before[i].bytes) / seconds)
		processor.add(float64(now.ticks-before[i].ticks) / ticksPerSecond / seconds * 100)
		memory.add(now.memory)
	}
	fmt.Fprintf(os.Stdout, "| %d | %d | %s | %.1f | %.1f | %d | %.0f (%.0f) | %.2f (%.2f) | %.1f (%.1f) |\n",
		f.size, f.regions, name, float64(after.Reads-calls.Reads)/seconds, float64(after.Writes-calls.Writes)/seconds, <-peak,
		bytes.mean(), bytes.most, processor.mean(), processor.most, memory.mean(), memory.most)
	return nil
}

func (f *fleet) counters() (counters kv.Counters, err error) {
	err = getJSON(f.storeURL+"/standin/counters", &counters)
	return counters, err
}

// peak returns the most calls of the store within peakInterval until ctx ends.
func (f *fleet) peak(ctx context.Context) (most uint64) {
	ticker := time.NewTicker(peakInterval)
	defer ticker.Stop()
	last, _ := f.counters() // a failed reading counts as zero calls
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return most
		}
		now, err := f.counters()
		if err != nil {
			continue
		}
		most = max(most, now.Reads+now.Writes-last.Reads-last.Writes)
		last = now
	}
}

// average is the mean and the largest of some values.
type average struct {
	sum, most float64
	count     int
}

func (a *average) add(v float64) {
	a.sum += v
	a.count++
	a.most = max(a.most, v)
}

func (a *average) mean() float64 { return a.sum / float64(max(1, a.count)) }

// freeAddr returns an address that nothing listens on.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
