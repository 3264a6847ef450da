package scheduler

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// TestHalfAnswer checks that a truncated answer counts as none, so that the op may or may not have run, and that the
// next op uses another connection.
func TestHalfAnswer(t *testing.T) {
	bed := newTestbed(t, 1)
	codes := bed.recordOutcomes()
	bed.useModule(singleServerModule{"s-0"})
	bed.disks[0].SetFaults(fakeresp.Faults{HalfAnswer: true})
	c := bed.dialClient()
	if got := c.doRead("a", 390); got != "-ERR failed" {
		t.Errorf("reply is %q", got)
	}
	bed.disks[0].SetFaults(fakeresp.Faults{})
	if got := c.doRead("b", 390); got != valueOf("b") {
		t.Errorf("reply is %q", got)
	}
	bed.onLoop(func() {
		if fmt.Sprint(*codes) != fmt.Sprint([]honeyplank.Code{honeyplank.Reset, honeyplank.Succeeded}) {
			t.Errorf("unexpected outcomes %v", *codes)
		}
	})
}

// TestMalformedReplies checks that a client gets an error if the answer of the disk server is malformed or has no
// value. A client never gets data of another request, and the connection is not used again.
func TestMalformedReplies(t *testing.T) {
	for name, f := range map[string]fakeresp.Faults{
		"not RESP":        {Malformed: "\x00\xff\x13noise\r\n\r\n"},
		"long line":       {Malformed: "+" + strings.Repeat("x", 100000)},
		"wrong length":    {Malformed: "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n"},
		"large length":    {Malformed: "*3\r\n$3000000000\r\n" + strings.Repeat("x", 1<<20)},
		"negative length": {Malformed: "*3\r\n$-7\r\n"},
		"null values":     {Malformed: "*3\r\n$-1\r\n$-1\r\n$-1\r\n"},
		"empty array":     {Malformed: "*0\r\n"},
		"integer":         {Malformed: ":1\r\n"},
		"simple string":   {Malformed: "+OK\r\n"},
		"nested arrays":   {Malformed: strings.Repeat("*1\r\n", 20)},
		"HTTP":            {Malformed: "HTTP/1.1 100 Continue\r\n\r\n"},
		"reset":           {ResetOnCommand: true},
		"failed":          {Fail: true},
		"busy":            {Busy: true},
	} {
		t.Run(name, func(t *testing.T) { checkFaultyReplies(t, f) })
	}
}

// checkFaultyReplies checks that an op on a disk server with faults fails immediately, and that ops are served again
// after the faults end.
func checkFaultyReplies(t *testing.T, faults fakeresp.Faults) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(faults)
	c := bed.dialClient()
	start := time.Now()
	if got := c.doRead("a", 390); !strings.HasPrefix(got, "-") {
		t.Errorf("reply is %q", got)
	}
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	bed.disks[0].SetFaults(fakeresp.Faults{})
	good := 0
	for i := range 20 {
		id := fmt.Sprintf("b%d", i)
		if got := c.doRead(id, 390); got == valueOf(id) {
			good++
		} else if !strings.HasPrefix(got, "-") {
			t.Errorf("reply is %q", got)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if good < 15 {
		t.Errorf("%d of 20 ops are served after the faults have ended", good)
	}
}

// unrequestedReply is a well-formed answer that belongs to no command.
var unrequestedReply = string(resp.AppendBulk(resp.AppendArray(nil, 1), []byte("not yours")))

// TestExtraReplyData checks that data that follows a complete answer, immediately or a moment later, reaches no client.
func TestExtraReplyData(t *testing.T) {
	for name, extra := range map[string]string{"late copy": unrequestedReply, "late noise": "noise\r\n"} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			server := newLateReplyServer(t, extra)
			bed.redirectServer(0, server.address)
			server.checkReplies(bed.dialClient(), 30)
		})
	}
	for name, extra := range map[string]string{"copy": unrequestedReply, "noise": "\x01\x02"} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 1)
			bed.disks[0].SetFaults(fakeresp.Faults{TrailingData: extra})
			c := bed.dialClient()
			for i := range 30 {
				id := fmt.Sprintf("a%d", i)
				if got := c.doRead(id, 390); got != valueOf(id) {
					t.Fatalf("reply to op %d is %q", i, got)
				}
			}
		})
	}
}

// TestLoadReports checks that the fields of a load report get the names of the decision module, and that a malformed
// load report is ignored.
func TestLoadReports(t *testing.T) {
	fields := []string{"util", "latency_ms"}
	want := map[string]float64{"util": 0.61, "latency": 12.5}
	if got := parseLoadReport("util=0.61,latency_ms=12.5", fields); !maps.Equal(got, want) {
		t.Error(got)
	}
	for _, text := range []string{
		"",
		"util=0.61",
		"util=x,latency_ms=1",
		"util=NaN,latency_ms=1",
		"util=-1,latency_ms=1",
		"\xff=,=,,=",
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			if got := parseLoadReport(text, fields); got != nil {
				t.Error(got)
			}
		})
	}
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{LoadReport: "\x00=\xff,util", Usage: "used=x,,"})
	if got := bed.dialClient().doRead("a", 390); got != valueOf("a") {
		t.Error(got)
	}
}

// TestSilentServer checks that a client gets its answer in time if the disk server does not answer, and that the
// connection to the disk server closes, so that the server can drop the command.
func TestSilentServer(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Silent: true})
	c := bed.dialClient()
	start := time.Now()
	if got := c.doRead("a", 200); !strings.HasPrefix(got, "-") {
		t.Error(got)
	}
	if took := time.Since(start); took > 255*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	bed.eventually("the close of the connection", func() bool { n, _ := bed.disks[0].Connections(); return n == 0 })
}

// TestConnectionRefused checks that an op fails immediately, not at its timeout, if the disk server refuses
// connections.
func TestConnectionRefused(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.stopDisk(0)
	start := time.Now()
	got, took := bed.dialClient().doRead("a", 390), time.Since(start)
	if !strings.HasPrefix(got, "-") || took > 250*time.Millisecond {
		t.Errorf("reply is %q after %v", got, took)
	}
}

// TestHealthCheck checks that a health check returns the load report, and that it reports a failed connection if the
// disk server refuses connections.
func TestHealthCheck(t *testing.T) {
	bed := newTestbed(t, 1)
	results := bed.healthChecks()
	bed.disks[0].SetFaults(fakeresp.Faults{LoadReport: "util=0.5,latency_ms=3"})
	bed.onLoop(func() { bed.scheduler.execute(honeyplank.HealthCheck{Server: "s-0"}) })
	if result := <-results; result.Code != honeyplank.Succeeded || result.Load["latency"] != 3 {
		t.Errorf("unexpected result %+v", result)
	}
	bed.stopDisk(0)
	bed.onLoop(func() { bed.scheduler.execute(honeyplank.HealthCheck{Server: "s-0"}) })
	if result := <-results; result.Code != honeyplank.ConnectFailed {
		t.Errorf("unexpected result %+v", result)
	}
}
