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

// abusivePayloads are the bytes that abusive clients send repeatedly, by kind of abuse.
var abusivePayloads = map[string]struct {
	text  string
	reads bool // the client reads its replies
}{
	"PINGs, not read": {strings.Repeat(string(encodeCommand("PING")), 1000), false},
	"PINGs, read":     {strings.Repeat(string(encodeCommand("PING")), 1000), true},
	"large PINGs":     {string(encodeCommand("PING", strings.Repeat("v", maxBody))), true},
	"malformed input": {strings.Repeat("v", maxBody), false},
	"errors":          {strings.Repeat(string(encodeCommand("BLK.READ", "x", "y", "z")), 1000), true},
}

// abusiveConns is the number of abusive clients.
const abusiveConns = 200

// TestMain also lets the test program run as the abusive clients, in a separate process. In the process of the
// scheduler they would delay its loop by themselves.
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

// runAbusiveClient sends at full speed. If its connection fails, it opens a new one.
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
			_ = c.Close() // the connection has failed and is replaced
		}
	}
}

// startAbusiveClients starts the process of the abusive clients and waits until they have an effect.
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
		_ = process.Wait() // its error is that the process was killed
	})
	bed.eventuallyOnLoop("the effect of the abusive clients", func() bool {
		return len(bed.scheduler.clients) > abusiveConns/4 || bed.scheduler.protocolErrors > abusiveConns
	})
}

// measureStalls measures the total delay that the machine causes to a thread that only sleeps. It ignores delays of up
// to 10 ms. The result returns the total so far.
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

// finalAnswerCase describes faults of the disk servers and abuse by other clients.
type finalAnswerCase struct {
	faults fakeresp.Faults
	gate   bool // connections to the disk servers open, but nothing is read from them
	abuse  string
	served bool // some ops have to succeed
}

// TestFinalAnswers checks that each request gets one final answer no later than half a second after its timeout, in
// spite of faults of disk servers and of abusive clients.
func TestFinalAnswers(t *testing.T) {
	for name, x := range map[string]finalAnswerCase{
		"servers do not answer":        {faults: fakeresp.Faults{Silent: true}},
		"servers do not read":          {gate: true},
		"servers reset":                {faults: fakeresp.Faults{ResetOnCommand: true}},
		"truncated answers":            {faults: fakeresp.Faults{HalfAnswer: true}},
		"incomplete answers":           {faults: fakeresp.Faults{Malformed: "*3\r\n$65536\r\nx"}},
		"malformed answers":            {faults: fakeresp.Faults{Malformed: "x"}},
		"servers are busy":             {faults: fakeresp.Faults{Busy: true}},
		"servers fail":                 {faults: fakeresp.Faults{Fail: true}},
		"PINGs, not read":              {served: true, abuse: "PINGs, not read"},
		"PINGs, read":                  {served: true, abuse: "PINGs, read"},
		"large PINGs":                  {served: true, abuse: "large PINGs"},
		"malformed input":              {served: true, abuse: "malformed input"},
		"errors":                       {served: true, abuse: "errors"},
		"PINGs, servers do not answer": {faults: fakeresp.Faults{Silent: true}, abuse: "PINGs, read"},
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
				t.Errorf("%d of 10 ops served, expected 3 or more", served)
			}
		})
	}
}

// countFinalAnswers sends n ops, alternately reads and writes, and checks that each is answered in time. It returns the
// number of ops that succeed.
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
			c.t.Errorf("reply to %s is %.40q after %v, the machine caused a delay of %v", id, got, took, late)
		}
		if got == valueOf(id) {
			served++
		}
	}
	c.t.Logf("%d of %d served, the slowest answer after %v", served, n, slowest)
	return served
}
