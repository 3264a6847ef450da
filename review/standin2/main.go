// Command standin2 runs one case of the review: it starts the scheduler as the deploy file does, with stand-ins for
// clients, disk servers and discovery of its own, and judges what they see. All addresses are loopback addresses.
//
//	bin/standin2 CASE RECORD
//	bin/standin2 disk COPIES    # a disk server, started by a case
//
// It runs bin/honeyplank of the current directory and writes what was sent, answered and run to the file RECORD. It
// exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run. With
// TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	longestRun = 110 * time.Second
)

// cases are the cases by their numbers, and two plays by name. The file of each adds it.
var cases = map[string]func(*lab) error{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "disk" {
		fmt.Fprintln(os.Stderr, runDisk(os.Args[2] == "true"))
		os.Exit(exitFailed)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns the exit code.
func run(play func(*lab) error, record string) int {
	l, err := newLab(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() { // the script ends all that it has started, also where it ends early
		select {
		case <-ended:
		case <-time.After(longestRun):
		}
		l.close()
		fmt.Fprintln(os.Stderr, "could not run: it was ended, or took too long")
		os.Exit(exitFailed)
	}()
	err = play(l)
	broken := l.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken > 0:
		fmt.Println("rule broken, findings:", broken)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
