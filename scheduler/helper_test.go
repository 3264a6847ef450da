package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"honeyplank"
	standin "honeyplank/fake/resp"
	"honeyplank/inflight"
	"honeyplank/policy"
	"honeyplank/resp"
)

// testbed is a scheduler with disk servers and a discovery of our own, all on loopback.
type testbed struct {
	t          *testing.T
	disks      []*standin.Disk
	discovery  *standin.Discovery
	scheduler  *Scheduler
	configFile string
	config     map[string]any
	served     chan error

	module *recordingModule
}

// recordingModule lets a test hear what the module is told. It is touched on the loop.
type recordingModule struct {
	inflight.DecisionModule
	onEvent func(honeyplank.Event)
}

func (module *recordingModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	module.onEvent(e)
	return module.DecisionModule.Handle(now, e)
}

// singleServerModule is a module that sends every op to one disk server at once, and aborts what brings no ack.
type singleServerModule struct{ server honeyplank.ServerID }

func (m singleServerModule) Handle(_ time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: m.server}}
	case honeyplank.Outcome:
		if !e.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: e.Op}}
		}
	}
	return nil
}

// testSettings are in the words of the simulator's first message.
const testSettings = `{"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
"peer_messages":true,"probes":true,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,"dedup_scope":"all","window_ms":5000},
{"name":"write","give_up_ms":600,"target_ms":300,"semantics":"pure","worth":2,"late_worth":0.1,"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false,true],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,"idle_worth":0.1},
"membership_mode":"automatic","models":["std","slow"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],
"report":{"fields":["util","latency_ms"],"how":"piggyback"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,"tip_multiple":4},"step_ms":1}`

// newTestbed starts a scheduler over n disk servers, one a cell; change alters its configuration before.
func newTestbed(t *testing.T, n int, change ...func(map[string]any)) *testbed {
	t.Helper()
	bed := &testbed{t: t, served: make(chan error, 1)}
	var members []standin.Member
	for i := range n {
		d, err := standin.NewDisk("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		bed.disks = append(bed.disks, d)
		t.Cleanup(d.Stop)
		members = append(members, bed.member(i, "up"))
	}
	var err error
	if bed.discovery, err = standin.NewDiscovery(members...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.discovery.Stop)
	var site map[string]any
	if err := json.Unmarshal([]byte(testSettings), &site); err != nil {
		t.Fatal(err)
	}
	bed.config = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": bed.discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": site,
		"known": map[string]any{"revision": 1, "complete": true, "members": members}}
	for _, f := range change {
		f(bed.config)
	}
	bed.configFile = filepath.Join(t.TempDir(), "config.json")
	bed.writeConfig()
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		t.Fatal(err)
	}
	bed.module = &recordingModule{DecisionModule: policy.New(config.Seed, config.Site.Settings), onEvent: func(honeyplank.Event) {}}
	if bed.scheduler, err = newWithModule(config, bed.module, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	go func() { bed.served <- bed.scheduler.Serve() }()
	t.Cleanup(func() { bed.scheduler.loop.Post(bed.scheduler.loop.Stop) })
	return bed
}

func (bed *testbed) writeConfig() {
	text, err := json.MarshalIndent(bed.config, "", " ")
	if err == nil {
		err = os.WriteFile(bed.configFile, text, 0o600)
	}
	if err != nil {
		bed.t.Fatal(err)
	}
}

// reload has the scheduler take over the configuration as it now is.
func (bed *testbed) reload() {
	bed.t.Helper()
	bed.writeConfig()
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.scheduler.Reload(config)
}

func (bed *testbed) member(i int, phase string) standin.Member {
	return standin.Member{ID: fmt.Sprintf("s-%d", i), Address: bed.disks[i].Address(), Zone: "room", Model: "std", Cell: i, Phase: phase, Size: 1}
}

func (bed *testbed) eventually(what string, f func() bool) {
	bed.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			bed.t.Fatal(what + " does not come to pass")
		}
	}
}

// onLoop runs f on the scheduler's loop.
func (bed *testbed) onLoop(f func()) {
	bed.t.Helper()
	done := make(chan bool)
	if bed.scheduler.loop.Post(func() { f(); close(done) }) {
		<-done
	}
}

// testClient is one connection of a client.
type testClient struct {
	t *testing.T
	net.Conn
	reader   resp.Reader
	buffered []byte
}

// dialClient connects a client, one that leaves much unread with a receive buffer of its own.
func (bed *testbed) dialClient(buffer ...int) *testClient {
	bed.t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			for _, n := range buffer {
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
			}
		})
	}}
	c, err := d.Dial("tcp", bed.scheduler.Address())
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { c.Close() })
	return &testClient{t: bed.t, Conn: c, reader: resp.Reader{Limits: resp.Limits{Line: 512, Bulk: 64 << 10, Items: 8, Depth: 2, Total: 80 << 10}}}
}

// readValue waits for one value; false: the connection has ended, or nothing came in time.
func (c *testClient) readValue(within time.Duration) (resp.Value, bool) {
	c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, 4096)
	for {
		used, v, whole, err := c.reader.Next(c.buffered)
		c.buffered = c.buffered[used:]
		if err != nil {
			c.t.Fatalf("the scheduler sends what can't be read: %v", err)
		}
		if whole {
			return v, true
		}
		n, err := c.Read(b)
		if err != nil {
			return v, false
		}
		c.buffered = append(c.buffered, b[:n]...)
	}
}

func (c *testClient) send(args ...string) {
	c.t.Helper()
	if _, err := c.Write(encodeCommand(args...)); err != nil {
		c.t.Fatal(err)
	}
}

func encodeCommand(args ...string) []byte {
	var list [][]byte
	for _, a := range args {
		list = append(list, []byte(a))
	}
	return resp.AppendCommand(nil, list...)
}

// hasUnreadInput tells, on the loop, whether something that a client sent waits to be read by the scheduler.
func (bed *testbed) hasUnreadInput() bool {
	for x := range bed.scheduler.clients {
		if !x.conn.NoInputPending() {
			return true
		}
	}
	return false
}

// do sends a command and tells its answer: a value's text, an error's line behind '-', or "closed".
func (c *testClient) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.readReply(3 * time.Second)
}

func (c *testClient) readReply(within time.Duration) string {
	v, ok := c.readValue(within)
	switch {
	case !ok:
		return "closed"
	case v.Kind == resp.Error:
		return "-" + string(v.Text)
	}
	return string(v.Text)
}

const objectKey = "7f3a9c21e0b4d655"

func opOptions(class string, ms, cell int) string {
	return fmt.Sprintf("c=%s,t=gold,d=%d,volume=00000003b4d60021,units=2,shard=%d,hosts=1", class, ms, cell)
}

// connGate stands before a disk server. Shut, it lets connections neither up nor, once they are, bytes through; what the
// scheduler does meanwhile is done while they wait.
type connGate struct {
	t          *testing.T
	fd         int
	address    string
	target     string
	backlog    []net.Conn
	forwarding chan bool // closed: bytes go through
	once       sync.Once
}

// newConnGate makes a gate with room for no connection.
func newConnGate(t *testing.T, to string) *connGate {
	t.Helper()
	g := &connGate{t: t, target: to, forwarding: make(chan bool)}
	var err error
	if g.fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err == nil {
		unix.SetsockoptInt(g.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4096)
		if err = unix.Bind(g.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
			err = unix.Listen(g.fd, 0)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(g.fd)
	if err != nil {
		t.Fatal(err)
	}
	g.address = fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for { // until the queue of those to be accepted is full
		c, err := net.DialTimeout("tcp", g.address, 50*time.Millisecond)
		if err != nil {
			break
		}
		g.backlog = append(g.backlog, c)
	}
	t.Cleanup(func() {
		g.forwardBytes()
		unix.Shutdown(g.fd, unix.SHUT_RDWR)
		unix.Close(g.fd)
		for _, c := range g.backlog {
			c.Close()
		}
	})
	return g
}

// acceptConns lets connections up, but no bytes through before pass.
func (g *connGate) acceptConns() {
	unix.Listen(g.fd, 1024)
	go func() {
		for {
			fd, _, err := unix.Accept(g.fd)
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(fd), "gate")
			c, err := net.FileConn(f)
			f.Close()
			if err != nil {
				return
			}
			go g.pipe(c)
		}
	}()
}

func (g *connGate) forwardBytes() { g.once.Do(func() { close(g.forwarding) }) }

func (g *connGate) pipe(c net.Conn) {
	defer c.Close()
	<-g.forwarding
	d, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer d.Close()
	go func() { io.Copy(c, d); c.Close() }()
	io.Copy(d, c)
}

// gateServer puts a gate before the n-th disk server in what the scheduler is told.
func (bed *testbed) gateServer(n int, phase string) (*connGate, standin.Member) {
	bed.t.Helper()
	g := newConnGate(bed.t, bed.disks[n].Address())
	m := bed.member(n, phase)
	m.Address = g.address
	return g, m
}

// scriptedDiscovery is a discovery that does nothing by itself: the test answers each call, or leaves it.
type scriptedDiscovery struct {
	address string
	calls   chan *discoveryCall
}

type discoveryCall struct {
	net.Conn
	t    *testing.T
	path string
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &scriptedDiscovery{l.Addr().String(), make(chan *discoveryCall, 256)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					x.calls <- &discoveryCall{c, t, r.URL.String()}
				}
			}()
		}
	}()
	return x
}

func (x *scriptedDiscovery) configure(m map[string]any) { m["discovery"] = x.address }

// nextCall waits for the next call.
func (x *scriptedDiscovery) nextCall(t *testing.T, within time.Duration) *discoveryCall {
	t.Helper()
	select {
	case c := <-x.calls:
		return c
	case <-time.After(within):
		t.Fatalf("no call within %v", within)
	}
	return nil
}

func (c *discoveryCall) sendHeader() {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendChunk sends bytes of a watch, as one chunk.
func (c *discoveryCall) sendChunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// listJSON is a list as discovery tells it; indented on many lines.
func listJSON(revision int, whole bool, indented bool, members ...standin.Member) string {
	m := map[string]any{"revision": revision, "complete": whole, "members": append([]standin.Member{}, members...)}
	text, _ := json.Marshal(m)
	if indented {
		text, _ = json.MarshalIndent(m, "", "  ")
	}
	return string(text) + "\n"
}

// hasServer tells whether the scheduler has a disk server, which it has not once that is told removed.
func (bed *testbed) hasServer(id string) (ok bool) {
	bed.onLoop(func() { ok = bed.scheduler.servers[honeyplank.ServerID(id)] != nil })
	return ok
}
