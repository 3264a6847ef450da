package overload

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"honeyplank/resp"
)

const (
	ordinaryClients  = 10
	ordinaryInterval = 100 * time.Millisecond // between two reads of a client
	// answerSlack is the time after the timeout of a read from which its answer counts as late.
	answerSlack = 500 * time.Millisecond
	// noAnswerTime is the time after which a read counts as unanswered.
	noAnswerTime = 5 * time.Second
	// maxConnects is the number of connections that a client opens for one read: the scheduler may close a connection
	// between requests, and among many clients a new connection unread.
	maxConnects = 3
)

// Tally has the results of the reads of ordinary clients.
type Tally struct {
	Served, Rejected, Failed int
	Late                     int // answered later than answerSlack after the timeout
	Unanswered               int
	Refused                  int             // not sent: no connection to the scheduler
	Times                    []time.Duration // of the answers, sorted
}

// Sent returns the number of reads.
func (t *Tally) Sent() int { return t.Served + t.Rejected + t.Failed + t.Unanswered + t.Refused }

// Quantile returns the time within which a share of the answers came.
func (t *Tally) Quantile(share float64) time.Duration {
	if len(t.Times) == 0 {
		return 0
	}
	return t.Times[min(int(share*float64(len(t.Times))), len(t.Times)-1)]
}

// ordinary are clients that send one read at a time and wait for its answer.
type ordinary struct {
	mu    sync.Mutex // guards tally
	tally Tally
}

// run plays one client until end.
func (o *ordinary) run(address string, number, servers int, rng *rand.Rand, end time.Time) {
	c := ordinaryClient{address: address}
	defer c.close()
	time.Sleep(time.Duration(rng.Int63n(int64(ordinaryInterval))))
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("ordinary-%d-%d", number, n)
		command := read{class: "read", plan: "priority", volume: number, cell: rng.Intn(servers), id: id, piece: n,
			timeout: readTimeout}
		reply, took, err := c.do(command.encode())
		o.record(reply, took, err)
		time.Sleep(ordinaryInterval)
	}
}

// record adds the result of a read.
func (o *ordinary) record(reply resp.Value, took time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var refused *net.OpError
	switch {
	case err != nil && errors.As(err, &refused) && refused.Op == "dial":
		o.tally.Refused++
		return
	case err != nil:
		o.tally.Unanswered++
		return
	case reply.Kind != resp.Error:
		o.tally.Served++
	case len(reply.Text) >= len("BUSY") && string(reply.Text[:len("BUSY")]) == "BUSY":
		o.tally.Rejected++
	default:
		o.tally.Failed++
	}
	o.tally.Times = append(o.tally.Times, took)
	if took > readTimeout+answerSlack {
		o.tally.Late++
	}
}

// result returns the tally once all clients have ended.
func (o *ordinary) result() Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.Sort(o.tally.Times)
	return o.tally
}

// ordinaryClient is the connection of an ordinary client.
type ordinaryClient struct {
	address string
	conn    net.Conn
	replies resp.Reader
}

// do sends a command and waits for its reply. It returns the time since the command was sent on the connection that
// brought the reply.
func (c *ordinaryClient) do(command []byte) (reply resp.Value, took time.Duration, err error) {
	for range maxConnects {
		isNew := c.conn == nil
		if isNew {
			if c.conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
				return reply, 0, err
			}
			limits := resp.Limits{Line: 512, BulkString: maxValueBytes, Items: 1, Depth: 1, Total: 2 * maxValueBytes}
			c.replies = resp.Reader{Limits: limits}
		}
		sent := time.Now()
		if _, err = c.conn.Write(command); err == nil {
			reply, err = c.awaitReply()
		}
		if err == nil {
			return reply, time.Since(sent), nil
		}
		wasShut := errors.Is(err, io.EOF) || isNew && errors.Is(err, syscall.ECONNRESET)
		mayRepeat := wasShut && c.replies.Idle()
		c.close()
		if !mayRepeat {
			return reply, 0, err
		}
	}
	return reply, 0, err
}

// awaitReply reads a reply.
func (c *ordinaryClient) awaitReply() (resp.Value, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(noAnswerTime)); err != nil {
		return resp.Value{}, err
	}
	for b := make([]byte, maxValueBytes); ; {
		n, err := c.conn.Read(b)
		if err != nil {
			return resp.Value{}, err
		}
		frame, err := c.replies.Next(b[:n])
		if err != nil || frame.Complete {
			return frame.Value, err
		}
	}
}

func (c *ordinaryClient) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the scheduler may have closed it
		c.conn = nil
	}
}
