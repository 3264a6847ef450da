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

// lateReplyServer is a disk server that sends extra bytes a moment after each answer. The delay counts from the time at
// which the server begins to write the answer. On a busy machine the server itself may be delayed beyond reuseDelay,
// after which a scheduler cannot distinguish such bytes from an answer. So a late server sends no extra bytes.
type lateReplyServer struct {
	address string

	mu          sync.Mutex
	extra       string // sent after each answer; nothing is sent if it is empty
	connections int    // total number of connections opened
	inTime      int    // number of answers with extra bytes written within reuseDelay
	overdue     int    // number of answers with extra bytes whose write ended after reuseDelay
	reused      int    // number of commands on a connection after extra bytes were written in time
}

// The extra bytes are sent extraReplyDelay after an answer, or not at all if more than maxExtraReplyDelay has passed.
const (
	extraReplyDelay    = 2 * time.Millisecond
	maxExtraReplyDelay = reuseDelay / 2
)

// newLateReplyServer starts a server that stops at the end of the test.
func newLateReplyServer(t *testing.T, extra string) *lateReplyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &lateReplyServer{address: listener.Addr().String(), extra: extra}
	t.Cleanup(func() { _ = listener.Close() }) // an error has no effect at the end of the test
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

// serve answers the commands of one connection until the connection fails.
func (s *lateReplyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the connection has failed or is no longer used
	s.update(func() { s.connections++ })
	reader := resp.Reader{Limits: commandLimits}
	mustNotReuse := false // extra bytes were sent in time, so the scheduler must not send another command
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

// nextCommand reads one command. It reads byte by byte, so as not to read a part of the next command.
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

// answer answers one command and sends the extra bytes. It reports whether the extra bytes were written in time.
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

// checkReplies sends ops until extra bytes were sent in time after n of the answers, and one more op. Each op must get
// its own value, but one failure is tolerated for each time that extra bytes were written too late. It returns the
// number of ops.
func (s *lateReplyServer) checkReplies(c *testClient, n int) (ops int) {
	c.t.Helper()
	inTime, tolerated := 0, 0
	for inTime < n {
		s.update(func() { inTime = s.inTime })
		id := fmt.Sprint("a", ops)
		if ops++; ops > 4*n {
			c.t.Fatalf("the machine is too busy: extra bytes were sent in time after %d of %d answers", inTime, ops)
		}
		got := c.doRead(id, 390)
		if got == valueOf(id) {
			continue
		}
		time.Sleep(reuseDelay) // the server counts the extra bytes that it has just written
		overdue := 0
		if s.update(func() { overdue = s.overdue }); overdue <= tolerated {
			c.t.Fatalf("reply to op %s is %q", id, got)
		}
		tolerated++
	}
	s.update(func() {
		if s.reused > 0 {
			c.t.Errorf("%d commands were sent on a connection after extra bytes", s.reused)
		}
	})
	return ops
}
