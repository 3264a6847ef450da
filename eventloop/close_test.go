package eventloop

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// countingHandler consumes all input and counts its bytes.
type countingHandler struct{ received int }

func (h *countingHandler) Opened(*Conn)        {}
func (h *countingHandler) Closed(*Conn, error) {}
func (h *countingHandler) Input(_ *Conn, b []byte) int {
	h.received += len(b)
	return len(b)
}

// TestCloseWithUnreadInput closes a connection while input arrives. The input must stay unread, and the peer must
// receive all output. A reset, which the kernel sends if a socket with unread input is closed, would discard output.
func TestCloseWithUnreadInput(t *testing.T) {
	closings := map[string]func(*Conn){
		"CloseGracefully": (*Conn).CloseGracefully,
		"CloseAfterFlush": func(c *Conn) { c.CloseAfterFlush(200 * time.Millisecond) },
	}
	for name, closeConn := range closings {
		for _, size := range []int{1, 4 << 20} { // 4 MiB: more than the socket buffers hold
			for _, peer := range []peerEnd{peerStaysOpen, peerHalfCloses, peerClosesAfterReading} {
				t.Run(fmt.Sprintf("%s/%d bytes/%s", name, size, peer), func(t *testing.T) {
					expectOutputArrives(t, closeConn, size, peer)
				})
			}
		}
	}
}

// peerEnd is the behaviour of the peer while the tested connection closes.
type peerEnd string

const (
	peerStaysOpen          peerEnd = "peer stays open"
	peerHalfCloses         peerEnd = "peer half-closes first"
	peerClosesAfterReading peerEnd = "peer closes after reading"
)

// expectOutputArrives closes a connection while input arrives. The output must arrive, and the input must stay unread.
func expectOutputArrives(t *testing.T, closeConn func(*Conn), size int, end peerEnd) {
	t.Helper()
	handler := &countingHandler{}
	loop, c, peer := connect(t, handler)
	sent := bytes.Repeat([]byte("v"), size)
	closed, crossed := make(chan bool), make(chan bool)
	var reads int64
	loop.Post(func() { // the loop reads nothing before this function returns
		c.OnClosed = func() {
			reads = loop.Stats.BytesIn.Load()
			close(closed)
		}
		c.Output = append(c.Output, sent...)
		if err := sendCrossingInput(peer, end); err != nil {
			t.Error(err)
		}
		for c.NoInputPending() {
		}
		closeConn(c)
		close(crossed)
	})
	<-crossed
	time.Sleep(50 * time.Millisecond) // lets the input and the half-close arrive before the output is read
	got, err := io.ReadAll(peer)
	if !bytes.Equal(got, sent) || err != nil {
		t.Errorf("peer received %d of %d bytes, error %v", len(got), len(sent), err)
	}
	if end == peerClosesAfterReading {
		_ = peer.Close() // the cleanup function closes it again, without effect
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is not closed within 5 s")
	}
	if reads > 0 || handler.received > 0 {
		t.Errorf("%d bytes of input were read, want 0", reads)
	}
}

// sendCrossingInput sends input that the connection will not read, and shuts down sending if the peer half-closes.
func sendCrossingInput(peer *net.TCPConn, end peerEnd) error {
	if _, err := peer.Write([]byte("crosses")); err != nil {
		return err
	}
	if end != peerHalfCloses {
		return nil
	}
	return peer.CloseWrite()
}

// connect returns a loop that runs until the test ends, a connection that it has accepted, and the peer's connection.
func connect(t *testing.T, handler Handler) (*Loop, *Conn, *net.TCPConn) {
	t.Helper()
	loop, err := New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *Conn, 1)
	listener, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler { conns <- c; return handler })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	peer, err := net.Dial("tcp", listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() }) // a test may have closed it already
	return loop, <-conns, peer.(*net.TCPConn)
}
