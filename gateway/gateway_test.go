package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// world is a gateway with stand-ins, all on loopback.
type world struct {
	t     *testing.T
	s     *settings.Gateway
	loop  *eventloop.Loop
	etcd  *etcd.Server
	disks []*disk.Server
	g     *gateway.Instance
}

// volume 1 lies on cells 0 and 1 by turns of an extent of 256 blocks; volume 2 on cell 1.
const text = `<honeyplank version="1">
  <listen address="127.0.0.1:0" subsystem="nqn.2026-12.org.honeyplank:test" host="nqn.2026-12.org.honeyplank:gateway-0"/>
  <list prefix="/honeyplank/nodes/" ask-within="2s" most="20000"><etcd endpoint="127.0.0.1:1"/></list>
  <scheduler hosts="1" ordinal="0"/>
  <dispatches most="4" advice-most="400ms"/>
  <op-types>
    <op-type name="read" opcode="read" target-latency="300ms" op-timeout="800ms" utility="1" kind="replayable"/>
    <op-type name="write" opcode="write" to="64KiB" target-latency="300ms" op-timeout="800ms" utility="1" kind="replayable"/>
    <op-type name="once" opcode="write" from="68KiB" target-latency="300ms" op-timeout="800ms" utility="1" kind="once-only"/>
  </op-types>
  <plans><plan name="all" rate="1000" reserve="1000" weight="1"/></plans>
  <volumes block="4KiB" unit="16KiB" extent="1MiB" mean-units="1">
    <volume nsid="1" name="a" plan="all" size="1GiB" cells="0 1"/>
    <volume nsid="2" name="b" plan="all" size="1GiB" cells="1"/>
  </volumes>
  <rules drain-grace="1s" answer-margin="100ms"/>
  <limits connections="12" depth="64" transfer="128KiB" capsule="8KiB" piece="32KiB" held="1MiB" unsent="2MiB" handshake="300ms"/>
  <disk-servers subsystem="nqn.2026-12.org.honeyplank:disk" connect-within="200ms" keep-alive="600ms" depth="64" digests="true"/>
  <rehearsal gateways="1" length="1s" clients="1">
    <fleet cores="2" queue="64" unit-time="2ms"/>
    <traffic op-type="read" rate="1" bytes="4KiB"/>
  </rehearsal>
</honeyplank>`

// start brings up a world whose settings a test may change first.
func start(t *testing.T, change ...func(*settings.Gateway)) *world {
	t.Helper()
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(s)
	}
	w := &world{t: t, s: s}
	if w.loop, err = eventloop.New(time.Minute); err != nil {
		t.Fatal(err)
	}
	if w.etcd, err = etcd.New("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	for cell := range 2 {
		w.add(cell)
	}
	ended := make(chan struct{})
	go func() { w.loop.Run(); close(ended) }()
	s.List.Etcd[0].Endpoint = w.etcd.Address()
	if w.g, err = gateway.New(gateway.Options{Settings: s, Seed: 1, Log: zerolog.Nop()}); err != nil {
		t.Fatal(err)
	}
	go w.g.Serve(context.Background())
	t.Cleanup(func() {
		w.g.Kill()
		w.loop.Post(w.loop.Stop)
		<-ended
		w.etcd.Close()
	})
	w.eventually("the list has arrived", func() bool {
		_, status := w.op(w.dial("probe"), nvme.NewRW(nvme.Read, 2, 0, 1), nil)
		return status == nvme.Success
	})
	return w
}

// add brings up a stand-in for a cell; before the loop runs.
func (w *world) add(cell int) *disk.Server {
	d, err := disk.New(w.loop, "127.0.0.1:0", faulttest.Model(w.s), int64(cell))
	if err != nil {
		w.t.Fatal(err)
	}
	w.disks = append(w.disks, d)
	w.list(d.Address(), cell, "on")
	return d
}

func (w *world) list(address string, cell int, state string) {
	value, _ := json.Marshal(discovery.Record{State: state, Size: 1, Cell: cell})
	w.etcd.Set("/honeyplank/nodes/"+address, value)
}

// on runs f on the stand-ins' and clients' loop.
func (w *world) on(f func()) {
	done := make(chan struct{})
	w.loop.Post(func() { f(); close(done) })
	<-done
}

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

func (w *world) counts() gateway.Counts {
	c, ok := w.g.Counts()
	if !ok {
		w.t.Fatal("the gateway has ended")
	}
	return c
}

// quiet waits until nothing is owed, out or held.
func (w *world) quiet() {
	w.t.Helper()
	w.eventually("all settled", func() bool { c := w.counts(); return c.Open == 0 && c.Out == 0 && c.Held == 0 })
}

type waiter struct{ ready chan error }

func (h waiter) Ready(*initiator.Association) { h.ready <- nil }
func (h waiter) Ended(_ *initiator.Association, err error) {
	select {
	case h.ready <- err:
	default:
	}
}

// dial makes a client.
func (w *world) dial(name string) *initiator.Association {
	w.t.Helper()
	h := waiter{make(chan error, 2)}
	var a *initiator.Association
	w.on(func() {
		a = initiator.Dial(w.loop, initiator.Settings{Address: w.g.Address(), Subsystem: w.s.Listen.Subsystem, Host: "nqn.2026-12.org.honeyplank:" + name,
			Depth: 60, MaxData: 128 << 10, ConnectTimeout: time.Second, Digests: name == "digests"}, h)
	})
	if err := <-h.ready; err != nil {
		w.t.Fatal(err)
	}
	return a
}

type answer struct {
	data   []byte
	status nvme.Status
	lost   bool
	took   time.Duration
	dw0    uint32
}

// submit sends a Read or Write; its one answer comes on the channel.
func (w *world) submit(a *initiator.Association, c nvme.Command, data []byte) chan answer {
	out := make(chan answer, 4)
	read := 0
	if c.Opcode() == nvme.Read {
		read = c.Blocks() * 4096
	}
	w.on(func() {
		began := time.Now()
		if _, ok := a.IO.Submit(c, data, read, initiator.CallFunc(func(r initiator.Result) {
			out <- answer{append([]byte(nil), r.Data...), r.Status(), r.Lost, time.Since(began), r.DW0()}
		})); !ok {
			out <- answer{lost: true}
		}
	})
	return out
}

func (w *world) op(a *initiator.Association, c nvme.Command, data []byte) ([]byte, nvme.Status) {
	r := <-w.submit(a, c, data)
	return r.data, r.status
}

// pattern is data that tells by itself where it belongs.
func pattern(seed byte, blocks int) []byte {
	b := make([]byte, blocks*4096)
	for i := range b {
		b[i] = seed + byte(i>>9)*31 + byte(i)
	}
	return b
}

// TestBytes writes and reads in capsules and by R2T, with and without digests, over extent borders of no
// concern to the gateway, and compares byte for byte.
func TestBytes(t *testing.T) {
	w := start(t)
	for n, name := range []string{"plain", "digests"} {
		a := w.dial(name)
		for i, blocks := range []int{1, 2, 3, 16, 32} {
			lba, data := uint64(1000*n+i*100), pattern(byte(40*n+i), blocks)
			if _, status := w.op(a, nvme.NewRW(nvme.Write, 1, lba, blocks), data); status != nvme.Success {
				t.Fatalf("%s: write of %d blocks: %#x", name, blocks, status)
			}
			got, status := w.op(a, nvme.NewRW(nvme.Read, 1, lba, blocks), nil)
			if status != nvme.Success || string(got) != string(data) {
				t.Fatalf("%s: read of %d blocks: %#x, %d bytes", name, blocks, status, len(got))
			}
		}
	}
	w.quiet()
}

// TestClientLeaves breaks a client's connection before its data came, while its op is held, and while it is
// dispatched. Nothing is owed any more, nothing leaks, and a late answer is nobody's.
func TestClientLeaves(t *testing.T) {
	w := start(t)
	t.Run("before its data", func(t *testing.T) {
		c := rawConnect(t, w, "half")
		c.write(c.command(9, nvme.Write, 1, 0, 16, nil)) // an R2T comes, its data never does
		c.expect(nvme.TypeR2T)
		if h := w.counts().Held; h < 16*4096 {
			t.Errorf("%d bytes held, a write is under way", h)
		}
		c.conn.Close()
		w.quiet()
	})
	t.Run("held and dispatched", func(t *testing.T) {
		w.on(func() { w.disks[1].Freeze(400 * time.Millisecond) })
		a := w.dial("leaves")
		var answers []chan answer
		for i := range 40 { // more than the window: some are out, some are held
			answers = append(answers, w.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
		}
		w.eventually("some out", func() bool { c := w.counts(); return c.Out > 0 && c.Open > c.Out })
		w.on(a.Close)
		w.eventually("nothing owed", func() bool { return w.counts().Open == 0 })
		for _, c := range answers {
			if r := <-c; !r.lost {
				t.Error("an answer after the connection was closed")
			}
		}
		if c := w.counts(); c.Out == 0 {
			t.Error("the disk server has answered already; nothing was tested")
		}
		w.quiet()
	})
	if data, status := w.op(w.dial("after"), nvme.NewRW(nvme.Read, 2, 5, 1), nil); status != nvme.Success || data[8] != 5 {
		t.Errorf("afterwards: %#x", status)
	}
}

// TestSilence has a disk server accept connections and answer nothing, from the handshake on or in service.
// Every op has exactly one answer before its client gives up, and the other server's keep coming.
func TestSilence(t *testing.T) {
	for name, fault := range map[string]disk.Faults{"in service": {Silent: true}, "from the handshake on": {Mute: true}} {
		t.Run(name, func(t *testing.T) {
			w := start(t)
			a := w.dial("client")
			w.on(func() { w.disks[1].Apply(fault) })
			var silent, sound []chan answer
			for i := range 30 {
				silent = append(silent, w.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
				sound = append(sound, w.submit(a, nvme.NewRW(nvme.Read, 1, uint64(i), 1), nil))
				time.Sleep(10 * time.Millisecond)
			}
			for i := range silent {
				r := <-silent[i]
				if r.lost || r.took >= 800*time.Millisecond || r.status.Code() != nvme.CommandInterrupted {
					t.Errorf("op %d on the silent server: %#x after %v, lost %v", i, r.status, r.took, r.lost)
				}
				if r.dw0 == 0 || r.status.Delay() == 0 {
					t.Errorf("op %d is throttled without advice", i)
				}
				if r := <-sound[i]; r.status != nvme.Success {
					t.Errorf("op %d on the sound server: %#x", i, r.status)
				}
			}
			w.eventually("nothing owed", func() bool { return w.counts().Open == 0 })
			// It comes back; its late answers must not be taken for others'.
			w.on(func() { w.disks[1].Apply(disk.Faults{}) })
			w.eventually("served again", func() bool {
				data, status := w.op(a, nvme.NewRW(nvme.Read, 2, 77, 1), nil)
				if status == nvme.Success && data[8] != 77 {
					t.Fatal("another op's data")
				}
				return status == nvme.Success
			})
		})
	}
}

// TestOnceOnly loses the answers of once-only writes: they are aborted, since a throttle would promise that
// they did not run.
func TestOnceOnly(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	w.on(func() { w.disks[1].Apply(disk.Faults{Lose: 1}) })
	r := <-w.submit(a, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
	if r.status != nvme.InternalError|nvme.DoNotRetry || r.took >= 800*time.Millisecond {
		t.Errorf("once-only, answer lost: %#x after %v", r.status, r.took)
	}
	w.list(w.disks[1].Address(), 1, "draining") // never sent: a throttle is harmless
	w.eventually("throttled unsent", func() bool {
		r := <-w.submit(a, nvme.NewRW(nvme.Write, 2, 0, 20), pattern(1, 20))
		return r.status.Code() == nvme.CommandInterrupted
	})
}

// TestTornAnswer has a disk server break off in the middle of a PDU: the op is tried again, and its client
// sees one whole answer.
func TestTornAnswer(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	for i := range 5 {
		w.on(func() { w.disks[1].Apply(disk.Faults{Tear: true}) })
		data, status := w.op(a, nvme.NewRW(nvme.Read, 2, uint64(100*i), 8), nil)
		if status != nvme.Success || data[8] != byte(100*i) {
			t.Fatalf("read %d: %#x", i, status)
		}
	}
	if c := w.counts(); c.Dispatches < c.Admitted+5 {
		t.Errorf("%d dispatches of %d ops: nothing was torn", c.Dispatches, c.Admitted)
	}
}

// TestPieces sends every PDU of a client byte by byte.
func TestPieces(t *testing.T) {
	w := start(t)
	c := rawConnect(t, w, "drip")
	c.piece = 1
	data := pattern(3, 4)
	c.write(c.command(1, nvme.Write, 1, 8, 4, nil))
	p := c.expect(nvme.TypeR2T)
	c.write(c.frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 1, p.TTAG(), 0, data))
	if p := c.expect(nvme.TypeCapsuleResp); p.Completion() != [16]byte(p.Header[8:24]) || c.status(p) != nvme.Success {
		t.Fatalf("write: %#x", c.status(p))
	}
	if got, status := w.op(w.dial("reader"), nvme.NewRW(nvme.Read, 1, 8, 4), nil); status != nvme.Success || string(got) != string(data) {
		t.Fatal("what was read is not what was written byte by byte")
	}
}

// TestNeverReads has a client send reads and never read an answer: what it may cost is bounded, and others
// keep their service.
func TestNeverReads(t *testing.T) {
	w := start(t)
	c := rawConnect(t, w, "deaf")
	c.conn.(*net.TCPConn).SetReadBuffer(4096)
	other := w.dial("other")
	go func() {
		for id := uint16(0); id < 60; id++ {
			if _, err := c.conn.Write(c.command(id, nvme.Read, 1, 0, 32, nil)); err != nil {
				return
			}
		}
	}()
	for i := range 50 {
		if _, status := w.op(other, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Errorf("another client's op %d: %#x", i, status)
		}
	}
	w.eventually("the client's ops are over", func() bool { return w.counts().Open == 0 })
	w.quiet()
}

// TestShutdown stops a gateway with ops held, out and half received: all that were taken are settled, and
// the answers arrive.
func TestShutdown(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	half := rawConnect(t, w, "half")
	half.write(half.command(9, nvme.Write, 1, 0, 16, nil))
	half.expect(nvme.TypeR2T)
	w.on(func() { w.disks[1].Freeze(300 * time.Millisecond) })
	var answers []chan answer
	for i := range 40 {
		answers = append(answers, w.submit(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil))
	}
	w.eventually("held and out", func() bool { c := w.counts(); return c.Open == 40 && c.Out > 0 && c.Out < 40 })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := w.g.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	acked := 0
	for i, c := range answers {
		r := <-c
		if r.lost || r.status != nvme.Success && r.status.Code() != nvme.CommandInterrupted {
			t.Errorf("op %d: lost %v, %#x", i, r.lost, r.status)
		}
		if r.status == nvme.Success {
			acked++
		}
	}
	if acked == 0 {
		t.Error("nothing that was out was acked")
	}
}

// TestShutdownCut gives a stop no time: what is left is aborted at once, not dropped.
func TestShutdownCut(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	w.on(func() { w.disks[1].Apply(disk.Faults{Silent: true}) })
	answers := []chan answer{w.submit(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil), w.submit(a, nvme.NewRW(nvme.Read, 2, 2, 1), nil)}
	w.eventually("taken", func() bool { return w.counts().Open == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.g.Shutdown(ctx); err == nil {
		t.Error("a stop without time reports none")
	}
	for _, c := range answers {
		if r := <-c; r.lost || r.status != nvme.InternalError|nvme.DoNotRetry {
			t.Errorf("%#x, lost %v", r.status, r.lost)
		}
	}
}

// TestSameIDs has two clients use the same command ids at the same time; each gets its own data.
func TestSameIDs(t *testing.T) {
	w := start(t)
	one, two := rawConnect(t, w, "one"), rawConnect(t, w, "two")
	for id := range uint16(20) {
		one.write(one.command(id, nvme.Read, 1, 10, 1, nil))
		two.write(two.command(id, nvme.Read, 2, 20, 1, nil))
	}
	for c, want := range map[*raw]byte{one: 10, two: 20} {
		seen := map[uint16]bool{}
		for len(seen) < 20 {
			p := c.expect(nvme.TypeC2HData)
			if p.Data[8] != want || seen[p.CCCID()] {
				t.Fatalf("id %d: block %d, want %d, seen %v", p.CCCID(), p.Data[8], want, seen[p.CCCID()])
			}
			seen[p.CCCID()] = true
			c.expect(nvme.TypeCapsuleResp)
		}
	}
}

// TestConnections opens more than are allowed: the rest are turned away, and those that stand are served.
func TestConnections(t *testing.T) {
	w := start(t)
	a := w.dial("stands")
	var open []net.Conn
	for range 30 {
		if c, err := net.Dial("tcp", w.g.Address()); err == nil {
			open = append(open, c)
		}
	}
	w.eventually("no more than allowed", func() bool { return w.counts().Connections <= w.s.Limits.Connections })
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("a client that stood: %#x", status)
	}
	// Half-open handshakes end by themselves.
	w.eventually("half-open handshakes are over", func() bool { return w.counts().Connections < 10 })
	for _, c := range open {
		c.Close()
	}
	w.dial("again")
}

// TestListReturns takes the list away and brings it back with a server replaced: ops held for the old one move.
func TestListReturns(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	var fresh *disk.Server
	w.on(func() {
		w.disks[1].Die()
		fresh = w.add(1)
		w.etcd.Delete("/honeyplank/nodes/" + fresh.Address())
	})
	w.etcd.Down(true)
	held := w.submit(a, nvme.NewRW(nvme.Read, 2, 7, 1), nil)
	w.etcd.Delete("/honeyplank/nodes/" + w.disks[1].Address())
	w.list(fresh.Address(), 1, "on")
	w.etcd.Down(false)
	if r := <-held; r.lost {
		t.Error("a held op was lost")
	}
	w.eventually("served by the replacement", func() bool {
		data, status := w.op(a, nvme.NewRW(nvme.Read, 2, 9, 1), nil)
		return status == nvme.Success && data[8] == 9
	})
	// An op that waits while its server is replaced moves: nobody holds cell 1 for a moment. It must be served where it is
	// still owed once the gateway has heard of the replacement. One whose time was over by then shows nothing.
	w.eventually("an op was held until the gateway heard of the replacement", func() bool {
		w.etcd.Delete("/honeyplank/nodes/" + fresh.Address())
		w.eventually("nobody holds the cell", func() bool { return (<-w.submit(a, nvme.NewRW(nvme.Read, 2, 9, 1), nil)).status != nvme.Success })
		moved := w.submit(a, nvme.NewRW(nvme.Read, 2, 11, 1), nil)
		w.eventually("the op waits", func() bool { return w.counts().Open > 0 || len(moved) > 0 })
		w.list(fresh.Address(), 1, "on")
		w.eventually("the replacement is believed", func() bool {
			nodes, _ := w.g.Nodes()
			return slices.ContainsFunc(nodes, func(n gateway.Node) bool { return n.OSD == fresh.Address() && n.Believed == "on" })
		})
		owed := w.counts().Open > 0
		r := <-moved
		served := r.status == nvme.Success && r.data[8] == 11
		if owed && !served {
			t.Errorf("the held op did not move: %#x", r.status)
		}
		return owed || served
	})
}

// TestInstancesShareNothing runs several gateways in one process against the same stand-ins.
func TestInstancesShareNothing(t *testing.T) {
	w := start(t)
	var group sync.WaitGroup
	for n := range 3 {
		s := *w.s
		s.Listen.Host = fmt.Sprint(strings.TrimSuffix(s.Listen.Host, "0"), n+1)
		g, err := gateway.New(gateway.Options{Settings: &s, Seed: int64(n), Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		group.Add(1)
		go func() { defer group.Done(); g.Serve(context.Background()) }()
		if c, ok := g.Counts(); !ok || c.Admitted != 0 {
			t.Errorf("a fresh instance has taken %d ops", c.Admitted)
		}
		if n == 0 {
			g.Kill()
		} else if err := g.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}
	group.Wait()
	if _, status := w.op(w.dial("client"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("the first instance after the others' end: %#x", status)
	}
}

// TestDrip puts a line between gateway and disk server that brings the server's answers byte by byte.
func TestDrip(t *testing.T) {
	w := start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	behind := w.disks[1].Address()
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", behind)
			if err != nil {
				return
			}
			go func() { io.Copy(to, from); to.Close() }()
			go func() {
				defer from.Close()
				b := make([]byte, 1<<16)
				for {
					n, err := to.Read(b)
					for i := range n {
						if _, err := from.Write(b[i : i+1]); err != nil {
							return
						}
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	w.list(l.Addr().String(), 1, "on")
	w.etcd.Delete("/honeyplank/nodes/" + behind)
	a := w.dial("client")
	w.eventually("served through the line", func() bool {
		data, status := w.op(a, nvme.NewRW(nvme.Read, 2, 300, 1), nil)
		return status == nvme.Success && data[8] == 300&0xFF && data[9] == 300>>8
	})
	data := pattern(9, 2)
	if _, status := w.op(a, nvme.NewRW(nvme.Write, 2, 500, 2), data); status != nvme.Success {
		t.Fatalf("write: %#x", status)
	}
	if got, status := w.op(a, nvme.NewRW(nvme.Read, 2, 500, 2), nil); status != nvme.Success || string(got) != string(data) {
		t.Fatalf("read: %#x", status)
	}
}

// TestReregistered has a thousand nodes register anew within a second, twice; ops go on, and the list is right.
func TestReregistered(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	for round := range 2 {
		began := time.Now()
		for i := range 1000 {
			w.list(fmt.Sprintf("127.0.9.%d:%d", i%250, 8000+i/250), 100+i, "on")
			if i%100 == 0 {
				if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
					t.Errorf("op while %d nodes register: %#x", i, status)
				}
			}
		}
		t.Logf("round %d: a thousand registered in %v", round, time.Since(began))
	}
	w.eventually("all are believed on", func() bool {
		list, _ := w.g.Nodes()
		on := 0
		for _, n := range list {
			if n.Believed == "on" {
				on++
			}
		}
		return on == 1002
	})
}

// asksDNS has the settings ask a name server for _h._tcp.x. beside etcd, very often.
func asksDNS(s *settings.Gateway, address string) {
	s.List.DNS = &settings.NameService{Name: "_h._tcp.x.", Floor: settings.Span(50 * time.Millisecond), Ceiling: settings.Span(100 * time.Millisecond), Timeout: settings.Span(time.Second)}
	s.List.DNS.Servers = append(s.List.DNS.Servers, struct {
		Address string `xml:"address,attr"`
	}{address})
	s.List.Believe = &settings.Believe{Vanish: 0.4, Confirm: settings.Span(300 * time.Millisecond), Calm: settings.Span(time.Second), Flaps: 9}
}

// TestBulkLoss has every key in etcd go, one by one, as leases do that run out together, while DNS holds the
// servers on: the fleet is not taken away. A drain told by DNS alone then takes one server out, and it alone.
func TestBulkLoss(t *testing.T) {
	names, err := dns.New("_h._tcp.x.")
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	var records []dns.Record
	w := start(t, func(s *settings.Gateway) {
		asksDNS(s, names.Address())
	})
	for cell, d := range w.disks {
		at := netip.MustParseAddrPort(d.Address())
		records = append(records, dns.Record{Target: fmt.Sprintf("a%d--c%d.x.", cell, cell), IP: "127.0.0.1", Port: at.Port(), Weight: 1})
	}
	names.Set(1, records)
	believed := func() (text string) {
		list, _ := w.g.Nodes()
		for _, d := range w.disks {
			for _, n := range list {
				if n.OSD == d.Address() {
					text += n.Believed + " " + strings.SplitN(n.DNS, " ", 2)[0] + ";"
				}
			}
		}
		return text
	}
	w.eventually("both sources are heard", func() bool { return believed() == "on on;on on;" })
	for _, d := range w.disks {
		w.etcd.Delete("/honeyplank/nodes/" + d.Address())
	}
	a := w.dial("client")
	for i := range 60 { // for twice as long as it takes to confirm
		if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Fatalf("op %d after etcd emptied: %#x; %s", i, status, believed())
		}
		time.Sleep(10 * time.Millisecond)
	}
	for cell, d := range w.disks {
		w.list(d.Address(), cell, "on")
	}
	records[1].Weight = 0
	names.Set(1, records)
	w.eventually("the drain told by DNS", func() bool { return believed() == "on on;draining draining;" })
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status == nvme.Success {
		t.Error("work for a server that DNS drains")
	}
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, 1, 1), nil); status != nvme.Success {
		t.Errorf("the other server: %#x", status)
	}
}

// guarded bounds what one peer may cost.
func guarded(s *settings.Gateway) {
	s.Limits.Connections = 2000
	s.Limits.Peer = &settings.Peer{Connections: 40, Handshakes: 8, Bytes: 64 << 10, PDU: settings.Span(200 * time.Millisecond), Breaches: 3,
		Window: settings.Span(2 * time.Second), Shut: settings.Span(400 * time.Millisecond), Most: settings.Span(time.Second)}
}

// TestShutOut has a peer break the protocol until it is shut out, come back on trial, and break it again; another
// peer keeps its service.
func TestShutOut(t *testing.T) {
	w := start(t, guarded)
	honest := w.dial("honest")
	bad := func() bool { // one connection that says nonsense; false: it was turned away
		c := rawFrom(t, "127.0.0.2", w.g.Address())
		if c == nil {
			return false
		}
		c.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.expect(nvme.TypeC2HTermReq)
		c.conn.Close()
		return true
	}
	for i := range 3 {
		if !bad() {
			t.Fatalf("turned away at breach %d", i)
		}
	}
	if bad() {
		t.Error("not shut out after three breaches")
	}
	if _, status := w.op(honest, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client of another peer: %#x", status)
	}
	w.eventually("it comes back on trial", bad)
	if bad() {
		t.Error("a breach on trial was let pass")
	}
	w.eventually("it comes back once more", func() bool { return rawFrom(t, "127.0.0.2", w.g.Address()) != nil })
}

// TestHalfOpen has a peer open a thousand handshakes and complete none: they are bound, and others connect.
func TestHalfOpen(t *testing.T) {
	w := start(t, guarded)
	var open []net.Conn
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.3")}}
	for range 1000 {
		if c, err := d.Dial("tcp", w.g.Address()); err == nil {
			open = append(open, c)
		}
	}
	if n := w.counts().Connections; n > 8+4 {
		t.Errorf("%d connections stand", n)
	}
	if _, status := w.op(w.dial("honest"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client: %#x", status)
	}
	for _, c := range open {
		c.Close()
	}
}

// TestSlowPeer has a peer send a byte now and then: its PDU is not waited for, in the handshake or in service.
func TestSlowPeer(t *testing.T) {
	w := start(t, guarded)
	for name, c := range map[string]*raw{"in the handshake": rawDial(t, w.g.Address()), "in service": rawConnect(t, w, "slow")} {
		began := time.Now()
		for {
			if _, err := c.conn.Write([]byte{nvme.TypeCapsuleCmd}[:1]); err != nil {
				break
			}
			c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := c.conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if time.Since(began) > 3*time.Second {
				t.Fatalf("%s: a byte now and then is waited for", name)
			}
		}
	}
}

// TestBytesOfOnePeer has a peer ask for many Writes and send the data of none: what is held for it is bound, and
// another peer's Writes go on.
func TestBytesOfOnePeer(t *testing.T) {
	w := start(t, guarded)
	greedy := rawConnect(t, w, "greedy")
	for id := range uint16(20) {
		greedy.write(greedy.command(id, nvme.Write, 1, 0, 16, nil))
	}
	w.eventually("asked", func() bool { return w.counts().Held > 0 })
	if held := w.counts().Held; held > 64<<10 {
		t.Errorf("%d bytes are held for one peer", held)
	}
	for range 20 { // each is answered all the same, when its data has not come in time
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p) != nvme.DataTransferError {
			t.Errorf("%#x", greedy.status(p))
		}
	}
}

// TestCommandsOfOnePeer has a peer keep more commands out than it may: those beyond are answered at once, the others
// are served, and another peer notices nothing.
func TestCommandsOfOnePeer(t *testing.T) {
	w := start(t, guarded, func(s *settings.Gateway) { s.Limits.Peer.Commands = 4 })
	greedy := rawConnectFrom(t, w, "greedy", "127.0.0.2")
	for id := range uint16(12) { // Writes whose data does not come
		greedy.write(greedy.command(id, nvme.Write, 1, 0, 2, nil))
	}
	for range 8 {
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p).Code() != nvme.CommandInterrupted {
			t.Errorf("%#x", greedy.status(p))
		}
	}
	if _, status := w.op(w.dial("honest"), nvme.NewRW(nvme.Read, 2, 1, 1), nil); status != nvme.Success {
		t.Errorf("an honest client of another peer: %#x", status)
	}
	for range 4 {
		if p := greedy.expectAny(nvme.TypeCapsuleResp); greedy.status(p) != nvme.DataTransferError {
			t.Errorf("%#x", greedy.status(p))
		}
	}
}

// TestSwitch hands what one instance has learnt to the next, as a planned stop and start does: it is known before the
// first op, ops of the first second are served, and what was learnt of a server that has started since is not.
func TestSwitch(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	for i := range 20 {
		for cell := range 2 {
			if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, uint64(256*cell+i), 1), nil); status != nvme.Success {
				t.Fatalf("before the switch: %#x", status)
			}
		}
	}
	before, ok := w.g.Learnt()
	if !ok || len(before.Servers) != 2 || before.TypicalLatency <= 0 || before.Servers[0].BestPerUnit <= 0 || before.Servers[1].Latency <= 0 {
		t.Fatalf("learnt: %+v, %v", before, ok)
	}
	file := filepath.Join(t.TempDir(), "learnt")
	if err := before.Write(file); err != nil {
		t.Fatal(err)
	}
	kept, err := estimates.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	w.g.Kill()
	// The second one has started anew since.
	value, _ := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: 1, StartedMS: time.Now().UnixMilli()})
	w.etcd.Set("/honeyplank/nodes/"+w.disks[1].Address(), value)
	if w.g, err = gateway.New(gateway.Options{Settings: w.s, Seed: 2, Learnt: kept, Log: zerolog.Nop()}); err != nil {
		t.Fatal(err)
	}
	go w.g.Serve(context.Background())
	w.eventually("what still holds is known before any op, and no more", func() bool {
		now, ok := w.g.Learnt()
		if !ok || len(now.Servers) != 1 {
			return false
		}
		was := before.Servers[0]
		if was.ID != w.disks[0].Address() {
			was = before.Servers[1]
		}
		is := now.Servers[0]
		return w.counts().Admitted == 0 && is.ID == was.ID && is.BestPerUnit == was.BestPerUnit && is.Latency == was.Latency && is.At.Sub(was.At).Abs() < time.Second
	})
	a = w.dial("client")
	began := time.Now()
	for i := range 40 {
		if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, uint64(256*(i%2)+i/2), 1), nil); status != nvme.Success {
			t.Errorf("op %d, %v after the switch: %#x", i, time.Since(began), status)
		}
	}
	if after, _ := w.g.Learnt(); len(after.Servers) != 2 {
		t.Errorf("the server that started anew is not learnt afresh: %+v", after)
	}
}
