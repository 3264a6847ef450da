package policy

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

func member(i int, started time.Duration) honeyplank.Member {
	return honeyplank.Member{ID: honeyplank.ServerID(fmt.Sprint("osd", i)), Started: started, Cell: i, Zone: i % 2, Size: 1}
}

// generate draws settings, also such as no site has today.
func generate(r *rand.Rand) *honeyplank.Settings {
	set := figures()
	set.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.Semantics(r.Intn(3)), honeyplank.Semantics(r.Intn(3))}
	set.OpTypes.DedupScope = []honeyplank.DedupScope{honeyplank.DedupScope(r.Intn(3)), honeyplank.DedupScope(r.Intn(3))}
	set.OpTypes.Ordered = []bool{r.Intn(2) == 0, r.Intn(2) == 0}
	set.OpTypes.DedupWindow = []time.Duration{time.Duration(r.Intn(600)) * ms, time.Second}
	set.Dispatches.Parallel, set.Dispatches.Max = r.Intn(2) == 0, r.Intn(5)
	set.Dispatches.Cancel = r.Intn(4) > 0
	set.Schedulers, set.OrderSettle = 1+r.Intn(3), time.Duration(r.Intn(150))*ms
	if r.Intn(2) == 0 {
		set.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: float64(r.Intn(3)), Share: 0.1, Window: 500 * ms}
	}
	set.Plans.Limit, set.Plans.Burst = []float64{float64(30 * r.Intn(2))}, []float64{36}
	set.Dispatches.ConnectTimeout = time.Duration(r.Intn(2)*r.Intn(300)) * ms
	set.SlowStart.From, set.SlowStart.Units, set.SlowStart.Time, set.SlowStart.Window = 0.2, 20.0, 2*time.Second, 300*ms
	set.Watch.OnRequest, set.Watch.Within = r.Intn(2) == 0, time.Second
	set.RetryAfter.Allowed, set.RetryAfter.Max = r.Intn(2) == 0, 500*ms
	set.Usage.Period = time.Duration(r.Intn(2)) * time.Second
	set.Usage.Elsewhere = set.RetryAfter.Allowed
	odd := []func(){
		func() { set.OpTypes.TargetLatency = nil }, func() { set.OpTypes.Utility = nil }, func() { set.Plans.Weight = nil },
		func() { set.Plans.Reserve = nil }, func() { set.Plans.Rate = nil }, func() { set.LargestUnits = 0 },
		func() { set.OpTypes.Semantics = nil }, func() { set.Schedulers = 0 },
	}
	for i := range r.Intn(2) * r.Intn(4) { // odd but legal: absent
		odd[(i+r.Intn(8))%8]()
	}
	if r.Intn(4) == 0 {
		set.Plans.Weight, set.OpTypes.TargetLatency = []float64{0}, []time.Duration{0, 0}
	}
	return set
}

// FuzzRules plays generated days to several hosts and holds every action to the model. At each step the
// module and the model must also agree on what each held op may do.
func FuzzRules(f *testing.F) {
	for seed := range int64(16) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		w := newWorld(t, seed, generate(r))
		codes := []honeyplank.Code{1, 1, 1, 1, 2, 3, 4, 5, 6, 7, 8}
		w.now = time.Second
		before := rand.New(rand.NewSource(seed + 1))
		for i := range before.Intn(2) * len(w.hosts) { // some have learnt before, also nonsense
			w.give(i, honeyplank.SavedEstimates{TypicalLatency: before.Float64(), Servers: []honeyplank.ServerEstimate{{Server: "osd0",
				At: time.Duration(before.Intn(4000)-2000) * ms, BestPerUnit: before.Float64() * 0.1, Latency: before.Float64()}, {Server: "osd9", Latency: 3}}})
		}
		w.list(honeyplank.Cached, member(0, 0), member(1, 0), member(2, 0), member(3, 0))
		for n := 0; n < 1500; n++ {
			for range r.Intn(3) {
				typ := r.Intn(2)
				left := valueAt(w.set.OpTypes.OpTimeout, typ) / time.Duration(1+r.Intn(20))
				w.give(r.Intn(len(w.hosts)), honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(n, w.rng.Int63())),
					Units: float64(1 + r.Intn(6)), Timeout: w.now + left, Type: typ, HasKey: true,
					Key: int64(r.Intn(6)), Schedulers: len(w.hosts), Volume: int64(r.Intn(5)), Cell: r.Intn(5) - 1})
			}
			kind := r.Intn(150)
			if len(w.order) == 0 {
				kind = -1
			}
			switch o := r.Intn(4); kind {
			case 0: // a restart
				w.list(honeyplank.Delta, member(o, w.now))
			case 1:
				gone := member(o, 0)
				gone.State = honeyplank.MemberState(1 + r.Intn(2))
				w.list(honeyplank.Delta, gone)
			case 2:
				w.list(honeyplank.WatchFailed)
			case 3: // the client leaves
				if e := w.order[r.Intn(len(w.order))]; !e.over {
					e.over = true
					w.give(e.host, honeyplank.ClientGone{Op: e.ID})
				}
			case 4: // nothing of an unknown op, server or timer may do harm, nor a garbled message
				w.give(0, honeyplank.Outcome{Op: "none", Server: "osd1", Code: 1})
				w.give(0, honeyplank.Outcome{Server: "none", Code: 6})
				w.give(0, honeyplank.Timer{Name: "none"})
				w.give(0, honeyplank.PeerMessage{From: -1})
			case 5: // a stream begins
				e := w.order[r.Intn(len(w.order))]
				if k := len(e.sends); !e.over && k > 0 && !e.sends[k-1].ended && w.due[e.ID] < e.Timeout-10*ms {
					e.begun = true
					w.give(e.host, honeyplank.ResponseStarted{Op: e.ID, Dispatch: k - 1})
				}
			}
			w.step(codes)
			w.agree()
		}
		if w.acked == 0 {
			t.Error("nothing was acked")
		}
	})
}

func (w *world) agree() {
	for _, e := range w.order {
		s, p := w.hosts[e.host], w.hosts[e.host].ops[e.ID]
		if e.over || e.begun || p == nil {
			continue
		}
		s.now = w.now
		module, model := []bool{s.rejectIsSafe(p), s.isNextOfKey(p), s.retryBudgetAllows()}, []bool{w.mayThrottle(e), w.inTurn(e), w.inBudget(e.host)}
		for _, o := range s.serversByID {
			after := w.set.Dispatches.ConnectTimeout + heldUp + time.Duration(s.expectedLatency(o, p.Type)*float64(time.Second))
			module, model = append(module, s.retryAllowed(p, o)), append(model, w.mayRepeat(e, o.ID, after))
		}
		if !reflect.DeepEqual(module, model) {
			w.t.Fatalf("%s: throttled, turn, budget, repeated at each: module %v, model %v", e.ID, module, model)
		}
	}
}

// Same events, same actions: two instances with one seed act alike.
func TestSameEventsSameActions(t *testing.T) {
	a, b := New(7, figures()), New(7, figures())
	for i := range 300 {
		for _, e := range []honeyplank.Event{honeyplank.List{Members: []honeyplank.Member{member(0, 0), member(1, 0), member(2, 0)}},
			honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 2, Timeout: 2 * time.Second, Volume: int64(i % 9), Cell: i%4 - 1},
			honeyplank.Timer{Name: "sweep"}} {
			if now := time.Duration(i) * ms; !reflect.DeepEqual(a.Handle(now, e), b.Handle(now, e)) {
				t.Fatalf("two instances differ at %v on %+v", now, e)
			}
		}
	}
}

// crowd is one host and one node whose window of four is full; ops of several volumes are held behind it.
func crowd(t *testing.T) *world {
	w := newWorld(t, 1, figures())
	w.list(honeyplank.Cached, member(0, 0))
	for i := range 4 {
		w.op("full", i, 9, 1, 0)
	}
	return w
}

func (w *world) op(name string, i int, volume, key int64, typ int) {
	w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(name, i)), Units: 1, Timeout: w.now + time.Second, Type: typ,
		HasKey: true, Key: key, Schedulers: 1, Volume: volume})
}

// The window bounds what is out, the served volume goes first when a place comes free, and a slice that is
// over passes the turn on. Slices follow the weights of the plans.
func TestSlices(t *testing.T) {
	w := crowd(t)
	w.op("other", 0, 8, 2, 0)
	w.op("own", 0, 9, 3, 0)
	s := w.hosts[0]
	o := s.servers["osd0"]
	out := o.outstanding
	o.sliceEnd = time.Second
	w.end(w.ops["full0"], honeyplank.Succeeded)
	if out != 4 || len(w.ops["own0"].sends) != 1 || len(w.ops["other0"].sends) != 0 {
		t.Errorf("%d ops out in a window of 4, or the served volume did not go first", out)
	}
	w.op("own", 1, 9, 4, 0)
	o.sliceEnd = 0
	if w.end(w.ops["full1"], honeyplank.Succeeded); len(w.ops["other0"].sends) != 1 {
		t.Error("the slice did not end")
	}
	w.set.Plans.Weight = []float64{1, 3}
	s.settings = readSettings(w.set)
	s.startSlice(o, &volumeQueue{volume: &volume{plan: 0}})
	light := o.sliceEnd - s.now
	s.startSlice(o, &volumeQueue{volume: &volume{plan: 1}})
	if heavy := o.sliceEnd - s.now; heavy < 2*light {
		t.Errorf("slices of %v and %v for weights 1 and 3", light, heavy)
	}
}

// With nothing held the slice ends when thinkt reaches past it or another volume completes faster; else the
// host waits, and others fill the window meanwhile.
func TestThinktAndAwait(t *testing.T) {
	for _, c := range []struct {
		thinkt, own, other time.Duration
		want               sliceSignal
	}{
		{80 * ms, 10 * ms, 20 * ms, thinkTimeTooLong},
		{5 * ms, 30 * ms, 10 * ms, cheaperReady},
		{5 * ms, 10 * ms, 30 * ms, worthWaiting},
	} {
		w := crowd(t)
		w.op("other", 0, 8, 2, 0)
		s := w.hosts[0]
		o := s.servers["osd0"]
		gap := func(d time.Duration) decayedMean { return decayedMean{total: 1e6 * float64(d/ms), sum: 1e6} }
		for _, q := range o.queues {
			q.await, q.round = gap(c.other), o.round-1
		}
		o.servedQueue.thinkTime, o.servedQueue.await, o.servedQueue.round = gap(c.thinkt), gap(c.own), o.round
		o.queues = append(o.queues, &volumeQueue{volume: &volume{}, await: decayedMean{total: 1e8, sum: 1e6}})
		o.sliceEnd, o.outstanding = s.now+50*ms, 3
		if got := s.nextSignal(o); got != c.want {
			t.Errorf("thinkt %v, await %v and %v: saw %d, want %d", c.thinkt, c.own, c.other, got, c.want)
		}
	}
}

// Windows of many hosts add up past what a node serves in time (incidents i9adade, i340d5f): ops beyond the
// reserve get less of the window as latency grows, and ops within it leave first.
func TestReserveFirstWhenNodesAreCrowded(t *testing.T) {
	w := crowd(t)
	w.op("spare", 0, 8, 2, 0)
	w.op("due", 0, 7, 3, 0)
	s := w.hosts[0]
	o := s.servers["osd0"]
	s.volumes[9].reserve, s.volumes[8].reserve, o.sliceEnd = 0, 0, 0
	s.believe(o, 0.025)
	w.end(w.ops["full0"], honeyplank.Succeeded)
	if len(w.ops["due0"].sends) != 1 || len(w.ops["spare0"].sends) != 0 {
		t.Error("an op beyond its reserve left before one within")
	}
	s.volumes[8].reserve, o.outstanding = 0, 1
	s.believe(o, 0.2)
	if p := s.ops["spare0"]; p != nil && s.hasCapacity(o, p) {
		t.Error("a crowded node still has room for ops beyond the reserve")
	}
}

// Ops of one run reach the node together (incident i6f4fcd): inside the reserve they may pass the window.
// An op that cannot be in time any more is answered at once.
func TestRunsAndUselessOps(t *testing.T) {
	w := crowd(t)
	w.op("other", 0, 9, 2, 0)
	w.op("run", 0, 9, 1, 0)
	w.end(w.order[0], honeyplank.Succeeded)
	if len(w.ops["run0"].sends) != 1 || len(w.ops["other0"].sends) != 0 {
		t.Error("the run under way does not go on first")
	}
	w.hosts[0].believe(w.hosts[0].servers["osd0"], 1)
	w.op("late", 0, 8, 2, 0)
	if !w.ops["late0"].over {
		t.Error("an op that is past use is held")
	}
}

// New objects leave the first server in rank where latency leaves no room.
func TestNewObjectsLeaveCrowdedServers(t *testing.T) {
	w := newWorld(t, 1, figures())
	w.list(honeyplank.Cached, member(0, 0), member(1, 0), member(2, 0))
	var homes []honeyplank.ServerID
	for _, id := range []honeyplank.OpID{"a", "b", "c"} {
		w.give(0, honeyplank.Op{ID: id, Units: 1, Timeout: time.Second, Volume: 5, Cell: honeyplank.NewObject})
		homes = append(homes, w.ops[id].sends[0].osd)
		w.hosts[0].believe(w.hosts[0].servers[homes[0]], max(0.2*float64(len(homes)-1), 0.001))
	}
	if homes[0] != homes[1] || homes[0] == homes[2] {
		t.Errorf("%v, of which the first was crowded before the last", homes)
	}
}

// Silence takes a server down after two spells, a trial brings it back (incident i9adade: time-outs).
func TestSilenceAndWayBack(t *testing.T) {
	w := crowd(t)
	o, seen := w.hosts[0].servers["osd0"], map[health]bool{}
	for w.now < 4*time.Second {
		w.now += 10 * ms
		w.give(0, honeyplank.Timer{Name: "sweep"})
		seen[o.health] = true
	}
	w.hosts[0].applyHealthEvent(o, responded)
	if !seen[suspect] || !seen[down] || !seen[halfOpen] || o.health != up || o.window != minWindow {
		t.Errorf("states seen: %v; after an answer %v", seen, o.health)
	}
}

// The list must be asked for, and again after a failure, within the ask time.
func TestWatchIsRenewed(t *testing.T) {
	w := newWorld(t, 1, figures())
	w.set.Watch.OnRequest, w.set.Watch.Within = true, time.Second
	w.hosts[0].settings = readSettings(w.set)
	asks, last, due := 0, time.Duration(0), time.Duration(0)
	for ; w.now < 10*time.Second; w.now += 10 * ms {
		e := honeyplank.Timer{Name: []string{"sweep", "watch"}[boolToInt(w.now >= due)]}
		for _, a := range w.give(0, e) {
			if _, ok := a.(honeyplank.Watch); ok {
				asks, last = asks+1, w.now
				w.give(0, honeyplank.List{Kind: honeyplank.WatchFailed})
				due = w.timers[0]["watch"]
			}
		}
		if w.now-last > time.Second || asks > 1000 {
			t.Fatalf("%d asks until %v, the last at %v", asks, w.now, last)
		}
	}
}

// A restarted node gets the mean part of what it always bears, not nothing, also
// where a hundred hosts' parts are smaller than one op; those inside their reserves come first.
func TestColdPartByLot(t *testing.T) {
	set := figures()
	set.SlowStart.From, set.SlowStart.Units, set.SlowStart.Time, set.SlowStart.Window = 0.2, 20.0, time.Minute, time.Second
	set.Schedulers, set.MeanUnits = 100, 2.0
	s := New(1, set)
	s.now, s.serversUp = time.Minute, 20
	s.demand = [2]decayedRate{{units: 10, time: 1}, {units: 30, time: 1}} // units a second for 20 nodes
	o, sent := &server{Member: member(0, s.now), respondedSinceStart: true}, [2]float64{}
	for lot := 0.0005; lot < 1; lot += 0.001 {
		for i := range sent {
			if s.slowStartAllows(o, 2, lot, i == 0) {
				sent[i] += s.demand[i].units / 20 / 1000
			}
		}
	}
	if total := sent[0] + sent[1]; total < 0.17 || total > 0.18 || sent[1] > 0.01 {
		t.Errorf("%v units a second on average, of seven eighths of a part of 0.2", sent)
	}
	o.respondedSinceStart = false // connections that come up late bring together what was sent until then
	lots := 0.0
	for lot := 0.0005; lot < 1; lot += 0.001 {
		lots += float64(boolToInt(s.slowStartAllows(o, 2, lot, true))) / 1000
	}
	if want := 0.175 / (0.5 * (1 + holdUp.Seconds())); math.Abs(lots-want) > 0.002 {
		t.Errorf("%v of the ops may leave before an answer, want %v", lots, want)
	}
	o.respondedSinceStart = true
	for n := range 4 { // two mean ops a window, whatever their lots
		if got := s.slowStartAllows(o, 2, 0, true); got != (n < 2) {
			t.Errorf("op %d of a window may leave: %v", n+1, got)
		}
		o.sentLog = append(o.sentLog, struct {
			at    time.Duration
			units float64
		}{s.now, 2})
	}
}

// Where one op of each host is more than a node serves in time (incident i65239e), ops beyond the reserve leave
// by lot, those of a volume that asks for more than others less often; with few hosts one op always fits.
func TestRoomBelowOneOp(t *testing.T) {
	for hosts, want := range map[int][]bool{3: {true, true, true}, 200: {false, true, false}} {
		w := crowd(t)
		w.set.Schedulers, w.set.MeanUnits = hosts, 2.0
		s := w.hosts[0]
		s.settings = readSettings(w.set)
		o := s.servers["osd0"]
		o.outstanding, o.bestPerUnit = 0, 0.02
		s.answeredIn(0.2)
		s.believe(o, 0.2)
		p := &op{Op: honeyplank.Op{Timeout: time.Second, Units: 1}, target: time.Second, volume: &volume{schedulers: 1}, admissionDraw: 0.5}
		got := []bool{s.hasCapacity(o, p)}
		for _, asked := range []float64{1, 4000} {
			p.admissionDraw, p.queue = 0.01, &volumeQueue{demand: decayedRate{units: asked, time: 1}}
			got = append(got, s.hasCapacity(o, p))
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%d hosts: room for the middle lot, a low one, a low one of a heavy volume: %v", hosts, got)
		}
	}
}

// What was seen of a node long ago gives way to what is seen everywhere; time-outs count up to the shortest
// target latency and full queues past the longest (incident i65239e: nodes whose ops all ran out looked well).
func TestLatencyBelief(t *testing.T) {
	s := crowd(t).hosts[0]
	o := s.servers["osd0"]
	s.answeredIn(0.05)
	s.believe(o, 1)
	s.now = 10 * time.Second
	for _, c := range []struct {
		code    honeyplank.Code
		elapsed time.Duration
		least   float64
	}{{honeyplank.TimedOut, 10 * ms, 0.04}, {honeyplank.TimedOut, 5 * time.Second, 0.15}, {honeyplank.Rejected, 0, 0.3}} {
		s.recordTimeout(o, &op{}, honeyplank.Outcome{Code: c.code, Elapsed: c.elapsed})
		if l := s.expectedLatency(o, 0); l < c.least || l > 2*c.least {
			t.Errorf("%v s after %+v", l, c)
		}
	}
}

// A client in a hurry is not one that has waited for long (thies-campus-later, rough-1): its op leaves at once.
func TestClientInAHurry(t *testing.T) {
	w := newWorld(t, 1, figures())
	w.list(honeyplank.Cached, member(0, 0))
	w.op("patient", 0, 8, 1, 0)
	w.give(0, honeyplank.Op{ID: "hurry", Units: 1, Timeout: w.now + 60*ms, Schedulers: 1, Volume: 7})
	if p := w.hosts[0].ops["hurry"]; p == nil || len(p.dispatches) != 1 || p.target != w.now+60*ms {
		t.Errorf("%+v", p)
	}
}

// A host's part of a reserve follows what the volume is served through it.
func TestPartOfReserve(t *testing.T) {
	for _, c := range []struct {
		total, others float64
		elsewhere     bool
		want          bool
	}{{0, 0, false, false}, {10, 0, false, true}, {0, 0, true, true}, {0, 9, true, false}} {
		set := figures()
		set.Usage.Elsewhere = c.elsewhere
		if c.total > 0 {
			set.Usage.Period = time.Second
		}
		s := New(1, set)
		v := &volume{schedulers: 10, reserve: -1.5, servedEverywhere: c.total}
		for range 10 {
			s.now += 100 * ms
			v.servedHere.add(s.now, 1, 2*time.Second)
			v.servedElsewhere.add(s.now, c.others, 2*time.Second)
		}
		if got := s.withinReserve(&op{volume: v, target: time.Hour}); got != c.want {
			t.Errorf("%+v: debt paid: %v", c, got)
		}
	}
}

// A host that has been up for long has its part of a limit ready for a volume that it meets for the first time or once
// more; one that has just started has none, since what it sent before is unknown.
func TestLimitOfVolumesMetLate(t *testing.T) {
	for up, want := range map[time.Duration]int{0: 0, 2 * time.Second: 4, time.Minute: 6} {
		set := figures()
		set.Plans.Limit, set.Plans.Burst = []float64{2}, []float64{6}
		w := newWorld(t, 1, set)
		w.list(honeyplank.Cached, member(0, 0), member(1, 0))
		w.now += up
		sent := 0
		for i := range 10 {
			w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 1, Timeout: w.now + time.Second, Schedulers: 1, Cell: i % 2})
			sent += len(w.order[i].sends)
		}
		if sent != want {
			t.Errorf("up for %v: %d ops of one unit leave at once, want %d", up, sent, want)
		}
	}
}

// Ops of less utility leave a part of a limit's store to those of more.
func TestLimitIsKeptForDearerOps(t *testing.T) {
	set := figures()
	set.Plans.Limit, set.Plans.Burst, set.Plans.Reserve = []float64{1}, []float64{12}, []float64{20}
	set.Plans.Slack = []float64{1}        // what a hold-up adds
	for typ, want := range []int{12, 9} { // utilities 2 and 1: half of half is left by the second
		w := newWorld(t, 1, set)
		w.list(honeyplank.Cached, member(0, 0), member(1, 0), member(2, 0), member(3, 0))
		w.now = 10 * time.Hour
		sent := 0
		for i := range 16 {
			w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 1, Type: typ, Timeout: w.now + time.Second, Schedulers: 1, Cell: i % 4})
			sent += len(w.order[i].sends)
		}
		if sent != want {
			t.Errorf("op type %d: %d units leave, want %d", typ, sent, want)
		}
	}
}

// A volume whose record was dropped as idle has what its store has surely filled by since, not a whole one. A full
// store lets an op go whose type should leave more than the store can hold.
func TestLimitAfterIdleness(t *testing.T) {
	set := figures()
	set.Plans.Limit, set.Plans.Burst = []float64{0.1}, []float64{8}
	w := newWorld(t, 1, set)
	w.list(honeyplank.Cached, member(0, 0))
	give := func(n int, units float64) int {
		w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(n)), Units: units, Type: 1, Timeout: w.now + 5*time.Second, Schedulers: 1})
		return len(w.order[n].sends)
	}
	w.now = time.Hour
	for range 3 { // unseen for long: as much as the time that idle records are kept gives
		w.give(0, honeyplank.Timer{Name: "sweep"})
		w.now += time.Minute
	}
	if give(0, 4) != 0 || give(1, 1) != 1 {
		t.Error("a volume met late has not what half a minute gives")
	}
	w.now += 3 * time.Minute
	w.give(0, honeyplank.Timer{Name: "sweep"})
	w.hosts[0].volumes[0] = &volume{schedulers: 1, limit: 8, refilledAt: w.now}
	if give(2, 7) != 1 {
		t.Error("a full store does not let an op go")
	}
}

// What a node served others is told once, also with an error or by a full queue.
func TestElsewhereWithAnyAnswer(t *testing.T) {
	w := newWorld(t, 1, figures())
	w.list(honeyplank.Cached, member(0, 0))
	for i, code := range []honeyplank.Code{honeyplank.Succeeded, honeyplank.Failed, honeyplank.Rejected} {
		w.op("a", i, 1, int64(i), 0)
		w.give(0, honeyplank.Outcome{Op: w.order[i].ID, Server: "osd0", Code: code, ServedElsewhere: 5, Answered: true})
		if got := w.hosts[0].volumes[1].servedElsewhere.units; got != float64(5*(i+1)) {
			t.Errorf("after %d answers: %v units of others", i+1, got)
		}
	}
}

// A server that turns ops away or breaks connections gets no new objects for a while, and tells nothing of the others.
func TestServerThatTurnsAllAway(t *testing.T) {
	for _, code := range []honeyplank.Code{honeyplank.Rejected, honeyplank.Reset} {
		w := newWorld(t, 1, figures())
		w.list(honeyplank.Cached, member(0, 0), member(1, 0))
		s, o := w.hosts[0], w.hosts[0].servers["osd0"]
		s.answeredIn(0.02)
		for i := range 8 {
			w.op("a", i, 1, int64(i), 0)
			if n := len(w.order[i].sends); n == 1 {
				w.end(w.order[i], code)
			}
			w.now += 20 * ms
			w.give(0, honeyplank.Timer{Name: "sweep"})
		}
		if s.acceptsNewObjects(o) || !s.acceptsNewObjects(s.servers["osd1"]) {
			t.Errorf("%v: osd0 counts as sound: %v, the other: %v", code, s.acceptsNewObjects(o), s.acceptsNewObjects(s.servers["osd1"]))
		}
		if other := s.expectedLatency(s.servers["osd1"], 0); other > 0.03 {
			t.Errorf("%v: the other is believed to take %v s", code, other)
		}
		o.health = up
		if s.now += time.Minute; !s.acceptsNewObjects(o) {
			t.Errorf("%v: not tried again", code)
		}
	}
}

// Where a node is crowded, an op with less time left than answers take is thinned by the square of what it lacks.
func TestTriesInAHurryAreThinned(t *testing.T) {
	s := New(1, figures())
	o := &server{}
	s.now = time.Second
	s.answeredIn(0.4)
	s.believe(o, 0.4)
	for left, want := range map[time.Duration]float64{time.Second: 1, 400 * ms: 1, 200 * ms: 0.25, 0: 0, -time.Second: 0} {
		in, gone := &op{target: s.now + left}, &op{target: time.Hour}
		in.Timeout, gone.Timeout = time.Hour, s.now+left
		for _, p := range []*op{in, gone} {
			if got := s.successProbability(o, p); math.Abs(got-want) > 1e-9 {
				t.Errorf("%v left: %v, want %v", left, got, want)
			}
		}
	}
}

// What an instance before this one learnt of a slow server holds from the first op, fades with its age, and is void
// where the server has started since; what a server has not answered since its start is not handed on.
func TestLearntBefore(t *testing.T) {
	for _, c := range []struct {
		at, started time.Duration
		out, known  int // how many of eight ops leave at once, and servers handed on after
	}{{10 * time.Second, 0, 1, 2}, {10 * time.Second, 5 * time.Second, 1, 2}, {10 * time.Second, 10*time.Second + 1, 4, 1},
		{-20 * time.Second, 0, 4, 2}, {11 * time.Second, 0, 4, 1}, {-24 * time.Hour, 0, 4, 1}} { // osd1 is never seen, and is handed on
		set := figures()
		set.MeanUnits = 1.0
		w := newWorld(t, 1, set)
		w.now = 10 * time.Second
		w.give(0, honeyplank.SavedEstimates{TypicalLatency: 0.02, Servers: []honeyplank.ServerEstimate{{Server: "osd0", At: c.at, BestPerUnit: 0.02, Latency: 0.4}, {Server: "osd1", At: time.Second, Latency: 0.1}}})
		w.list(honeyplank.Cached, member(0, c.started))
		out := 0
		for i := range 8 {
			w.op("a", i, 1, int64(i), 0)
			out += len(w.order[i].sends)
		}
		if l := w.hosts[0].SavedEstimates(); out != c.out || len(l.Servers) != c.known || l.TypicalLatency != 0.02 {
			t.Errorf("learnt at %v, started at %v: %d ops leave at once, want %d; handed on %+v", c.at, c.started, out, c.out, l)
		}
	}
}

// TestLostAnswer: an op whose answer does not come, while ops sent later to the same server are answered, is
// withdrawn long before its op timeout and goes out again in time for its target latency. One that nothing has
// overtaken, one of a once-only type, and any where withdrawing is not allowed are waited for.
func TestLostAnswer(t *testing.T) {
	for _, x := range []struct {
		name       string
		change     func(*honeyplank.Settings)
		passed     bool
		dispatches int
	}{
		{"overtaken", func(*honeyplank.Settings) {}, true, 2},
		{"alone", func(*honeyplank.Settings) {}, false, 1},
		{"once-only", func(set *honeyplank.Settings) {
			set.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.AtMostOnce, honeyplank.AtMostOnce}
		}, true, 1},
		{"not allowed", func(set *honeyplank.Settings) { set.Dispatches.Cancel = false }, true, 1},
		{"one at a time", func(set *honeyplank.Settings) { set.Dispatches.Parallel = false }, true, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			set := figures()
			set.Dispatches.Cancel, set.Dispatches.Parallel = true, true
			x.change(set)
			w := newWorld(t, 1, set)
			w.list(honeyplank.Cached, member(0, 0))
			answer := func(i int) { // one op that is answered after 5 ms
				w.op("quick", i, 9, int64(i), 0)
				w.now += 5 * ms
				w.end(w.ops[honeyplank.OpID(fmt.Sprint("quick", i))], honeyplank.Succeeded)
			}
			for i := range 10 {
				answer(i)
			}
			w.op("lost", 0, 9, 99, 0)
			lost := w.ops["lost0"]
			w.due["lost0"] = lost.Timeout
			if x.passed {
				w.now += ms
				answer(10)
			}
			for begun := w.now; w.now < begun+120*ms; {
				w.step([]honeyplank.Code{honeyplank.Succeeded})
				if len(lost.sends) == 1 && !lost.sends[0].withdrawn {
					w.due["lost0"] = lost.Timeout
				}
			}
			if len(lost.sends) != x.dispatches {
				t.Errorf("%d dispatches, expected %d", len(lost.sends), x.dispatches)
			}
		})
	}
}

// TestLostOften: where answers are lost often, one that others overtake is given up after half of the time.
func TestLostOften(t *testing.T) {
	for lost, want := range map[float64]int{0: 1, 0.05: 2} {
		set := figures()
		set.Dispatches.Cancel, set.Dispatches.Parallel = true, true
		w := newWorld(t, 1, set)
		w.list(honeyplank.Cached, member(0, 0))
		quick := 0
		answer := func() {
			w.op("quick", quick, 9, int64(quick), 0)
			w.now += 5 * ms
			w.end(w.ops[honeyplank.OpID(fmt.Sprint("quick", quick))], honeyplank.Succeeded)
			quick++
		}
		for range 10 {
			answer()
		}
		w.hosts[0].lostShare = lost
		w.op("lost", 0, 9, 99, 0)
		w.now += ms
		for range 6 { // 31 ms, where 5 ms are usual and a sweep comes every 10 ms
			answer()
			w.give(0, honeyplank.Timer{Name: "sweep"})
			if s := w.ops["lost0"]; s.sends[0].withdrawn && !s.sends[0].ended {
				w.end(s, honeyplank.Cancelled)
			}
		}
		if n := len(w.ops["lost0"].sends); n != want {
			t.Errorf("a share of %v lost: %d dispatches, expected %d", lost, n, want)
		}
	}
}

// TestRepeatIsAtWorkInTime: a repeat of a deduplicated op goes out only while it can be at work before the servers forget
// the first one, though the process is held up and the connection comes up late. The first dispatch always goes.
func TestRepeatIsAtWorkInTime(t *testing.T) {
	for _, x := range []struct {
		remember, connect, after time.Duration
		want                     int
	}{
		{time.Second, 0, 500 * ms, 2}, {time.Second, 0, 840 * ms, 2}, {time.Second, 0, 852 * ms, 1},
		{time.Second, 400 * ms, 400 * ms, 2}, {time.Second, 400 * ms, 500 * ms, 1},
		{100 * ms, 0, 5 * ms, 1}, {0, 0, 5 * ms, 1},
	} {
		set := figures()
		set.OpTypes.Semantics = []honeyplank.Semantics{honeyplank.Deduplicated, honeyplank.Deduplicated}
		set.OpTypes.DedupWindow, set.Dispatches.ConnectTimeout = []time.Duration{x.remember, x.remember}, x.connect
		w := newWorld(t, 1, set)
		w.list(honeyplank.Cached, member(0, 0))
		w.hosts[0].answeredIn(0.001)
		w.give(0, honeyplank.Op{ID: "a", Units: 1, Timeout: 5 * time.Second, Type: 1, Schedulers: 1})
		w.now += x.after
		w.end(w.ops["a"], honeyplank.Reset)
		if n := len(w.ops["a"].sends); n != x.want || len(w.errs) > 0 {
			t.Errorf("%+v: %d dispatches, %v", x, n, w.errs)
		}
	}
}

// TestBudgetWhenHeldUp: further dispatches are seen at their servers up to a hold-up after they were counted.
func TestBudgetWhenHeldUp(t *testing.T) {
	for _, x := range []struct {
		free, share  float64
		taken, extra time.Duration // how long ago; 0: none was
		want         bool
	}{
		{1, 0, 0, 1100 * ms, false}, {1, 0, 0, 1160 * ms, true}, {1, 0, 0, 0, true}, {2, 0, 0, 900 * ms, true},
		{0, 1, 840 * ms, 0, true}, {0, 1, 900 * ms, 0, false},
	} {
		set := figures()
		set.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: x.free, Share: x.share, Window: time.Second}
		s := New(1, set)
		s.now = time.Minute
		if x.taken > 0 {
			s.admissions = []time.Duration{s.now - x.taken}
		}
		if x.extra > 0 {
			s.retries = []time.Duration{s.now - x.extra}
		}
		if got := s.retryBudgetAllows(); got != x.want {
			t.Errorf("%+v: may leave: %v", x, got)
		}
	}
}

// TestLimitWhenHeldUp: what is decided within a hold-up may arrive in one moment, and then takes no more from a limit's
// store than that holds; one that holds little more than a largest op still lets it go.
func TestLimitWhenHeldUp(t *testing.T) {
	for _, x := range []struct{ limit, burst, slack, units, least, most float64 }{
		{20, 40, 0, 1, 36, 40}, {20, 40, 3, 1, 40, 43}, {200, 6, 0, 6, 6, 6 + 200*0.15}, {20, 40, 0, 5, 30, 40},
	} {
		set := figures()
		set.Plans.Limit, set.Plans.Burst, set.Plans.Slack = []float64{x.limit}, []float64{x.burst}, []float64{x.slack}
		w := newWorld(t, 1, set)
		var members []honeyplank.Member
		for i := range 50 {
			members = append(members, member(i, 0))
		}
		w.list(honeyplank.Cached, members...)
		sent, begin := 0.0, time.Hour
		for i := range 150 {
			w.now = begin + time.Duration(i)*ms
			w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: x.units, Timeout: w.now + time.Second, Schedulers: 1, Cell: i % 50})
			sent += x.units * float64(len(w.order[i].sends))
		}
		if sent < x.least || sent > x.most {
			t.Errorf("%+v: %v units leave within a hold-up", x, sent)
		}
	}
}

// TestDroppedForLackOfTime: ops with less time than a usual answer takes may be dropped without a word, which says
// nothing of the server; silence to ops with time does.
func TestDroppedForLackOfTime(t *testing.T) {
	for left, want := range map[time.Duration]health{30 * ms: up, 400 * ms: down} {
		set := figures()
		set.Plans.Reserve = []float64{1e6}
		w := newWorld(t, 1, set)
		w.list(honeyplank.Cached, member(0, 0))
		s, sent := w.hosts[0], 0
		for i := range 250 {
			s.answeredIn(0.04)
			w.now += 10 * ms
			w.give(0, honeyplank.Timer{Name: "sweep"})
			for _, e := range w.order {
				if n := len(e.sends); n > 0 && !e.sends[n-1].ended && w.now >= e.Timeout {
					w.end(e, honeyplank.TimedOut)
				}
			}
			w.give(0, honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(i)), Units: 1, Timeout: w.now + left, Schedulers: 1})
			sent += len(w.order[i].sends)
		}
		if got := s.servers["osd0"].health; sent < 4 || (got == up) != (want == up) {
			t.Errorf("%v left: %d sent, the server counts as %v", left, sent, got)
		}
	}
}

// answeredIn has all types answered in a time as of late, in seconds.
func (s *Scheduler) answeredIn(seconds float64) {
	for i := range s.latencyByType {
		s.latencyByType[i] = typeLatency{mean: seconds, fastest: seconds, updatedAt: s.now}
	}
}

// believe has a disk server take a time for an op of the first type, in seconds.
func (s *Scheduler) believe(o *server, seconds float64) {
	o.slowness, o.slownessAt = seconds/s.typicalLatency(0), s.now
}
