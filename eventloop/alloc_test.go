package eventloop

import (
	"testing"
	"time"
)

// echo sends back what comes; back is told of what comes to the end that dialled.
type echo struct{ back func(*Conn) }

func (e *echo) Opened(*Conn)        {}
func (e *echo) Closed(*Conn, error) {}
func (e *echo) Input(c *Conn, b []byte) int {
	if e.back != nil {
		e.back(c)
	} else {
		c.Out = append(c.Out, b...)
	}
	return len(b)
}

// TestHotPathAllocations holds the calls behind Syscalls to what they allocated when the loop made them itself.
func TestHotPathAllocations(t *testing.T) {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	server := &echo{}
	n, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return server })
	if err != nil {
		t.Fatal(err)
	}
	ended, came := make(chan error, 1), make(chan bool, 1)
	quiet := false
	client, err := l.Dial(n.Address(), &echo{back: func(c *Conn) { came <- quiet && c.NoInputPending() }})
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- l.Run() }()
	send := func() {
		client.Out = append(client.Out, "ping"...)
		client.Send()
	}
	trip := func() {
		l.Post(send)
		select {
		case <-came:
		case <-time.After(10 * time.Second):
			t.Fatal("no echo")
		}
	}
	for range 10 {
		trip()
	}
	timer := testing.AllocsPerRun(100, func() { <-time.After(time.Nanosecond) })
	if got := testing.AllocsPerRun(40, trip) - timer; got > 1 { // the list of what is posted
		t.Errorf("a round trip allocates %v times", got)
	}
	quiet = true
	if got := testing.AllocsPerRun(40, trip) - timer; got > 2 { // and where the byte came from
		t.Errorf("a round trip with Quiet allocates %v times", got)
	}
	l.Post(l.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
