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

// Units and field positions of /proc, and the sampling interval of the store.
const (
	ticksPerSecond = 100 // clock ticks of /proc/PID/stat
	statUserTime   = 11  // index among the fields after the process name in /proc/PID/stat
	statSystemTime = 12
	kilobytesPerMB = 1024
	peakInterval   = 100 * time.Millisecond
)

// sample holds cumulative counters and the current memory of an instance.
type sample struct {
	controlBytes uint64  // control traffic sent and received
	cpuTicks     uint64  // CPU time in clock ticks
	residentMB   float64 // resident set size now, MB
}

func (d *instance) sample() sample {
	control := d.fetchStatus().Control
	return sample{
		controlBytes: control.SentBytes + control.ReceivedBytes,
		cpuTicks:     cpuTicks(d.pid),
		residentMB:   residentMB(d.pid),
	}
}

func cpuTicks(pid int) uint64 {
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

// measurePhase runs a phase and prints a table row with its resource usage.
func (f *fleet) measurePhase(ctx context.Context, name string, run func()) error {
	before := make([]sample, len(f.instances))
	for i, d := range f.instances {
		before[i] = d.sample()
	}
	callsBefore, err := f.storeCounters()
	if err != nil {
		return err
	}
	started := time.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	peakCalls := make(chan uint64, 1)
	go func() { peakCalls <- f.peakStoreCalls(watchCtx) }()
	run()
	cancel()
	seconds := time.Since(started).Seconds()
	callsAfter, err := f.storeCounters()
	if err != nil {
		return err
	}
	var bytes, cpu, memory aggregate
	for i, d := range f.instances {
		current := d.sample()
		bytes.add(float64(current.controlBytes-before[i].controlBytes) / seconds)
		cpu.add(float64(current.cpuTicks-before[i].cpuTicks) / ticksPerSecond / seconds * 100)
		memory.add(current.residentMB)
	}
	fmt.Fprintf(os.Stdout, "| %d | %d | %s | %.1f | %.1f | %d | %.0f (%.0f) | %.2f (%.2f) | %.1f (%.1f) |\n",
		f.size, f.regions, name, float64(callsAfter.Reads-callsBefore.Reads)/seconds, float64(callsAfter.Writes-callsBefore.Writes)/seconds, <-peakCalls,
		bytes.mean(), bytes.maximum, cpu.mean(), cpu.maximum, memory.mean(), memory.maximum)
	return nil
}

func (f *fleet) storeCounters() (counters kv.Counters, err error) {
	err = getJSON(f.storeURL+"/standin/counters", &counters)
	return counters, err
}

// peakStoreCalls returns the largest number of store calls within peakInterval,
// sampled until ctx ends.
func (f *fleet) peakStoreCalls(ctx context.Context) (highest uint64) {
	ticker := time.NewTicker(peakInterval)
	defer ticker.Stop()
	last, _ := f.storeCounters() // counters are zero if the first read fails
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return highest
		}
		current, err := f.storeCounters()
		if err != nil {
			continue
		}
		highest = max(highest, current.Reads+current.Writes-last.Reads-last.Writes)
		last = current
	}
}

// aggregate aggregates values to their mean and maximum.
type aggregate struct {
	sum, maximum float64
	count        int
}

func (a *aggregate) add(v float64) {
	a.sum += v
	a.count++
	a.maximum = max(a.maximum, v)
}

func (a *aggregate) mean() float64 { return a.sum / float64(max(1, a.count)) }

// freeAddr returns a loopback address that was free when it was checked.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
