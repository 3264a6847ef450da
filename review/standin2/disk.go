package main

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"honeyplank/resp"
)

// diskLimits are the limits of a command at a disk server.
var diskLimits = resp.Limits{Line: 64, BulkString: 64 << 10, Items: 8, Depth: 1, Total: 80 << 10, CommandsOnly: true}

// command is a read or write that has come at a disk server, up to its last byte.
type command struct {
	name, id string
	options  map[string]string
	at       time.Time
}

// disk is a disk server of the platform. It answers the commands of a connection in their order.
type disk struct {
	lab     *lab
	name    string
	address string
	cell    int
	work    time.Duration // time for each unit of a command
	silent  atomic.Bool   // it reads commands and answers none

	mu       sync.Mutex // guards the fields below
	opened   int
	commands []*command
}

// startDisk starts a disk server on a free loopback port.
func (l *lab) startDisk(name string, work time.Duration) (*disk, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	l.atEnd(func() { _ = listener.Close() })
	d := &disk{lab: l, name: name, address: listener.Addr().String(), work: work}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

// serve reads the commands of a connection and answers each after the time of its work.
func (d *disk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	d.mu.Lock()
	number := d.opened
	d.opened++
	d.mu.Unlock()
	reader := resp.Reader{Limits: diskLimits}
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			d.lab.note("%s: connection %d ends: %v", d.name, number, err)
			return
		}
		for used := 0; used < n; {
			frame, err := reader.Next(buffer[used:n])
			if err != nil {
				d.lab.note("%s: connection %d: what cannot be read: %v", d.name, number, err)
				return
			}
			used += frame.Used
			if frame.Complete && !d.answer(conn, number, frame.Value.List) {
				return
			}
		}
	}
}

// answer answers a command and reports whether the connection goes on.
func (d *disk) answer(conn net.Conn, number int, args []resp.Value) bool {
	name := string(args[0].Text)
	switch {
	case name == "PING":
		return d.write(conn, resp.AppendSimpleString(nil, "PONG"))
	case name == "INFO":
		return d.write(conn, resp.AppendBulk(nil, []byte("util=0.10,inflight=1")))
	case !strings.HasPrefix(name, "BLK.") || len(args) < 4:
		return d.write(conn, resp.AppendError(nil, "ERR unknown command"))
	}
	c := &command{name: name, id: string(args[2].Text), options: options(string(args[3].Text)), at: time.Now()}
	d.mu.Lock()
	d.commands = append(d.commands, c)
	d.mu.Unlock()
	d.lab.noteAt(c.at, "%s: connection %d: %s %s %s", d.name, number, name, c.id, args[3].Text)
	if d.silent.Load() {
		return true
	}
	units, _ := strconv.Atoi(c.options["units"])
	time.Sleep(d.work * time.Duration(units))
	value := resp.AppendBulk(resp.AppendArray(nil, 3), valueOf(c.id, c.options["c"]))
	return d.write(conn, resp.AppendNull(resp.AppendNull(value)))
}

// write writes an answer and reports whether that worked.
func (d *disk) write(conn net.Conn, answer []byte) bool {
	_, err := conn.Write(answer)
	return err == nil
}

// received returns the commands that have come so far.
func (d *disk) received() []*command {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*command(nil), d.commands...)
}

// valueOf returns the value that a disk server makes for a request. That of a bulk-export has 64 KiB.
func valueOf(id, class string) []byte {
	value := fmt.Appendf(nil, "value for %s ", id)
	if class == "bulk-export" {
		value = append(value, bytes.Repeat([]byte{'.'}, 64<<10-len(value))...)
	}
	return value
}

// options splits a list of names and values.
func options(text string) map[string]string {
	values := map[string]string{}
	for _, option := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(option, "=")
		values[name] = value
	}
	return values
}
