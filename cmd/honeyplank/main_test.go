package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"honeyplank/bench"
	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "honeyplank")
	if err == nil {
		binary = filepath.Join(dir, "honeyplank")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// run runs the program to its end.
func run(t *testing.T, arguments ...string) (out string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, binary, arguments...)
	b, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(b), c.ProcessState.ExitCode()
}

// TestExit checks what a bad setting or flag ends with: file, line, what is wrong, what would be right, exit 2.
func TestExit(t *testing.T) {
	good := "../../settings/examples/gateway.xml"
	text, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.xml")
	os.WriteFile(bad, []byte(strings.Replace(string(text), `ask-within="4s" most="20000"`, `ask-within="soon"`, 1)), 0o600)
	other := filepath.Join(t.TempDir(), "other.xml")
	os.WriteFile(other, []byte(strings.Replace(string(text), `meter-period="1s"`, `meter-elsewhere="perhaps"`, 1)), 0o600)
	for _, c := range []struct {
		arguments string
		code      int
		says      string
	}{
		{"settings check " + good, 0, "right"},
		{"settings check " + bad, 2, bad + `:3: ask-within="soon"`},
		{"serve " + bad, 2, "a span is a number with its unit"},
		{"serve no-such-file.xml", 2, "no such file"},
		{"faulttest --script " + good, 2, "has no <rehearsal>"},
		{"faulttest --trouble none", 2, "no trouble is called"},
		{"faulttest --no-such-flag", 2, "unknown flag"},
		{"rehearse --trouble none", 2, "no trouble is called"}, // the old words of sub-commands, for one release
		{"standin disk --no-such-flag", 2, "unknown flag"},
		{"corpus stats --no-such-flag", 2, "unknown flag"},
		{"corpus sabotage --no-such-flag", 2, "unknown flag"},
		{"settings check " + other, 2, other + `:31: meter-elsewhere="perhaps"`},
		{"settings schema", 0, "xs:schema"},
		{"version", 0, "honeyplank"},
	} {
		if out, code := run(t, strings.Fields(c.arguments)...); code != c.code || !strings.Contains(out, c.says) {
			t.Errorf("%s: exit %d, want %d with %q\n%s", c.arguments, code, c.code, c.says, out)
		}
	}
}

type connected chan error

func (c connected) Ready(*initiator.Association) { c <- nil }
func (c connected) Ended(_ *initiator.Association, e error) {
	select {
	case c <- e:
	default:
	}
}

// TestSameAnswers plays one script of ops through two gateways in this process and through two daemons, each
// against stand-ins of the same kind: one server sound, one failing every op, one not listed, one turning
// ops away. The answers are the same, op by op.
func TestSameAnswers(t *testing.T) {
	script, err := settings.Parse("built-in script", faulttest.BadDay)
	if err != nil {
		t.Fatal(err)
	}
	l, err := eventloop.New(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	registry, err := etcd.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	model := faulttest.Model(script)
	model.ServiceTimeSpread, model.Pause, model.PauseEvery, model.DeferredWorkEvery, model.UnitServiceTime = 0, 0, 0, 0, settings.Span(time.Millisecond)
	for cell, faults := range map[int]disk.Faults{0: {}, 1: {FailShare: 1}, 4: {Draining: true}} {
		d, err := disk.New(l, "127.0.0.1:0", model, 1)
		if err != nil {
			t.Fatal(err)
		}
		d.SetFaults(faults)
		value, _ := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: cell})
		registry.Set(script.EndpointList.Prefix+d.Address(), value)
	}
	ended := make(chan struct{})
	go func() { l.Run(); close(ended) }()
	defer func() { l.Post(l.Stop); <-ended }()

	own := *script
	own.FaultTest = nil
	own.EndpointList.Etcd[0].Endpoint = registry.Address()
	var addresses []string
	for n := range 2 {
		s := own
		s.Scheduler.Ordinal = n
		g, err := gateway.New(gateway.Options{Settings: &s, Seed: int64(n + 1), Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		go g.Serve(context.Background())
		defer g.Kill()
		addresses = append(addresses, g.Address())
	}
	for n := range 2 {
		s := own
		s.Scheduler.Ordinal = n
		addresses = append(addresses, daemon(t, &s, n+1))
	}
	time.Sleep(500 * time.Millisecond) // each has the list
	answers := make([]string, len(addresses))
	for i, a := range addresses {
		answers[i] = play(t, l, own.Listen.Subsystem, a)
	}
	for i := range answers {
		if answers[i] != answers[0] {
			t.Errorf("gateway %d answers\n%s\nthe first\n%s", i, answers[i], answers[0])
		}
	}
	for _, want := range []string{" 0x0 ", " 0x821 ", " 0x4006 "} { // acked, throttled with advice, aborted
		if !strings.Contains(answers[0], want) {
			t.Errorf("no answer with status%sin\n%s", want, answers[0])
		}
	}
}

// daemon starts serve and returns where it listens; it is stopped at the test's end.
func daemon(t *testing.T, s *settings.Gateway, seed int, more ...string) string {
	t.Helper()
	c, lines, address := serve(t, s, seed, more...)
	t.Cleanup(func() {
		c.Process.Signal(syscall.SIGTERM)
		for range lines {
		}
		if err := c.Wait(); err != nil {
			t.Errorf("the daemon ended with %v", err)
		}
	})
	return address
}

// serve starts one; lines are its log after the one that tells where it listens.
func serve(t *testing.T, s *settings.Gateway, seed int, more ...string) (c *exec.Cmd, lines chan string, address string) {
	t.Helper()
	text, err := s.XML()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "gateway.xml")
	os.WriteFile(file, text, 0o600)
	c, lines = started(t, exec.Command(binary, append([]string{"serve", "--seed", fmt.Sprint(seed), file}, more...)...))
	for text := range lines {
		var line struct{ Address string }
		if json.Unmarshal([]byte(text), &line) == nil && line.Address != "" {
			if _, err := net.ResolveTCPAddr("tcp", line.Address); err == nil {
				return c, lines, line.Address
			}
		}
	}
	t.Fatal("the daemon did not say where it serves")
	return nil, nil, ""
}

// started starts a command; lines are its log.
func started(t *testing.T, c *exec.Cmd) (*exec.Cmd, chan string) {
	t.Helper()
	log, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	lines := make(chan string, 1024)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(log); s.Scan(); {
			lines <- s.Text()
		}
	}()
	return c, lines
}

// play sends ops one after another and writes down their answers.
func play(t *testing.T, l *eventloop.Loop, subsystem, address string) string {
	t.Helper()
	ready := make(connected, 2)
	var a *initiator.Association
	l.Post(func() {
		a = initiator.Dial(l, initiator.Settings{Address: address, Subsystem: subsystem, Host: "nqn.2026-12.org.honeyplank:script", Depth: 8, MaxData: 128 << 10, ConnectTimeout: 2 * time.Second}, ready)
	})
	if err := <-ready; err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for i := range 24 {
		// Extents of 65536 blocks: volume 5 lies on cells 0, 2, 4 in turn, volume 9 on 0 to 5.
		nsid, extent, blocks, opcode := uint32(9), uint64(i%6), 4, uint8(nvme.Read)
		if i%4 == 3 {
			opcode, blocks = nvme.Write, 6 // once-only
		}
		c := nvme.NewRW(opcode, nsid, extent*65536+uint64(i)*8, blocks)
		var data []byte
		read := blocks * 4096
		if opcode == nvme.Write {
			data, read = make([]byte, blocks*4096), 0
		}
		done := make(chan string, 1)
		l.Post(func() {
			a.IO.Submit(c, data, read, initiator.CallFunc(func(r initiator.Result) {
				done <- fmt.Sprintf("%d cell %d: %#x %x", i, extent, r.Status(), sha256.Sum256(r.Data))
			}))
		})
		fmt.Fprintln(&b, <-done)
	}
	l.Post(a.Close)
	return b.String()
}

// example is settings of a gateway that finds no disk server.
func example(t *testing.T) *settings.Gateway {
	t.Helper()
	text, err := os.ReadFile("../../settings/examples/gateway.xml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse("example", []byte(strings.Replace(string(text), "127.0.0.1:4420", "127.0.0.1:0", 1)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLearntFile stops and starts a daemon that keeps what it learns: a stop writes the file, a start reads it, and one
// that is damaged keeps no daemon from serving.
func TestLearntFile(t *testing.T) {
	s := example(t)
	file := filepath.Join(t.TempDir(), "learnt")
	known := &estimates.Record{Unit: 16 << 10, TypicalLatency: 0.01, Servers: []estimates.Server{{ID: "127.0.0.1:9", At: time.Now().UTC(), BestPerUnit: 0.001, Latency: 0.01}}}
	sound, err := known.Encode()
	if err != nil {
		t.Fatal(err)
	}
	known.Servers[0].At = time.Now().UTC().Add(-48 * time.Hour)
	stale, _ := known.Encode()
	for _, before := range []string{"", "damaged", string(sound), string(stale)} {
		if os.Remove(file); before != "" {
			os.WriteFile(file, []byte(before), 0o600)
		}
		t.Run(fmt.Sprintf("%.8s", before), func(t *testing.T) { daemon(t, s, 1, "--learnt", file) }) // its end is a stop in order
		r, err := estimates.Read(file)
		if err != nil {
			t.Errorf("after a start with %q and a stop: %v", before, err)
		} else if n := len(r.Servers); (n == 1) != (before == string(sound)) { // no server was listed
			t.Errorf("after a start with %q and a stop: %d servers", before, n)
		}
	}
}

// TestLearntFaults stops a daemon while it can open no file, for a moment or for good, and one whose folder is missing:
// it ends in order and within its time, tells the trouble once, and keeps what it can.
func TestLearntFaults(t *testing.T) {
	const stop = 2 * time.Second
	for _, c := range []struct {
		name          string
		missing, ends bool // the folder is missing; the trouble ends
		says          []string
	}{
		{"for a moment", false, true, []string{"is not kept yet", "is kept"}},
		{"for good", false, false, []string{"is not kept yet", "is not kept"}},
		{"no folder", true, false, []string{"is not kept"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "learnt")
			if c.missing {
				file = filepath.Join(t.TempDir(), "missing", "learnt")
			}
			d, lines, _ := serve(t, example(t), 1, "--stop", stop.String(), "--learnt", file)
			var usual unix.Rlimit
			if err := unix.Prlimit(d.Process.Pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
				t.Fatal(err)
			}
			if !c.missing {
				if err := unix.Prlimit(d.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 0, Max: usual.Max}, nil); err != nil {
					t.Fatal(err)
				}
			}
			d.Process.Signal(syscall.SIGTERM)
			began, said := time.Now(), []string(nil)
			for line := range lines {
				var l struct{ Message string }
				if json.Unmarshal([]byte(line), &l); strings.HasPrefix(l.Message, "what was learnt ") {
					said = append(said, strings.TrimPrefix(l.Message, "what was learnt "))
				}
				if c.ends && len(said) == 1 {
					if err := unix.Prlimit(d.Process.Pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil && d.ProcessState != nil {
						t.Fatal(err)
					}
				}
			}
			if err := d.Wait(); err != nil {
				t.Errorf("it ended with %v", err)
			}
			if took := time.Since(began); took > stop+writeEnds+5*time.Second { // generous, for a busy machine
				t.Errorf("its stop took %v", took)
			}
			if !slices.Equal(said, c.says) {
				t.Errorf("it said %q, want %q", said, c.says)
			}
			if _, err := estimates.Read(file); (err == nil) != c.ends {
				t.Errorf("its file: %v", err)
			}
		})
	}
}

// TestBenchFleet: the benchmark of fleets starts this program as a scheduler, serves its load and measures the process.
func TestBenchFleet(t *testing.T) {
	out, code := run(t, "bench", "fleet", "--servers", "4,64", "--seconds", "1", "--json")
	if code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	var costs []bench.FleetCost
	if err := json.Unmarshal([]byte(out), &costs); err != nil || len(costs) != 2 {
		t.Fatalf("%v in %s", err, out)
	}
	for i, servers := range []int{4, 64} {
		c := costs[i]
		if c.Servers != servers || c.Served == 0 || c.Served > c.Requests || c.Memory <= 0 || c.Descriptors == 0 || c.Connections == 0 {
			t.Errorf("%+v", c)
		}
	}
}
