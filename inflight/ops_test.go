package inflight

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// world is books between a module, clients and a sender that tests play themselves.
type world struct {
	t       *testing.T
	l       *eventloop.Loop
	b       *Tracker
	says    func(honeyplank.Event) []honeyplank.Action
	events  []honeyplank.Event
	sent    []*Dispatch
	stopped []*Dispatch
	written map[*Dispatch]bool
	send    func(*Dispatch)
}

type answers struct{ list []string }

func (a *answers) Succeeded(data []byte) { a.list = append(a.list, "acked "+string(data)) }
func (a *answers) Rejected(after time.Duration) {
	a.list = append(a.list, "throttled "+after.String())
}
func (a *answers) Failed() { a.list = append(a.list, "aborted") }

func (w *world) Handle(_ time.Duration, e honeyplank.Event) []honeyplank.Action {
	w.events = append(w.events, e)
	return w.says(e)
}

func (w *world) Send(d *Dispatch) {
	w.sent = append(w.sent, d)
	if w.send != nil {
		w.send(d)
	}
}
func (w *world) Written(d *Dispatch) bool { return w.written[d] }
func (w *world) Cancel(d *Dispatch)       { w.stopped = append(w.stopped, d) }

func start(t *testing.T) *world {
	l, err := eventloop.New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, l: l, written: map[*Dispatch]bool{}}
	w.b = New(l, w, w)
	// Every op goes out once; what comes back without an ack is aborted.
	w.says = func(e honeyplank.Event) []honeyplank.Action {
		switch e := e.(type) {
		case honeyplank.Op:
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "x"}}
		case honeyplank.Outcome:
			if !e.Answered {
				return []honeyplank.Action{honeyplank.Fail{Op: e.Op}}
			}
		}
		return nil
	}
	return w
}

// run runs the loop for a time.
func (w *world) run(d time.Duration) {
	w.l.Schedule(w.l.Now()+d, w.l.Stop)
	if err := w.l.Run(); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) take(id string, within time.Duration) *answers {
	a := &answers{}
	if !w.b.Admit(honeyplank.Op{ID: honeyplank.OpID(id), Timeout: w.l.Now() + within}, a) {
		w.t.Fatalf("op %s is not taken", id)
	}
	return a
}

func (w *world) outcomes() (list []honeyplank.Outcome) {
	for _, e := range w.events {
		if o, ok := e.(honeyplank.Outcome); ok {
			list = append(list, o)
		}
	}
	return list
}

func same(t *testing.T, a *answers, want ...string) {
	t.Helper()
	if fmt.Sprint(a.list) != fmt.Sprint(want) {
		t.Errorf("answers %v, expected %v", a.list, want)
	}
}

// TestFirstAck: the first ack answers; later ends of the same dispatch, and acks of another, answer nothing.
func TestFirstAck(t *testing.T) {
	w := start(t)
	w.says = func(e honeyplank.Event) []honeyplank.Action {
		if e, ok := e.(honeyplank.Op); ok {
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "x"}, honeyplank.Dispatch{Op: e.ID, Server: "y"}}
		}
		return nil
	}
	a := w.take("a", time.Second)
	w.written[w.sent[0]], w.written[w.sent[1]] = true, true
	w.sent[1].Finish(honeyplank.Succeeded, []byte("1"), Feedback{QuotaUsed: 3})
	w.sent[1].Finish(honeyplank.Reset, nil, Feedback{})
	if w.b.Unanswered() != 0 || w.b.Outstanding() != 1 {
		t.Errorf("owed %d, out %d", w.b.Unanswered(), w.b.Outstanding())
	}
	w.sent[0].Finish(honeyplank.Succeeded, []byte("2"), Feedback{})
	same(t, a, "acked 1")
	got := w.outcomes()
	if len(got) != 2 || got[0].Dispatch != 1 || got[0].QuotaUsed != 3 || !got[0].Answered || got[1].Dispatch != 0 || !got[1].Answered {
		t.Errorf("%+v", got)
	}
	if len(w.b.ops) != 0 {
		t.Error("an op that is over is kept")
	}
}

// TestDue: what has left whole has timed out, what has not never ran; the sender is told either way.
func TestDue(t *testing.T) {
	w := start(t)
	a, b := w.take("a", 20*time.Millisecond), w.take("b", 20*time.Millisecond)
	w.written[w.sent[0]] = true
	w.run(60 * time.Millisecond)
	same(t, a, "aborted")
	same(t, b, "aborted")
	got := w.outcomes()
	if len(got) != 2 || got[0].Code != honeyplank.TimedOut || got[1].Code != honeyplank.ConnectFailed || len(w.stopped) != 2 {
		t.Errorf("%+v, %d stopped", got, len(w.stopped))
	}
}

// TestAfter: a dispatch's own time-out ends it before the op's.
func TestAfter(t *testing.T) {
	w := start(t)
	w.says = func(e honeyplank.Event) []honeyplank.Action {
		switch e := e.(type) {
		case honeyplank.Op:
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "x", Timeout: 10 * time.Millisecond}}
		case honeyplank.Outcome:
			return []honeyplank.Action{honeyplank.Reject{Op: e.Op, RetryAfter: time.Second}}
		}
		return nil
	}
	a := w.take("a", time.Hour)
	w.run(40 * time.Millisecond)
	same(t, a, "throttled 1s")
}

// TestSameID: an id is refused while its op is owed an answer, or a dispatch of it is out.
func TestSameID(t *testing.T) {
	w := start(t)
	a, again := w.take("a", time.Second), &answers{}
	if w.b.Admit(honeyplank.Op{ID: "a", Timeout: time.Hour}, again) {
		t.Error("an open id is taken twice")
	}
	w.written[w.sent[0]] = true
	w.b.ClientGone("a")
	if w.b.Admit(honeyplank.Op{ID: "a", Timeout: time.Hour}, again) {
		t.Error("an id with a dispatch out is taken twice")
	}
	w.sent[0].Finish(honeyplank.Succeeded, nil, Feedback{})
	same(t, a)
	same(t, again)
	if !w.b.Admit(honeyplank.Op{ID: "a", Timeout: time.Hour}, again) {
		t.Error("an id that is over is not taken")
	}
}

// TestRecalled: once an op is over, by its client's leave, an answer or the end of all, what has not left for it is
// stopped and told as never sent; what has left is waited for.
func TestRecalled(t *testing.T) {
	for name, end := range map[string]func(*world){
		"leave":     func(w *world) { w.b.ClientGone("a") },
		"ack":       func(w *world) { w.sent[1].Finish(honeyplank.Succeeded, nil, Feedback{}) },
		"throttled": func(w *world) { w.b.execute(honeyplank.Reject{Op: "a"}) },
		"aborted":   func(w *world) { w.b.execute(honeyplank.Fail{Op: "a"}) },
		"all":       func(w *world) { w.b.FailAll() },
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t)
			w.says = func(e honeyplank.Event) []honeyplank.Action {
				if e, ok := e.(honeyplank.Op); ok {
					d := honeyplank.Dispatch{Op: e.ID, Server: "x"}
					return []honeyplank.Action{d, d, d}
				}
				return nil
			}
			w.take("a", time.Second)
			w.written[w.sent[0]], w.written[w.sent[1]] = true, true
			end(w)
			if len(w.stopped) != 1 || w.stopped[0] != w.sent[2] || !w.sent[2].Ended() {
				t.Errorf("%d dispatches are stopped", len(w.stopped))
			}
			var moot []int
			for _, o := range w.outcomes() {
				if o.Code == honeyplank.NotSent && o.Answered {
					moot = append(moot, o.Dispatch)
				}
			}
			if fmt.Sprint(moot) != "[2]" {
				t.Errorf("%v are told as never sent", moot)
			}
			w.sent[0].Finish(honeyplank.Succeeded, nil, Feedback{})
			w.sent[1].Finish(honeyplank.Succeeded, nil, Feedback{})
			if w.b.Outstanding() != 0 || len(w.b.ops) != 0 {
				t.Errorf("%d out, %d ops kept", w.b.Outstanding(), len(w.b.ops))
			}
		})
	}
}

// TestOrder: what happens while the module is told waits its turn.
func TestOrder(t *testing.T) {
	w := start(t)
	w.send = func(d *Dispatch) { d.Finish(honeyplank.Rejected, nil, Feedback{}) }
	depth, most := 0, 0
	says := w.says
	w.says = func(e honeyplank.Event) []honeyplank.Action {
		depth++
		most = max(most, depth)
		defer func() { depth-- }()
		return says(e)
	}
	a := w.take("a", time.Second)
	same(t, a, "aborted")
	if most != 1 || len(w.events) != 2 {
		t.Errorf("%d events, %d at a time", len(w.events), most)
	}
}

// TestMoot: an op that is over, or whose time is, is not sent.
func TestMoot(t *testing.T) {
	w := start(t)
	a := w.take("a", 0)
	same(t, a, "aborted")
	if got := w.outcomes(); len(got) != 1 || got[0].Code != honeyplank.NotSent || len(w.sent) != 0 {
		t.Errorf("%+v, %d sent", got, len(w.sent))
	}
}

func TestAbortAll(t *testing.T) {
	w := start(t)
	var order []string
	for i := range 20 {
		id := fmt.Sprint(i)
		w.b.Admit(honeyplank.Op{ID: honeyplank.OpID(id), Timeout: time.Hour}, &told{func(string) { order = append(order, id) }})
	}
	w.b.FailAll()
	if fmt.Sprint(order) != "[0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19]" || w.b.Unanswered() != 0 {
		t.Errorf("%v, %d owed", order, w.b.Unanswered())
	}
}

type told struct{ f func(string) }

func (a *told) Succeeded([]byte)       { a.f("acked") }
func (a *told) Rejected(time.Duration) { a.f("throttled") }
func (a *told) Failed()                { a.f("aborted") }

// FuzzBook plays any module and any sender: each op has at most one answer, and one in the end unless it lapsed;
// each dispatch has one outcome.
func FuzzBook(f *testing.F) {
	for seed := range int64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		rng := rand.New(rand.NewSource(seed))
		w := start(t)
		defer w.l.Run()
		defer w.l.Stop()
		dispatched, outcomes := 0, map[string]int{}
		w.says = func(e honeyplank.Event) (out []honeyplank.Action) {
			if o, ok := e.(honeyplank.Outcome); ok {
				outcomes[fmt.Sprintf("%s/%d", o.Op, o.Dispatch)]++
			}
			for range rng.Intn(3) {
				id := honeyplank.OpID(fmt.Sprint(rng.Intn(30)))
				switch rng.Intn(5) {
				case 0, 1:
					if w.b.ops[id] != nil {
						dispatched++
						out = append(out, honeyplank.Dispatch{Op: id, Server: "x"})
					}
				case 2:
					out = append(out, honeyplank.Reject{Op: id})
				case 3:
					out = append(out, honeyplank.Fail{Op: id})
				case 4:
					out = append(out, honeyplank.Cancel{Op: id, Dispatch: rng.Intn(3)})
				}
			}
			return out
		}
		answered, lapsed, taken := map[int]int{}, map[int]bool{}, 0
		for i := range 30 {
			w.b.Admit(honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Timeout: time.Hour}, &told{func(string) { answered[i]++ }})
			taken++
			if len(w.sent) > 0 && rng.Intn(2) == 0 {
				w.sent[rng.Intn(len(w.sent))].Finish(honeyplank.Code(1+rng.Intn(8)), nil, Feedback{})
			}
			if n := rng.Intn(30); n <= i && rng.Intn(4) == 0 {
				lapsed[n] = lapsed[n] || answered[n] == 0
				w.b.ClientGone(honeyplank.OpID(fmt.Sprint(n)))
			}
		}
		w.b.FailAll()
		for len(w.sent) > 0 {
			d := w.sent[0]
			w.sent = w.sent[1:]
			d.Finish(honeyplank.TimedOut, nil, Feedback{})
		}
		for i := range taken {
			if want := 1; lapsed[i] {
				want = 0
				if answered[i] != want {
					t.Fatalf("op %d lapsed and has %d answers", i, answered[i])
				}
			} else if answered[i] != want {
				t.Fatalf("op %d has %d answers", i, answered[i])
			}
		}
		for name, n := range outcomes {
			if n != 1 {
				t.Fatalf("dispatch %s has %d outcomes", name, n)
			}
		}
		if w.b.Unanswered() != 0 || len(outcomes) != w.b.Counts.Dispatches {
			t.Fatalf("%d owed, %d outcomes of %d dispatches", w.b.Unanswered(), len(outcomes), w.b.Counts.Dispatches)
		}
	})
}
