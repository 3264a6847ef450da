package scheduler

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// lateReplyServer is a disk server that sends extra bytes a moment after each answer. The delay counts from before the
// answer is written and is measured: on a busy machine the server itself may be delayed past reuseDelay, after which no
// scheduler can tell such bytes from an answer. It sends none then.
type lateReplyServer struct {
	address string

	mu          sync.Mutex
	extra       string // sent behind each answer; empty: nothing
	connections int    // that were ever opened
	inTime      int    // extra bytes written within reuseDelay
	overdue     int    // extra bytes whose write itself took until after reuseDelay
	reused      int    // commands on a connection on which extra bytes had come in time
}

// extraReplyDelay is how long after an answer the extra bytes are due; later than maxExtraReplyDelay they are not sent.
const (
	extraReplyDelay    = 2 * time.Millisecond
	maxExtraReplyDelay = reuseDelay / 2
)

// newLateReplyServer starts a server that ends with the test.
func newLateReplyServer(t *testing.T, extra string) *lateReplyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &lateReplyServer{address: listener.Addr().String(), extra: extra}
	t.Cleanup(func() { _ = listener.Close() }) // nothing can be done about it at the end of the test
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil { // the test has ended
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

// serve answers the commands of one connection until it breaks.
func (s *lateReplyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // it is broken or of no more use
	s.update(func() { s.connections++ })
	reader := resp.Reader{Limits: commandLimits}
	mustNotReuse := false // extra bytes have come in time: the connection must not be used any more
	for {
		command, err := nextCommand(conn, &reader)
		if err != nil {
			return
		}
		if mustNotReuse {
			s.update(func() { s.reused++ })
		}
		sent, err := s.answer(conn, command)
		if err != nil {
			return
		}
		mustNotReuse = mustNotReuse || sent
	}
}

// nextCommand reads one command, byte by byte, so that none of the next one is read.
func nextCommand(conn net.Conn, reader *resp.Reader) ([]resp.Value, error) {
	var b [1]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return nil, err
		}
		frame, err := reader.Next(b[:])
		if err != nil || frame.Complete {
			return frame.Value.List, err
		}
	}
}

// answer answers one command and sends the extra bytes. It reports whether these were written in time.
func (s *lateReplyServer) answer(conn net.Conn, command []resp.Value) (extraInTime bool, err error) {
	if string(command[0].Text) != "BLK.READ" {
		_, err := conn.Write(resp.AppendBulk(nil, nil))
		return false, err
	}
	value := fakeresp.Value(string(command[keyArg].Text), string(command[idArg].Text))
	start := time.Now()
	if _, err := conn.Write(resp.AppendBulk(resp.AppendArray(nil, 1), value)); err != nil {
		return false, err
	}
	var extra string
	s.update(func() { extra = s.extra })
	time.Sleep(extraReplyDelay)
	if extra == "" || time.Since(start) > maxExtraReplyDelay {
		return false, nil
	}
	if _, err := conn.Write([]byte(extra)); err != nil {
		return false, err
	}
	extraInTime = time.Since(start) < reuseDelay
	s.update(func() {
		if extraInTime {
			s.inTime++
		} else {
			s.overdue++
		}
	})
	return extraInTime, nil
}

// update calls f with the lock held.
func (s *lateReplyServer) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// checkReplies does ops until extra bytes were sent in time behind n of them, and one more. Each must get its own
// value; overdue extra bytes excuse one failure each. It returns the number of ops.
func (s *lateReplyServer) checkReplies(c *testClient, n int) (ops int) {
	c.t.Helper()
	inTime, tolerated := 0, 0
	for inTime < n {
		s.update(func() { inTime = s.inTime })
		id := fmt.Sprint("a", ops)
		if ops++; ops > 4*n {
			c.t.Fatalf("the machine is too busy: extra bytes came in time behind %d of %d answers", inTime, ops)
		}
		got := c.doRead(id, 390)
		if got == valueOf(id) {
			continue
		}
		time.Sleep(reuseDelay) // until the server has counted what it has just written
		overdue := 0
		if s.update(func() { overdue = s.overdue }); overdue <= tolerated {
			c.t.Fatalf("op %s: %q", id, got)
		}
		tolerated++
	}
	s.update(func() {
		if s.reused > 0 {
			c.t.Errorf("%d commands came on a connection behind extra bytes", s.reused)
		}
	})
	return ops
}
