package scheduler

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"honeyplank"
	"honeyplank/internal/simwire"
	"honeyplank/resp"
)

// Positions of the arguments in BLK.READ and BLK.WRITE: COMMAND KEY ID NAME=VALUE,... [BODY].
const (
	keyArg = iota + 1
	idArg
	optionsArg
	bodyArg // only in BLK.WRITE
)

const (
	keyDigits       = 16   // hexadecimal digits of a key
	maxIDBytes      = 64   // length of an op's id
	maxOptionsBytes = 1024 // length of the options, the list of names and values
	maxTimeoutMS    = 1e9  // timeout of a command
	maxUnits        = 1e6  // size of an op
)

// requiredOptions are the names of the options that a command has to contain.
var requiredOptions = []string{"c", "t", "d", "volume", "units", "shard", "hosts"}

var (
	errDuplicateID = errors.New("the id is that of an open request")
	errDepartedID  = errors.New("the id is that of a request whose client has left, which may have run")
)

// request is a command of a client, which gets exactly one reply. It is the tracker's interface to the client of the
// op.
type request struct {
	client  *client
	id      honeyplank.OpID
	args    [][]byte // nil once the reply is complete
	options string   // the list of names and values

	// Offsets in options of the value of option d, the timeout, which is replaced in the command for a disk server.
	timeoutStart, timeoutEnd int

	size  int // bytes that it uses until the reply is complete
	reply []byte
	done  bool // reply is complete
}

// handleCommand replies to a command or admits it as an op. received is the earliest time, on the loop's clock, at
// which the command can have been received.
func (c *client) handleCommand(received time.Duration, list []resp.Value) {
	args := make([][]byte, len(list))
	discarded := false
	for i, v := range list {
		args[i] = v.Text
		discarded = discarded || v.Discarded
	}
	r := &request{client: c, args: args, size: c.memory.incoming + requestOverhead}
	c.memory.incoming = 0
	c.memory.requests += r.size
	c.pending = append(c.pending, r)
	if c.scheduler.admissionClosed { // the command was buffered when admission was closed
		r.complete(resp.AppendError(nil, "BUSY"))
		return
	}
	isOp := string(args[0]) == "BLK.READ" || string(args[0]) == "BLK.WRITE"
	switch name := string(bytes.ToUpper(args[0])); {
	case isOp && (discarded || !r.fitsMemory(0)):
		c.scheduler.memoryRejections++
		c.markOpSent()
		r.Rejected(0)
	case discarded:
		r.Rejected(0)
	case isOp && !c.acceptsOp():
		c.markOpSent()
		r.Rejected(0)
	case isOp:
		r.admit(received)
	case name == "PING" && len(args) == 1:
		r.respond(resp.AppendSimpleString(nil, "PONG"))
	case name == "PING" && len(args) == 2:
		r.respond(resp.AppendBulk(nil, args[1]))
	case name == "CLIENT" || name == "SELECT":
		r.respond(resp.AppendSimpleString(nil, "OK"))
	case name == "QUIT": // its reply follows those to earlier commands
		c.closing, c.quitRequested = true, true
		c.conn.Pause() // later commands stay unread, so that the client may send them again
		r.respond(resp.AppendSimpleString(nil, "OK"))
	default:
		r.respond(resp.AppendError(nil, fmt.Sprintf("ERR unknown command %.32q", args[0])))
	}
}

// admit passes the command to the tracker as an op, or replies with an error if it is malformed.
func (r *request) admit(received time.Duration) {
	c := r.client
	op, err := r.parseOp(received)
	if err == nil && !c.scheduler.tracker.Admit(op, r) {
		if err = errDuplicateID; c.scheduler.tracker.Departed(op.ID) {
			err = errDepartedID
		}
	}
	if err != nil {
		c.scheduler.errorReplies++
		c.scheduler.log.Debug().Err(err).Msg("client command rejected as malformed")
		r.respond(resp.AppendError(nil, "ERR "+err.Error()))
		return
	}
	c.markOpSent()
}

// acceptsOp reports whether the next op of the client is passed to the decision module.
func (c *client) acceptsOp() bool {
	s := c.scheduler
	return s.intake.accepts(&c.opRate, s.loop.Now(), backlog{
		unanswered: len(c.pending) - 1, // without this one
		queued:     s.tracker.Unanswered() - s.tracker.Outstanding(),
		servers:    len(s.servers),
		clients:    s.activeClients,
	})
}

// markOpSent records that the client has sent an op.
func (c *client) markOpSent() {
	if !c.hasSentOp {
		c.hasSentOp = true
		c.scheduler.activeClients++
	}
}

// respond sends a reply after those to earlier commands. It has no effect if the request already has one.
func (r *request) respond(reply []byte) {
	if r.done {
		return
	}
	r.complete(reply)
	r.client.flushReplies()
}

// complete sets the reply and releases the arguments.
func (r *request) complete(reply []byte) {
	r.reply, r.done = reply, true
	r.client.memory.requests -= r.size
	r.client.memory.replies += len(reply)
	r.args, r.size = nil, 0
}

// Succeeded replies with the data of the op, or with an error if clients use too much memory for it.
func (r *request) Succeeded(data []byte) {
	if !r.fitsMemory(len(data) - r.size) {
		r.client.scheduler.memoryFailures++
		r.Failed()
		return
	}
	r.respond(resp.AppendBulk(nil, data))
}

// Failed replies that the op failed and may or may not have run.
func (r *request) Failed() { r.respond(resp.AppendError(nil, "ERR failed")) }

// Rejected replies that the op has not run. The reply contains retryAfter, in milliseconds rounded up, unless it is 0.
func (r *request) Rejected(retryAfter time.Duration) {
	text := "BUSY"
	if ms := (retryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		text += " " + strconv.FormatInt(int64(ms), 10)
	}
	r.respond(resp.AppendError(nil, text))
}

// parseOp parses the op. Its timeout starts at received.
func (r *request) parseOp(received time.Duration) (op honeyplank.Op, err error) {
	op.Write = string(r.args[0]) == "BLK.WRITE"
	expected := bodyArg
	if op.Write {
		expected++
	}
	if len(r.args) != expected {
		return op, fmt.Errorf("wrong number of arguments: %d, expected %d", len(r.args), expected)
	}
	if op.Key, err = parseHex16("the piece of data", r.args[keyArg]); err != nil {
		return op, err
	}
	op.HasKey = true
	if n := len(r.args[idArg]); n == 0 || n > maxIDBytes {
		return op, fmt.Errorf("no id of 1 to %d bytes", maxIDBytes)
	}
	r.id = honeyplank.OpID(r.args[idArg])
	op.ID = r.id
	if len(r.args[optionsArg]) > maxOptionsBytes {
		return op, fmt.Errorf("the list of names and values is longer than %d bytes", maxOptionsBytes)
	}
	r.options = string(r.args[optionsArg])
	if err := r.parseOptions(&op, received); err != nil {
		return op, err
	}
	op.Deadline = min(op.Deadline, received+maxOpTime(r.client.scheduler.site(), op.Type))
	return op, nil
}

// parseOptions parses the options, NAME=VALUE,NAME=VALUE..., into op.
func (r *request) parseOptions(op *honeyplank.Op, received time.Duration) error {
	seen := map[string]bool{}
	for start := 0; start <= len(r.options); {
		option, _, _ := strings.Cut(r.options[start:], ",")
		name, value, ok := strings.Cut(option, "=")
		if !ok || seen[name] {
			return fmt.Errorf("%.32q is no name and value, or stands twice", option)
		}
		seen[name] = true
		if name == "d" {
			r.timeoutStart, r.timeoutEnd = start+len("d="), start+len(option)
		}
		if err := r.parseOption(op, received, name, value); err != nil {
			return err
		}
		start += len(option) + len(",")
	}
	for _, name := range requiredOptions {
		if !seen[name] {
			return fmt.Errorf("%s is missing", name)
		}
	}
	return nil
}

// parseOption parses one option into op. It ignores unknown names, which are for the disk servers.
func (r *request) parseOption(op *honeyplank.Op, received time.Duration, name, value string) (err error) {
	site := r.client.scheduler.site()
	switch name {
	case "c":
		op.Type, err = indexOf("class", site.OpTypes, value)
	case "t":
		op.Plan, err = indexOf("plan", site.Plans, value)
	case "d":
		var ms float64
		ms, err = parseDecimal(name, value, maxTimeoutMS)
		op.Deadline = received + time.Duration(ms*float64(time.Millisecond))
	case "r":
		op.Retry = value == "1"
	case "volume":
		op.Volume, err = parseHex16(name, []byte(value))
	case "units":
		op.Units, err = parseDecimal(name, value, maxUnits)
	case "shard":
		op.Cell, err = parseInteger(name, value, honeyplank.AnyCell)
	case "hosts":
		op.Instances, err = parseInteger(name, value, 1)
	}
	return err
}

// maxOpTime returns the longest timeout of an op of a type, a multiple of the op timeout of the settings. It prevents
// unanswered dispatches from holding a connection and capacity forever.
//
// Limitation: an unanswered op with a longer timeout fails before that timeout.
func maxOpTime(site *simwire.Site, opType int) time.Duration {
	if timeout := site.Settings.OpTypes[opType].OpTimeout; timeout > 0 {
		return maxTimeoutFactor * timeout
	}
	return math.MaxInt64 / 2 // a time of the loop can be added without overflow
}

// parseHex16 parses a number of 16 hexadecimal digits. name is used in the error.
func parseHex16(name string, text []byte) (int64, error) {
	var decoded [keyDigits / 2]byte
	if len(text) != keyDigits {
		return 0, fmt.Errorf("%s is %.32q, expected %d hex digits", name, text, keyDigits)
	}
	if _, err := hex.Decode(decoded[:], text); err != nil {
		return 0, fmt.Errorf("%s is %.32q, expected %d hex digits", name, text, keyDigits)
	}
	return int64(binary.BigEndian.Uint64(decoded[:])), nil
}

// indexOf returns the position of name in names. kind is used in the error.
func indexOf(kind string, names []string, name string) (int, error) {
	if i := slices.Index(names, name); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%s %.32q is unknown", kind, name)
}

// parseInteger parses an integer that is not less than minimum.
func parseInteger(name, value string, minimum int) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum {
		return n, fmt.Errorf("%s is %.32q, expected a number from %d", name, value, minimum)
	}
	return n, nil
}

// parseDecimal parses a number above 0 and up to maximum. Its text may contain only digits and a decimal point.
func parseDecimal(name, value string, maximum float64) (float64, error) {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || strings.Trim(value, "0123456789.") != "" || !(x > 0 && x <= maximum) {
		return 0, fmt.Errorf("%s is %.32q, expected a number above 0", name, value)
	}
	return x, nil
}

// appendCommand appends the command for a disk server: the client's command with its timeout replaced by timeLeft.
func (r *request) appendCommand(out []byte, timeLeft time.Duration) []byte {
	ms := max(timeLeft.Milliseconds(), 1)
	options := r.options[:r.timeoutStart] + strconv.FormatInt(ms, 10) + r.options[r.timeoutEnd:]
	out = resp.AppendArray(out, len(r.args))
	for i, arg := range r.args {
		if i == optionsArg {
			arg = []byte(options)
		}
		out = resp.AppendBulk(out, arg)
	}
	return out
}
