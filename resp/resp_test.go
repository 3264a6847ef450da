package resp

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"honeyplank/internal/heap"
)

var (
	commandLimits = Limits{Line: 64, BulkString: 100, Items: 6, Depth: 1, Total: 200, CommandsOnly: true}
	replyLimits   = Limits{Line: 64, BulkString: 100, Items: 4, Depth: 3, Total: 200}
)

// readAll reads the values in text, which it passes to a Reader in pieces of the given size.
func readAll(limits Limits, text []byte, size int) (list []Value, err error) {
	r := Reader{Limits: limits}
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		for len(piece) > 0 {
			frame, err := r.Next(piece)
			if err != nil {
				return list, err
			}
			piece = piece[frame.Used:]
			if frame.Complete {
				list = append(list, frame.Value)
			} else if len(piece) > 0 {
				return list, errors.New("the Reader left bytes unread without a complete value")
			}
		}
	}
	return list, nil
}

// TestCommands checks that commands are read, and that input that is not a command is rejected.
func TestCommands(t *testing.T) {
	for text, want := range map[string]string{
		"*2\r\n$4\r\nPING\r\n$0\r\n\r\n":        `[[PING ]]`,
		"*1\r\n$2\r\n\r\n\r\n*1\r\n$1\r\nx\r\n": "[[\r\n] [x]]",
		"*0\r\n":                                "resp: invalid multibulk length 0, expected 1 to 6",
		"*-1\r\n":                               "resp: invalid multibulk length -1, expected 1 to 6",
		"*7\r\n":                                "resp: invalid multibulk length 7, expected 1 to 6",
		"*99999999999999999999\r\n":             `resp: "99999999999999999999" is no number`,
		"*1\r\n$-1\r\n":                         "resp: invalid bulk length -1, expected 0 to 100",
		"*1\r\n$101\r\n":                        "resp: invalid bulk length 101, expected 0 to 100",
		"*1\r\n$60000000\r\n":                   "resp: invalid bulk length 60000000, expected 0 to 100",
		"*1\r\n$3\r\nabcd\r\n":                  "resp: a bulk string of 3 bytes does not end there",
		"*3\r\n$99\r\n" + strings.Repeat("x", 99) + "\r\n$99\r\n": "resp: a value is longer than 200 bytes",
		"PING\r\n":                    "resp: expected '*', got 'P'",
		"*1\r\n+x\r\n":                "resp: expected '$', got '+'",
		"*1\r\n*1\r\n":                "resp: expected '$', got '*'",
		"*+1\r\n":                     `resp: "+1" is no number`,
		"*\r\n":                       `resp: "" is no number`,
		"*1\n":                        "resp: a line does not end in CR LF",
		"*" + strings.Repeat("1", 40): "resp: a line is longer than 32 bytes",
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			if got := readCommands(text); got != want {
				t.Errorf("%s, want %s", got, want)
			}
		})
	}
}

// readCommands returns the commands in text as printed by fmt.Sprint, or the error of reading them.
func readCommands(text string) string {
	list, err := readAll(commandLimits, []byte(text), len(text))
	var protocolErr *ProtocolError
	if errors.As(err, &protocolErr) {
		return err.Error()
	}
	if err != nil {
		return "not a ProtocolError: " + err.Error()
	}
	var commands [][]string
	for _, command := range list {
		var words []string
		for _, word := range command.List {
			words = append(words, string(word.Text))
		}
		commands = append(commands, words)
	}
	return fmt.Sprint(commands)
}

// TestReplies checks that values of all kinds are read, and that input that is not a value or exceeds a limit is
// rejected.
func TestReplies(t *testing.T) {
	text := "*3\r\n$1\r\nx\r\n$-1\r\n*2\r\n:-7\r\n*0\r\n" + "-ERR failed\r\n" + "+PONG\r\n" + "*-1\r\n"
	list, err := readAll(replyLimits, []byte(text), 1)
	want := []Value{
		{Kind: Array, List: []Value{
			{Kind: BulkString, Text: []byte("x")},
			{Kind: BulkString, Null: true},
			{Kind: Array, List: []Value{{Kind: Integer, Int: -7}, {Kind: Array}}},
		}},
		{Kind: Error, Text: []byte("ERR failed")},
		{Kind: SimpleString, Text: []byte("PONG")},
		{Kind: Array, Null: true},
	}
	if err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("%+v, %v", list, err)
	}
	for _, text := range []string{
		"*1\r\n*1\r\n*1\r\n*1\r\n",
		"HTTP/1.1 100 Continue\r\n",
		"$3000000000\r\n",
		"+a\rb\r\n",
		"+" + strings.Repeat("x", 64),
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			if _, err := readAll(replyLimits, []byte(text), 3); err == nil {
				t.Error("invalid input is accepted")
			}
		})
	}
}

// TestAppend checks that appended values are read back unchanged, and that the text of an error cannot contain a line
// end.
func TestAppend(t *testing.T) {
	b := AppendCommand(nil, []byte("BLK.WRITE"), []byte("a\r\nb"), nil)
	list, err := readAll(commandLimits, b, 1)
	if err != nil || len(list) != 1 || string(list[0].List[1].Text) != "a\r\nb" || len(list[0].List) != 3 {
		t.Fatalf("%+v, %v", list, err)
	}
	list, err = readAll(replyLimits, AppendSimpleString(AppendError(AppendNull(nil), "ERR a\r\nb\xff"), "OK"), 1)
	if err != nil || len(list) != 3 || !list[0].Null || string(list[1].Text) != "ERR a??b?" {
		t.Fatalf("%+v, %v", list, err)
	}
}

// FuzzReader compares the Reader, which receives its input in pieces, with a model that parses the whole input at once.
// It also checks that the memory that the Reader allocates is bounded by the size of the input, not by the lengths that
// the input declares.
func FuzzReader(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"), 3, true)
	f.Add([]byte("*3\r\n$1\r\nx\r\n$-1\r\n$14\r\nutil=0.1,a=2.5\r\n-BUSY\r\n"), 1, false)
	f.Add([]byte("$3000000000\r\nxxxxxxxx"), 5, false)
	f.Add([]byte("*3\r\n*2\r\n:1\r\n+x\r\n*0\r\n*-1\r\n"), 2, false)
	f.Fuzz(func(t *testing.T, in []byte, size int, command bool) {
		limits := replyLimits
		if command {
			limits = commandLimits
		}
		var got []Value
		var err error
		used := heap.Bytes(func() { got, err = readAll(limits, in, max(size, 1)%64+1) })
		if used > uint64(4<<20+1000*len(in)) {
			t.Fatalf("the Reader allocated %d bytes for an input of %d bytes", used, len(in))
		}
		want, malformed := readModel(limits, in)
		if len(got) != len(want) || (err != nil) != malformed {
			t.Fatalf("%q: %d values, error %v; model %d, malformed: %v", in, len(got), err, len(want), malformed)
		}
		for i := range got {
			if !reflect.DeepEqual(got[i], want[i]) {
				t.Fatalf("%q: value %d is %+v, the model has %+v", in, i, got[i], want[i])
			}
		}
	})
}

// model parses values from a complete text.
type model struct {
	limits Limits
	text   []byte // the rest of the text
	total  int    // bytes of the current value
}

var (
	errIncomplete = errors.New("incomplete")
	errMalformed  = errors.New("malformed")
)

// readModel returns the values in text, and whether the rest after them is malformed rather than incomplete.
func readModel(limits Limits, text []byte) (list []Value, malformed bool) {
	m := &model{limits: limits, text: text}
	for len(m.text) > 0 {
		m.total = 0
		value, err := m.value(0)
		if err != nil {
			return list, errors.Is(err, errMalformed)
		}
		list = append(list, value)
	}
	return list, false
}

// value parses a value that is nested in depth arrays.
func (m *model) value(depth int) (Value, error) {
	if len(m.text) == 0 {
		return Value{}, errIncomplete
	}
	kind := Kind(m.text[0])
	if !m.allowed(kind, depth) {
		return Value{}, errMalformed
	}
	line, err := m.line(kind)
	if err != nil {
		return Value{}, err
	}
	if kind == SimpleString || kind == Error {
		if bytes.ContainsRune(line, '\r') {
			return Value{}, errMalformed
		}
		return Value{Kind: kind, Text: bytes.Clone(line)}, nil
	}
	n, err := parseNumber(line)
	switch {
	case err != nil:
		return Value{}, errMalformed
	case kind == Integer:
		return Value{Kind: kind, Int: n}, nil
	case n == -1 && !m.limits.CommandsOnly:
		return Value{Kind: kind, Null: true}, nil
	case kind == BulkString:
		return m.bulk(n)
	}
	return m.array(n, depth)
}

// allowed reports whether a value that is nested in depth arrays may be of a kind.
func (m *model) allowed(kind Kind, depth int) bool {
	if m.limits.CommandsOnly {
		return kind == Array && depth == 0 || kind == BulkString && depth > 0
	}
	return strings.ContainsRune("+-:$*", rune(kind))
}

// line consumes the first line of a value and returns it without its kind and line end.
func (m *model) line(kind Kind) ([]byte, error) {
	limit := m.limits.Line
	if kind == BulkString || kind == Array || kind == Integer {
		limit = min(limit, 32)
	}
	end := bytes.IndexByte(m.text, '\n')
	if end < 0 && len(m.text) <= limit {
		return nil, errIncomplete
	}
	if end < 0 || end+1 > limit || m.text[end-1] != '\r' {
		return nil, errMalformed
	}
	line := m.text[1 : end-1]
	m.text = m.text[end+1:]
	if m.total += len(line) + 1; m.total > m.limits.Total {
		return nil, errMalformed
	}
	return line, nil
}

// bulk consumes the n bytes of a bulk string and its line end.
func (m *model) bulk(n int64) (Value, error) {
	if n < 0 || n > int64(m.limits.BulkString) {
		return Value{}, errMalformed
	}
	if m.total += int(n); m.total > m.limits.Total {
		return Value{}, errMalformed
	}
	if len(m.text) < int(n)+2 {
		return Value{}, errIncomplete
	}
	if string(m.text[n:n+2]) != "\r\n" {
		return Value{}, errMalformed
	}
	value := Value{Kind: BulkString, Text: m.text[:n:n]}
	m.text = m.text[n+2:]
	return value, nil
}

// array consumes the n values of an array.
func (m *model) array(n int64, depth int) (Value, error) {
	if n < 0 || n > int64(m.limits.Items) || n == 0 && m.limits.CommandsOnly || depth >= m.limits.Depth {
		return Value{}, errMalformed
	}
	array := Value{Kind: Array}
	for range n {
		item, err := m.value(depth + 1)
		if err != nil {
			return Value{}, err
		}
		array.List = append(array.List, item)
	}
	return array, nil
}

// TestAcceptBulk checks that bulk strings that are not accepted are discarded in pieces of any size, and that their
// line ends are still checked.
func TestAcceptBulk(t *testing.T) {
	text := []byte("*3\r\n$3\r\nSET\r\n$20\r\n" + strings.Repeat("x", 20) + "\r\n$0\r\n\r\n*1\r\n$4\r\nPING\r\n")
	for size := 1; size <= len(text); size++ {
		var sizes []int
		got := readInPieces(t, text, size, func(n int) bool {
			sizes = append(sizes, n)
			return n < 20
		})
		if want := "[SET false  true  false PING false]"; fmt.Sprint(got) != want {
			t.Errorf("pieces of %d bytes: %v, want %s", size, got, want)
		}
		if want := "[3 20 0 4]"; fmt.Sprint(sizes) != want {
			t.Errorf("pieces of %d bytes: sizes %v, want %s", size, sizes, want)
		}
	}
	r := Reader{Limits: commandLimits, AcceptBulk: func(int) bool { return false }}
	_, err := r.Next([]byte("*1\r\n$3\r\nabcd\r\n"))
	if want := "resp: a bulk string of 3 bytes does not end there"; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// readInPieces reads commands and returns, for each argument, its text and whether it was discarded.
func readInPieces(t *testing.T, text []byte, size int, accept func(int) bool) (args []string) {
	t.Helper()
	r := Reader{Limits: commandLimits, AcceptBulk: accept}
	for len(text) > 0 {
		frame, err := r.Next(text[:min(size, len(text))])
		if err != nil {
			t.Fatal(err)
		}
		text = text[frame.Used:]
		for _, v := range frame.Value.List { // empty unless the command is complete
			args = append(args, fmt.Sprintf("%s %v", v.Text, v.Discarded))
		}
	}
	return args
}
