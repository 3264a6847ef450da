package eventloop

import (
	"testing"
	"time"
)

// echo sends its input back; if onInput is set, it calls onInput instead.
type echo struct{ onInput func(*Conn) }

func (e *echo) Opened(*Conn)        {}
func (e *echo) Closed(*Conn, error) {}
func (e *echo) Input(c *Conn, b []byte) int {
	if e.onInput != nil {
		e.onInput(c)
	} else {
		c.Output = append(c.Output, b...)
	}
	return len(b)
}

// TestHotPathAllocations guards against allocations caused by the interface Syscalls: a round trip must allocate no
// more than with direct system calls.
func TestHotPathAllocations(t *testing.T) {
	loop, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	server := &echo{}
	listener, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler { return server })
	if err != nil {
		t.Fatal(err)
	}
	ended, echoed := make(chan error, 1), make(chan bool, 1)
	peek := false
	client, err := loop.Dial(listener.Address(), &echo{onInput: func(c *Conn) { echoed <- peek && c.NoInputPending() }})
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- loop.Run() }()
	send := func() {
		client.Output = append(client.Output, "ping"...)
		client.Send()
	}
	roundTrip := func() {
		loop.Post(send)
		select {
		case <-echoed:
		case <-time.After(10 * time.Second):
			t.Fatal("no echo within 10 s")
		}
	}
	for range 10 {
		roundTrip()
	}
	timer := testing.AllocsPerRun(100, func() { <-time.After(time.Nanosecond) })
	if got := testing.AllocsPerRun(40, roundTrip) - timer; got > 1 { // 1: the list of posted functions
		t.Errorf("a round trip makes %v allocations, want at most 1", got)
	}
	peek = true
	if got := testing.AllocsPerRun(40, roundTrip) - timer; got > 2 { // 1 more: the address that recvfrom returns
		t.Errorf("a round trip with NoInputPending makes %v allocations, want at most 2", got)
	}
	loop.Post(loop.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
