package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// world has all that a case starts, and its record.
type world struct {
	trouble   bool
	started   time.Time
	directory string // temporary

	mu        sync.Mutex // guards the fields below
	file      *os.File
	processes []*process
}

func newWorld(recordFile string) (*world, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), directory: directory, file: file}
	w.record("disruption: %v", w.trouble)
	return w, nil
}

// record writes a line with the time since the start to the record.
func (w *world) record(format string, args ...any) { w.recordAt(time.Now(), format, args...) }

// recordAt is like record, for an event of the given time.
func (w *world) recordAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(w.file, "%9.3f %s\n", at.Sub(w.started).Seconds(), text) // a lost line changes no result
}

// process is a process that the case has started.
type process struct {
	*os.Process
	ended chan struct{} // closed when it has ended
}

// run starts a process that end will kill.
func (w *world) run(command *exec.Cmd) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command.Process, make(chan struct{})}
	w.processes = append(w.processes, p)
	go func() {
		_ = command.Wait() // its exit code doesn't matter
		close(p.ended)
	}()
	return p, nil
}

// end kills all processes that were started and are still running, and removes the temporary directory.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.Process.Kill() // it may have ended
		<-p.ended
	}
	_ = os.RemoveAll(w.directory)
	_ = w.file.Close()
}

// scheduler is one process of the scheduler.
type scheduler struct {
	name    string
	address string
	process *process
}

// limits of a scheduler, within those of the pages: 32 to 192 MB and 256 to 1,024 descriptors.
const (
	memoryMB = 64
	sockets  = 512
)

// startScheduler starts a scheduler with the command of the deploy file and waits until it answers PING. discovery is
// the agent on its machine, and known the list as the scheduler last had it.
func (w *world) startScheduler(
	name, discovery string, known []fakeresp.Member, settings any,
) (*scheduler, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": address, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"revision": 1, "complete": true, "members": known},
		"settings": settings,
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.directory, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", "exec bin/honeyplank platform")
	command.Env = append(os.Environ(), "PROXY_NAME="+name, "PROXY_LISTEN="+address, "PROXY_DISCOVERY="+discovery,
		"PROXY_CONFIG="+file)
	command.Stdout, command.Stderr = log, log
	process, err := w.run(command)
	if err != nil {
		return nil, err
	}
	s := &scheduler{name: name, address: address, process: process}
	w.record("%s starts, listens on %s, discovery on %s", name, address, discovery)
	return s, s.awaitReady()
}

// awaitReady waits until the scheduler answers PING.
func (s *scheduler) awaitReady() error {
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(s.address)
		if err != nil {
			continue
		}
		reply, err := c.call("PING")
		c.close()
		if err == nil && reply.text == "+PONG" {
			return nil
		}
	}
	return fmt.Errorf("%s does not answer PING", s.name)
}

// signal sends a signal to the scheduler.
func (w *world) signal(s *scheduler, signal syscall.Signal) error {
	w.record("%v to %s", signal, s.name)
	return s.process.Signal(signal)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
