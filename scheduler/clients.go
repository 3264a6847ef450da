package scheduler

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/internal/simwire"
	"honeyplank/resp"
)

// Bounds of what a client may have a scheduler keep. Waits and sizes here are about connections, not about ops.
const (
	mostBody    = 64 << 10
	mostPending = 32                     // commands of one connection without an answer; more wait unread
	mostOwed    = mostPending * mostBody // bytes of answers, due and not read by the client; with more it is not read
	patience    = 2 * time.Second        // for a first command, and for the rest of one
	longIdle    = time.Minute            // idle connections stand for so long while there are few,
	spare       = 2 * time.Second        // for so long past an eighth of the descriptors,
	shortIdle   = 500 * time.Millisecond // and for so long past a quarter: clients get no more than a third
	readTime    = 200 * time.Millisecond // to read an error before the connection closes
	unusualWait = 100                    // times the op timeout of the settings: no client is waited for any longer
	mostAtOnce  = 64                     // commands of one connection that are taken in a row and are no ops
	firstRead   = 16 << 10               // bytes read at a time from a connection that has not brought an op
	timesSlower = 4                      // clients that bring no ops together have one part of the loop's time in so many
	leastSlow   = 2 * time.Millisecond   // shorter waits are added up
	mostSlow    = time.Second
	mostLooks   = 8 // connections looked at for one that may be closed
)

var commandBounds = resp.Bounds{Line: 64, Bulk: mostBody, Items: 16, Depth: 1, Total: mostBody + 4096, Command: true}

// client is one connection from clients.
type client struct {
	s      *Scheduler
	conn   *eventloop.Conn
	in     resp.Reader
	due    []*request    // commands without an answer sent, in order
	heard  time.Duration // when a command or an answer last ended
	began  time.Duration // when the command under way began; 0: none is
	spoke  bool          // it has brought an op
	paused bool
	slowed bool          // it is not read for a while
	spent  time.Duration // of the loop, without an op
	over   bool          // nothing more is taken from it
	quit   bool          // it has asked for its end
}

// request is a command that is owed an answer.
type request struct {
	c     *client
	id    honeyplank.OpID
	args  [][]byte
	terms string // the list of names and values, and where in it the value of d lies
	from  int
	to    int
	reply []byte
	done  bool
}

func (s *Scheduler) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clientFiles >= s.share(ofClients) && !s.evict() {
		s.turnedAway++
		return nil
	}
	s.clientFiles++
	now := s.loop.Now()
	c := &client{s: s, conn: conn, in: resp.Reader{Bounds: commandBounds}, heard: now}
	conn.NotifyHalfClose, conn.MaxRead = true, firstRead
	conn.OnClosed = func() {
		s.clientFiles--
		if c.spoke {
			s.spoken--
		}
		delete(s.clients, c)
		s.check()
	}
	s.clients[c] = true
	return c
}

// idles is how long a connection may stand idle: clients that never come back must leave room for those that do.
// Ones that never brought an op don't count, so that a crowd of those costs nobody else a connection.
func (s *Scheduler) idles() time.Duration {
	switch {
	case s.spoken > s.papers.Sockets/4:
		return shortIdle
	case s.spoken > s.papers.Sockets/8:
		return spare
	}
	return longIdle
}

// evict closes the connection that has been of no use for longest: one that never brought an op, else one that
// has been idle for some time. It tells whether there was one. One on which something has come that is not read yet
// is left where another will do: closing over that resets the connection, takes an answer from the client that it
// has not read, and may meet a first op. A crowd whose bytes are all unread still gives way.
func (s *Scheduler) evict() bool {
	var unread *client
	for range mostLooks {
		var worst *client
		for c := range s.clients {
			if c.busy() || c.over || c.spoke && (s.ending || s.loop.Now()-c.heard < shortIdle) {
				continue
			}
			if worst == nil || worst.spoke && !c.spoke || worst.spoke == c.spoke && c.heard < worst.heard {
				worst = c
			}
		}
		switch {
		case worst == nil:
			return false
		case worst.conn.Quiet():
			worst.conn.Close()
			return true
		case unread == nil && !worst.spoke:
			unread = worst
		}
		worst.heard = s.loop.Now()
	}
	if unread != nil {
		unread.conn.Close()
	}
	return unread != nil
}

// busy tells that something is owed on a connection: an answer, or to a client that has brought ops the rest of one, or
// the wait for the rest of a command. To others it is not: a crowd that asks for PONGs and reads none would hold all room.
func (c *client) busy() bool {
	return len(c.due) > 0 || c.spoke && (c.conn.UnsentBytes() > 0 || c.began > 0)
}

// owed is how many bytes of answers a client may yet have to read, at most.
func (c *client) owed() int { return c.conn.UnsentBytes() + len(c.due)*mostBody }

func (c *client) Opened(*eventloop.Conn) {}

func (c *client) Input(_ *eventloop.Conn, b []byte) (used int) {
	now, taken, commands := c.s.loop.Now(), c.s.book.Counts.Admitted, 0
	for used < len(b) && !c.over {
		if commands >= mostAtOnce && c.s.book.Counts.Admitted == taken && !c.s.shut {
			break
		}
		if c.owed() >= mostOwed && !c.s.shut {
			c.paused = true
			c.conn.Pause()
			break
		}
		n, v, whole, err := c.in.Next(b[used:])
		used += n
		if err != nil {
			c.breach(err)
			return len(b)
		}
		if !whole {
			if c.began == 0 {
				c.began = now
			}
			break
		}
		c.began, c.heard = 0, now
		c.command(min(c.conn.ReceivedAfter(), now), v.List)
		commands++
	}
	switch {
	case c.s.book.Counts.Admitted > taken:
		c.spent = 0
	case !c.over && !c.s.shut:
		c.spent += c.s.loop.Now() - now
		c.slow(commands > 0, used < len(b))
	}
	if c.s.shut {
		c.conn.Pause()
		c.flush()
	}
	if c.over {
		return len(b)
	}
	return used
}

// slow has a client that took up time of the loop and brought no op be read again only after a multiple of that, so that
// all such clients together leave most of the time to others. It guards requests against floods, and could harm a client
// whose first request comes behind many commands, by some milliseconds for each other such client there is.
func (c *client) slow(whole, more bool) {
	wait := c.spent * timesSlower * time.Duration(c.s.slowed+1)
	if !whole || !more && wait < leastSlow { // a part of a command may be one of a request
		return
	}
	c.paused, c.slowed, c.spent = true, true, 0
	c.s.slowed++
	c.conn.Pause()
	c.s.loop.Schedule(c.s.loop.Now()+min(wait, mostSlow), func() {
		c.slowed = false
		c.s.slowed--
		c.resume()
	})
}

// Closed is told that the client has gone.
func (c *client) Closed(*eventloop.Conn, error) { c.leave() }

// leave ends what is owed to a client.
func (c *client) leave() {
	c.over = true
	due := c.due
	c.due = nil
	for _, r := range due {
		if !r.done {
			r.done = true
			c.s.book.ClientGone(r.id)
		}
	}
}

// breach answers what can't be read: nothing behind it can be either.
func (c *client) breach(err error) {
	c.s.breaches++
	text := "ERR Protocol error"
	var b *resp.Breach
	if errors.As(err, &b) {
		text += ": " + b.What
	}
	if len(c.due) > 0 { // what was asked before is still answered, in order
		c.over = true
		c.conn.Pause()
		c.due = append(c.due, &request{c: c, done: true, reply: resp.AppendError(nil, text)})
		return
	}
	c.over = true
	c.conn.Out = resp.AppendError(c.conn.Out, text)
	c.conn.CloseAfterFlush(readTime)
}

// command takes one command up that came at a time, or answers it.
func (c *client) command(came time.Duration, list []resp.Value) {
	args := make([][]byte, len(list))
	for i, v := range list {
		args[i] = v.Text
	}
	r := &request{c: c, args: args}
	c.due = append(c.due, r)
	if c.s.shut { // it was read before the scheduler took no more
		r.reply, r.done = resp.AppendError(nil, "BUSY"), true
		return
	}
	switch name := string(bytes.ToUpper(args[0])); {
	case string(args[0]) == "BLK.READ" || string(args[0]) == "BLK.WRITE":
		op, err := r.op(came)
		if err == nil && !c.s.book.Admit(op, r) {
			err = errors.New("the id is that of an open request")
		}
		if err == nil && !c.spoke {
			c.spoke, c.conn.MaxRead = true, 0
			c.s.spoken++
		}
		if err != nil {
			c.s.errors++
			c.s.log.Debug().Err(err).Msg("a command is answered with an error")
			r.answer(resp.AppendError(nil, "ERR "+err.Error()))
		}
	case name == "PING" && len(args) == 1:
		r.answer(resp.AppendSimple(nil, "PONG"))
	case name == "PING" && len(args) == 2:
		r.answer(resp.AppendBulk(nil, args[1]))
	case name == "CLIENT" || name == "SELECT":
		r.answer(resp.AppendSimple(nil, "OK"))
	case name == "QUIT": // what was asked before is answered before
		c.over, c.quit = true, true
		c.conn.Pause() // what comes behind is not read: its client may send it again
		r.answer(resp.AppendSimple(nil, "OK"))
	default:
		r.answer(resp.AppendError(nil, fmt.Sprintf("ERR unknown command %.32q", args[0])))
	}
}

// answer sends a reply, behind those due before it.
func (r *request) answer(reply []byte) {
	if r.done {
		return
	}
	r.reply, r.done = reply, true
	r.args = nil
	r.c.flush()
}

func (c *client) flush() {
	for len(c.due) > 0 && c.due[0].done {
		c.conn.Out = append(c.conn.Out, c.due[0].reply...)
		c.due[0] = nil
		c.due = c.due[1:]
	}
	if len(c.due) == 0 {
		c.due = nil
	}
	c.heard = c.s.loop.Now()
	switch {
	case c.quit && len(c.due) == 0:
		c.conn.CloseGracefully()
	case c.over && len(c.due) == 0: // a breach stood behind these
		c.conn.CloseAfterFlush(readTime)
	case c.s.shut && len(c.due) == 0:
		c.over = true
		c.conn.CloseGracefully()
	default:
		c.conn.Send()
		c.resume()
	}
}

// part closes the connection once what was asked on it is answered; nothing more is read. Commands that were read and
// wait for others are refused: unanswered they would be lost.
func (c *client) part() {
	if c.over {
		return
	}
	c.paused = true
	if c.conn.BufferedBytes() > 0 {
		c.conn.Pause()
		c.conn.Resume() // offers them to Input
	} else if c.conn.Pause(); len(c.due) == 0 {
		c.over = true
		c.conn.CloseGracefully()
	}
}

// resume reads on where room has come free.
func (c *client) resume() {
	if c.paused && !c.slowed && !c.over && !c.s.shut && c.owed() < mostOwed/2 {
		c.paused = false
		c.conn.Resume()
	}
}

// The answers of an op.

func (r *request) Succeeded(data []byte) { r.answer(resp.AppendBulk(nil, data)) }
func (r *request) Failed()               { r.answer(resp.AppendError(nil, "ERR failed")) }
func (r *request) Rejected(after time.Duration) {
	text := "BUSY"
	if ms := (after + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		text += " " + strconv.FormatInt(int64(ms), 10)
	}
	r.answer(resp.AppendError(nil, text))
}

// op reads a command of the form COMMAND PIECE ID NAME=VALUE,... [BODY].
func (r *request) op(now time.Duration) (op honeyplank.Op, err error) {
	write := string(r.args[0]) == "BLK.WRITE"
	want := 4
	if write {
		want = 5
	}
	if len(r.args) != want {
		return op, fmt.Errorf("wrong number of arguments: %d, expected %d", len(r.args), want)
	}
	if op.Key, err = hex16("the piece of data", r.args[1]); err != nil {
		return op, err
	}
	if len(r.args[2]) == 0 || len(r.args[2]) > 64 {
		return op, errors.New("no id of 1 to 64 bytes")
	}
	r.id = honeyplank.OpID(r.args[2])
	op.ID, op.HasKey, op.Write = r.id, true, write
	if len(r.args[3]) > 1024 {
		return op, errors.New("the list of names and values is longer than 1024 bytes")
	}
	r.terms = string(r.args[3])
	seen := map[string]bool{}
	site := r.c.s.site()
	for at := 0; at <= len(r.terms); {
		part := r.terms[at:]
		if i := strings.IndexByte(part, ','); i >= 0 {
			part = part[:i]
		}
		name, value, ok := strings.Cut(part, "=")
		if !ok || seen[name] {
			return op, fmt.Errorf("%.32q is no name and value, or stands twice", part)
		}
		seen[name] = true
		switch name {
		case "c":
			op.Type, err = index("class", site.OpTypes, value)
		case "t":
			op.Plan, err = index("plan", site.Plans, value)
		case "d":
			var ms float64
			ms, err = decimal(name, value, 1e9)
			op.Timeout = now + time.Duration(ms*float64(time.Millisecond))
			r.from, r.to = at+len(name)+1, at+len(part)
		case "r":
			op.Retry = value == "1"
		case "volume":
			op.Volume, err = hex16(name, []byte(value))
		case "units":
			op.Units, err = decimal(name, value, 1e6)
		case "shard":
			op.Cell, err = strconv.Atoi(value)
			if err != nil || op.Cell < honeyplank.NewObject {
				err = fmt.Errorf("shard is %.32q, expected a number from -1", value)
			}
		case "hosts":
			op.Schedulers, err = strconv.Atoi(value)
			if err != nil || op.Schedulers < 1 {
				err = fmt.Errorf("hosts is %.32q, expected a number from 1", value)
			}
		}
		if err != nil {
			return op, err
		}
		at += len(part) + 1
	}
	for _, name := range []string{"c", "t", "d", "volume", "units", "shard", "hosts"} {
		if !seen[name] {
			return op, fmt.Errorf("%s is missing", name)
		}
	}
	op.Timeout = min(op.Timeout, now+longestWait(site, op.Type))
	return op, nil
}

// longestWait is how long an op of a class may take at most, whatever its client says: some times what the settings give
// all of its tries. It guards against dispatches without an answer that would hold a connection and a place for ever.
func longestWait(site *simwire.Site, class int) time.Duration {
	if timeouts, _ := site.Values["optypes.op_timeout"].([]time.Duration); timeouts[class] > 0 {
		return unusualWait * timeouts[class]
	}
	return math.MaxInt64 / 2
}

func hex16(name string, text []byte) (int64, error) {
	var b [8]byte
	if len(text) != 16 {
		return 0, fmt.Errorf("%s is %.32q, expected 16 hex digits", name, text)
	}
	if _, err := hex.Decode(b[:], text); err != nil {
		return 0, fmt.Errorf("%s is %.32q, expected 16 hex digits", name, text)
	}
	n, err := strconv.ParseUint(string(text), 16, 64)
	return int64(n), err
}

func index(what string, names []string, value string) (int, error) {
	for i, n := range names {
		if n == value {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %.32q is unknown", what, value)
}

func decimal(name, value string, most float64) (float64, error) {
	for _, c := range []byte(value) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, fmt.Errorf("%s is %.32q, expected a number above 0", name, value)
		}
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x > 0 && x <= most) {
		return 0, fmt.Errorf("%s is %.32q, expected a number above 0", name, value)
	}
	return x, nil
}

// append appends the command as a disk server is to have it: as it came, but for the time that is left.
func (r *request) append(out []byte, left time.Duration) []byte {
	ms := max(left.Milliseconds(), 1)
	terms := r.terms[:r.from] + strconv.FormatInt(ms, 10) + r.terms[r.to:]
	out = resp.AppendArray(out, len(r.args))
	for i, a := range r.args {
		if i == 3 {
			a = []byte(terms)
		}
		out = resp.AppendBulk(out, a)
	}
	return out
}

// attend looks after connections: ones that say nothing, leave a command half said, or don't read.
func (s *Scheduler) attend() {
	now := s.loop.Now()
	for s.clientFiles > s.share(ofClients) && s.evict() { // a new configuration may leave less room
	}
	most := s.idles()
	for c := range s.clients {
		switch idle := now - c.heard; {
		case c.over:
		case c.began > 0 && now-c.began > patience:
			c.breach(&resp.Breach{What: "the rest of a command does not come"})
		case c.busy() && idle <= longIdle:
			c.resume()
		case len(c.due) > 0:
		case c.conn.UnsentBytes() > 0 && idle > longIdle: // it does not read
			c.conn.Close()
		case !c.spoke && idle > patience: // at once: a crowd that lingers would keep others out
			if c.paused || c.conn.Quiet() { // else what has come is read first
				c.conn.Close()
			}
		case s.ending: // a connection that closes now is not replaced
		case c.spoke && idle > most:
			if c.conn.Quiet() {
				c.over = true
				c.conn.CloseGracefully()
			}
		default:
			c.resume()
		}
	}
}
