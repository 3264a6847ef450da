package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
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

// harness is a gateway with fakes of etcd, disk servers and clients, all on loopback.
type harness struct {
	t        *testing.T
	settings *settings.Gateway
	loop     *eventloop.Loop
	etcd     *etcd.Server
	disks    []*disk.Server
	gateway  *gateway.Instance
	serving  sync.WaitGroup // of each Serve

	lastCommandID uint16 // of the command that was submitted last; used on the loop only
}

// testSettings has volume 1, whose extents of 256 blocks alternate between cells 0 and 1, and volume 2 on cell 1.
const testSettings = `<honeyplank version="1">
  <listen address="127.0.0.1:0" subsystem="nqn.2026-12.org.honeyplank:test"
    host="nqn.2026-12.org.honeyplank:gateway-0"/>
  <list prefix="/honeyplank/nodes/" ask-within="2s" most="20000"><etcd endpoint="127.0.0.1:1"/></list>
  <scheduler hosts="1" ordinal="0"/>
  <dispatches most="4" advice-most="400ms"/>
  <op-types>
    <op-type name="read" opcode="read"
      target-latency="300ms" op-timeout="800ms" utility="1" kind="replayable"/>
    <op-type name="write" opcode="write" to="64KiB"
      target-latency="300ms" op-timeout="800ms" utility="1" kind="replayable"/>
    <op-type name="once" opcode="write" from="68KiB"
      target-latency="300ms" op-timeout="800ms" utility="1" kind="once-only"/>
  </op-types>
  <plans><plan name="all" rate="1000" reserve="1000" weight="1"/></plans>
  <volumes block="4KiB" unit="16KiB" extent="1MiB" mean-units="1">
    <volume nsid="1" name="a" plan="all" size="1GiB" cells="0 1"/>
    <volume nsid="2" name="b" plan="all" size="1GiB" cells="1"/>
  </volumes>
  <rules drain-grace="1s" answer-margin="100ms"/>
  <limits connections="12" depth="64" transfer="128KiB" capsule="8KiB" piece="32KiB"
    held="1MiB" unsent="2MiB" handshake="300ms"/>
  <disk-servers subsystem="nqn.2026-12.org.honeyplank:disk"
    connect-within="200ms" keep-alive="600ms" depth="64" digests="true"/>
  <rehearsal gateways="1" length="1s" clients="1">
    <fleet cores="2" queue="64" unit-time="2ms"/>
    <traffic op-type="read" rate="1" bytes="4KiB"/>
  </rehearsal>
</honeyplank>`

const (
	blockBytes = 4096 // block size of the volumes in testSettings
	nqnPrefix  = "nqn.2026-12.org.honeyplank:"
	nodePrefix = "/honeyplank/nodes/" // prefix of the keys in etcd, as in testSettings
)

// opTimeout returns the time after which a client gives up an op, which is the same for all op types in testSettings.
func (h *harness) opTimeout() time.Duration { return h.settings.OpTypes[0].OpTimeout.Duration() }

// newHarness starts a harness, which ends with the test. The change functions modify its settings first.
func newHarness(t *testing.T, change ...func(*settings.Gateway)) *harness {
	t.Helper()
	s, err := settings.Parse("test", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(s)
	}
	h := &harness{t: t, settings: s}
	if h.loop, err = eventloop.New(time.Minute); err != nil {
		t.Fatal(err)
	}
	if h.etcd, err = etcd.New("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	for cell := range 2 {
		h.addDisk(cell)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := h.loop.Run(); err != nil {
			t.Errorf("the loop of fakes and clients: %v", err)
		}
	}()
	s.EndpointList.Etcd[0].Endpoint = h.etcd.Address()
	h.serve(gateway.Options{Seed: 1})
	t.Cleanup(func() {
		h.gateway.Kill()
		h.serving.Wait()
		h.loop.Post(h.loop.Stop)
		<-ended
		h.etcd.Close()
	})
	h.eventually("a read is served after the endpoint list has arrived", func() bool {
		_, status := h.do(h.connect("readiness"), nvme.NewRW(nvme.Read, 2, 0, 1), nil)
		return status == nvme.Success
	})
	return h
}

// addDisk starts a fake disk server for a cell and registers it. It must be called before the loop runs or on the loop.
func (h *harness) addDisk(cell int) *disk.Server {
	d, err := disk.New(h.loop, "127.0.0.1:0", faulttest.DiskModel(h.settings), int64(cell))
	if err != nil {
		h.t.Fatal(err)
	}
	h.disks = append(h.disks, d)
	h.register(d.Address(), cell, "on")
	return d
}

// serve starts a gateway with the harness's settings, which replaces the previous one in the harness.
func (h *harness) serve(options gateway.Options) {
	h.t.Helper()
	options.Settings, options.Log = h.settings, zerolog.Nop()
	var err error
	if h.gateway, err = gateway.New(options); err != nil {
		h.t.Fatal(err)
	}
	g := h.gateway
	h.serving.Go(func() {
		if err := g.Serve(context.Background()); err != nil {
			h.t.Errorf("Serve: %v", err)
		}
	})
}

// register adds or replaces the record of a disk server in etcd.
func (h *harness) register(address string, cell int, state string) {
	h.t.Helper()
	h.registerRecord(address, discovery.Record{State: state, Size: 1, Cell: cell})
}

func (h *harness) registerRecord(address string, record discovery.Record) {
	h.t.Helper()
	value, err := json.Marshal(record)
	if err != nil {
		h.t.Fatal(err)
	}
	h.etcd.Set(nodePrefix+address, value)
}

// deregister deletes the record of a disk server from etcd.
func (h *harness) deregister(address string) { h.etcd.Delete(nodePrefix + address) }

// node returns the gateway's state of a disk server; ok is false if the gateway has none.
func (h *harness) node(address string) (node gateway.Node, ok bool) {
	nodes, _ := h.gateway.Nodes()
	return findNode(nodes, address)
}

func findNode(nodes []gateway.Node, address string) (node gateway.Node, ok bool) {
	i := slices.IndexFunc(nodes, func(n gateway.Node) bool { return n.Server == address })
	if i < 0 {
		return node, false
	}
	return nodes[i], true
}

// onLoop runs f on the loop of the fakes and clients.
func (h *harness) onLoop(f func()) {
	done := make(chan struct{})
	h.loop.Post(func() { f(); close(done) })
	<-done
}

// eventually waits until f returns true, and fails the test after five seconds. what describes the condition.
func (h *harness) eventually(what string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("condition not met within 5 s: %s", what)
		}
	}
}

func (h *harness) counts() gateway.Counts {
	c, ok := h.gateway.Counts()
	if !ok {
		h.t.Fatal("the gateway has ended")
	}
	return c
}

// waitIdle waits until no op is unanswered, no dispatch is outstanding and no buffer is in use.
func (h *harness) waitIdle() {
	h.t.Helper()
	h.eventually("no op, dispatch or buffer is left", func() bool {
		c := h.counts()
		return c.Unanswered == 0 && c.Outstanding == 0 && c.BufferedBytes == 0
	})
}

// associationWaiter implements initiator.Handler. Its channel gets nil when the association is ready, or the error with
// which it ended.
type associationWaiter struct{ ready chan error }

func (waiter associationWaiter) Ready(*initiator.Association) { waiter.ready <- nil }

func (waiter associationWaiter) Ended(_ *initiator.Association, err error) {
	select {
	case waiter.ready <- err:
	default:
	}
}

// connect connects a client. The client with the name "digests" uses digests.
func (h *harness) connect(name string) *initiator.Association {
	h.t.Helper()
	waiter := associationWaiter{make(chan error, 2)}
	var association *initiator.Association
	h.onLoop(func() {
		association = initiator.Dial(h.loop, initiator.Settings{
			Address:        h.gateway.Address(),
			Subsystem:      h.settings.Listen.Subsystem,
			Host:           nqnPrefix + name,
			Depth:          60,
			MaxData:        128 << 10,
			ConnectTimeout: time.Second,
			Digests:        name == "digests",
		}, waiter)
	})
	if err := <-waiter.ready; err != nil {
		h.t.Fatal(err)
	}
	return association
}

// answer is a client's result of a command.
type answer struct {
	data   []byte
	status nvme.Status
	lost   bool // whether the command ended without an answer
	took   time.Duration
	dw0    uint32
}

// submit sends a Read or Write. The channel gets its answer.
func (h *harness) submit(client *initiator.Association, command nvme.Command, data []byte) chan answer {
	out := make(chan answer, 4)
	read := 0
	if command.Opcode() == nvme.Read {
		read = command.Blocks() * blockBytes
	}
	h.onLoop(func() {
		began := time.Now()
		done := initiator.CallbackFunc(func(r initiator.Result) {
			out <- answer{bytes.Clone(r.Data), r.Status(), r.ConnectionLost, time.Since(began), r.DW0()}
		})
		id, ok := client.IO.Submit(command, data, read, done)
		if h.lastCommandID = id; !ok {
			out <- answer{lost: true}
		}
	})
	return out
}

// do sends a Read or Write and waits for its answer.
func (h *harness) do(client *initiator.Association, command nvme.Command, data []byte) ([]byte, nvme.Status) {
	r := <-h.submit(client, command, data)
	return r.data, r.status
}

// pattern returns test data that differ by seed and by 512-byte sector.
func pattern(seed byte, blocks int) []byte {
	b := make([]byte, blocks*blockBytes)
	for i := range b {
		b[i] = seed + byte(i>>9)*31 + byte(i)
	}
	return b
}
