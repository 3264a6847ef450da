package main

import (
	"context"
	"testing"
	"time"

	"honeyplank/bench/overload"
)

// Limits and load of the scheduler, as operators have reported them.
const (
	overloadMemoryMB    = 64
	overloadDescriptors = 384
	overloadServers     = 14
	overloadClients     = 100
	overloadValueBytes  = 16 << 10
	overloadTime        = 2 * time.Second // of each abuse
	soakTime            = time.Minute
	soakSeed            = 1
)

func playOverload(t *testing.T, length time.Duration, abuses ...overload.Abuse) *overload.Report {
	t.Helper()
	report, err := overload.Run(context.Background(), overload.Options{
		Program:     binary,
		Seed:        soakSeed,
		Length:      length,
		Abuses:      abuses,
		Clients:     overloadClients,
		Servers:     overloadServers,
		MemoryMB:    overloadMemoryMB,
		Descriptors: overloadDescriptors,
		ValueBytes:  overloadValueBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	return report
}

// checkOverload checks that the scheduler stays within its memory, buffers of its sockets included, and that every read
// of an ordinary client is answered in time.
func checkOverload(t *testing.T, report *overload.Report) {
	t.Helper()
	if report.Crashed {
		t.Error("the scheduler has ended by itself")
	}
	if report.Peak.Total() > overloadMemoryMB<<20 {
		t.Errorf("the scheduler used %d MB, its limit is %d MB", report.Peak.Total()>>20, overloadMemoryMB)
	}
	o := &report.Ordinary
	if o.Late > 0 || o.Unanswered > 0 || o.Failed > 0 || o.Served == 0 {
		t.Errorf("reads of ordinary clients: %d served, %d failed, %d late, %d without an answer", o.Served, o.Failed,
			o.Late, o.Unanswered)
	}
}

// TestOverload guards against the failure that clients that burden a scheduler, each in one of the ways that operators
// have reported, drive it over its memory limit or keep it from answering ordinary clients in time.
func TestOverload(t *testing.T) {
	for _, abuse := range overload.Abuses {
		t.Run(abuse.Name, func(t *testing.T) { checkOverload(t, playOverload(t, overloadTime, abuse)) })
	}
}

// TestOverloadSoak is TestOverload with all ways after one another, in seeded order, with one scheduler: what one way
// leaves behind must not add up.
func TestOverloadSoak(t *testing.T) {
	checkOverload(t, playOverload(t, soakTime, overload.Mix(overload.Abuses, soakTime, soakSeed)...))
}

// TestNothingSentForClientsThatLeft guards against the failure that a client closes its connection with much still
// unread, and its requests are sent to disk servers afterwards.
func TestNothingSentForClientsThatLeft(t *testing.T) {
	abuses, err := overload.Select([]string{"leaves unread"})
	if err != nil {
		t.Fatal(err)
	}
	if report := playOverload(t, overloadTime, abuses...); report.SentOnLate > 0 {
		t.Errorf("%d requests were sent on over 0.15 s after their client had left", report.SentOnLate)
	}
}
