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
	"honeyplank/internal/simwire"
	"honeyplank/resp"
)

// request is a command that is owed an answer.
type request struct {
	client        *client
	id            honeyplank.OpID
	args          [][]byte
	options       string // the list of names and values, and where in it the value of d lies
	deadlineStart int
	deadlineEnd   int
	reply         []byte
	done          bool
}

// handleCommand takes one command up that came at a time, or answers it.
func (c *client) handleCommand(came time.Duration, list []resp.Value) {
	args := make([][]byte, len(list))
	for i, v := range list {
		args[i] = v.Text
	}
	r := &request{client: c, args: args}
	c.pending = append(c.pending, r)
	if c.scheduler.intakeClosed { // it was read before the scheduler took no more
		r.reply, r.done = resp.AppendError(nil, "BUSY"), true
		return
	}
	switch name := string(bytes.ToUpper(args[0])); {
	case string(args[0]) == "BLK.READ" || string(args[0]) == "BLK.WRITE":
		op, err := r.parseOp(came)
		if err == nil && !c.scheduler.tracker.Admit(op, r) {
			err = errors.New("the id is that of an open request")
		}
		if err == nil && !c.hasSentRequest {
			c.hasSentRequest, c.conn.MaxRead = true, 0
			c.scheduler.activeClients++
		}
		if err != nil {
			c.scheduler.errorReplies++
			c.scheduler.log.Debug().Err(err).Msg("a command is answered with an error")
			r.respond(resp.AppendError(nil, "ERR "+err.Error()))
		}
	case name == "PING" && len(args) == 1:
		r.respond(resp.AppendSimple(nil, "PONG"))
	case name == "PING" && len(args) == 2:
		r.respond(resp.AppendBulk(nil, args[1]))
	case name == "CLIENT" || name == "SELECT":
		r.respond(resp.AppendSimple(nil, "OK"))
	case name == "QUIT": // what was asked before is answered before
		c.closing, c.quitRequested = true, true
		c.conn.Pause() // what comes behind is not read: its client may send it again
		r.respond(resp.AppendSimple(nil, "OK"))
	default:
		r.respond(resp.AppendError(nil, fmt.Sprintf("ERR unknown command %.32q", args[0])))
	}
}

// respond sends a reply, behind those due before it.
func (r *request) respond(reply []byte) {
	if r.done {
		return
	}
	r.reply, r.done = reply, true
	r.args = nil
	r.client.flushReplies()
}

func (r *request) Succeeded(data []byte) { r.respond(resp.AppendBulk(nil, data)) }

func (r *request) Failed() { r.respond(resp.AppendError(nil, "ERR failed")) }

func (r *request) Rejected(after time.Duration) {
	text := "BUSY"
	if ms := (after + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		text += " " + strconv.FormatInt(int64(ms), 10)
	}
	r.respond(resp.AppendError(nil, text))
}

// parseOp reads a command of the form COMMAND PIECE ID NAME=VALUE,... [BODY].
func (r *request) parseOp(now time.Duration) (op honeyplank.Op, err error) {
	write := string(r.args[0]) == "BLK.WRITE"
	want := 4
	if write {
		want = 5
	}
	if len(r.args) != want {
		return op, fmt.Errorf("wrong number of arguments: %d, expected %d", len(r.args), want)
	}
	if op.Key, err = parseHex16("the piece of data", r.args[1]); err != nil {
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
	r.options = string(r.args[3])
	seen := map[string]bool{}
	site := r.client.scheduler.site()
	for at := 0; at <= len(r.options); {
		part := r.options[at:]
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
			op.Type, err = indexOf("class", site.OpTypes, value)
		case "t":
			op.Plan, err = indexOf("plan", site.Plans, value)
		case "d":
			var ms float64
			ms, err = parseDecimal(name, value, 1e9)
			op.Timeout = now + time.Duration(ms*float64(time.Millisecond))
			r.deadlineStart, r.deadlineEnd = at+len(name)+1, at+len(part)
		case "r":
			op.Retry = value == "1"
		case "volume":
			op.Volume, err = parseHex16(name, []byte(value))
		case "units":
			op.Units, err = parseDecimal(name, value, 1e6)
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
	op.Timeout = min(op.Timeout, now+maxDeadline(site, op.Type))
	return op, nil
}

// maxDeadline is how long an op of a class may take at most, whatever its client says: some times what the settings give
// all of its tries. It guards against dispatches without an answer that would hold a connection and a place for ever.
func maxDeadline(site *simwire.Site, class int) time.Duration {
	if timeouts := site.Settings.OpTypes.OpTimeout; timeouts[class] > 0 {
		return maxDeadlineFactor * timeouts[class]
	}
	return math.MaxInt64 / 2
}

func parseHex16(name string, text []byte) (int64, error) {
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

func indexOf(what string, names []string, value string) (int, error) {
	for i, n := range names {
		if n == value {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s %.32q is unknown", what, value)
}

func parseDecimal(name, value string, most float64) (float64, error) {
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

// appendCommand appends the command as a disk server is to have it: as it came, but for the time that is left.
func (r *request) appendCommand(out []byte, left time.Duration) []byte {
	ms := max(left.Milliseconds(), 1)
	terms := r.options[:r.deadlineStart] + strconv.FormatInt(ms, 10) + r.options[r.deadlineEnd:]
	out = resp.AppendArray(out, len(r.args))
	for i, a := range r.args {
		if i == 3 {
			a = []byte(terms)
		}
		out = resp.AppendBulk(out, a)
	}
	return out
}
