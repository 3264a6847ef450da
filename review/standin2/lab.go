package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	fake "honeyplank/fake/resp"
)

const (
	program      = "bin/honeyplank"
	anyPort      = "127.0.0.1:0"
	readyTimeout = 20 * time.Second
	endTimeout   = 10 * time.Second

	// slack is the 50 ms by which every time limit is longer on sockets.
	slack = 50 * time.Millisecond
)

// lab is the surroundings of one run: the record, a temporary folder and the processes and stand-ins that end with it.
type lab struct {
	trouble bool
	sockets int // descriptors that a scheduler may have
	folder  string
	begun   time.Time
	cleanup []func()

	closing sync.Mutex // held by close

	mu     sync.Mutex // guards the fields below
	record *os.File
	broken int
}

func newLab(record string, trouble bool) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, sockets: 1024, folder: folder, begun: time.Now(), record: file}
	l.note("disruption: %v", trouble)
	return l, nil
}

// note writes a line to the record, with the milliseconds since the run began.
func (l *lab) note(format string, args ...any) { l.noteAt(time.Now(), format, args...) }

func (l *lab) noteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.1f %s\n", l.ms(at), fmt.Sprintf(format, args...)) // a lost line changes no result
}

// ms returns the milliseconds since the run began.
func (l *lab) ms(at time.Time) float64 { return float64(at.Sub(l.begun).Microseconds()) / 1000 }

// violation records that the rule was broken.
func (l *lab) violation(format string, args ...any) {
	l.note("BROKEN: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
}

// atEnd adds a function that close calls, the last one first.
func (l *lab) atEnd(f func()) { l.cleanup = append(l.cleanup, f) }

// close ends all that the run started and returns the number of violations.
func (l *lab) close() int {
	l.closing.Lock()
	defer l.closing.Unlock()
	for i := len(l.cleanup) - 1; i >= 0; i-- {
		l.cleanup[i]()
	}
	_ = os.RemoveAll(l.folder) // what cannot be removed stays in the temporary folder
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Close()
	return l.broken
}

// scheduler is a scheduler process of the program.
type scheduler struct {
	lab     *lab
	name    string
	address string
	config  string
	command *exec.Cmd
	ended   chan struct{}
	log     *bytes.Buffer
	started bool
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// startScheduler starts a scheduler with the command of the deploy file and waits until it answers PING.
func (l *lab) startScheduler(ordinal int, settings map[string]any, discovery string,
	known []fake.Member) (*scheduler, error) {
	s := &scheduler{lab: l, name: fmt.Sprintf("n%d", ordinal)}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	settings["ordinal"] = ordinal
	text, err := json.Marshal(map[string]any{
		"name": s.name, "listen": address, "discovery": discovery, "seed": fmt.Sprintf("8c1f30d27a5be96%d", ordinal),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": l.sockets}, "settings": settings,
		"known": map[string]any{"revision": 1, "complete": true, "members": known},
	})
	if err != nil {
		return nil, err
	}
	s.address, s.config = address, filepath.Join(l.folder, s.name+".json")
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return nil, err
	}
	l.note("configuration of %s: %s", s.name, text)
	return s, s.start()
}

// start starts the process and waits until it is ready.
func (s *scheduler) start() error {
	s.log, s.ended = &bytes.Buffer{}, make(chan struct{})
	s.command = exec.Command(program, "platform")
	s.command.Env = append(os.Environ(), "PROXY_CONFIG="+s.config)
	s.command.Stdout, s.command.Stderr = s.log, s.log
	if err := s.command.Start(); err != nil {
		return err
	}
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // the state of the process says how it ended
		close(ended)
	}(s.command, s.ended)
	if !s.started {
		s.started = true
		s.lab.atEnd(s.kill)
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := dialClient(s.lab, s.address); err == nil {
			c.send([]byte("PING"))
			reply := c.next(time.Second)
			c.close()
			if reply != nil && string(reply.value.Text) == "PONG" {
				s.lab.note("%s is ready", s.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after %v: %s", s.name, readyTimeout, s.log.String())
}

// signal sends a signal to the process.
func (s *scheduler) signal(signal syscall.Signal) {
	s.lab.note("signal to %s: %v", s.name, signal)
	_ = s.command.Process.Signal(signal) // an ended process is seen by the checks
}

// kill ends the process, if it still runs, and waits for its end.
func (s *scheduler) kill() {
	select {
	case <-s.ended:
	default:
		_ = s.command.Process.Signal(syscall.SIGCONT)
		_ = s.command.Process.Kill()
	}
	select {
	case <-s.ended:
	case <-time.After(endTimeout):
		return
	}
	s.lab.note("log of %s:\n%s", s.name, s.log.String())
}
