// Command cases runs the scripts of the review. Its exit status is 1 if the rule of a case
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by number. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(test func(w *world, trouble bool) bool, path string) (status int) {
	rec := newRecord(path)
	defer func() {
		if cause := recover(); cause != nil {
			rec.say("the case could not run: %v", cause)
			status = 2
		}
	}()
	w := newWorld(rec)
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("disruption: %v", trouble)
	if test(w, trouble) {
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
