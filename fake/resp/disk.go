// Package resp is a fake of the platform: disk servers that speak its RESP2 commands, with faults, and its discovery.
// It knows nothing of the scheduler, stores no data, and must not be used but by tests and benchmarks.
//
// The methods of Disk and Discovery may be called from any goroutine. A Disk has an event loop on a goroutine of its
// own, a Discovery an HTTP server; Stop ends them.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"honeyplank/eventloop"
)

// Faults are what a disk server does instead of, or beside, serving.
type Faults struct {
	// Delay is the time before each answer.
	Delay time.Duration
	// Fail answers with an error that makes no promise, Busy with the promise that nothing ran.
	Fail, Busy bool
	// Silent answers nothing.
	Silent bool
	// ResetOnCommand resets the connection once a command has come.
	ResetOnCommand bool
	// HalfAnswer sends half an answer and closes the connection.
	HalfAnswer bool
	// Malformed is sent in place of an answer; the connection stays open.
	Malformed string
	// TrailingData is sent right behind an answer, LateData a moment later.
	TrailingData, LateData string
	// Value is the value of an answer; empty: that of the function Value.
	Value string
	// LoadReport and Usage are those of an answer; empty: null.
	LoadReport, Usage string
	// Class, where set, is the class of the commands that meet the faults; others are served.
	Class string
}

// Command is a complete command.
type Command struct {
	Name, Piece, ID, Attributes string
	Body                        []byte
	At                          time.Time
	Conn                        int // number of the connection on which it came, from 0
}

// Disk is one fake disk server.
type Disk struct {
	loop    *eventloop.Loop
	address string

	mu       sync.Mutex // guards what follows
	faults   Faults
	commands []Command
	opened   int // connections
	conns    map[*conn]bool
}

// NewDisk starts a disk server at an address of loopback, port 0 for any.
func NewDisk(address string) (*Disk, error) {
	l, err := eventloop.New(time.Minute)
	if err != nil {
		return nil, fmt.Errorf("fake disk server: %w", err)
	}
	d := &Disk{loop: l, conns: map[*conn]bool{}}
	listener, err := l.Listen(address, d.accept)
	if err != nil {
		l.Stop()
		return nil, errors.Join(fmt.Errorf("fake disk server: %w", err), l.Run()) // Run closes the loop
	}
	d.address = listener.Address()
	go func() {
		_ = l.Run() // until Stop; clients see a loop that ends before
	}()
	return d, nil
}

// Address is where it listens.
func (d *Disk) Address() string { return d.address }

// SetFaults sets the faults of the commands that come from now on.
func (d *Disk) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

func (d *Disk) presentFaults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// Commands are all reads and writes that have come, in order.
func (d *Disk) Commands() []Command {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.commands)
}

func (d *Disk) record(command Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.commands = append(d.commands, command)
}

// Connections is how many connections are open, and how many were ever opened.
func (d *Disk) Connections() (open, opened int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns), d.opened
}

// Stop ends the server as the death of its process does: connections break, new ones are refused.
func (d *Disk) Stop() { d.loop.Post(d.loop.Stop) }

// CloseConnections closes all connections in order, as a disk server does with idle ones.
func (d *Disk) CloseConnections() { d.forEachConnection((*eventloop.Conn).CloseGracefully) }

// ResetConnections resets all connections.
func (d *Disk) ResetConnections() { d.forEachConnection((*eventloop.Conn).Abort) }

// forEachConnection calls f, on the loop, with each open connection.
func (d *Disk) forEachConnection(f func(*eventloop.Conn)) {
	d.loop.Post(func() {
		d.mu.Lock()
		var open []*conn
		for c := range d.conns {
			open = append(open, c)
		}
		d.mu.Unlock()
		for _, c := range open {
			f(c.raw)
		}
	})
}

func (d *Disk) accept(raw *eventloop.Conn) eventloop.Handler {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := newConn(d, raw, d.opened)
	d.opened++
	d.conns[c] = true
	raw.OnClosed = func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, c)
	}
	return c
}

// Value is the value that a disk server answers for a piece and a command's id: no two of them have the same.
func Value(piece, id string) []byte {
	const padding = "\r\n$" // what a reader that looks for ends of lines would stumble over
	return append(fmt.Appendf(nil, "%s for %s ", piece, id), bytes.Repeat([]byte(padding), 20)...)
}
