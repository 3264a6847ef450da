package scheduler

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// abusivePayloads are what bad clients send.
var abusivePayloads = map[string]struct {
	text  string
	reads bool
}{
	"PINGs, not read": {strings.Repeat(string(encodeCommand("PING")), 1000), false},
	"PINGs, read":     {strings.Repeat(string(encodeCommand("PING")), 1000), true},
	"large PINGs":     {string(encodeCommand("PING", strings.Repeat("v", maxBody))), true},
	"malformed input": {strings.Repeat("v", maxBody), false},
	"errors":          {strings.Repeat(string(encodeCommand("BLK.READ", "x", "y", "z")), 1000), true},
}

// abusiveConns is how many bad clients there are.
const abusiveConns = 200

// TestMain lets the test program be the bad clients too, in a process of their own: in one with the scheduler they
// would hold its loop up by themselves.
func TestMain(m *testing.M) {
	if kind, address := os.Getenv("ABUSE_KIND"), os.Getenv("ABUSE_ADDRESS"); kind != "" {
		for range abusiveConns {
			go runAbusiveClient(address, kind)
		}
		time.Sleep(time.Minute)
		return
	}
	os.Exit(m.Run())
}

// runAbusiveClient sends at full speed, each time on a new connection once it loses the one that it has.
func runAbusiveClient(address, kind string) {
	for ; ; time.Sleep(10 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil && abusivePayloads[kind].reads {
			go io.Copy(io.Discard, c)
		}
		for err == nil {
			if err = c.SetWriteDeadline(time.Now().Add(time.Second)); err == nil {
				_, err = io.WriteString(c, abusivePayloads[kind].text)
			}
		}
		if c != nil {
			_ = c.Close() // it is broken, and replaced
		}
	}
}

// startAbusiveClients starts the bad clients.
func (bed *testbed) startAbusiveClients(kind string) {
	bed.t.Helper()
	own, err := os.Executable()
	if err != nil {
		bed.t.Fatal(err)
	}
	process := exec.Command(own)
	process.Env = append(os.Environ(), "GOMAXPROCS=2", "ABUSE_KIND="+kind, "ABUSE_ADDRESS="+bed.scheduler.Address())
	if err := process.Start(); err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() {
		if err := process.Process.Kill(); err != nil {
			bed.t.Error(err)
		}
		_ = process.Wait() // says that it was killed
	})
	bed.eventuallyOnLoop("the flood", func() bool {
		return len(bed.scheduler.clients) > abusiveConns/4 || bed.scheduler.protocolErrors > abusiveConns
	})
}

// measureStalls measures for how long in all the machine has held up a thread that only sleeps, 10 ms and more each
// time.
func measureStalls(t *testing.T) func() time.Duration {
	t.Helper()
	var total atomic.Int64
	var done atomic.Bool
	t.Cleanup(func() { done.Store(true) })
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for !done.Load() {
			start := time.Now()
			time.Sleep(time.Millisecond)
			if late := time.Since(start) - time.Millisecond; late > 10*time.Millisecond {
				total.Add(int64(late))
			}
		}
	}()
	return func() time.Duration { return time.Duration(total.Load()) }
}

// finalAnswerCase is what ails disk servers or other clients do.
type finalAnswerCase struct {
	faults fakeresp.Faults
	gate   bool // connections to the disk servers open, and nothing is read
	abuse  string
	served bool // some ops succeed nevertheless
}

// TestFinalAnswers: whatever ails disk servers or other clients do, each request has one final answer, half a second
// after its timeout at the latest.
func TestFinalAnswers(t *testing.T) {
	for name, x := range map[string]finalAnswerCase{
		"they hang":               {faults: fakeresp.Faults{Silent: true}},
		"they never read":         {gate: true},
		"they break":              {faults: fakeresp.Faults{ResetOnCommand: true}},
		"half an answer":          {faults: fakeresp.Faults{HalfAnswer: true}},
		"answers that don't end":  {faults: fakeresp.Faults{Malformed: "*3\r\n$65536\r\nx"}},
		"answers cannot be read":  {faults: fakeresp.Faults{Malformed: "x"}},
		"they turn away":          {faults: fakeresp.Faults{Busy: true}},
		"they fail":               {faults: fakeresp.Faults{Fail: true}},
		"PINGs, not read":         {served: true, abuse: "PINGs, not read"},
		"PINGs, read":             {served: true, abuse: "PINGs, read"},
		"large PINGs":             {served: true, abuse: "large PINGs"},
		"malformed input":         {served: true, abuse: "malformed input"},
		"errors":                  {served: true, abuse: "errors"},
		"PINGs, and servers hang": {faults: fakeresp.Faults{Silent: true}, abuse: "PINGs, read"},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t, 2)
			for i, disk := range bed.disks {
				disk.SetFaults(x.faults)
				if x.gate {
					bed.moveBehindGate(i).acceptConns()
				}
			}
			good := bed.dialClient()
			good.doRead("first", 300)
			if x.abuse != "" {
				bed.startAbusiveClients(x.abuse)
			}
			if served := good.countFinalAnswers(10); x.served && served < 3 {
				t.Errorf("%d of 10 served", served)
			}
		})
	}
}

// countFinalAnswers does n ops, reads and writes in turn, checks that each is answered in time, and counts those that
// succeed.
func (c *testClient) countFinalAnswers(n int) (served int) {
	c.t.Helper()
	large := strings.Repeat("v", maxBody)
	stalled := measureStalls(c.t)
	var slowest time.Duration
	for i := range n {
		id, timeout := fmt.Sprint("good", i), 300*time.Millisecond
		args := []string{"BLK.READ", objectKey, id, opOptions("read", 300, 0)}
		if i%2 == 1 {
			args = []string{"BLK.WRITE", objectKey, id, opOptions("write", 300, 1), large}
		}
		start, stalledBefore := time.Now(), stalled()
		c.send(args...)
		got := c.readReply(3 * time.Second)
		took := time.Since(start)
		slowest = max(slowest, took)
		late := stalled() - stalledBefore
		if got == "closed" || took > timeout+500*time.Millisecond+late {
			c.t.Errorf("%s: %.40q after %v, the machine was held up for %v", id, got, took, late)
		}
		if got == valueOf(id) {
			served++
		}
	}
	c.t.Logf("%d of %d served, the slowest answer after %v", served, n, slowest)
	return served
}
