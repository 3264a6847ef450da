package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
	"honeyplank/policy"
)

// testbed is a scheduler with fake disk servers and a fake discovery on loopback.
type testbed struct {
	t          *testing.T
	disks      []*fakeresp.Disk
	discovery  *fakeresp.Discovery
	scheduler  *Scheduler
	configFile string
	config     map[string]any
	served     chan error // the result of Serve
	module     *recordingModule
}

// newTestbed starts a scheduler with n disk servers, one for each cell. Before that it calls each change on the
// configuration.
func newTestbed(t *testing.T, n int, change ...func(map[string]any)) *testbed {
	t.Helper()
	bed := &testbed{t: t, served: make(chan error, 1)}
	members := bed.startDisks(n)
	var err error
	if bed.discovery, err = fakeresp.NewDiscovery(members...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.discovery.Stop)
	bed.config = testConfig(t, bed.discovery.Address(), members)
	for _, f := range change {
		f(bed.config)
	}
	bed.configFile = filepath.Join(t.TempDir(), "config.json")
	config := bed.writeConfig()
	bed.module = &recordingModule{
		DecisionModule: policy.New(config.Seed, config.Site.Settings),
		onEvent:        func(honeyplank.Event) {},
	}
	if bed.scheduler, err = newWithModule(config, bed.module, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	go func() { bed.served <- bed.scheduler.Serve() }()
	t.Cleanup(func() { bed.scheduler.loop.Post(bed.scheduler.loop.Stop) })
	return bed
}

// startDisks starts n fake disk servers and returns their entries in the endpoint list.
func (bed *testbed) startDisks(n int) (members []fakeresp.Member) {
	bed.t.Helper()
	for i := range n {
		disk, err := fakeresp.NewDisk("127.0.0.1:0")
		if err != nil {
			bed.t.Fatal(err)
		}
		bed.disks = append(bed.disks, disk)
		bed.t.Cleanup(disk.Stop)
		members = append(members, bed.member(i, "up"))
	}
	return members
}

// stopDisk stops the n-th disk server and waits until it refuses connections.
func (bed *testbed) stopDisk(n int) {
	bed.t.Helper()
	bed.disks[n].Stop()
	bed.eventually("the stop of the disk server", func() bool {
		conn, err := net.Dial("tcp", bed.disks[n].Address())
		if err == nil {
			_ = conn.Close() // the server still accepts connections
		}
		return errors.Is(err, unix.ECONNREFUSED)
	})
}

// writeConfig writes the configuration file and reads it with ReadConfig.
func (bed *testbed) writeConfig() *Config {
	bed.t.Helper()
	text, err := json.MarshalIndent(bed.config, "", " ")
	if err == nil {
		err = os.WriteFile(bed.configFile, text, 0o600)
	}
	if err != nil {
		bed.t.Fatal(err)
	}
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		bed.t.Fatal(err)
	}
	return config
}

// reload makes the scheduler reload the configuration of the testbed.
func (bed *testbed) reload() {
	bed.t.Helper()
	bed.scheduler.Reload(bed.writeConfig())
}

// useModule replaces the decision module.
func (bed *testbed) useModule(module honeyplank.DecisionModule) {
	bed.t.Helper()
	bed.onLoop(func() { bed.module.DecisionModule = module })
}

// serverID returns the id of the n-th disk server.
func serverID(n int) honeyplank.ServerID { return honeyplank.ServerID(fmt.Sprint("s-", n)) }

// member returns the entry of the i-th disk server in the endpoint list.
func (bed *testbed) member(i int, phase string) fakeresp.Member {
	return fakeresp.Member{
		ID:      string(serverID(i)),
		Address: bed.disks[i].Address(),
		Zone:    "room",
		Model:   "std",
		Cell:    i,
		Phase:   phase,
		Size:    1,
	}
}

// eventually waits until f returns true. what names the condition in the error.
func (bed *testbed) eventually(what string, f func() bool) {
	bed.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			bed.t.Fatal(what + ": condition not met within 5 s")
		}
	}
}

// eventuallyOnLoop waits until f, called on the scheduler's loop, returns true.
func (bed *testbed) eventuallyOnLoop(what string, f func() bool) {
	bed.t.Helper()
	bed.eventually(what, func() (ok bool) {
		bed.onLoop(func() { ok = f() })
		return ok
	})
}

// onLoop runs f on the scheduler's loop and waits for its end. It does nothing if the loop has ended.
func (bed *testbed) onLoop(f func()) {
	bed.t.Helper()
	done := make(chan bool)
	if bed.scheduler.loop.Post(func() { f(); close(done) }) {
		<-done
	}
}

// hasServer reports whether the scheduler has a disk server with an id. It has none once the server is removed and its
// connections are closed.
func (bed *testbed) hasServer(id string) (ok bool) {
	bed.t.Helper()
	bed.onLoop(func() { ok = bed.scheduler.servers[honeyplank.ServerID(id)] != nil })
	return ok
}

// redirectServer changes the address of the n-th disk server in discovery and waits until the scheduler has applied it.
func (bed *testbed) redirectServer(n int, address string) {
	bed.t.Helper()
	member := bed.member(n, "up")
	member.Address = address
	bed.discovery.Change(member)
	bed.eventuallyOnLoop("the new address of the disk server", func() bool {
		ds := bed.scheduler.servers[serverID(n)]
		return ds != nil && ds.address == address
	})
}

// everyMillisecond calls f on the loop immediately and then about every millisecond. It is called on the loop.
func (bed *testbed) everyMillisecond(f func(now time.Duration)) {
	now := bed.scheduler.loop.Now()
	f(now)
	bed.scheduler.loop.Schedule(now+time.Millisecond, func() { bed.everyMillisecond(f) })
}

// leaveOneServerConn leaves a descriptor for only one more connection to disk servers. It is called on the loop.
func (bed *testbed) leaveOneServerConn() {
	bed.scheduler.serverConnCount = bed.scheduler.descriptorQuota(serverDescriptorShare) - 1
}

// awaitWaiter waits until one attempt waits for a connection to the first disk server.
func (bed *testbed) awaitWaiter() {
	bed.t.Helper()
	bed.eventually("an attempt that waits for a connection", func() bool {
		waiting, _ := bed.connCounts(0)
		return waiting == 1
	})
}

// awaitServerConn waits until a connection to the first disk server is open.
func (bed *testbed) awaitServerConn() {
	bed.t.Helper()
	bed.eventually("an open connection to the disk server", func() bool {
		_, connected := bed.connCounts(0)
		return connected > 0
	})
}

// awaitClientGone waits until the tracker has counted one client as gone.
func (bed *testbed) awaitClientGone() {
	bed.t.Helper()
	bed.eventuallyOnLoop("a client that is gone", func() bool { return bed.scheduler.tracker.Counts.ClientsGone == 1 })
}

// client returns the only client connection, or nil if there is none. It is called on the loop.
func (bed *testbed) client() *client {
	for c := range bed.scheduler.clients {
		return c
	}
	return nil
}

// bytesIn returns the number of bytes that the loop has read so far.
func (bed *testbed) bytesIn() (n int64) {
	bed.t.Helper()
	bed.onLoop(func() { n = bed.scheduler.loop.Stats.BytesIn.Load() })
	return n
}

// connCounts returns the number of attempts that wait for a connection to the n-th disk server, and the number of open
// connections to it.
func (bed *testbed) connCounts(n int) (waiting, connected int) {
	bed.t.Helper()
	bed.onLoop(func() {
		ds := bed.scheduler.servers[serverID(n)]
		if ds == nil {
			return
		}
		waiting = len(ds.waiting)
		for _, sc := range ds.conns {
			if sc.connected {
				connected++
			}
		}
	})
	return waiting, connected
}

// recordOutcomes records the outcomes of all dispatches from now on. The result must be read on the loop.
func (bed *testbed) recordOutcomes() *[]honeyplank.Code {
	bed.t.Helper()
	codes := &[]honeyplank.Code{}
	bed.onLoop(func() {
		bed.module.onEvent = func(e honeyplank.Event) {
			if outcome, ok := e.(honeyplank.Outcome); ok {
				*codes = append(*codes, outcome.Code)
			}
		}
	})
	return codes
}

// healthChecks returns a channel of the results of health checks from now on.
func (bed *testbed) healthChecks() <-chan honeyplank.HealthCheckResult {
	bed.t.Helper()
	results := make(chan honeyplank.HealthCheckResult, 1)
	bed.onLoop(func() {
		bed.module.onEvent = func(event honeyplank.Event) {
			if result, ok := event.(honeyplank.HealthCheckResult); ok {
				results <- result
			}
		}
	})
	return results
}

// checkReceived checks that the ids of the ops that have reached the first disk server, as printed by fmt, are want.
func (bed *testbed) checkReceived(want string) {
	bed.t.Helper()
	if ids := receivedIDs(bed.disks[0]); fmt.Sprint(ids) != want {
		bed.t.Errorf("ops %v have reached the disk server, expected %s", ids, want)
	}
}

// receivedIDs returns the ids of the ops that have reached a disk server.
func receivedIDs(disk *fakeresp.Disk) (ids []string) {
	for _, command := range disk.Commands() {
		ids = append(ids, command.ID)
	}
	return ids
}

// newGatedTestbed starts a scheduler whose only disk server gets all ops and is behind a closed gate.
func newGatedTestbed(t *testing.T, connectTimeout, drainGrace time.Duration) (*testbed, *connGate) {
	t.Helper()
	bed := newTestbed(t, 1, func(config map[string]any) {
		section(config, "settings", "caps")["connect_timeout_ms"] = connectTimeout.Milliseconds()
		section(config, "settings", "rules")["stop_sending_within_ms"] = drainGrace.Milliseconds()
	})
	gate, member := bed.gateServer(0, "up")
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.applyMember(listMember{ID: member.ID, Address: member.Address, Phase: "up"})
	})
	return bed, gate
}

// takeAllDescriptors opens all free descriptors of the process. release closes them.
func takeAllDescriptors() (release func()) {
	var taken []int
	for {
		fd, err := unix.Dup(2)
		if err != nil {
			break
		}
		taken = append(taken, fd)
	}
	return sync.OnceFunc(func() {
		for _, fd := range taken {
			_ = unix.Close(fd) // a copy that nothing else uses
		}
	})
}
