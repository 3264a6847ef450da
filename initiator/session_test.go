package initiator

import (
	"errors"
	"testing"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

// pipe is a session in memory and the frames of a controller that says what it likes.
type pipe struct {
	s     *Session
	out   []byte
	frame nvme.Framing
}

func newPipe(t *testing.T) *pipe {
	t.Helper()
	p := &pipe{frame: nvme.Framing{MaxData: 1 << 20}}
	p.s = newSession(4, 64<<10, false, &eventloop.Buffers{}, &p.out, func() {}, func() {})
	if _, ok := p.s.Submit(nvme.NewRW(nvme.Read, 1, 0, 1), nil, 4096, CallFunc(func(Result) {})); ok {
		t.Error("a command before ICResp")
	}
	if _, err := p.s.Input(nvme.AppendInit(nil, nvme.TypeICResp, nvme.Init{Limit: 4096})); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *pipe) read(got *[]Result) uint16 {
	id, _ := p.s.Submit(nvme.NewRW(nvme.Read, 1, 0, 1), nil, 4096, CallFunc(func(r Result) { *got = append(*got, r) }))
	return id
}

func (p *pipe) data(id uint16, at, n int) []byte {
	return p.frame.AppendData(nil, nvme.DataHeader{Type: nvme.TypeC2HData, CID: id, Offset: at}, make([]byte, n))
}

func (p *pipe) done(id uint16) []byte {
	c := nvme.NewCompletion(id, nvme.Success, 0, 0)
	return p.frame.AppendCompletion(nil, &c)
}

// TestController has a controller say well-formed things in an impossible order: each ends the connection, and
// every command still ends once.
func TestController(t *testing.T) {
	join := func(parts ...[]byte) (all []byte) {
		for _, b := range parts {
			all = append(all, b...)
		}
		return all
	}
	for name, bytes := range map[string]func(p *pipe, id uint16) []byte{
		"an answer to what was never asked": func(p *pipe, id uint16) []byte { return p.done(id + 1) },
		"an answer to an earlier use":       func(p *pipe, id uint16) []byte { return p.done(id ^ 1<<slotBits) },
		"two answers to one command":        func(p *pipe, id uint16) []byte { return join(p.data(id, 0, 4096), p.done(id), p.done(id)) },
		"data for a finished read":          func(p *pipe, id uint16) []byte { return join(p.data(id, 0, 4096), p.done(id), p.data(id, 0, 4096)) },
		"data past what was asked":          func(p *pipe, id uint16) []byte { return p.data(id, 0, 8192) },
		"data twice":                        func(p *pipe, id uint16) []byte { return join(p.data(id, 0, 2048), p.data(id, 0, 2048)) },
		"an R2T for a read":                 func(p *pipe, id uint16) []byte { return p.frame.AppendR2T(nil, id, 1, 0, 4096) },
		"a completion before its data":      func(p *pipe, id uint16) []byte { return join(p.data(id, 0, 2048), p.done(id)) },
		"a second ICResp":                   func(*pipe, uint16) []byte { return nvme.AppendInit(nil, nvme.TypeICResp, nvme.Init{Limit: 4096}) },
	} {
		p := newPipe(t)
		var got []Result
		id := p.read(&got)
		_, err := p.s.Input(bytes(p, id))
		var fatal *nvme.FatalError
		if !errors.As(err, &fatal) {
			t.Errorf("%s: %v", name, err)
		}
		p.s.lost()
		if len(got) != 1 {
			t.Errorf("%s: the command ended %d times", name, len(got))
		}
	}
}

// TestLateAnswer abandons a command and uses every id that is free: the late answer is nobody's, and its id
// comes back only then.
func TestLateAnswer(t *testing.T) {
	p := newPipe(t)
	var first, rest []Result
	id := p.read(&first)
	p.s.Abandon(id)
	for range 10 {
		for p.s.Free() > 0 {
			next := p.read(&rest)
			if next&(MaxDepth-1) == id&(MaxDepth-1) {
				t.Fatal("an id that is still out was used again")
			}
			if _, err := p.s.Input(append(p.data(next, 0, 4096), p.done(next)...)); err != nil {
				t.Fatal(err)
			}
			if len(rest) > 8 {
				break
			}
		}
	}
	n := len(rest)
	if _, err := p.s.Input(append(p.data(id, 0, 4096), p.done(id)...)); err != nil {
		t.Fatal(err)
	}
	if len(first) != 0 || len(rest) != n || p.s.Abandoned() != 0 || p.s.Free() != 4 {
		t.Errorf("the late answer reached somebody, or its id is lost: %d, %d, %d free", len(first), len(rest)-n, p.s.Free())
	}
}
