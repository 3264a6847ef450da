package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// accepted is a handler that uses what comes and counts it.
type accepted struct{ read int }

func (a *accepted) Opened(*Conn)        {}
func (a *accepted) Closed(*Conn, error) {}
func (a *accepted) Input(_ *Conn, b []byte) int {
	a.read += len(b)
	return len(b)
}

// TestEndsUnread: what crosses the end of a connection is not read, and a close over it takes nothing of what was sent
// before from the other end, whatever that does in the meantime.
func TestEndsUnread(t *testing.T) {
	ends := map[string]func(*Conn){
		"finish": (*Conn).CloseGracefully,
		"drop":   func(c *Conn) { c.CloseAfterFlush(200 * time.Millisecond) },
	}
	for name, end := range ends {
		for _, size := range []int{1, 4 << 20} { // 4 MB: more than the system holds on their way
			for _, closes := range []string{"", "half", "after"} {
				t.Run(name+" "+closes, func(t *testing.T) {
					l, err := New(time.Second)
					if err != nil {
						t.Fatal(err)
					}
					conns := make(chan *Conn, 1)
					h := &accepted{}
					listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler { conns <- c; return h })
					if err != nil {
						t.Fatal(err)
					}
					done := make(chan error, 1)
					go func() { done <- l.Run() }()
					defer func() { l.Post(l.Stop); <-done }()
					x, err := net.Dial("tcp", listener.Address())
					if err != nil {
						t.Fatal(err)
					}
					defer x.Close()
					c := <-conns
					sent := bytes.Repeat([]byte("v"), size)
					gone, crossed := make(chan bool), make(chan bool)
					var reads int64
					l.Post(func() { // nothing is read before this ends
						c.OnClosed = func() {
							reads = l.Stats.BytesIn.Load()
							close(gone)
						}
						c.Out = append(c.Out, sent...)
						x.Write([]byte("crosses"))
						if closes == "half" {
							x.(*net.TCPConn).CloseWrite()
						}
						for c.NoInputPending() {
						}
						end(c)
						close(crossed)
					})
					<-crossed
					time.Sleep(50 * time.Millisecond) // its end has come; what is read now has been sent on slowly
					got, err := io.ReadAll(x)
					if !bytes.Equal(got, sent) || err != nil {
						t.Errorf("%d bytes of %d, %v", len(got), len(sent), err)
					}
					if closes == "after" {
						x.Close()
					}
					select {
					case <-gone:
					case <-time.After(5 * time.Second):
						t.Fatal("it does not close")
					}
					if reads > 0 || h.read > 0 {
						t.Errorf("%d bytes have been read", reads)
					}
				})
			}
		}
	}
}
