// Command standin runs the cases of the review. Each case starts the project's scheduler as a separate process, with
// stand-ins for clients, disk servers and discovery on loopback addresses, and judges one rule from what these see. The
// exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the
// environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTimeout ends a case that hangs, before the 120 s that it may take.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns the violations that it has seen.
var cases = map[string]func(*world) ([]string, error){
	"gone":  clientGone,
	"term":  pipelineAtShutdown,
	"flood": memoryUnderFlood,
	"over":  lostUnderOverload,
	"late":  foreignAfterLateCopy,
}

func main() {
	switch {
	case len(os.Args) == 2 && os.Args[1] == "disk":
		serveDisk()
	case len(os.Args) == 3 && cases[os.Args[1]] != nil:
		os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
	default:
		fmt.Fprintln(os.Stderr, "usage: standin disk | standin CASE RECORD")
		os.Exit(notRun)
	}
}

// runCase runs a case, which writes to a record file, and returns the exit code.
func runCase(run func(*world) ([]string, error), recordFile string) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.end()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := run(w)
		done <- result{violations, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	var r result
	select {
	case r = <-done:
	case s := <-interrupted:
		r.err = fmt.Errorf("ended by %v", s)
	case <-time.After(caseTimeout):
		r.err = fmt.Errorf("no result after %v", caseTimeout)
	}
	return w.report(r.violations, r.err)
}

// report records the result and returns the exit code.
func (w *world) report(violations []string, err error) int {
	for _, violation := range violations {
		w.record("BROKEN: %s", violation)
		fmt.Println(violation)
	}
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		fmt.Println(err)
		return notRun
	case len(violations) > 0:
		w.record("result: the rule was broken %d times", len(violations))
		return ruleBroken
	}
	w.record("result: the rule held")
	return ruleHeld
}
