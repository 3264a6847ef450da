package gateway_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
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
