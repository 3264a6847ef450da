// Package resp reads and writes RESP2, the serialization protocol of Redis: lines, integers, bulk strings and arrays.
//
// A Reader takes bytes as they are received and buffers an incomplete value. It guards against hostile input: each
// length is checked against a limit before anything is read for it, and memory is allocated as bytes arrive, never by
// what a length claims. A value that exceeds the limits is rejected with a ProtocolError.
//
// The package does no I/O, starts no goroutine and knows no command. A Reader belongs to one goroutine: here the event
// loop of the connection that it reads.
package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Kind is the type of a value: the byte with which it begins.
type Kind byte

// The kinds of RESP2.
const (
	SimpleString Kind = '+' // a line
	Error        Kind = '-' // a line with an error message
	Integer      Kind = ':' // a signed number of 64 bits
	BulkString   Kind = '$' // any bytes, after their number
	Array        Kind = '*' // values, after their number
)

// Value is one value.
type Value struct {
	Kind Kind
	Null bool    // a bulk string or an array of length -1
	Int  int64   // of Integer
	Text []byte  // of Simple, Error and Bulk
	List []Value // of Array
}

// Limits bound what a Reader accepts. A value that exceeds one of them is a ProtocolError.
type Limits struct {
	Line       int // bytes of a line, with its kind and line end
	BulkString int // bytes of a bulk string
	Items      int // values of an array
	Depth      int // arrays inside one another
	Total      int // bytes of a value in all, without line ends
	// CommandsOnly accepts nothing but arrays of at least one bulk string that is not null, as clients send them.
	CommandsOnly bool
}

// ProtocolError is the error of input that is not RESP2 or exceeds a limit. Input behind it cannot be read either.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "resp: " + e.Reason }

func protocolError(format string, args ...any) error {
	return &ProtocolError{fmt.Sprintf(format, args...)}
}

// maxNumberLine is the most bytes of a line that holds a number, with its kind and line end.
const maxNumberLine = 32

var lineEnd = []byte("\r\n")

// Reader reads values one by one. After an error it must not be used again.
type Reader struct {
	Limits Limits

	line       []byte      // the unfinished line
	bulk       []byte      // the unfinished bulk string
	bulkSize   int         // bytes of the whole bulk string with its line end; 0: none has begun
	total      int         // bytes of the unfinished value
	openArrays []openArray // the unfinished arrays, outermost first
}

// openArray is an unfinished array.
type openArray struct {
	value     Value
	remaining int // values that have not been read
}

// Idle reports whether no value has begun: the next byte is the first of one.
func (r *Reader) Idle() bool { return len(r.openArrays) == 0 && r.bulkSize == 0 && len(r.line) == 0 }

// BufferedBytes is how many bytes of the unfinished value have been read.
func (r *Reader) BufferedBytes() int { return r.total + len(r.line) + len(r.bulk) }

// Frame is what a Reader has read of the bytes that it was given.
type Frame struct {
	Used     int   // bytes read
	Complete bool  // Value is complete; otherwise all bytes were read and the Reader needs more
	Value    Value // zero unless Complete
}

// Next reads b up to the end of a value or of b. An error is a *ProtocolError; Used counts the bytes read before it.
func (r *Reader) Next(b []byte) (Frame, error) {
	used := 0
	for {
		item, err := r.readItem(b[used:])
		used += item.Used
		if !item.Complete || err != nil {
			return Frame{Used: used}, err
		}
		if value, ok := r.addItem(item.Value); ok {
			r.total = 0
			return Frame{Used: used, Complete: true, Value: value}, nil
		}
	}
}

// addItem adds a complete value to the innermost open array. Once the outermost value is complete, it returns that and
// true.
func (r *Reader) addItem(item Value) (Value, bool) {
	for len(r.openArrays) > 0 {
		array := &r.openArrays[len(r.openArrays)-1]
		array.value.List = append(array.value.List, item)
		array.remaining--
		if array.remaining > 0 {
			return Value{}, false
		}
		item = array.value
		r.openArrays = r.openArrays[:len(r.openArrays)-1]
	}
	return item, true
}

// readItem reads a value that is not an array with values, and the heads of the arrays before it.
func (r *Reader) readItem(b []byte) (Frame, error) {
	used := 0
	for {
		if r.bulkSize > 0 {
			bulk, err := r.readBulk(b[used:])
			bulk.Used += used
			return bulk, err
		}
		line, n, err := r.readLine(b[used:])
		used += n
		if line == nil || err != nil {
			return Frame{Used: used}, err
		}
		value, complete, err := r.parseLine(line)
		r.line = r.line[:0]
		if complete || err != nil {
			return Frame{Used: used, Complete: complete, Value: value}, err
		}
	}
}

// readBulk reads the bytes of a bulk string.
func (r *Reader) readBulk(b []byte) (Frame, error) {
	used := min(r.bulkSize-len(r.bulk), len(b))
	r.bulk = append(r.bulk, b[:used]...)
	if len(r.bulk) < r.bulkSize {
		return Frame{Used: used}, nil
	}
	text := r.bulk[:r.bulkSize-len(lineEnd)]
	if !bytes.HasSuffix(r.bulk, lineEnd) {
		return Frame{Used: used}, protocolError("a bulk string of %d bytes does not end there", len(text))
	}
	r.bulk, r.bulkSize = nil, 0
	return Frame{Used: used, Complete: true, Value: Value{Kind: BulkString, Text: text}}, nil
}

// readLine returns a line without its line end, or nil while it has not ended.
func (r *Reader) readLine(b []byte) (line []byte, used int, err error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	first := b[0]
	if len(r.line) > 0 {
		first = r.line[0]
	}
	if err := r.checkKind(first); err != nil {
		return nil, 0, err
	}
	end := bytes.IndexByte(b, '\n')
	used = end + 1
	if end < 0 {
		used = len(b)
	}
	if limit := r.lineLimit(Kind(first)); len(r.line)+used > limit {
		return nil, used, protocolError("a line is longer than %d bytes", limit)
	}
	r.line = append(r.line, b[:used]...)
	if end < 0 {
		return nil, used, nil
	}
	if !bytes.HasSuffix(r.line, lineEnd) {
		return nil, used, protocolError("a line does not end in CR LF")
	}
	return r.line[:len(r.line)-len(lineEnd)], used, nil
}

// checkKind returns an error if no value may begin with this byte.
func (r *Reader) checkKind(first byte) error {
	kind := Kind(first)
	switch {
	case r.Limits.CommandsOnly && kind != Array && len(r.openArrays) == 0:
		return protocolError("expected '*', got %q", first)
	case r.Limits.CommandsOnly && kind != BulkString && len(r.openArrays) > 0:
		return protocolError("expected '$', got %q", first)
	case kind != SimpleString && kind != Error && kind != Integer && kind != BulkString && kind != Array:
		return protocolError("%q begins no value", first)
	}
	return nil
}

// lineLimit is the most bytes of the first line of a value.
func (r *Reader) lineLimit(kind Kind) int {
	if kind == BulkString || kind == Array || kind == Integer {
		return min(r.Limits.Line, maxNumberLine)
	}
	return r.Limits.Line
}

// addToTotal counts bytes of the unfinished value.
func (r *Reader) addToTotal(n int) error {
	r.total += n
	if r.total > r.Limits.Total {
		return protocolError("a value is longer than %d bytes", r.Limits.Total)
	}
	return nil
}

// parseLine returns the value that a line holds, or false if the line only begins one.
func (r *Reader) parseLine(line []byte) (Value, bool, error) {
	kind, text := Kind(line[0]), line[1:]
	if err := r.addToTotal(len(line)); err != nil {
		return Value{}, false, err
	}
	if kind == SimpleString || kind == Error {
		if bytes.IndexByte(text, '\r') >= 0 {
			return Value{}, false, protocolError("a line has a CR inside")
		}
		return Value{Kind: kind, Text: bytes.Clone(text)}, true, nil
	}
	n, err := parseNumber(text)
	if err != nil {
		return Value{}, false, err
	}
	if kind == Integer {
		return Value{Kind: Integer, Int: n}, true, nil
	}
	if n == -1 && !r.Limits.CommandsOnly {
		return Value{Kind: kind, Null: true}, true, nil
	}
	if kind == BulkString {
		return Value{}, false, r.beginBulk(n)
	}
	return r.beginArray(n)
}

// beginBulk begins a bulk string of n bytes.
func (r *Reader) beginBulk(n int64) error {
	if n < 0 || n > int64(r.Limits.BulkString) {
		return protocolError("invalid bulk length %d, expected 0 to %d", n, r.Limits.BulkString)
	}
	if err := r.addToTotal(int(n)); err != nil {
		return err
	}
	r.bulkSize = int(n) + len(lineEnd)
	return nil
}

// beginArray begins an array of n values; an empty one is complete.
func (r *Reader) beginArray(n int64) (Value, bool, error) {
	minItems := int64(0)
	if r.Limits.CommandsOnly {
		minItems = 1
	}
	if n < minItems || n > int64(r.Limits.Items) {
		err := protocolError("invalid multibulk length %d, expected %d to %d", n, minItems, r.Limits.Items)
		return Value{}, false, err
	}
	if len(r.openArrays) >= r.Limits.Depth {
		return Value{}, false, protocolError("arrays are more than %d deep", r.Limits.Depth)
	}
	if n == 0 {
		return Value{Kind: Array}, true, nil
	}
	r.openArrays = append(r.openArrays, openArray{value: Value{Kind: Array}, remaining: int(n)})
	return Value{}, false, nil
}

// parseNumber reads a decimal number of 64 bits, with '-' as the only sign.
func parseNumber(text []byte) (int64, error) {
	digits := bytes.TrimPrefix(text, []byte("-"))
	n, err := strconv.ParseInt(string(text), 10, 64)
	if len(digits) == 0 || digits[0] == '+' || err != nil {
		return 0, protocolError("%q is no number", text)
	}
	return n, nil
}

// AppendCommand appends an array of bulk strings: a command as clients send it.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = AppendArray(b, len(args))
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendArray appends the head of an array of n values. The values follow it.
func AppendArray(b []byte, n int) []byte { return appendHead(b, Array, n) }

// AppendBulk appends a bulk string.
func AppendBulk(b, text []byte) []byte {
	return append(append(appendHead(b, BulkString, len(text)), text...), lineEnd...)
}

// AppendNull appends a null bulk string.
func AppendNull(b []byte) []byte { return appendHead(b, BulkString, -1) }

// AppendSimpleString appends a line. Bytes of text that are not printable ASCII are replaced by '?'.
func AppendSimpleString(b []byte, text string) []byte { return appendLine(b, SimpleString, text) }

// AppendError appends an error message. Bytes of text that are not printable ASCII are replaced by '?'.
func AppendError(b []byte, text string) []byte { return appendLine(b, Error, text) }

func appendHead(b []byte, kind Kind, n int) []byte {
	return append(strconv.AppendInt(append(b, byte(kind)), int64(n), 10), lineEnd...)
}

// appendLine replaces bytes that are not printable. It guards against a line end in text, as in an error that quotes a
// client's input: a reader would parse what follows it as another value.
func appendLine(b []byte, kind Kind, text string) []byte {
	b = append(b, byte(kind))
	for i := range len(text) {
		if c := text[i]; c >= ' ' && c < 0x7f {
			b = append(b, c)
		} else {
			b = append(b, '?')
		}
	}
	return append(b, lineEnd...)
}
