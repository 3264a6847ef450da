package overload

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"honeyplank/resp"
)

// Abuse is a way in which clients burden a scheduler.
type Abuse struct {
	Name string
	play func(*abuser) error // plays one connection, until it ends or the time is over
	// unread keeps the receive buffer of the clients small, so that what they don't read stays at the scheduler.
	unread bool
}

const (
	maxValueBytes  = 64 << 10 // of a value or a body
	batchCommands  = 64       // commands that a client writes at once
	reconnectPause = 20 * time.Millisecond
	slowInterval   = 50 * time.Millisecond // between two bytes of a client that writes slowly
	leaveCommands  = 300                   // commands that a client sends before it leaves
	smallBuffer    = 4096
	floodBuffer    = 64 << 10 // bytes that the kernel buffers of a flood
)

// Abuses are all ways, in the order of the pictures that operators have reported.
var Abuses = []Abuse{
	{Name: "new names", play: (*abuser).floodNewNames},
	{Name: "new objects", play: (*abuser).floodNewObjects},
	{Name: "new cells", play: (*abuser).floodNewCells},
	{Name: "unsound requests", play: (*abuser).floodUnsound},
	{Name: "no ops", play: (*abuser).floodNoOps},
	{Name: "protocol errors", play: (*abuser).floodProtocolErrors},
	{Name: "again when rejected", play: (*abuser).sendAgain},
	{Name: "large writes", play: (*abuser).floodWrites},
	{Name: "unread replies", play: (*abuser).floodUnread, unread: true},
	{Name: "unread errors", play: (*abuser).floodUnsoundUnread, unread: true},
	{Name: "slow writers", play: (*abuser).writeSlowly},
	{Name: "half a request", play: (*abuser).stopHalfWay},
	{Name: "short fields", play: (*abuser).sendShortFields},
	{Name: "leaves unread", play: (*abuser).leave},
}

// abuser is one connection of an abusive client.
type abuser struct {
	conn    net.Conn
	rng     *rand.Rand
	number  int
	servers int
	end     time.Time
	serial  *atomic.Int64 // of names, over all abusers
	left    func(id string, at time.Time)
	sent    *atomic.Int64
}

// run plays an abusive client until end. It connects again whenever its connection ends.
func (x Abuse) run(address string, a abuser) {
	for time.Now().Before(a.end) {
		dialer := net.Dialer{Timeout: time.Second, Control: x.limitBuffer}
		conn, err := dialer.Dial("tcp", address)
		if err == nil {
			a.conn = conn
			if conn.SetDeadline(a.end) == nil {
				_ = x.play(&a) // the scheduler may end the connection at any time
			}
			_ = conn.Close() // it may have ended
		}
		time.Sleep(reconnectPause)
	}
}

// limitBuffer makes the receive buffer of a new socket small, if the client does not read.
func (x Abuse) limitBuffer(_, _ string, raw syscall.RawConn) error {
	if !x.unread {
		return nil
	}
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) // else more is sent
	})
}

// read is a read or a write of a client.
type read struct {
	class, plan, id     string
	volume, cell, piece int
	timeout             time.Duration
	body                []byte // of a write
}

// encode returns the command.
func (r read) encode() []byte {
	options := fmt.Appendf(nil, "c=%s,t=%s,d=%d,volume=%016x,units=2,shard=%d,hosts=1", r.class, r.plan,
		r.timeout.Milliseconds(), r.volume, r.cell)
	piece := fmt.Appendf(nil, "%016x", r.piece)
	if r.body != nil {
		return resp.AppendCommand(nil, []byte("BLK.WRITE"), piece, []byte(r.id), options, r.body)
	}
	return resp.AppendCommand(nil, []byte("BLK.READ"), piece, []byte(r.id), options)
}

// next returns a read of a new volume, piece and id.
func (a *abuser) next() read {
	n := int(a.serial.Add(1))
	a.sent.Add(1)
	return read{class: "bulk-read", plan: "basic", id: fmt.Sprintf("abuse-%d", n), volume: 1000 + n, piece: n,
		cell: n % a.servers, timeout: bulkTimeout}
}

// flood sends batches of commands at full speed and discards the replies.
func (a *abuser) flood(command func() []byte) error {
	go a.discardReplies()
	return a.floodWithoutReading(command)
}

func (a *abuser) floodWithoutReading(command func() []byte) error {
	a.limitSendBuffer()
	var batch []byte
	for time.Now().Before(a.end) {
		batch = batch[:0]
		for range batchCommands {
			batch = append(batch, command()...)
		}
		if _, err := a.conn.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// limitSendBuffer keeps the kernel from taking megabytes of a flood at its start, which would burden the machine and
// not the scheduler.
func (a *abuser) limitSendBuffer() {
	if conn, ok := a.conn.(*net.TCPConn); ok {
		_ = conn.SetWriteBuffer(floodBuffer) // else more is buffered
	}
}

// discardReplies reads until the connection ends.
func (a *abuser) discardReplies() {
	for b := make([]byte, maxValueBytes); ; {
		if _, err := a.conn.Read(b); err != nil {
			return
		}
	}
}

func (a *abuser) floodNewNames() error { return a.flood(func() []byte { return a.next().encode() }) }

func (a *abuser) floodNewObjects() error {
	return a.flood(func() []byte {
		r := a.next()
		r.cell = -1
		return r.encode()
	})
}

func (a *abuser) floodNewCells() error {
	return a.flood(func() []byte {
		r := a.next()
		r.cell = r.piece
		return r.encode()
	})
}

// unsound returns a command that is no valid op.
func (a *abuser) unsound() []byte {
	r := a.next()
	switch a.rng.Intn(4) {
	case 0:
		r.class = "nothing-" + strconv.Itoa(r.piece)
	case 1:
		r.plan = "none"
	case 2:
		r.timeout = -time.Second
	default:
		r.id = ""
	}
	return r.encode()
}

func (a *abuser) floodUnsound() error { return a.flood(a.unsound) }

func (a *abuser) floodUnsoundUnread() error { return a.floodWithoutReading(a.unsound) }

func (a *abuser) floodNoOps() error {
	return a.flood(func() []byte {
		a.sent.Add(1)
		return resp.AppendCommand(nil, []byte("PING"))
	})
}

func (a *abuser) floodProtocolErrors() error {
	return a.flood(func() []byte {
		a.sent.Add(1)
		return []byte("$1000000\r\n\x00\x01")
	})
}

// floodWrites sends writes with large bodies.
func (a *abuser) floodWrites() error {
	body := bytes.Repeat([]byte("w"), maxValueBytes)
	go a.discardReplies()
	a.limitSendBuffer()
	for time.Now().Before(a.end) {
		r := a.next()
		r.class, r.timeout, r.body = "write", writeTimeout, body
		if _, err := a.conn.Write(r.encode()); err != nil {
			return err
		}
	}
	return nil
}

// floodUnread sends reads and no longer reads the replies.
func (a *abuser) floodUnread() error {
	return a.floodWithoutReading(func() []byte { return a.next().encode() })
}

// sendAgain sends hundreds of reads at once, and another one whenever one is rejected.
func (a *abuser) sendAgain() error {
	var batch []byte
	for range leaveCommands {
		batch = append(batch, a.next().encode()...)
	}
	if _, err := a.conn.Write(batch); err != nil {
		return err
	}
	replies := resp.Reader{
		Limits: resp.Limits{Line: 512, BulkString: maxValueBytes, Items: 1, Depth: 1, Total: 2 * maxValueBytes},
	}
	for b := make([]byte, maxValueBytes); ; {
		n, err := a.conn.Read(b)
		if err != nil {
			return err
		}
		again, err := a.rejections(&replies, b[:n])
		if err != nil {
			return err
		}
		if _, err := a.conn.Write(again); err != nil {
			return err
		}
	}
}

// rejections returns a new read for each reply in b that is a rejection.
func (a *abuser) rejections(replies *resp.Reader, b []byte) (again []byte, err error) {
	for len(b) > 0 {
		frame, err := replies.Next(b)
		if err != nil {
			return nil, err
		}
		b = b[frame.Used:]
		if frame.Complete && frame.Value.Kind == resp.Error {
			again = append(again, a.next().encode()...)
		}
	}
	return again, nil
}

// writeSlowly sends a large write in many small pieces.
func (a *abuser) writeSlowly() error {
	r := a.next()
	r.class, r.timeout, r.body = "write", writeTimeout, bytes.Repeat([]byte("s"), maxValueBytes)
	go a.discardReplies()
	for command := r.encode(); len(command) > 0; time.Sleep(slowInterval) {
		n := min(1+a.rng.Intn(smallBuffer), len(command))
		if _, err := a.conn.Write(command[:n]); err != nil {
			return err
		}
		command = command[n:]
	}
	return nil
}

// stopHalfWay sends all but the end of a large write and stays.
func (a *abuser) stopHalfWay() error {
	r := a.next()
	r.class, r.timeout, r.body = "write", writeTimeout, bytes.Repeat([]byte("h"), maxValueBytes)
	command := r.encode()
	if _, err := a.conn.Write(command[:len(command)-1-a.rng.Intn(maxValueBytes/2)]); err != nil {
		return err
	}
	a.discardReplies()
	return nil
}

// sendShortFields sends the heads of arrays with very many short fields, or with as many as are accepted.
func (a *abuser) sendShortFields() error {
	go a.discardReplies()
	fields := 16
	if a.rng.Intn(2) == 0 {
		fields = 1 << 20
	}
	command := fmt.Appendf(nil, "*%d\r\n", fields)
	for range fields - 1 {
		command = append(command, "$0\r\n\r\n"...)
	}
	a.sent.Add(1)
	_, err := a.conn.Write(command)
	time.Sleep(slowInterval)
	return err
}

// leave sends hundreds of requests, closes the connection with nearly all of them unread, and sends some of them again
// on the next one.
func (a *abuser) leave() error {
	var ids []string
	var batch []byte
	body := bytes.Repeat([]byte("l"), 1+a.rng.Intn(smallBuffer))
	for range leaveCommands {
		r := a.next()
		r.class, r.timeout, r.body = "write", writeTimeout, body
		ids = append(ids, r.id)
		batch = append(batch, r.encode()...)
	}
	sent := make(chan error, 1)
	go func() {
		_, err := a.conn.Write(batch)
		sent <- err
	}()
	time.Sleep(time.Duration(a.rng.Int63n(int64(slowInterval))))
	err := a.conn.Close()
	at := time.Now()
	for _, id := range ids {
		a.left(id, at)
	}
	<-sent
	return err
}
