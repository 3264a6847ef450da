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
	commands = Limits{Line: 64, Bulk: 100, Items: 6, Depth: 1, Total: 200, CommandsOnly: true}
	answers  = Limits{Line: 64, Bulk: 100, Items: 4, Depth: 3, Total: 200}
)

// all reads what is in text, in pieces of n bytes.
func all(b Limits, text []byte, n int) (list []Value, err error) {
	r := Reader{Limits: b}
	for len(text) > 0 {
		piece := text[:min(n, len(text))]
		text = text[len(piece):]
		for len(piece) > 0 {
			used, v, whole, err := r.Next(piece)
			if err != nil {
				return list, err
			}
			piece = piece[used:]
			if whole {
				list = append(list, v)
			} else if len(piece) > 0 {
				return list, errors.New("bytes are left and no value is whole")
			}
		}
	}
	return list, nil
}

func TestReads(t *testing.T) {
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
		list, err := all(commands, []byte(text), len(text))
		got := ""
		if err != nil {
			got = err.Error()
		} else {
			var words [][]string
			for _, v := range list {
				var w []string
				for _, x := range v.List {
					w = append(w, string(x.Text))
				}
				words = append(words, w)
			}
			got = fmt.Sprint(words)
		}
		if got != want {
			t.Errorf("%q: %s, expected %s", text, got, want)
		}
	}
}

func TestAnswers(t *testing.T) {
	list, err := all(answers, []byte("*3\r\n$1\r\nx\r\n$-1\r\n*2\r\n:-7\r\n*0\r\n-ERR failed\r\n+PONG\r\n*-1\r\n"), 1)
	want := []Value{
		{Kind: Array, List: []Value{{Kind: Bulk, Text: []byte("x")}, {Kind: Bulk, Null: true}, {Kind: Array, List: []Value{{Kind: Integer, Int: -7}, {Kind: Array}}}}},
		{Kind: Error, Text: []byte("ERR failed")}, {Kind: Simple, Text: []byte("PONG")}, {Kind: Array, Null: true},
	}
	if err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("%+v, %v", list, err)
	}
	for _, text := range []string{"*1\r\n*1\r\n*1\r\n*1\r\n", "HTTP/1.1 100 Continue\r\n", "$3000000000\r\n", "+a\rb\r\n", "+" + strings.Repeat("x", 64)} {
		if _, err := all(answers, []byte(text), 3); err == nil {
			t.Errorf("%q is read", text)
		}
	}
}

// TestWrites reads back what is written; an error's text can't end its line early.
func TestWrites(t *testing.T) {
	b := AppendCommand(nil, []byte("BLK.WRITE"), []byte("a\r\nb"), nil)
	list, err := all(commands, b, 1)
	if err != nil || len(list) != 1 || string(list[0].List[1].Text) != "a\r\nb" || len(list[0].List) != 3 {
		t.Fatalf("%+v, %v", list, err)
	}
	list, err = all(answers, AppendSimple(AppendError(AppendNull(nil), "ERR a\r\nb\xff"), "OK"), 1)
	if err != nil || len(list) != 3 || !list[0].Null || string(list[1].Text) != "ERR a??b?" {
		t.Fatalf("%+v, %v", list, err)
	}
}

// FuzzReader compares the reader, fed in pieces, with the model that has all at once; what it takes up is bounded by
// what it was given, not by what lengths claim.
func FuzzReader(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"), 3, true)
	f.Add([]byte("*3\r\n$1\r\nx\r\n$-1\r\n$14\r\nutil=0.1,a=2.5\r\n-BUSY\r\n"), 1, false)
	f.Add([]byte("$3000000000\r\nxxxxxxxx"), 5, false)
	f.Add([]byte("*3\r\n*2\r\n:1\r\n+x\r\n*0\r\n*-1\r\n"), 2, false)
	f.Fuzz(func(t *testing.T, in []byte, n int, command bool) {
		bounds := answers
		if command {
			bounds = commands
		}
		var got []Value
		var err error
		used := heap.Bytes(func() { got, err = all(bounds, in, max(n, 1)%64+1) })
		if used > uint64(4<<20+1000*len(in)) {
			t.Fatalf("%d bytes are allocated for %d", used, len(in))
		}
		want, bad := plain(bounds, in)
		if len(got) != len(want) || (err != nil) != bad {
			t.Fatalf("%q: %d values and %v, the model has %d and %v", in, len(got), err, len(want), bad)
		}
		for i := range got {
			if !reflect.DeepEqual(got[i], want[i]) {
				t.Fatalf("%q: value %d is %+v, the model has %+v", in, i, got[i], want[i])
			}
		}
	})
}

// ---- The model: it has the whole text, and takes values off its front ----

type model struct {
	b     Limits
	text  []byte
	total int
}

var errShort, errBad = errors.New("not whole"), errors.New("bad")

func plain(b Limits, text []byte) (list []Value, bad bool) {
	m := &model{b: b, text: text}
	for len(m.text) > 0 {
		m.total = 0
		v, err := m.value(0)
		if err != nil {
			return list, err == errBad
		}
		list = append(list, v)
	}
	return list, false
}

func (m *model) value(depth int) (v Value, err error) {
	if len(m.text) == 0 {
		return v, errShort
	}
	kind := m.text[0]
	if !strings.ContainsRune("+-:$*", rune(kind)) || m.b.CommandsOnly && (depth == 0 && kind != '*' || depth > 0 && kind != '$') {
		return v, errBad
	}
	most := m.b.Line
	if kind == '$' || kind == '*' || kind == ':' {
		most = min(most, 32)
	}
	end := bytes.IndexByte(m.text, '\n')
	if end < 0 && len(m.text) <= most {
		return v, errShort
	}
	if end < 0 || end+1 > most || m.text[end-1] != '\r' {
		return v, errBad
	}
	line := m.text[1 : end-1]
	m.text = m.text[end+1:]
	if m.total += len(line) + 1; m.total > m.b.Total {
		return v, errBad
	}
	v.Kind = Kind(kind)
	if kind == '+' || kind == '-' {
		if bytes.ContainsRune(line, '\r') {
			return v, errBad
		}
		v.Text = bytes.Clone(line)
		return v, nil
	}
	n, err := number(line)
	switch {
	case err != nil:
		return v, errBad
	case kind == ':':
		v.Int = n
		return v, nil
	case n == -1 && !m.b.CommandsOnly:
		v.Null = true
		return v, nil
	case kind == '$':
		if n < 0 || n > int64(m.b.Bulk) {
			return v, errBad
		}
		if m.total += int(n); m.total > m.b.Total {
			return v, errBad
		}
		if len(m.text) < int(n)+2 {
			return v, errShort
		}
		v.Text = m.text[:n:n]
		if string(m.text[n:n+2]) != "\r\n" {
			return v, errBad
		}
		m.text = m.text[n+2:]
		return v, nil
	}
	if n < 0 || n > int64(m.b.Items) || n == 0 && m.b.CommandsOnly || depth >= m.b.Depth {
		return v, errBad
	}
	for range n {
		x, err := m.value(depth + 1)
		if err != nil {
			return v, err
		}
		v.List = append(v.List, x)
	}
	return v, nil
}
