// Package resp is a fake of the platform, for use in tests and benchmarks only. It has disk servers that speak the
// platform's RESP2 commands and inject faults, and the platform's discovery service. It does not depend on the
// scheduler and stores no data.
//
// The methods of Disk and Discovery may be called from any goroutine. A Disk runs an event loop on its own goroutine, a
// Discovery runs an HTTP server. Stop ends them.
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

// Faults are the faults that a disk server injects.
type Faults struct {
	// Delay is the time between a command and its answer.
	Delay time.Duration
	// Fail makes the server answer with an error that leaves open whether the command was executed. Busy makes it
	// answer with an error that guarantees that the command was not executed.
	Fail, Busy bool
	// Silent makes the server answer no read or write.
	Silent bool
	// ResetOnCommand makes the server reset the connection when it receives a read or a write.
	ResetOnCommand bool
	// HalfAnswer makes the server send half of an answer and close the connection. It applies to every answer that is
	// due while it is set, also to commands of other classes than Class.
	HalfAnswer bool
	// Malformed is sent in place of an answer. The connection stays open.
	Malformed string
	// TrailingData is sent immediately after an answer, LateData a short time later (lateDataDelay).
	TrailingData, LateData string
	// Value is the value in an answer. If it is empty, the result of the function Value is sent.
	Value string
	// LoadReport and Usage are sent in an answer, or null if they are empty.
	LoadReport, Usage string
	// Class, if set, limits the other faults to commands of this class.
	Class string
}

// Command is a command that has been received completely.
type Command struct {
	Name, Piece, ID, Attributes string
	Body                        []byte
	At                          time.Time
	Conn                        int // number of the connection on which it was received, from 0
}

// Disk is a fake disk server.
type Disk struct {
	loop    *eventloop.Loop
	address string

	mu       sync.Mutex // guards the fields below
	faults   Faults
	commands []Command
	observer func(Command)  // gets the commands in place of commands; nil: none
	opened   int            // number of connections ever opened
	conns    map[*conn]bool // open connections
}

// NewDisk starts a disk server on a loopback address; port 0 selects a free port.
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
		_ = l.Run() // until Stop; if it fails, connections of the clients fail too
	}()
	return d, nil
}

// Address returns the address on which the server listens.
func (d *Disk) Address() string { return d.address }

// SetFaults sets the faults that apply to commands received from now on.
func (d *Disk) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

func (d *Disk) currentFaults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// Commands returns all reads and writes received, in order of arrival.
func (d *Disk) Commands() []Command {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.commands)
}

// SetObserver makes the server call observe with each read and write, in place of recording it for Commands.
func (d *Disk) SetObserver(observe func(Command)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = observe
}

func (d *Disk) record(command Command) {
	d.mu.Lock()
	observe := d.observer
	if observe == nil {
		d.commands = append(d.commands, command)
	}
	d.mu.Unlock()
	if observe != nil {
		observe(command)
	}
}

// Connections returns the number of open connections and the number of connections ever opened.
func (d *Disk) Connections() (open, opened int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns), d.opened
}

// Stop ends the server as if its process had been killed: connections break and new ones are refused.
func (d *Disk) Stop() { d.loop.Post(d.loop.Stop) }

// CloseConnections closes all connections gracefully, as a disk server closes idle ones.
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

// Value returns the value that a disk server answers for a piece and a command ID. Different pairs have different
// values.
func Value(piece, id string) []byte {
	const padding = "\r\n$" // exposes a reader that searches for line ends within a value
	return append(fmt.Appendf(nil, "%s for %s ", piece, id), bytes.Repeat([]byte(padding), 20)...)
}
