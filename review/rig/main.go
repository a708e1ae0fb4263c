// Command rig plays the cases of the review that are no days of the bench. It starts
// the daemon as processes on loopback addresses, with stand-ins of the platform's
// store, of replicas and of clients in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case and the exit code of the program.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2 // the case could not run
)

// limit ends a case that hangs.
const limit = 110 * time.Second

var cases = map[string]func(d *Deployment, trouble bool) (verdict, error){
	"refused":        refused,
	"cut-short":      cutShort,
	"changed-target": changedTarget,
	"deadly":         deadly,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(int(failed))
	}
	os.Exit(int(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")))
}

func play(name, path string, trouble bool) verdict {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	record.Line("case %s, trouble %t", name, trouble)
	d, err := NewDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.Close()
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[name](d, trouble)
		done <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
		record.Line("could not run: interrupted")
		return failed
	case r := <-done:
		if r.err != nil {
			fmt.Fprintln(os.Stderr, r.err)
			record.Line("could not run: %v", r.err)
			return failed
		}
		return r.verdict
	case <-time.After(limit):
		record.Line("could not run: no result after %v", limit)
		return failed
	}
}
