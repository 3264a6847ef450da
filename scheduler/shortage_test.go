package scheduler

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// noDialCase is a machine that cannot begin a connection.
type noDialCase struct {
	shortage time.Duration // how long there is no descriptor
	noRoute  bool          // to the disk server
	served   bool
}

// TestNoDial: while this machine cannot even begin a connection, requests are served once it can, or have their answer
// in time; no server is blamed, the log has one line, and the attempts are few.
func TestNoDial(t *testing.T) {
	for name, x := range map[string]noDialCase{
		"descriptors for a moment": {shortage: 30 * time.Millisecond, served: true},
		"descriptors for long":     {shortage: 600 * time.Millisecond},
		"no way":                   {noRoute: true},
	} {
		t.Run(name, x.run)
	}
}

// run does ops during the shortage and checks their replies, the outcomes of their dispatches, and the log.
func (x noDialCase) run(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.eventually("the list", func() bool { return bed.hasServer("s-0") })
	var log bytes.Buffer
	codes := bed.recordOutcomes()
	bed.onLoop(func() {
		bed.scheduler.log = zerolog.New(&log).Level(zerolog.WarnLevel)
		bed.module.DecisionModule = singleServerModule{"s-0"}
	})
	var clients []*testClient
	for range 5 {
		c := bed.dialClient()
		c.do("PING")
		clients = append(clients, c)
	}
	x.begin(bed)
	x.checkReplies(t, clients)
	bed.onLoop(func() {
		for _, code := range *codes {
			if code != honeyplank.NotSent && code != honeyplank.Succeeded {
				t.Errorf("outcomes %v", *codes)
			}
		}
		if n := bytes.Count(log.Bytes(), []byte("\n")); n != 1 || bed.scheduler.failedDials > 20 {
			t.Errorf("%d lines after %d tries: %s", n, bed.scheduler.failedDials, log.Bytes())
		}
	})
}

// begin begins the shortage.
func (x noDialCase) begin(bed *testbed) {
	bed.onLoop(func() {
		if x.noRoute {
			bed.scheduler.applyMember(listMember{ID: "s-0", Address: "255.255.255.255:9", Phase: "up"})
		}
		if x.shortage > 0 {
			release := takeAllDescriptors()
			bed.t.Cleanup(release)
			bed.scheduler.loop.Schedule(bed.scheduler.loop.Now()+x.shortage, release)
		}
	})
}

// checkReplies sends one op for each client and checks its reply.
func (x noDialCase) checkReplies(t *testing.T, clients []*testClient) {
	t.Helper()
	for i, c := range clients {
		c.sendRead(fmt.Sprint("a", i), 390)
	}
	for i, c := range clients {
		want := "-ERR failed"
		if x.served {
			want = valueOf(fmt.Sprint("a", i))
		}
		if got := c.readReply(time.Second); got != want {
			t.Errorf("%q, expected %q", got, want)
		}
	}
}

// TestListenRetry: a scheduler that lacks a descriptor at its start listens once there is one.
func TestListenRetry(t *testing.T) {
	bed := newTestbed(t, 1)
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(200*time.Millisecond, takeAllDescriptors())
	s, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	s.loop.Post(s.loop.Stop)
	<-done
}

// TestHealthCheckWaitsForDial: a health check that waits for a connection has its outcome, even if the next dial cannot
// begin.
func TestHealthCheckWaitsForDial(t *testing.T) {
	bed := newTestbed(t, 1, withSlowConnect, withStreamsPerConn(1))
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	bed.eventually("the list", func() bool { return bed.hasServer("s-0") })
	bed.useModule(&delayedModule{delay: time.Hour})
	results := bed.healthChecks()
	bed.dialClient().sendRead("first", 9000)
	bed.eventuallyOnLoop("the op", func() bool { return bed.scheduler.tracker.Unanswered() == 1 })
	bed.onLoop(func() {
		s := bed.scheduler
		s.tracker.Deliver(honeyplank.Timer{}) // the op opens a connection, and holds it once it is up
		ds := s.servers["s-0"]
		if ds.dialing != 1 {
			t.Errorf("%d connections are being opened", ds.dialing)
		}
		ds.address = "255.255.255.255:9"
		s.execute(honeyplank.HealthCheck{Server: "s-0"}) // no dial can begin: it waits for that connection
	})
	select {
	case result := <-results:
		if result.Code != honeyplank.NotSent {
			t.Errorf("%+v", result)
		}
	case <-time.After(4 * time.Second): // less than the timeout of a health check
		t.Error("the health check has no outcome")
	}
}
