// Package resp is RESP2, the serialization protocol of Redis: arrays, bulk strings, lines. A Reader takes bytes as
// they come and keeps what is not whole; every length is checked against a bound before a byte of it is believed,
// and room is made as bytes come, never by what a length claims. It does no I/O.
package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Kind is the first byte of a value.
type Kind byte

const (
	Simple  Kind = '+'
	Error   Kind = '-'
	Integer Kind = ':'
	Bulk    Kind = '$'
	Array   Kind = '*'
)

// Value is one value. Text is a line or a bulk string, List an array.
type Value struct {
	Kind Kind
	Null bool
	Int  int64
	Text []byte
	List []Value
}

// Limits are what a Reader believes.
type Limits struct {
	Line  int // bytes of a line
	Bulk  int // bytes of a bulk string
	Items int // values of an array
	Depth int // arrays inside one another
	Total int // bytes of a value in all
	// CommandsOnly takes nothing but arrays of bulk strings that are not null, of at least one.
	CommandsOnly bool
}

// ProtocolError tells what could not be read; nothing behind it can be either.
type ProtocolError struct{ Reason string }

func (b *ProtocolError) Error() string { return "resp: " + b.Reason }

func protocolError(format string, a ...any) error { return &ProtocolError{fmt.Sprintf(format, a...)} }

// Reader reads values one by one. After an error it must not be used again.
type Reader struct {
	Limits Limits
	line   []byte // of a line that has not ended
	bulk   []byte // of a bulk string that has not ended
	want   int    // bytes of it, with its end of line; 0: none is under way
	total  int    // bytes of the value under way
	open   []frame
}

type frame struct {
	value Value
	left  int
}

// Idle tells that nothing is under way: the next byte begins a value.
func (r *Reader) Idle() bool { return len(r.open) == 0 && r.want == 0 && len(r.line) == 0 }

// BufferedBytes is how many bytes the value under way takes up so far.
func (r *Reader) BufferedBytes() int { return r.total + len(r.line) + len(r.bulk) }

// Next reads from b and returns how many bytes it used, and a value once one is whole.
func (r *Reader) Next(b []byte) (used int, v Value, whole bool, err error) {
	for {
		var item Value
		if r.want > 0 {
			n := min(r.want-len(r.bulk), len(b)-used)
			r.bulk = append(r.bulk, b[used:used+n]...)
			used += n
			if len(r.bulk) < r.want {
				return used, v, false, nil
			}
			text := r.bulk[:r.want-2]
			if !bytes.Equal(r.bulk[r.want-2:], crlf) {
				return used, v, false, protocolError("a bulk string of %d bytes does not end there", len(text))
			}
			item = Value{Kind: Bulk, Text: text}
			r.bulk, r.want = nil, 0
		} else {
			line, n, err := r.next(b[used:])
			used += n
			if line == nil || err != nil {
				return used, v, false, err
			}
			ready, err := r.begin(line, &item)
			r.line = r.line[:0]
			if err != nil {
				return used, v, false, err
			}
			if !ready {
				continue
			}
		}
		// item is whole: it ends the arrays that wait for nothing more.
		for len(r.open) > 0 {
			f := &r.open[len(r.open)-1]
			f.value.List = append(f.value.List, item)
			if f.left--; f.left > 0 {
				break
			}
			item = f.value
			r.open = r.open[:len(r.open)-1]
			if len(r.open) == 0 {
				r.total = 0
				return used, item, true, nil
			}
			continue
		}
		if len(r.open) == 0 {
			r.total = 0
			return used, item, true, nil
		}
	}
}

var crlf = []byte("\r\n")

// next returns a line without its end, or nil while there is none.
func (r *Reader) next(b []byte) (line []byte, used int, err error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	first := b[0]
	if len(r.line) > 0 {
		first = r.line[0]
	}
	switch kind := Kind(first); {
	case r.Limits.CommandsOnly && kind != Array && len(r.open) == 0:
		return nil, 0, protocolError("expected '*', got %q", first)
	case r.Limits.CommandsOnly && kind != Bulk && len(r.open) > 0:
		return nil, 0, protocolError("expected '$', got %q", first)
	case kind != Simple && kind != Error && kind != Integer && kind != Bulk && kind != Array:
		return nil, 0, protocolError("%q begins no value", first)
	}
	end := bytes.IndexByte(b, '\n')
	n := end + 1
	if end < 0 {
		n = len(b)
	}
	most := r.Limits.Line
	if k := Kind(first); k == Bulk || k == Array || k == Integer {
		most = min(most, 32)
	}
	if len(r.line)+n > most {
		return nil, n, protocolError("a line is longer than %d bytes", most)
	}
	r.line = append(r.line, b[:n]...)
	if end < 0 {
		return nil, n, nil
	}
	if !bytes.HasSuffix(r.line, crlf) {
		return nil, n, protocolError("a line does not end in CR LF")
	}
	return r.line[:len(r.line)-2], n, nil
}

// begin reads a line; ready tells that item is whole, else its rest is to come.
func (r *Reader) begin(line []byte, item *Value) (ready bool, err error) {
	kind, text := Kind(line[0]), line[1:]
	if r.total += len(line); r.total > r.Limits.Total {
		return false, protocolError("a value is longer than %d bytes", r.Limits.Total)
	}
	if kind == Simple || kind == Error {
		if bytes.IndexByte(text, '\r') >= 0 {
			return false, protocolError("a line has a CR inside")
		}
		*item = Value{Kind: kind, Text: bytes.Clone(text)}
		return true, nil
	}
	n, err := number(text)
	if err != nil {
		return false, err
	}
	switch kind {
	case Integer:
		*item = Value{Kind: Integer, Int: n}
		return true, nil
	case Bulk:
		if n == -1 && !r.Limits.CommandsOnly {
			*item = Value{Kind: Bulk, Null: true}
			return true, nil
		}
		if n < 0 || n > int64(r.Limits.Bulk) {
			return false, protocolError("invalid bulk length %d, expected 0 to %d", n, r.Limits.Bulk)
		}
		if r.total += int(n); r.total > r.Limits.Total {
			return false, protocolError("a value is longer than %d bytes", r.Limits.Total)
		}
		r.want = int(n) + 2
		return false, nil
	}
	if n == -1 && !r.Limits.CommandsOnly {
		*item = Value{Kind: Array, Null: true}
		return true, nil
	}
	least := int64(0)
	if r.Limits.CommandsOnly {
		least = 1
	}
	if n < least || n > int64(r.Limits.Items) {
		return false, protocolError("invalid multibulk length %d, expected %d to %d", n, least, r.Limits.Items)
	}
	if len(r.open) >= r.Limits.Depth {
		return false, protocolError("arrays are more than %d deep", r.Limits.Depth)
	}
	if n == 0 {
		*item = Value{Kind: Array}
		return true, nil
	}
	r.open = append(r.open, frame{Value{Kind: Array}, int(n)})
	return false, nil
}

func number(text []byte) (int64, error) {
	digits := text
	if len(digits) > 0 && digits[0] == '-' {
		digits = digits[1:]
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	if len(digits) == 0 || digits[0] == '+' || err != nil {
		return 0, protocolError("%q is no number", text)
	}
	return n, nil
}

// AppendCommand appends an array of bulk strings.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = AppendArray(b, len(args))
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendArray appends the head of an array of n values.
func AppendArray(b []byte, n int) []byte { return head(b, Array, n) }

// AppendBulk appends a bulk string.
func AppendBulk(b, text []byte) []byte {
	return append(append(head(b, Bulk, len(text)), text...), crlf...)
}

// AppendNull appends a null bulk string.
func AppendNull(b []byte) []byte { return head(b, Bulk, -1) }

// AppendSimple and AppendError append a line; text must have no end of line inside.
func AppendSimple(b []byte, text string) []byte { return line(b, Simple, text) }
func AppendError(b []byte, text string) []byte  { return line(b, Error, text) }

func head(b []byte, k Kind, n int) []byte {
	return append(strconv.AppendInt(append(b, byte(k)), int64(n), 10), crlf...)
}

func line(b []byte, k Kind, text string) []byte {
	b = append(b, byte(k))
	for i := range len(text) { // what a client sent may be told in an error
		if c := text[i]; c >= ' ' && c < 0x7f {
			b = append(b, c)
		} else {
			b = append(b, '?')
		}
	}
	return append(b, crlf...)
}
