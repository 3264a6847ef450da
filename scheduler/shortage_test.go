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

// noDialCase is a case in which this machine cannot start to open a connection.
type noDialCase struct {
	shortage time.Duration // time for which no descriptor is free
	noRoute  bool          // there is no route to the disk server
	served   bool
}

// TestNoDial checks requests while this machine cannot start to open a connection. Requests are served if a connection
// can be opened soon enough, and otherwise fail in time. No failure is attributed to a disk server, the log has one
// line, and the number of dials is small.
func TestNoDial(t *testing.T) {
	for name, x := range map[string]noDialCase{
		"no descriptors for 30 ms":  {shortage: 30 * time.Millisecond, served: true},
		"no descriptors for 600 ms": {shortage: 600 * time.Millisecond},
		"no route":                  {noRoute: true},
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
			t.Errorf("%d log lines after %d failed dials: %s", n, bed.scheduler.failedDials, log.Bytes())
		}
	})
}

// begin starts the shortage.
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
			t.Errorf("reply %q, expected %q", got, want)
		}
	}
}

// TestListenRetry checks that a scheduler without a free descriptor at its start listens once a descriptor is free.
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

// TestHealthCheckWaitsForDial checks that a health check that waits for a connection gets an outcome, even if the next
// dial cannot start.
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
		s.tracker.Deliver(honeyplank.Timer{}) // the op opens a connection and occupies it once it is open
		ds := s.servers["s-0"]
		if ds.dialing != 1 {
			t.Errorf("%d connections are being opened, expected 1", ds.dialing)
		}
		ds.address = "255.255.255.255:9"
		s.execute(honeyplank.HealthCheck{Server: "s-0"}) // no dial can start: it waits for that connection
	})
	select {
	case result := <-results:
		if result.Code != honeyplank.NotSent {
			t.Errorf("unexpected result %+v", result)
		}
	case <-time.After(4 * time.Second): // less than the timeout of a health check
		t.Error("the health check has no outcome")
	}
}
