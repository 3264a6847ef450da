package inflight

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/eventloop"
)

// harness is a Tracker with a test double as its decision module and Sender.
type harness struct {
	t         *testing.T
	loop      *eventloop.Loop
	tracker   *Tracker
	decide    func(honeyplank.Event) []honeyplank.Action // the module's decisions
	onSend    func(*Dispatch)                            // called by Send, if set
	events    []honeyplank.Event
	sent      []*Dispatch
	abandoned []*Dispatch
	cancelled []*Dispatch
	written   map[*Dispatch]bool
}

// recordingClient records the answers that it gets.
type recordingClient struct{ answers []string }

func (c *recordingClient) Succeeded(data []byte) {
	c.answers = append(c.answers, "succeeded "+string(data))
}
func (c *recordingClient) Rejected(after time.Duration) {
	c.answers = append(c.answers, "rejected "+after.String())
}
func (c *recordingClient) Failed() { c.answers = append(c.answers, "failed") }

func (h *harness) Handle(_ time.Duration, e honeyplank.Event) []honeyplank.Action {
	h.events = append(h.events, e)
	return h.decide(e)
}

func (h *harness) Send(d *Dispatch) {
	h.sent = append(h.sent, d)
	if h.onSend != nil {
		h.onSend(d)
	}
}
func (h *harness) Written(d *Dispatch) bool { return h.written[d] }
func (h *harness) Abandon(d *Dispatch)      { h.abandoned = append(h.abandoned, d) }
func (h *harness) Cancel(d *Dispatch)       { h.cancelled = append(h.cancelled, d) }

// newHarness returns a harness whose module dispatches each op once and fails it unless the dispatch succeeds.
func newHarness(t *testing.T) *harness {
	t.Helper()
	loop, err := eventloop.New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, loop: loop, written: map[*Dispatch]bool{}}
	h.tracker = New(loop, h, h)
	h.decide = func(e honeyplank.Event) []honeyplank.Action {
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
	return h
}

// run runs the loop for a time.
func (h *harness) run(d time.Duration) {
	h.t.Helper()
	h.loop.Schedule(h.loop.Now()+d, h.loop.Stop)
	if err := h.loop.Run(); err != nil {
		h.t.Fatal(err)
	}
}

// close closes the loop without running it.
func (h *harness) close() {
	h.t.Helper()
	h.loop.Stop()
	if err := h.loop.Run(); err != nil {
		h.t.Error(err)
	}
}

// admit admits an op. Its deadline is the current time plus the duration within.
func (h *harness) admit(id string, within time.Duration) *recordingClient {
	h.t.Helper()
	client := &recordingClient{}
	if !h.tracker.Admit(honeyplank.Op{ID: honeyplank.OpID(id), Deadline: h.loop.Now() + within}, client) {
		h.t.Fatalf("op %s was not admitted", id)
	}
	return client
}

func (h *harness) outcomes() (list []honeyplank.Outcome) {
	for _, e := range h.events {
		if o, ok := e.(honeyplank.Outcome); ok {
			list = append(list, o)
		}
	}
	return list
}

func expectAnswers(t *testing.T, c *recordingClient, want ...string) {
	t.Helper()
	if fmt.Sprint(c.answers) != fmt.Sprint(want) {
		t.Errorf("answers %v, want %v", c.answers, want)
	}
}

// TestFirstSuccessAnswers checks that the first success answers the op, and that a second outcome of the same dispatch
// and a success of another dispatch do not.
func TestFirstSuccessAnswers(t *testing.T) {
	h := newHarness(t)
	h.decide = func(e honeyplank.Event) []honeyplank.Action {
		if e, ok := e.(honeyplank.Op); ok {
			return []honeyplank.Action{
				honeyplank.Dispatch{Op: e.ID, Server: "x"},
				honeyplank.Dispatch{Op: e.ID, Server: "y"},
			}
		}
		return nil
	}
	client := h.admit("a", time.Second)
	h.written[h.sent[0]], h.written[h.sent[1]] = true, true
	h.sent[1].Finish(honeyplank.Succeeded, []byte("1"), Feedback{QuotaUsed: 3})
	h.sent[1].Finish(honeyplank.Reset, nil, Feedback{})
	if h.tracker.Unanswered() != 0 || h.tracker.Outstanding() != 1 {
		t.Errorf("%d unanswered, %d outstanding; want 0 and 1", h.tracker.Unanswered(), h.tracker.Outstanding())
	}
	h.sent[0].Finish(honeyplank.Succeeded, []byte("2"), Feedback{})
	expectAnswers(t, client, "succeeded 1")
	got := h.outcomes()
	if len(got) != 2 {
		t.Fatalf("%d outcomes, want 2", len(got))
	}
	if got[0].Dispatch != 1 || got[0].QuotaUsed != 3 || !got[0].Answered {
		t.Errorf("first outcome %+v, want that of dispatch 1, answered, with quota 3", got[0])
	}
	if got[1].Dispatch != 0 || !got[1].Answered {
		t.Errorf("second outcome %+v, want that of dispatch 0, answered", got[1])
	}
	if len(h.tracker.ops) != 0 {
		t.Error("an op without outstanding dispatches is kept after its answer")
	}
}

// TestOpDeadline checks that at the deadline of an op a written dispatch ends as timed out and an unwritten one as a
// failed connect, and that both are cancelled at the sender.
func TestOpDeadline(t *testing.T) {
	h := newHarness(t)
	written, unwritten := h.admit("a", 20*time.Millisecond), h.admit("b", 20*time.Millisecond)
	h.written[h.sent[0]] = true
	h.run(60 * time.Millisecond)
	expectAnswers(t, written, "failed")
	expectAnswers(t, unwritten, "failed")
	got := h.outcomes()
	if len(got) != 2 || len(h.cancelled) != 2 {
		t.Fatalf("outcomes %+v, %d dispatches cancelled; want 2 of each", got, len(h.cancelled))
	}
	if got[0].Code != honeyplank.TimedOut || got[1].Code != honeyplank.ConnectFailed {
		t.Errorf("outcomes %+v, want one timeout and one failed connect", got)
	}
}

// TestDispatchTimeout checks that a dispatch's own timeout ends it before the op's deadline.
func TestDispatchTimeout(t *testing.T) {
	h := newHarness(t)
	h.decide = func(e honeyplank.Event) []honeyplank.Action {
		switch e := e.(type) {
		case honeyplank.Op:
			return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "x", Timeout: 10 * time.Millisecond}}
		case honeyplank.Outcome:
			return []honeyplank.Action{honeyplank.Reject{Op: e.Op, RetryAfter: time.Second}}
		}
		return nil
	}
	client := h.admit("a", time.Hour)
	h.run(40 * time.Millisecond)
	expectAnswers(t, client, "rejected 1s")
}

// TestDuplicateID checks that an id is not admitted while an op with this id has no answer or a dispatch without an
// outcome, nor after it ran for a client that has left. The id of an answered op is admitted again.
func TestDuplicateID(t *testing.T) {
	h := newHarness(t)
	first, again := h.admit("a", time.Second), &recordingClient{}
	if h.tracker.Admit(honeyplank.Op{ID: "a", Deadline: time.Hour}, again) {
		t.Error("an id is admitted again before its op is answered")
	}
	h.written[h.sent[0]] = true
	h.tracker.ClientGone("a")
	if h.tracker.Admit(honeyplank.Op{ID: "a", Deadline: time.Hour}, again) {
		t.Error("an id is admitted again while a dispatch of its op is outstanding")
	}
	h.sent[0].Finish(honeyplank.Succeeded, nil, Feedback{})
	expectAnswers(t, first)
	expectAnswers(t, again)
	if h.tracker.Admit(honeyplank.Op{ID: "a", Deadline: time.Hour}, again) {
		t.Error("the id of an op that ran for a client that has left is admitted again")
	}
	answered := h.admit("b", time.Second)
	h.sent[1].Finish(honeyplank.Succeeded, nil, Feedback{})
	expectAnswers(t, answered, "succeeded ")
	if !h.tracker.Admit(honeyplank.Op{ID: "b", Deadline: time.Hour}, again) {
		t.Error("the id of a finished op is not admitted again")
	}
}

// TestCancelUnsent ends an op in each possible way: its unwritten dispatches must be cancelled and reported as not
// sent, and its written dispatches must stay outstanding until they have outcomes.
func TestCancelUnsent(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"client gone": func(h *harness) { h.tracker.ClientGone("a") },
		"succeeded":   func(h *harness) { h.sent[1].Finish(honeyplank.Succeeded, nil, Feedback{}) },
		"rejected":    func(h *harness) { h.tracker.execute(honeyplank.Reject{Op: "a"}) },
		"failed":      func(h *harness) { h.tracker.execute(honeyplank.Fail{Op: "a"}) },
		"fail all":    func(h *harness) { h.tracker.FailAll() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.decide = dispatchThrice
			h.admit("a", time.Second)
			h.written[h.sent[0]], h.written[h.sent[1]] = true, true
			end(h)
			h.checkAbandoned()
			if notSent := h.notSent(); !slices.Equal(notSent, []int{2}) {
				t.Errorf("dispatches %v reported as not sent, want [2]", notSent)
			}
			h.sent[0].Finish(honeyplank.Succeeded, nil, Feedback{})
			h.sent[1].Finish(honeyplank.Succeeded, nil, Feedback{})
			if h.tracker.Outstanding() != 0 || len(h.tracker.ops) != 0 {
				t.Errorf("%d dispatches outstanding, %d ops kept; want none",
					h.tracker.Outstanding(), len(h.tracker.ops))
			}
		})
	}
}

// checkAbandoned checks that the third dispatch was cancelled, and that each of the others that has not ended was
// abandoned once.
func (h *harness) checkAbandoned() {
	h.t.Helper()
	if len(h.cancelled) != 1 || h.cancelled[0] != h.sent[2] || !h.sent[2].Ended() {
		h.t.Errorf("%d dispatches cancelled, want only the unwritten one", len(h.cancelled))
	}
	want := slices.DeleteFunc(slices.Clone(h.sent[:2]), (*Dispatch).Ended)
	if !slices.Equal(h.abandoned, want) {
		h.t.Errorf("%d written dispatches abandoned, want %d, each once", len(h.abandoned), len(want))
	}
}

// dispatchThrice dispatches each op three times and ignores other events.
func dispatchThrice(e honeyplank.Event) []honeyplank.Action {
	op, ok := e.(honeyplank.Op)
	if !ok {
		return nil
	}
	d := honeyplank.Dispatch{Op: op.ID, Server: "x"}
	return []honeyplank.Action{d, d, d}
}

// notSent returns the indexes of the dispatches that were reported as not sent after their op had ended.
func (h *harness) notSent() []int {
	var dispatches []int
	for _, o := range h.outcomes() {
		if o.Code == honeyplank.NotSent && o.Answered {
			dispatches = append(dispatches, o.Dispatch)
		}
	}
	return dispatches
}

// TestEventsAreHandledInOrder checks that an event that occurs while the module handles another one is handled later.
func TestEventsAreHandledInOrder(t *testing.T) {
	h := newHarness(t)
	h.onSend = func(d *Dispatch) { d.Finish(honeyplank.Rejected, nil, Feedback{}) }
	depth, maxDepth := 0, 0
	decide := h.decide
	h.decide = func(e honeyplank.Event) []honeyplank.Action {
		depth++
		maxDepth = max(maxDepth, depth)
		defer func() { depth-- }()
		return decide(e)
	}
	client := h.admit("a", time.Second)
	expectAnswers(t, client, "failed")
	if maxDepth != 1 || len(h.events) != 2 {
		t.Errorf("%d events, %d at a time; want 2, one at a time", len(h.events), maxDepth)
	}
}

// TestNotSentPastDeadline checks that an op is not sent if its deadline has passed.
func TestNotSentPastDeadline(t *testing.T) {
	h := newHarness(t)
	client := h.admit("a", 0)
	expectAnswers(t, client, "failed")
	if got := h.outcomes(); len(got) != 1 || got[0].Code != honeyplank.NotSent || len(h.sent) != 0 {
		t.Errorf("outcomes %+v, %d dispatches sent; want one not sent", got, len(h.sent))
	}
}

// TestFailAll checks that FailAll fails all ops in the order of their admission.
func TestFailAll(t *testing.T) {
	h := newHarness(t)
	var order []string
	for i := range 20 {
		id := fmt.Sprint(i)
		client := &funcClient{func(string) { order = append(order, id) }}
		h.tracker.Admit(honeyplank.Op{ID: honeyplank.OpID(id), Deadline: time.Hour}, client)
	}
	h.tracker.FailAll()
	if fmt.Sprint(order) != "[0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19]" || h.tracker.Unanswered() != 0 {
		t.Errorf("ops failed in the order %v, %d unanswered; want 0 to 19 and none", order, h.tracker.Unanswered())
	}
}

// funcClient calls a function for each answer.
type funcClient struct{ onAnswer func(string) }

func (c *funcClient) Succeeded([]byte)       { c.onAnswer("succeeded") }
func (c *funcClient) Rejected(time.Duration) { c.onAnswer("rejected") }
func (c *funcClient) Failed()                { c.onAnswer("failed") }

// FuzzTracker runs a Tracker with a module, a sender and clients that act at random: each op must get exactly one
// answer, or none if its client goes first, and each dispatch must get exactly one outcome.
func FuzzTracker(f *testing.F) {
	for seed := range int64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := &randomRun{
			harness:  newHarness(t),
			rng:      rand.New(rand.NewSource(seed)),
			outcomes: map[string]int{},
			answers:  map[int]int{},
			gone:     map[int]bool{},
		}
		defer r.close()
		r.decide = r.randomActions
		for i := range randomOps {
			r.step(i)
		}
		r.tracker.FailAll()
		for len(r.sent) > 0 {
			d := r.sent[0]
			r.sent = r.sent[1:]
			d.Finish(honeyplank.TimedOut, nil, Feedback{})
		}
		r.check()
	})
}

// randomOps is the number of ops of a randomRun.
const randomOps = 30

// randomRun is a harness whose module, sender and clients act at random.
type randomRun struct {
	*harness
	rng      *rand.Rand
	outcomes map[string]int // number of outcomes by dispatch
	answers  map[int]int    // number of answers by op
	gone     map[int]bool   // ops whose client went before an answer
}

// randomActions counts outcomes and returns up to two actions on random ops, some of which are not in flight.
func (r *randomRun) randomActions(e honeyplank.Event) (actions []honeyplank.Action) {
	if o, ok := e.(honeyplank.Outcome); ok {
		r.outcomes[fmt.Sprintf("%s/%d", o.Op, o.Dispatch)]++
	}
	for range r.rng.Intn(3) {
		id := honeyplank.OpID(fmt.Sprint(r.rng.Intn(randomOps)))
		switch r.rng.Intn(5) {
		case 0, 1:
			if r.tracker.ops[id] != nil {
				actions = append(actions, honeyplank.Dispatch{Op: id, Server: "x"})
			}
		case 2:
			actions = append(actions, honeyplank.Reject{Op: id})
		case 3:
			actions = append(actions, honeyplank.Fail{Op: id})
		case 4:
			actions = append(actions, honeyplank.Cancel{Op: id, Dispatch: r.rng.Intn(3)})
		}
	}
	return actions
}

// step admits op i. Then, at random, a dispatch ends and the client of an op goes.
func (r *randomRun) step(i int) {
	op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Deadline: time.Hour}
	r.tracker.Admit(op, &funcClient{func(string) { r.answers[i]++ }})
	if len(r.sent) > 0 && r.rng.Intn(2) == 0 {
		r.sent[r.rng.Intn(len(r.sent))].Finish(honeyplank.Code(1+r.rng.Intn(8)), nil, Feedback{})
	}
	if n := r.rng.Intn(randomOps); n <= i && r.rng.Intn(4) == 0 {
		r.gone[n] = r.gone[n] || r.answers[n] == 0
		r.tracker.ClientGone(honeyplank.OpID(fmt.Sprint(n)))
	}
}

func (r *randomRun) check() {
	r.t.Helper()
	for i := range randomOps {
		want := 1
		if r.gone[i] {
			want = 0
		}
		if r.answers[i] != want {
			r.t.Fatalf("op %d has %d answers, want %d; client gone first: %v", i, r.answers[i], want, r.gone[i])
		}
	}
	for name, n := range r.outcomes {
		if n != 1 {
			r.t.Fatalf("dispatch %s has %d outcomes, want 1", name, n)
		}
	}
	if unanswered := r.tracker.Unanswered(); unanswered != 0 {
		r.t.Fatalf("%d ops are unanswered", unanswered)
	}
	if dispatches := r.tracker.Counts.Dispatches; len(r.outcomes) != dispatches {
		r.t.Fatalf("%d dispatches have outcomes, want all %d", len(r.outcomes), dispatches)
	}
}

// TestIDOfDepartedClient guards against the failure that an op runs twice because its id comes again after its client
// has left. An op of which nothing was sent may come again.
func TestIDOfDepartedClient(t *testing.T) {
	h := newHarness(t)
	h.onSend = func(d *Dispatch) { h.written[d] = d.Op() != "unsent" }
	admit := func(id honeyplank.OpID) bool {
		return h.tracker.Admit(honeyplank.Op{ID: id, Deadline: h.loop.Now() + time.Second}, &recordingClient{})
	}
	for _, id := range []honeyplank.OpID{"sent", "unsent"} {
		admit(id)
		h.tracker.ClientGone(id)
		h.sent[len(h.sent)-1].Cancel()
	}
	if admit("sent") || !h.tracker.Departed("sent") {
		t.Error("the id of an op that may have run was admitted again after its client had left")
	}
	if !admit("unsent") {
		t.Error("the id of an op that was not sent was not admitted again")
	}
	for n := range 2 * maxDeparted {
		id := honeyplank.OpID(fmt.Sprint(n))
		admit(id)
		h.tracker.ClientGone(id)
		h.sent[len(h.sent)-1].Cancel()
	}
	if n := len(h.tracker.departed.known); n != maxDeparted || len(h.tracker.departed.order) != maxDeparted {
		t.Errorf("%d ids are remembered, want %d", n, maxDeparted)
	}
	if h.tracker.Departed("sent") {
		t.Error("an id is remembered although many others came after it")
	}
}
