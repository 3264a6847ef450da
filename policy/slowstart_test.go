package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"honeyplank"
)

// slowStartFleet is many hosts and one disk server among others that has just started.
type slowStartFleet struct {
	instances       int
	budget          float64       // mean ops within the window that it always bears
	demand          float64       // mean ops within the window that clients want of it, in parts of that
	otherDemand     float64       // the same of each other server
	skewed          bool          // a tenth of the hosts have half of the traffic
	withinReserve   bool          // ops are inside their volumes' reserves
	retries         bool          // what is not served comes again at once, up to three times
	volumeInstances int           // hosts through which a volume's ops come, seven volumes a server; 0: all
	hotVolume       bool          // one volume has half of what is asked of the cold server
	statedInstances int           // hosts that the settings tell; 0: as many as run
	burst           float64       // all that is asked grows by this factor a second after the start; 0: it does not
	restarts        int           // disk servers that start at once, as a zone that comes back; 0: one
	secondStart     time.Duration // after the first start the disk servers start once more; 0: they don't
	connectDelay    time.Duration // no connection comes up for so long after a start, and what waits for it arrives at once
	connectTimeout  time.Duration // how long a connection may take
}

// overloadThreshold is the fall of a cold disk server by the terms of the platform, in mean ops: N + 2 x root of N + 2, and under 30
// N + 3 x root of N + 3.
func overloadThreshold(bears float64) float64 {
	if bears < 30 {
		return bears + 3*math.Sqrt(bears) + 3
	}
	return bears + 2*math.Sqrt(bears) + 2
}

// arrival is a dispatch that reaches a cold disk server.
type arrival struct {
	op       honeyplank.OpID
	dispatch int
	server   honeyplank.ServerID
	instance int
	at       time.Duration
	units    float64
	notified bool // its host had been told of the start
}

// arrivalEvent is the event of one, and of the end of one that reaches nothing.
type arrivalEvent struct {
	honeyplank.Event
	arrival
	decided time.Duration
	timeout time.Duration
	failure honeyplank.Code
}

// play counts the most that reaches a cold server within any window, against what it bears then and what is put down
// to chance beyond it. What counts is when a dispatch arrives, not when it was decided: it waits for its connection.
// A window with a third or more from hosts that had not been told of the start is none of theirs. All is simulated.
func (f slowStartFleet) play(seed int64) (worst float64, sent int) {
	const units, window, warm, from, servers = 2.0, time.Second, 5 * time.Second, 0.21, 20
	set := testSettings()
	set.OpTypes.TargetLatency = []time.Duration{200 * ms, 200 * ms}
	set.OpTypes.OpTimeout = []time.Duration{1200 * ms, 1200 * ms}
	set.Schedulers, set.MeanUnits, set.LargestUnits = f.instances, units, 6.0
	if f.statedInstances > 0 {
		set.Schedulers = f.statedInstances
	}
	set.Dispatches.ConnectTimeout = f.connectTimeout
	patience := 1200 * ms
	if f.connectDelay > 0 { // what waits for a connection may wait for it to the end
		patience = 5 * time.Second
		set.OpTypes.OpTimeout = []time.Duration{patience, patience}
		set.OpTypes.TargetLatency = []time.Duration{200 * ms, 3 * time.Second}
	}
	if f.connectDelay > 0 && f.instances >= 300 { // fewer sweeps, to keep the test short
		set.Step = 50 * ms
	}
	set.SlowStart.Units, set.SlowStart.Window = f.budget*units, window
	set.SlowStart.Time, set.SlowStart.From = warm, from
	set.Plans.Rate, set.Plans.Reserve = []float64{1000}, []float64{0}
	if f.withinReserve {
		set.Plans.Reserve = []float64{1e6}
	}
	rng := rand.New(rand.NewSource(seed))
	var a eventQueue
	n := 0
	add := func(at time.Duration, host int, e honeyplank.Event) {
		n++
		heap.Push(&a, scheduledEvent{at, n, instanceEvent{e, host}})
	}
	hosts := make([]*Scheduler, f.instances)
	var members []honeyplank.Member
	for i := range servers {
		members = append(members, member(i, 0))
	}
	now, begin := time.Second, 8*time.Second
	end := begin + warm
	for i := range hosts {
		hosts[i] = New(seed+int64(i), set)
		at := now + time.Duration(rng.Int63n(int64(100*ms)))
		add(at, i, honeyplank.List{Kind: honeyplank.Complete, Members: members})
		// Each cold one comes in the place of another, under an id of its own, told within a part of a second.
		starts := []time.Duration{begin}
		if f.secondStart > 0 {
			starts = append(starts, begin+f.secondStart)
		}
		for _, start := range starts {
			at = start + time.Duration(rng.Int63n(int64(300*ms)))
			var news []honeyplank.Member
			for k := range max(f.restarts, 1) {
				gone, fresh := member(k, 0), member(k, start)
				gone.State, fresh.ID = honeyplank.Removed, restartedServer(k)
				news = append(news, gone, fresh)
			}
			add(at, i, honeyplank.List{Kind: honeyplank.Delta, Members: news})
		}
	}
	started := func(at time.Duration) time.Duration {
		if f.secondStart > 0 && at >= begin+f.secondStart {
			return begin + f.secondStart
		}
		return begin
	}
	told := make([]time.Duration, f.instances) // the start that each host knows of
	pick := func() int {
		if f.skewed && rng.Intn(2) == 0 {
			return rng.Intn(max(f.instances/10, 1))
		}
		return rng.Intn(f.instances)
	}
	arrive := func(cell int, usual float64) {
		for at := now; at < end; {
			rate := usual
			if f.burst > 0 && at > begin+time.Second {
				rate *= f.burst
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(cell, "/", n)), Schedulers: f.instances, Cell: cell,
				Units: 1 + float64(rng.Intn(3)), Timeout: at + patience, Volume: rng.Int63n(50)}
			if f.connectDelay > 0 { // a class with time to wait for its connection
				op.Type = 1
			}
			if f.volumeInstances == 0 {
				add(at, pick(), op)
				continue
			}
			v := rng.Intn(7)
			if f.hotVolume && cell == 0 && rng.Intn(2) == 0 {
				v = 0
			}
			op.Schedulers, op.Volume = f.volumeInstances, int64(7*cell+v)
			add(at, (7*cell+v+rng.Intn(f.volumeInstances)*101)%f.instances, op)
		}
	}
	for cell := range servers {
		rate := f.otherDemand
		if cell < max(f.restarts, 1) {
			rate = f.demand
		}
		arrive(cell, rate*f.budget/window.Seconds())
	}
	type open struct {
		honeyplank.Op
		sends, tries int
	}
	ops := map[honeyplank.OpID]*open{}
	logs := map[honeyplank.ServerID][]arrival{}
	for len(a) > 0 {
		d := heap.Pop(&a).(scheduledEvent)
		now = d.at
		if now >= end {
			break
		}
		h := d.event.(instanceEvent)
		switch e := h.Event.(type) {
		case honeyplank.Op:
			if ops[e.ID] == nil {
				ops[e.ID] = &open{Op: e}
			}
		case honeyplank.List:
			if e.Kind == honeyplank.Delta {
				told[h.instance] = started(now)
			}
		case arrivalEvent:
			ended := honeyplank.Outcome{Op: e.op, Dispatch: e.dispatch, Server: e.server, Code: honeyplank.Succeeded, Answered: true}
			took := 20*ms + time.Duration(rng.Int63n(int64(30*ms)))
			if e.failure != 0 {
				ended.Code, ended.Answered, took = e.failure, false, 0
			} else if strings.HasPrefix(string(e.server), "cold") {
				sent++
				e.at, e.notified = now, told[h.instance] == started(now)
				logs[e.server] = append(logs[e.server], e.arrival)
			}
			ended.Elapsed = now + took - e.decided
			add(now+took, h.instance, ended)
			continue
		}
		for _, action := range hosts[h.instance].Handle(now, h.Event) {
			switch x := action.(type) {
			case honeyplank.Dispatch:
				op := ops[x.Op]
				r := arrivalEvent{arrival: arrival{op: x.Op, dispatch: op.sends, server: x.Server, instance: h.instance, units: op.Units},
					decided: now, timeout: op.Timeout}
				op.sends++
				up := now
				if strings.HasPrefix(string(x.Server), "cold") {
					up = max(now, started(now)+f.connectDelay)
				}
				if within := now + f.connectTimeout; up > within && within < op.Timeout {
					up, r.failure = within, honeyplank.ConnectFailed
				} else if up > op.Timeout {
					up, r.failure = op.Timeout, honeyplank.TimedOut
				}
				add(up, h.instance, r)
			case honeyplank.Reject:
				if op := ops[x.Op]; f.retries && op.tries < 3 {
					again := open{op.Op, 0, op.tries + 1}
					again.ID = honeyplank.OpID(fmt.Sprint(x.Op, "+"))
					at := now + time.Duration(rng.Int63n(int64(100*ms)))
					again.Timeout = at + patience
					ops[again.ID] = &again
					add(at, h.instance, again.Op)
				}
			case honeyplank.SetTimer:
				add(x.At, h.instance, honeyplank.Timer{Name: x.Name})
			}
		}
	}
	for _, log := range logs {
		first, sum, known := 0, 0.0, 0.0
		for _, x := range log {
			sum += x.units
			known += x.units * float64(boolToInt(x.notified))
			start := started(x.at)
			for log[first].at < max(x.at-window, start) {
				sum -= log[first].units
				known -= log[first].units * float64(boolToInt(log[first].notified))
				first++
			}
			bears := f.budget * min(1, from+(1-from)*float64(x.at-start)/float64(warm)) / from
			if known > sum*2/3 {
				worst = max(worst, sum/units/overloadThreshold(bears))
			}
		}
	}
	return worst, sent
}

func restartedServer(k int) honeyplank.ServerID { return honeyplank.ServerID(fmt.Sprint("cold", k)) }

// instanceEvent is an event of one of many hosts.
type instanceEvent struct {
	honeyplank.Event
	instance int
}

// TestSlowStartFleet: whatever a fleet is asked, all hosts together send a disk server that has just started no more
// than it bears and what is put down to chance: with few and with many hosts, alike and unlike traffic, a hot
// place, a crowd that comes again, and whatever the others are asked. It holds for what arrives, also where the first
// connections come up late, for servers that start twice or several at once, and where more or fewer hosts run than the
// settings tell: by a tenth more, since nothing tells a host how many others run.
func TestSlowStartFleet(t *testing.T) {
	var wait sync.WaitGroup
	for _, f := range []slowStartFleet{
		{instances: 4, budget: 60, demand: 3, otherDemand: 0.2},
		{instances: 25, budget: 60, demand: 3, otherDemand: 0.2, withinReserve: true},
		{instances: 25, budget: 12, demand: 2, otherDemand: 1},
		{instances: 25, budget: 12, demand: 6, otherDemand: 0.2},
		{instances: 25, budget: 12, demand: 6, otherDemand: 1, skewed: true},
		{instances: 300, budget: 12, demand: 3, otherDemand: 0.2},
		{instances: 300, budget: 60, demand: 1, otherDemand: 0.2},
		{instances: 300, budget: 60, demand: 2, otherDemand: 1},
		{instances: 300, budget: 60, demand: 6, otherDemand: 0.2, withinReserve: true},
		{instances: 300, budget: 60, demand: 6, otherDemand: 1, skewed: true},
		{instances: 300, budget: 200, demand: 2, otherDemand: 0.5, retries: true},
		{instances: 300, budget: 200, demand: 6, otherDemand: 0.2, skewed: true, retries: true},
		{instances: 300, budget: 200, demand: 6, otherDemand: 0.2, withinReserve: true},
		{instances: 300, budget: 60, demand: 1.2, otherDemand: 1.2},
		{instances: 300, budget: 200, demand: 0.6, otherDemand: 0.6, skewed: true},
		{instances: 300, budget: 12, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 2, retries: true},
		{instances: 300, budget: 60, demand: 6, otherDemand: 1, volumeInstances: 2, hotVolume: true},
		{instances: 300, budget: 12, demand: 6, otherDemand: 2, volumeInstances: 1, hotVolume: true, retries: true},
		{instances: 1, budget: 2, demand: 6, otherDemand: 1, burst: 1.5, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 1, budget: 500, demand: 3, otherDemand: 0.2, connectDelay: 1500 * ms, connectTimeout: time.Second},
		{instances: 2, budget: 30, demand: 4, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2500 * ms},
		{instances: 5, budget: 2, demand: 6, otherDemand: 6, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, restarts: 4},
		{instances: 5, budget: 120, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true, restarts: 4},
		{instances: 5, budget: 120, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: time.Second, secondStart: 2 * time.Second, burst: 2},
		{instances: 20, budget: 29, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5},
		{instances: 20, budget: 30, demand: 3, otherDemand: 1, connectDelay: 900 * ms, connectTimeout: time.Second, retries: true},
		{instances: 20, budget: 500, demand: 2, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, skewed: true},
		{instances: 300, budget: 2, demand: 6, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 300, budget: 30, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, secondStart: 2 * time.Second},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, burst: 1.5, restarts: 4},
		{instances: 300, budget: 500, demand: 1.5, otherDemand: 0.5, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 900, budget: 12, demand: 6, otherDemand: 2, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second, retries: true},
		{instances: 900, budget: 200, demand: 2, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 30, statedInstances: 60, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 33, statedInstances: 30, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
		{instances: 330, statedInstances: 300, budget: 60, demand: 3, otherDemand: 1, connectDelay: 1500 * ms, connectTimeout: 2 * time.Second},
	} {
		wait.Go(func() {
			seeds := int64(2)
			if f.connectDelay > 0 && f.instances >= 300 {
				seeds = 1
			}
			for seed := range seeds {
				worst, sent := f.play(seed + 1)
				t.Logf("%+v: %.2f, %d sent", f, worst, sent)
				if worst > 1 {
					t.Errorf("%+v: %.2f times what it bears", f, worst)
				}
			}
		})
	}
	wait.Wait()
}

// TestSlowStartBudgetIsUsed: a disk server that has just started is given a good part of what it always bears, also where its
// volumes come through a few of many hosts: ops whose data lies there can't go elsewhere.
func TestSlowStartBudgetIsUsed(t *testing.T) {
	const least = 0.4
	for _, f := range []slowStartFleet{
		{instances: 25, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 12, demand: 3, otherDemand: 3, volumeInstances: 2},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 1},
		{instances: 300, budget: 60, demand: 3, otherDemand: 3, volumeInstances: 3, withinReserve: true},
	} {
		bears := 0.0 // in mean ops, over the five seconds until it is warm
		for second := range 5 {
			bears += f.budget * (0.21 + 0.79*(float64(second)+0.5)/5) / 0.21
		}
		_, sent := f.play(1)
		if part := float64(sent) / bears; part < least {
			t.Errorf("%+v: sent %.2f of what it bears", f, part)
		}
	}
}

// A restarted node gets the mean part of what it always bears, not nothing, also
// where a hundred hosts' parts are smaller than one op; those inside their reserves come first.
func TestSlowStartRandomAdmission(t *testing.T) {
	set := testSettings()
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
