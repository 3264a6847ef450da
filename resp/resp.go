// Package resp reads and writes RESP2, the serialization protocol of Redis: simple strings, errors, integers, bulk
// strings and arrays.
//
// A Reader accepts bytes as they are received and buffers an incomplete value. It is safe for untrusted input: it
// checks each length against a limit before it reads further, and allocates memory as bytes are received, not in
// advance for a declared length, unless Reader.AcceptBulk accepts that. It rejects a value that exceeds the limits with
// a ProtocolError.
//
// The package does no I/O, starts no goroutines and does not interpret commands. A Reader must be used by one goroutine
// at a time.
package resp

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
)

// Kind is the type of a value, which is its first byte.
type Kind byte

// The kinds of RESP2.
const (
	SimpleString Kind = '+' // one line of text
	Error        Kind = '-' // one line with an error message
	Integer      Kind = ':' // a signed 64-bit number
	BulkString   Kind = '$' // a length and that number of arbitrary bytes
	Array        Kind = '*' // a length and that number of values
)

// Value is one RESP2 value.
type Value struct {
	Kind Kind
	Null bool   // a bulk string or an array of length -1
	Int  int64  // value of an Integer
	Text []byte // text of a SimpleString, Error or BulkString
	// Discarded means that Reader.AcceptBulk has not accepted the BulkString, so that Text is missing.
	Discarded bool
	List      []Value // elements of an Array
}

// Limits are the limits of the values that a Reader accepts. A value that exceeds one of them causes a ProtocolError.
type Limits struct {
	Line       int // bytes of a line, with its kind and line end
	BulkString int // bytes of a bulk string
	Items      int // values of an array
	Depth      int // nesting depth of arrays
	Total      int // bytes of a whole value, without line ends
	// CommandsOnly restricts values to commands: arrays of one or more bulk strings, none of them null.
	CommandsOnly bool
}

// ProtocolError is the error of input that is not RESP2 or exceeds a limit. The input that follows cannot be read
// either.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "resp: " + e.Reason }

func protocolError(format string, args ...any) error {
	return &ProtocolError{fmt.Sprintf(format, args...)}
}

// maxNumberLine is the maximum length in bytes of a line that contains a number, with its kind and line end.
const maxNumberLine = 32

var lineEnd = []byte("\r\n")

// Reader reads values one by one. It must not be used again after an error.
type Reader struct {
	Limits Limits
	// AcceptBulk, if set, is called with the size of each bulk string that begins, in bytes. If it returns true, the
	// Reader allocates that size, and no more later. If it returns false, the Reader discards the text as it is
	// received and sets Value.Discarded.
	AcceptBulk func(size int) bool

	line       []byte      // the incomplete line
	bulk       []byte      // the incomplete bulk string; only its line end if it is discarded
	bulkSize   int         // bytes of the whole bulk string with its line end; 0 outside of a bulk string
	bulkRead   int         // bytes of the bulk string that have been read
	discarding bool        // the text of the bulk string is discarded
	total      int         // bytes of the incomplete value, with the declared length of its bulk string
	openArrays []openArray // the incomplete arrays, outermost first
}

// openArray is an incomplete array.
type openArray struct {
	value     Value
	remaining int // values that have not been read yet
}

// Idle reports whether the Reader is between two values, so that the next byte is the first of a value.
func (r *Reader) Idle() bool { return len(r.openArrays) == 0 && r.bulkSize == 0 && len(r.line) == 0 }

// BufferedBytes returns the approximate number of bytes that have been read of the incomplete value. The ends of
// complete lines do not count. An incomplete bulk string counts with its declared length in addition to the bytes read
// of it.
func (r *Reader) BufferedBytes() int { return r.total + len(r.line) + len(r.bulk) }

// Frame is the result of Reader.Next.
type Frame struct {
	Used     int   // bytes read
	Complete bool  // Value is complete; otherwise all bytes were read and the value continues in the next ones
	Value    Value // zero unless Complete
}

// Next reads b up to the end of a value or of b. An error is a *ProtocolError; Used then counts the bytes read up to
// it.
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

// addItem adds a complete value to the innermost incomplete array. If that completes the outermost value, addItem
// returns it and true.
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

// readItem reads the headers of arrays up to the first value without elements, and returns that value. It is a value of
// another kind, or an empty or null array.
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

// readBulk reads the bytes of a bulk string, which follow its length.
func (r *Reader) readBulk(b []byte) (Frame, error) {
	used := min(r.bulkSize-r.bulkRead, len(b))
	size := r.bulkSize - len(lineEnd)
	kept := b[:used]
	if r.discarding {
		kept = kept[min(max(size-r.bulkRead, 0), used):]
	}
	r.bulk = append(r.bulk, kept...)
	r.bulkRead += used
	if r.bulkRead < r.bulkSize {
		return Frame{Used: used}, nil
	}
	if !bytes.HasSuffix(r.bulk, lineEnd) {
		return Frame{Used: used}, protocolError("a bulk string of %d bytes does not end there", size)
	}
	value := Value{Kind: BulkString, Text: r.bulk[:len(r.bulk)-len(lineEnd)], Discarded: r.discarding}
	r.bulk, r.bulkSize, r.bulkRead, r.discarding = nil, 0, 0, false
	return Frame{Used: used, Complete: true, Value: value}, nil
}

// readLine returns a line without its line end, or nil if the line is incomplete.
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

// checkKind returns an error if no value may begin with this byte here.
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

// lineLimit returns the maximum length in bytes of the first line of a value.
func (r *Reader) lineLimit(kind Kind) int {
	if kind == BulkString || kind == Array || kind == Integer {
		return min(r.Limits.Line, maxNumberLine)
	}
	return r.Limits.Line
}

// addToTotal adds n bytes to the size of the incomplete value and returns an error if it exceeds its limit.
func (r *Reader) addToTotal(n int) error {
	r.total += n
	if r.total > r.Limits.Total {
		return protocolError("a value is longer than %d bytes", r.Limits.Total)
	}
	return nil
}

// parseLine returns the value that a line contains and true, or false if the line is only the header of a value.
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
	if r.AcceptBulk == nil {
		return nil
	}
	if r.discarding = !r.AcceptBulk(int(n)); !r.discarding {
		r.bulk = make([]byte, 0, r.bulkSize)
	}
	return nil
}

// beginArray begins an array of n values. It returns the array and true if n is 0.
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

// parseNumber parses a signed 64-bit decimal number. The only sign allowed is '-'.
func parseNumber(text []byte) (int64, error) {
	digits := bytes.TrimPrefix(text, []byte("-"))
	n, err := strconv.ParseInt(string(text), 10, 64)
	if len(digits) == 0 || digits[0] == '+' || err != nil {
		return 0, protocolError("%q is no number", text)
	}
	return n, nil
}

// AppendCommand appends a command as clients send it, an array of bulk strings.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = AppendArray(b, len(args))
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendArray appends the header of an array of n values. The caller appends the values.
func AppendArray(b []byte, n int) []byte { return appendHead(b, Array, n) }

// AppendBulk appends a bulk string.
func AppendBulk(b, text []byte) []byte {
	b = slices.Grow(b, maxNumberLine+len(text)+len(lineEnd))
	return append(append(appendHead(b, BulkString, len(text)), text...), lineEnd...)
}

// AppendNull appends a null bulk string.
func AppendNull(b []byte) []byte { return appendHead(b, BulkString, -1) }

// AppendSimpleString appends a simple string. Bytes of text that are not printable ASCII are replaced by '?'.
func AppendSimpleString(b []byte, text string) []byte { return appendLine(b, SimpleString, text) }

// AppendError appends an error. Bytes of text that are not printable ASCII are replaced by '?'.
func AppendError(b []byte, text string) []byte { return appendLine(b, Error, text) }

func appendHead(b []byte, kind Kind, n int) []byte {
	return append(strconv.AppendInt(append(b, byte(kind)), int64(n), 10), lineEnd...)
}

// appendLine appends a line and replaces bytes that are not printable. Text may contain a line end, for example in an
// error that quotes the input of a client. Without the replacement a reader would parse the rest as another value.
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
