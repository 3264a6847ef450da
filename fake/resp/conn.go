package resp

import (
	"strings"
	"time"

	"honeyplank/eventloop"
	"honeyplank/resp"
)

const (
	// lateDataDelay is the time between building an answer and sending Faults.LateData.
	lateDataDelay = 2 * time.Millisecond
	// maxArguments is the number of arguments of a command that are read, its name included.
	maxArguments = 5
)

// commandLimits are the size limits of a received command.
var commandLimits = resp.Limits{
	Line:         64,
	BulkString:   64 << 10,
	Items:        8,
	Depth:        1,
	Total:        80 << 10,
	CommandsOnly: true,
}

// conn is a client's connection. Its methods are called on the loop.
type conn struct {
	disk   *Disk
	raw    *eventloop.Conn
	number int
	reader resp.Reader

	answers     [][]byte // not sent yet, in the order of commands; nil means not ready
	firstAnswer int      // the number of the first entry of answers
	nextAnswer  int      // the number of the answer to the next command
}

func newConn(disk *Disk, raw *eventloop.Conn, number int) *conn {
	return &conn{disk: disk, raw: raw, number: number, reader: resp.Reader{Limits: commandLimits}}
}

// Opened and Closed implement eventloop.Handler.
func (c *conn) Opened(*eventloop.Conn) {}

func (c *conn) Closed(*eventloop.Conn, error) {}

// Input serves the received commands and returns the number of bytes used.
func (c *conn) Input(_ *eventloop.Conn, b []byte) int {
	used := 0
	for used < len(b) {
		frame, err := c.reader.Next(b[used:])
		used += frame.Used
		if err != nil {
			c.raw.Close()
			return len(b)
		}
		if frame.Complete && !c.serve(arguments(frame.Value.List)) {
			return len(b)
		}
	}
	return used
}

// arguments returns the arguments of a command. Missing arguments are empty.
func arguments(list []resp.Value) [maxArguments]string {
	var args [maxArguments]string
	for i := range min(len(list), maxArguments) {
		args[i] = string(list[i].Text)
	}
	return args
}

// serve answers a command, subject to the faults. It reports false if it has reset the connection.
func (c *conn) serve(args [maxArguments]string) bool {
	number := c.nextAnswer
	c.nextAnswer++
	c.answers = append(c.answers, nil)
	command := Command{
		Name:       args[0],
		Piece:      args[1],
		ID:         args[2],
		Attributes: args[3],
		Body:       []byte(args[4]),
		At:         time.Now(),
		Conn:       c.number,
	}
	faults := c.faultsOf(command)
	if strings.HasPrefix(command.Name, "BLK.") {
		c.disk.record(command)
		if faults.ResetOnCommand {
			c.raw.SimulateReset()
			return false
		}
		if faults.Silent {
			return true
		}
	}
	c.after(faults.Delay, func() { c.sendAnswer(number, c.answer(command, faults)) })
	return true
}

// after calls f on the loop after a delay.
func (c *conn) after(delay time.Duration, f func()) {
	loop := c.raw.Loop()
	loop.Schedule(loop.Now()+delay, f)
}

// faultsOf returns the faults that apply to a command.
func (c *conn) faultsOf(command Command) Faults {
	faults := c.disk.currentFaults()
	if faults.Class != "" && !strings.HasPrefix(command.Attributes, "c="+faults.Class+",") {
		return Faults{}
	}
	return faults
}

// answer builds the answer to a command.
func (c *conn) answer(command Command, faults Faults) []byte {
	switch command.Name {
	case "BLK.READ", "BLK.WRITE":
		return c.answerBlock(command, faults)
	case "PING":
		return resp.AppendSimpleString(nil, "PONG")
	case "INFO":
		return resp.AppendBulk(nil, []byte(faults.LoadReport))
	case "CLIENT", "SELECT":
		return resp.AppendSimpleString(nil, "OK")
	}
	return resp.AppendError(nil, "ERR unknown command")
}

// answerBlock builds the answer to a read or a write. Without faults it has the value, the usage and the load report.
func (c *conn) answerBlock(command Command, faults Faults) []byte {
	switch {
	case faults.Fail:
		return resp.AppendError(nil, "ERR failed")
	case faults.Busy:
		return resp.AppendError(nil, "BUSY")
	case faults.Malformed != "":
		return []byte(faults.Malformed)
	}
	value := []byte(faults.Value)
	if faults.Value == "" {
		value = Value(command.Piece, command.ID)
	}
	answer := resp.AppendBulk(resp.AppendArray(nil, 3), value)
	answer = appendBulkOrNull(answer, faults.Usage)
	answer = appendBulkOrNull(answer, faults.LoadReport)
	if faults.LateData != "" {
		c.after(lateDataDelay, func() {
			c.raw.Output = append(c.raw.Output, faults.LateData...)
			c.raw.Send()
		})
	}
	return append(answer, faults.TrailingData...)
}

// appendBulkOrNull appends text as a bulk string, or null if it is empty.
func appendBulkOrNull(b []byte, text string) []byte {
	if text == "" {
		return resp.AppendNull(b)
	}
	return resp.AppendBulk(b, []byte(text))
}

// sendAnswer sends an answer when all answers before it have been sent.
func (c *conn) sendAnswer(number int, answer []byte) {
	if c.disk.currentFaults().HalfAnswer {
		c.raw.Output = append(c.raw.Output, answer[:len(answer)/2]...)
		c.raw.CloseGracefully()
		return
	}
	c.answers[number-c.firstAnswer] = answer
	for len(c.answers) > 0 && c.answers[0] != nil {
		c.raw.Output = append(c.raw.Output, c.answers[0]...)
		c.answers = c.answers[1:]
		c.firstAnswer++
	}
	c.raw.Send()
}
