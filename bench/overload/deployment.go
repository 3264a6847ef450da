package overload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

const (
	anyPort      = "127.0.0.1:0"
	startTimeout = 10 * time.Second // from the start of the scheduler until it is ready
	pingInterval = 10 * time.Millisecond
	serviceTime  = 30 * time.Millisecond // of a command at a disk server
)

var errNotReady = errors.New("overload: the scheduler did not answer PING before the start timeout")

// Op types of the deployment.
const (
	readTimeout  = 1200 * time.Millisecond
	writeTimeout = 2 * time.Second
	bulkTimeout  = 5 * time.Second
)

// settings returns the settings of the deployment, in the form of the platform.
func settings(servers int) map[string]any {
	class := func(name string, timeout time.Duration, target, worth float64) map[string]any {
		return map[string]any{
			"name": name, "give_up_ms": timeout.Milliseconds(), "target_ms": target, "worth": worth, "late_worth": 0.1,
			"semantics": "pure", "dedup_scope": "all", "window_ms": 5000,
		}
	}
	plan := func(name string, rate, reserve, factor float64) map[string]any {
		return map[string]any{"name": name, "rate": rate, "reserve": reserve, "value_factor": factor, "weight": 1}
	}
	return map[string]any{
		"caps": map[string]any{
			"cancel": true, "may_duplicate": true, "max_attempts": 3, "connect_timeout_ms": 250, "keepalive_ms": 30000,
			"streams_per_conn": 4, "probes": true,
		},
		"classes": []any{
			class("read", readTimeout, 200, 2),
			class("write", writeTimeout, 300, 2),
			class("bulk-read", bulkTimeout, 1500, 1),
		},
		"family_info": map[string]any{
			"changes_data": []bool{false, true, false}, "largest": 6, "unit_mean": 2, "young_limit": 38,
			"within_share": 0.35, "idle_worth": 0.1, "shards": servers,
		},
		"membership_mode": "automatic", "models": []string{"std"}, "zones": []string{"room"},
		"plans":       []any{plan("basic", 4, 2, 0.8), plan("standard", 6, 5, 0.9), plan("priority", 12, 14, 1.5)},
		"peers_total": 1, "step_ms": 2, "report": map[string]any{"how": "silent"},
		"rules": map[string]any{
			"cold_from": 0.21, "cold_ms": 18000, "fall_ms": 3000, "tip_multiple": 4, "grace_to_answer_ms": 8,
			"stop_sending_within_ms": 1000, "ask_within_ms": 10000,
		},
	}
}

// deployment is one scheduler process with fakes of its disk servers and of discovery.
type deployment struct {
	address   string // of the scheduler
	process   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	discovery *fakeresp.Discovery
	disks     []*fakeresp.Disk
	directory string // temporary
}

// deploy starts a deployment. observe is called with each command that reaches a disk server.
func deploy(ctx context.Context, o Options, observe func(fakeresp.Command)) (*deployment, error) {
	d := &deployment{ended: make(chan struct{})}
	close(d.ended) // until the process is started
	if err := d.start(ctx, o, observe); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, o Options, observe func(fakeresp.Command)) error {
	var members []fakeresp.Member
	for cell := range o.Servers {
		disk, err := fakeresp.NewDisk(anyPort)
		if err != nil {
			return err
		}
		disk.SetFaults(fakeresp.Faults{Delay: serviceTime, Value: strings.Repeat("v", o.ValueBytes)})
		disk.SetObserver(observe)
		d.disks = append(d.disks, disk)
		members = append(members, fakeresp.Member{
			ID:      fmt.Sprintf("s-%02d", cell),
			Address: disk.Address(),
			Zone:    "room",
			Model:   "std",
			Cell:    cell,
			Phase:   "up",
			Size:    1,
		})
	}
	var err error
	if d.discovery, err = fakeresp.NewDiscovery(members...); err != nil {
		return err
	}
	if d.directory, err = os.MkdirTemp("", "honeyplank-overload-"); err != nil {
		return err
	}
	if d.address, err = freeAddress(); err != nil {
		return err
	}
	file := filepath.Join(d.directory, "config.json")
	if err := d.writeConfig(file, o, members); err != nil {
		return err
	}
	return d.startProcess(ctx, o, file)
}

func (d *deployment) writeConfig(file string, o Options, members []fakeresp.Member) error {
	text, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    d.address,
		"discovery": d.discovery.Address(),
		"seed":      fmt.Sprintf("%x", o.Seed),
		"limits":    map[string]any{"cores": 1, "memory_mb": o.MemoryMB, "sockets": o.Descriptors},
		"settings":  settings(o.Servers),
		"known":     map[string]any{"revision": 1, "complete": true, "members": members},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// startProcess starts the scheduler and waits until it answers PING.
func (d *deployment) startProcess(ctx context.Context, o Options, file string) error {
	d.process = exec.CommandContext(ctx, o.Program, "platform", file)
	d.process.Stdout, d.process.Stderr = o.Log, o.Log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.process.Wait() // that it has ended is reported, for whatever reason
		close(d.ended)
	}()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pingInterval) {
		if answersPing(d.address) {
			return nil
		}
	}
	return errNotReady
}

// hasEnded reports whether the scheduler has ended.
func (d *deployment) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// stop ends the scheduler and the fakes.
func (d *deployment) stop() {
	if !d.hasEnded() {
		_ = d.process.Process.Signal(syscall.SIGKILL) // it may just have ended
		<-d.ended
	}
	if d.discovery != nil {
		d.discovery.Stop()
	}
	for _, disk := range d.disks {
		disk.Stop()
	}
	_ = os.RemoveAll(d.directory) // what cannot be removed stays in the temporary directory
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func answersPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // not used any more
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := conn.Write(resp.AppendCommand(nil, []byte("PING"))); err != nil {
		return false
	}
	reply := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(conn, reply)
	return err == nil && string(reply) == "+PONG\r\n"
}
