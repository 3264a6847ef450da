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

// world is a scheduler with disk servers and a discovery of our own, all on loopback.
type world struct {
	t     *testing.T
	disks []*standin.Disk
	disco *standin.Discovery
	s     *Scheduler
	file  string
	conf  map[string]any
	done  chan error

	module *spy
}

// spy lets a test hear what the module is told. It is touched on the loop.
type spy struct {
	inflight.DecisionModule
	heard func(honeyplank.Event)
}

func (m *spy) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	m.heard(e)
	return m.DecisionModule.Handle(now, e)
}

// eager is a module that sends every op to one disk server at once, and aborts what brings no ack.
type eager struct{ to honeyplank.ServerID }

func (m eager) Handle(_ time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: m.to}}
	case honeyplank.Outcome:
		if !e.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: e.Op}}
		}
	}
	return nil
}

// settings are in the words of the simulator's first message.
const settings = `{"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
"peer_messages":true,"probes":true,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,"dedup_scope":"all","window_ms":5000},
{"name":"write","give_up_ms":600,"target_ms":300,"semantics":"pure","worth":2,"late_worth":0.1,"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false,true],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,"idle_worth":0.1},
"membership_mode":"automatic","models":["std","slow"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],
"report":{"fields":["util","latency_ms"],"how":"piggyback"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,"tip_multiple":4},"step_ms":1}`

// start starts a scheduler over n disk servers, one a cell; change alters its configuration before.
func start(t *testing.T, n int, change ...func(map[string]any)) *world {
	t.Helper()
	w := &world{t: t, done: make(chan error, 1)}
	var members []standin.Member
	for i := range n {
		d, err := standin.NewDisk("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.disks = append(w.disks, d)
		t.Cleanup(d.Stop)
		members = append(members, w.member(i, "up"))
	}
	var err error
	if w.disco, err = standin.NewDiscovery(members...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.disco.Stop)
	var site map[string]any
	if err := json.Unmarshal([]byte(settings), &site); err != nil {
		t.Fatal(err)
	}
	w.conf = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": w.disco.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": site,
		"known": map[string]any{"revision": 1, "complete": true, "members": members}}
	for _, f := range change {
		f(w.conf)
	}
	w.file = filepath.Join(t.TempDir(), "config.json")
	w.write()
	p, err := ReadConfig(w.file)
	if err != nil {
		t.Fatal(err)
	}
	w.module = &spy{DecisionModule: policy.New(p.Seed, p.Site.Settings), heard: func(honeyplank.Event) {}}
	if w.s, err = newWithModule(p, w.module, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	go func() { w.done <- w.s.Serve() }()
	t.Cleanup(func() { w.s.loop.Post(w.s.loop.Stop) })
	return w
}

func (w *world) write() {
	text, err := json.MarshalIndent(w.conf, "", " ")
	if err == nil {
		err = os.WriteFile(w.file, text, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// reload has the scheduler take over the configuration as it now is.
func (w *world) reload() {
	w.t.Helper()
	w.write()
	p, err := ReadConfig(w.file)
	if err != nil {
		w.t.Fatal(err)
	}
	w.s.Reload(p)
}

func (w *world) member(i int, phase string) standin.Member {
	return standin.Member{ID: fmt.Sprintf("s-%d", i), Address: w.disks[i].Address(), Zone: "room", Model: "std", Cell: i, Phase: phase, Size: 1}
}

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal(what + " does not come to pass")
		}
	}
}

// on runs f on the scheduler's loop.
func (w *world) on(f func()) {
	w.t.Helper()
	done := make(chan bool)
	if w.s.loop.Post(func() { f(); close(done) }) {
		<-done
	}
}

// caller is one connection of a client.
type caller struct {
	t *testing.T
	net.Conn
	in   resp.Reader
	rest []byte
}

// dial connects a client, one that leaves much unread with a receive buffer of its own.
func (w *world) dial(buffer ...int) *caller {
	w.t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			for _, n := range buffer {
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
			}
		})
	}}
	c, err := d.Dial("tcp", w.s.Address())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return &caller{t: w.t, Conn: c, in: resp.Reader{Limits: resp.Limits{Line: 512, Bulk: 64 << 10, Items: 8, Depth: 2, Total: 80 << 10}}}
}

// read waits for one value; false: the connection has ended, or nothing came in time.
func (c *caller) read(within time.Duration) (resp.Value, bool) {
	c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, 4096)
	for {
		used, v, whole, err := c.in.Next(c.rest)
		c.rest = c.rest[used:]
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
		c.rest = append(c.rest, b[:n]...)
	}
}

func (c *caller) send(args ...string) {
	c.t.Helper()
	if _, err := c.Write(command(args...)); err != nil {
		c.t.Fatal(err)
	}
}

func command(args ...string) []byte {
	var list [][]byte
	for _, a := range args {
		list = append(list, []byte(a))
	}
	return resp.AppendCommand(nil, list...)
}

// arrived tells, on the loop, whether something that a client sent waits to be read by the scheduler.
func (w *world) arrived() bool {
	for x := range w.s.clients {
		if !x.conn.NoInputPending() {
			return true
		}
	}
	return false
}

// ask sends a command and tells its answer: a value's text, an error's line behind '-', or "closed".
func (c *caller) ask(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.answer(3 * time.Second)
}

func (c *caller) answer(within time.Duration) string {
	v, ok := c.read(within)
	switch {
	case !ok:
		return "closed"
	case v.Kind == resp.Error:
		return "-" + string(v.Text)
	}
	return string(v.Text)
}

const piece = "7f3a9c21e0b4d655"

func terms(class string, ms, cell int) string {
	return fmt.Sprintf("c=%s,t=gold,d=%d,volume=00000003b4d60021,units=2,shard=%d,hosts=1", class, ms, cell)
}

// gate stands before a disk server. Shut, it lets connections neither up nor, once they are, bytes through; what the
// scheduler does meanwhile is done while they wait.
type gate struct {
	t       *testing.T
	fd      int
	address string
	to      string
	fill    []net.Conn
	flow    chan bool // closed: bytes go through
	once    sync.Once
}

// shut makes a gate with room for no connection.
func shut(t *testing.T, to string) *gate {
	t.Helper()
	g := &gate{t: t, to: to, flow: make(chan bool)}
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
		g.fill = append(g.fill, c)
	}
	t.Cleanup(func() {
		g.pass()
		unix.Shutdown(g.fd, unix.SHUT_RDWR)
		unix.Close(g.fd)
		for _, c := range g.fill {
			c.Close()
		}
	})
	return g
}

// open lets connections up, but no bytes through before pass.
func (g *gate) open() {
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

func (g *gate) pass() { g.once.Do(func() { close(g.flow) }) }

func (g *gate) pipe(c net.Conn) {
	defer c.Close()
	<-g.flow
	d, err := net.Dial("tcp", g.to)
	if err != nil {
		return
	}
	defer d.Close()
	go func() { io.Copy(c, d); c.Close() }()
	io.Copy(d, c)
}

// behind puts a gate before the n-th disk server in what the scheduler is told.
func (w *world) behind(n int, phase string) (*gate, standin.Member) {
	w.t.Helper()
	g := shut(w.t, w.disks[n].Address())
	m := w.member(n, phase)
	m.Address = g.address
	return g, m
}

// teller is a discovery that does nothing by itself: the test answers each call, or leaves it.
type teller struct {
	address string
	calls   chan *call
}

type call struct {
	net.Conn
	t    *testing.T
	path string
}

func tells(t *testing.T) *teller {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &teller{l.Addr().String(), make(chan *call, 256)}
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
					x.calls <- &call{c, t, r.URL.String()}
				}
			}()
		}
	}()
	return x
}

func (x *teller) discovery(m map[string]any) { m["discovery"] = x.address }

// call waits for the next call.
func (x *teller) call(t *testing.T, within time.Duration) *call {
	t.Helper()
	select {
	case c := <-x.calls:
		return c
	case <-time.After(within):
		t.Fatalf("no call within %v", within)
	}
	return nil
}

func (c *call) head() { io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") }

// say sends bytes of a watch, as one chunk.
func (c *call) say(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// message is a list as discovery tells it; indented on many lines.
func message(revision int, whole bool, indented bool, members ...standin.Member) string {
	m := map[string]any{"revision": revision, "complete": whole, "members": append([]standin.Member{}, members...)}
	text, _ := json.Marshal(m)
	if indented {
		text, _ = json.MarshalIndent(m, "", "  ")
	}
	return string(text) + "\n"
}

// knows tells whether the scheduler has a disk server, which it has not once that is told removed.
func (w *world) knows(id string) (ok bool) {
	w.on(func() { ok = w.s.servers[honeyplank.ServerID(id)] != nil })
	return ok
}
