// Package resp stands in for the operators' platform: disk servers that speak its RESP2 commands, with faults, and
// its discovery. It knows nothing of the gateway.
package resp

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

// Faults are what a disk server does instead of, or beside, serving.
type Faults struct {
	Delay          time.Duration // before each answer
	Fail           bool          // -ERR failed
	Busy           bool          // -BUSY
	Silent         bool          // nothing comes back
	ResetOnCommand bool          // the connection breaks once a command has come
	HalfAnswer     bool          // so it does within an answer
	Malformed      string        // bytes that come instead of an answer; the connection stays open
	TrailingData   string        // bytes that come right behind an answer
	LateData       string        // bytes that come a moment later
	Value          string        // the value, instead of one of its own
	LoadReport     string        // the load report; none: null
	Usage          string        // the figures on use; none: null
	Class          string        // only commands of this class meet the faults; none: all do
}

// Command is one that has come whole.
type Command struct {
	Name, Piece, ID, Attributes string
	Body                        []byte
	At                          time.Time
	Conn                        int // number of the connection it came on
}

// Disk is one disk server on a loop of its own.
type Disk struct {
	loop     *eventloop.Loop
	listener *eventloop.Listener
	address  string

	mu     sync.Mutex
	faults Faults
	got    []Command
	opened int
	conns  map[*conn]bool
}

type conn struct {
	d    *Disk
	n    int
	c    *eventloop.Conn
	in   resp.Reader
	due  [][]byte // answers in the order of commands; nil: not ready
	base int      // number of the first of due
	next int
}

// NewDisk starts a disk server at an address of loopback, port 0 for any.
func NewDisk(address string) (*Disk, error) {
	l, err := eventloop.New(time.Minute)
	if err != nil {
		return nil, err
	}
	d := &Disk{loop: l, conns: map[*conn]bool{}}
	if d.listener, err = l.Listen(address, d.accept); err != nil {
		l.Stop()
		l.Run()
		return nil, err
	}
	d.address = d.listener.Address()
	go l.Run()
	return d, nil
}

// Address is where it listens.
func (d *Disk) Address() string { return d.address }

// SetFaults changes the faults.
func (d *Disk) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Commands is every BLK command that has come, in order.
func (d *Disk) Commands() []Command {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Command(nil), d.got...)
}

// Connections is how many stand, and how many ever stood.
func (d *Disk) Connections() (now, ever int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns), d.opened
}

// Stop is the death of the process: connections break, new ones are refused.
func (d *Disk) Stop() { d.loop.Post(d.loop.Stop) }

// CloseConnections closes all connections in order, as a disk server does with idle ones.
func (d *Disk) CloseConnections() { d.each((*eventloop.Conn).CloseGracefully) }

// ResetConnections resets all connections.
func (d *Disk) ResetConnections() { d.each((*eventloop.Conn).Abort) }

func (d *Disk) each(end func(*eventloop.Conn)) {
	d.loop.Post(func() {
		d.mu.Lock()
		var all []*conn
		for c := range d.conns {
			all = append(all, c)
		}
		d.mu.Unlock()
		for _, c := range all {
			end(c.c)
		}
	})
}

func (d *Disk) accept(raw *eventloop.Conn) eventloop.Handler {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &conn{d: d, n: d.opened, c: raw, in: resp.Reader{Limits: resp.Limits{Line: 64, Bulk: 64 << 10, Items: 8, Depth: 1, Total: 80 << 10, CommandsOnly: true}}}
	d.opened++
	d.conns[c] = true
	raw.OnClosed = func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, c)
	}
	return c
}

func (c *conn) Opened(*eventloop.Conn)        {}
func (c *conn) Closed(*eventloop.Conn, error) {}

func (c *conn) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		frame, err := c.in.Next(b[used:])
		used += frame.Used
		if err != nil {
			c.c.Close()
			return len(b)
		}
		if frame.Complete && !c.command(frame.Value.List) {
			return len(b)
		}
	}
	return used
}

// command answers one command; false: the connection is over.
func (c *conn) command(list []resp.Value) bool {
	var args [5]string
	for i := range min(len(list), len(args)) {
		args[i] = string(list[i].Text)
	}
	n := c.next
	c.next++
	c.due = append(c.due, nil)
	f := c.d.now()
	if f.Class != "" && !strings.HasPrefix(args[3], "c="+f.Class+",") {
		f = Faults{}
	}
	if strings.HasPrefix(args[0], "BLK.") {
		c.d.mu.Lock()
		c.d.got = append(c.d.got, Command{args[0], args[1], args[2], args[3], []byte(args[4]), time.Now(), c.n})
		c.d.mu.Unlock()
		switch {
		case f.ResetOnCommand:
			c.c.Reset()
			return false
		case f.Silent:
			return true
		}
	}
	c.c.Loop().Schedule(c.c.Loop().Now()+f.Delay, func() { c.ready(n, c.answer(f, args)) })
	return true
}

func (d *Disk) now() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

func (c *conn) answer(f Faults, args [5]string) (out []byte) {
	switch args[0] {
	case "BLK.READ", "BLK.WRITE":
		switch {
		case f.Fail:
			return resp.AppendError(nil, "ERR failed")
		case f.Busy:
			return resp.AppendError(nil, "BUSY")
		case f.Malformed != "":
			return []byte(f.Malformed)
		}
		value := []byte(f.Value)
		if f.Value == "" {
			value = Value(args[1], args[2])
		}
		out = resp.AppendBulk(resp.AppendArray(nil, 3), value)
		for _, text := range []string{f.Usage, f.LoadReport} {
			if text == "" {
				out = resp.AppendNull(out)
			} else {
				out = resp.AppendBulk(out, []byte(text))
			}
		}
		if f.LateData != "" {
			c.c.Loop().Schedule(c.c.Loop().Now()+2*time.Millisecond, func() {
				c.c.Output = append(c.c.Output, f.LateData...)
				c.c.Send()
			})
		}
		return append(out, f.TrailingData...)
	case "PING":
		return resp.AppendSimple(nil, "PONG")
	case "INFO":
		return resp.AppendBulk(nil, []byte(f.LoadReport))
	case "CLIENT", "SELECT":
		return resp.AppendSimple(nil, "OK")
	}
	return resp.AppendError(nil, "ERR unknown command")
}

// Value is what a disk server gives for a piece on behalf of a request: no other request has the same.
func Value(piece, id string) []byte {
	return append(fmt.Appendf(nil, "%s for %s ", piece, id), bytes.Repeat([]byte("\r\n$"), 20)...)
}

// ready sends what is ready, in the order of commands.
func (c *conn) ready(n int, answer []byte) {
	if c.d.now().HalfAnswer {
		c.c.Output = append(c.c.Output, answer[:len(answer)/2]...)
		c.c.CloseGracefully()
		return
	}
	c.due[n-c.base] = answer
	for len(c.due) > 0 && c.due[0] != nil {
		c.c.Output = append(c.c.Output, c.due[0]...)
		c.due = c.due[1:]
		c.base++
	}
	c.c.Send()
}
