package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"honeyplank/resp"
)

// clientLimits are the limits of a reply to a client.
var clientLimits = resp.Limits{Line: 4096, BulkString: 64 << 10, Items: 8, Depth: 3, Total: 80 << 10}

// client is a connection of a client to the scheduler.
type client struct {
	lab     *lab
	conn    net.Conn
	replies chan reply
	ended   chan error // has the error of the connection when it has ended; io.EOF for a normal end
}

// reply is a reply to a client.
type reply struct {
	value resp.Value
	at    time.Time
}

// text returns the beginning of the reply for the record.
func (r *reply) text() string {
	if r == nil {
		return "no reply"
	}
	return fmt.Sprintf("%c%.40s", r.value.Kind, r.value.Text)
}

// dialClient connects to the scheduler.
func dialClient(l *lab, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, conn: conn, replies: make(chan reply, 1024), ended: make(chan error, 1)}
	go c.read()
	return c, nil
}

// read reads replies until the connection ends.
func (c *client) read() {
	reader := resp.Reader{Limits: clientLimits}
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.conn.Read(buffer)
		at := time.Now()
		for used := 0; used < n; {
			frame, err := reader.Next(buffer[used:n])
			if err != nil {
				c.ended <- err
				return
			}
			if used += frame.Used; frame.Complete {
				c.replies <- reply{frame.Value, at}
			}
		}
		if errors.Is(err, io.EOF) && !reader.Idle() {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			c.ended <- err
			return
		}
	}
}

// send writes a command and returns the time at which its last byte was written.
func (c *client) send(args ...[]byte) time.Time {
	_, _ = c.conn.Write(resp.AppendCommand(nil, args...)) // a broken connection gives no reply
	return time.Now()
}

// request is a request of a client.
type request struct {
	class, plan, id string
	timeout         time.Duration
	volume, piece   int
	units, shard    int
	hosts           int
	body            []byte // for a write
}

// args returns the words of the request.
func (r *request) args() [][]byte {
	list := fmt.Appendf(nil, "c=%s,t=%s,d=%d,volume=%016x,units=%d,shard=%d,hosts=%d", r.class, r.plan,
		r.timeout.Milliseconds(), r.volume, r.units, r.shard, r.hosts)
	key := fmt.Appendf(nil, "%016x", r.piece)
	if r.body != nil {
		return [][]byte{[]byte("BLK.WRITE"), key, []byte(r.id), list, r.body}
	}
	return [][]byte{[]byte("BLK.READ"), key, []byte(r.id), list}
}

// ask sends a request and returns the time at which its last byte was written.
func (c *client) ask(r *request) time.Time {
	at := c.send(r.args()...)
	c.lab.noteAt(at, "client: %s %s c=%s t=%s d=%d units=%d shard=%d", r.args()[0], r.id, r.class, r.plan,
		r.timeout.Milliseconds(), r.units, r.shard)
	return at
}

// next returns the next reply, or nil if none comes within the timeout or the connection ends.
func (c *client) next(timeout time.Duration) *reply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-c.replies:
		return &r
	case <-timer.C:
		return nil
	}
}

// close closes the connection and returns the time of the close.
func (c *client) close() time.Time {
	at := time.Now()
	_ = c.conn.Close()
	return at
}
