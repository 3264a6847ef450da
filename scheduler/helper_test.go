package scheduler

import (
	"encoding/json"
	"fmt"
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

// testbed is a scheduler with fake disk servers and a fake discovery, all on loopback.
type testbed struct {
	t          *testing.T
	disks      []*fakeresp.Disk
	discovery  *fakeresp.Discovery
	scheduler  *Scheduler
	configFile string
	config     map[string]any
	served     chan error

	module *recordingModule
}

// recordingModule calls onEvent with each event before the module handles it. It is used on the loop.
type recordingModule struct {
	honeyplank.DecisionModule
	onEvent func(honeyplank.Event)
}

func (m *recordingModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	m.onEvent(e)
	return m.DecisionModule.Handle(now, e)
}

// singleServerModule is a module that dispatches every op to one disk server at once, and fails it if that does not succeed.
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

// testSettings has the form of the settings in the simulator's first message.
const testSettings = `{"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
"peer_messages":true,"probes":true,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,"dedup_scope":"all","window_ms":5000},
{"name":"write","give_up_ms":600,"target_ms":300,"semantics":"pure","worth":2,"late_worth":0.1,"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false,true],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,"idle_worth":0.1},
"membership_mode":"automatic","models":["std","slow"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],
"report":{"fields":["util","latency_ms"],"how":"piggyback"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,"tip_multiple":4},"step_ms":1}`

// newTestbed starts a scheduler with n disk servers, one for each cell; change alters its configuration before.
func newTestbed(t *testing.T, n int, change ...func(map[string]any)) *testbed {
	t.Helper()
	bed := &testbed{t: t, served: make(chan error, 1)}
	var members []fakeresp.Member
	for i := range n {
		disk, err := fakeresp.NewDisk("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		bed.disks = append(bed.disks, disk)
		t.Cleanup(disk.Stop)
		members = append(members, bed.member(i, "up"))
	}
	var err error
	if bed.discovery, err = fakeresp.NewDiscovery(members...); err != nil {
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

// writeConfig writes the configuration file.
func (bed *testbed) writeConfig() {
	bed.t.Helper()
	text, err := json.MarshalIndent(bed.config, "", " ")
	if err == nil {
		err = os.WriteFile(bed.configFile, text, 0o600)
	}
	if err != nil {
		bed.t.Fatal(err)
	}
}

// reload has the scheduler read the configuration again.
func (bed *testbed) reload() {
	bed.t.Helper()
	bed.writeConfig()
	config, err := ReadConfig(bed.configFile)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.scheduler.Reload(config)
}

// serverID is the id of the n-th disk server.
func serverID(n int) honeyplank.ServerID { return honeyplank.ServerID(fmt.Sprint("s-", n)) }

// member is the entry of the i-th disk server in the endpoint list.
func (bed *testbed) member(i int, phase string) fakeresp.Member {
	return fakeresp.Member{ID: fmt.Sprintf("s-%d", i), Address: bed.disks[i].Address(), Zone: "room", Model: "std", Cell: i, Phase: phase, Size: 1}
}

// eventually waits until f reports true.
func (bed *testbed) eventually(what string, f func() bool) {
	bed.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			bed.t.Fatal(what + " does not come to pass")
		}
	}
}

// eventuallyOnLoop waits until f, called on the scheduler's loop, reports true.
func (bed *testbed) eventuallyOnLoop(what string, f func() bool) {
	bed.t.Helper()
	bed.eventually(what, func() (ok bool) {
		bed.onLoop(func() { ok = f() })
		return ok
	})
}

// onLoop runs f on the scheduler's loop.
func (bed *testbed) onLoop(f func()) {
	bed.t.Helper()
	done := make(chan bool)
	if bed.scheduler.loop.Post(func() { f(); close(done) }) {
		<-done
	}
}

// hasServer reports whether the scheduler has a disk server, which it drops once that is removed.
func (bed *testbed) hasServer(id string) (ok bool) {
	bed.t.Helper()
	bed.onLoop(func() { ok = bed.scheduler.servers[honeyplank.ServerID(id)] != nil })
	return ok
}

// withSlowConnect gives connections a long time to come up.
func withSlowConnect(config map[string]any) {
	config["settings"].(map[string]any)["caps"].(map[string]any)["connect_timeout_ms"] = 5000
}

// connCounts gives how many attempts wait for a connection to the n-th disk server, and how many connections are up.
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

// recordOutcomes records the outcomes of all dispatches from now on. They are to be read on the loop.
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

// receivedIDs gives the ids of the ops that have reached a disk server.
func receivedIDs(disk *fakeresp.Disk) (ids []string) {
	for _, command := range disk.Commands() {
		ids = append(ids, command.ID)
	}
	return ids
}

// newGatedTestbed starts a scheduler whose only disk server is behind a closed gate and gets all ops.
func newGatedTestbed(t *testing.T, connectTimeout, drainGrace time.Duration) (*testbed, *connGate) {
	t.Helper()
	bed := newTestbed(t, 1, func(config map[string]any) {
		site := config["settings"].(map[string]any)
		site["caps"].(map[string]any)["connect_timeout_ms"] = connectTimeout.Milliseconds()
		site["rules"].(map[string]any)["stop_sending_within_ms"] = drainGrace.Milliseconds()
	})
	gate, member := bed.gateServer(0, "up")
	bed.onLoop(func() {
		bed.module.DecisionModule = singleServerModule{"s-0"}
		bed.scheduler.applyMember(listMember{ID: member.ID, Address: member.Address, Phase: "up"})
	})
	return bed, gate
}

// delayedModule is a module that dispatches each op to the first disk server after a delay, and fails it if that does not succeed.
type delayedModule struct {
	delay  time.Duration
	lastOp honeyplank.OpID
}

func (m *delayedModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		if m.delay == 0 {
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "s-0"}}
		}
		m.lastOp = e.ID
		return []honeyplank.Action{honeyplank.SetTimer{ID: "dispatch", At: now + m.delay}}
	case honeyplank.Timer:
		return []honeyplank.Action{honeyplank.Dispatch{Op: m.lastOp, Server: "s-0"}}
	case honeyplank.Outcome:
		if !e.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: e.Op}}
		}
	}
	return nil
}

// cancellingModule is a module that cancels the op of a client that is gone.
type cancellingModule struct{}

func (cancellingModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	if e, ok := e.(honeyplank.ClientGone); ok {
		return []honeyplank.Action{honeyplank.Cancel{Op: e.Op}}
	}
	return singleServerModule{"s-0"}.Handle(now, e)
}

// takeAllDescriptors takes all descriptors of the process; release gives them back.
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
			unix.Close(fd)
		}
	})
}

// withOpTimeout gives every class an op timeout.
func withOpTimeout(timeout time.Duration) func(map[string]any) {
	return func(config map[string]any) {
		for _, c := range config["settings"].(map[string]any)["classes"].([]any) {
			class := c.(map[string]any)
			class["give_up_ms"], class["target_ms"] = float64(timeout.Milliseconds()), float64(timeout.Milliseconds())/2
		}
	}
}
