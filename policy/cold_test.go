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

// coldFleet is many hosts and one disk server among others that has just started.
type coldFleet struct {
	hosts   int
	always  float64       // mean ops within the window that it always bears
	ask     float64       // mean ops within the window that clients want of it, in parts of that
	others  float64       // the same of each other server
	unlike  bool          // a tenth of the hosts have half of the traffic
	due     bool          // ops are inside their volumes' reserves
	retries bool          // what is not served comes again at once, up to three times
	through int           // hosts through which a volume's ops come, seven volumes a server; 0: all
	hot     bool          // one volume has half of what is asked of the cold server
	stated  int           // hosts that the settings tell; 0: as many as run
	burst   float64       // all that is asked grows by this factor a second after the start; 0: it does not
	cold    int           // disk servers that start at once, as a zone that comes back; 0: one
	again   time.Duration // after the first start the disk servers start once more; 0: they don't
	late    time.Duration // no connection comes up for so long after a start, and what waits for it arrives at once
	connect time.Duration // how long a connection may take
}

// bound is the fall of a cold disk server by the terms of the platform, in mean ops: N + 2 x root of N + 2, and under 30
// N + 3 x root of N + 3.
func bound(bears float64) float64 {
	if bears < 30 {
		return bears + 3*math.Sqrt(bears) + 3
	}
	return bears + 2*math.Sqrt(bears) + 2
}

// arrival is a dispatch that reaches a cold disk server.
type arrival struct {
	op    honeyplank.OpID
	n     int
	osd   honeyplank.ServerID
	host  int
	at    time.Duration
	units float64
	told  bool // its host had been told of the start
}

// reaches is the event of one, and of the end of one that reaches nothing.
type reaches struct {
	honeyplank.Event
	arrival
	decided time.Duration
	timeout time.Duration
	never   honeyplank.Code
}

// play counts the most that reaches a cold server within any window, against what it bears then and what is put down
// to chance beyond it. What counts is when a dispatch arrives, not when it was decided: it waits for its connection.
// A window with a third or more from hosts that had not been told of the start is none of theirs. All is simulated.
func (f coldFleet) play(seed int64) (worst float64, sent int) {
	const units, window, warm, from, servers = 2.0, time.Second, 5 * time.Second, 0.21, 20
	set := figures()
	set.OpTypes.TargetLatency = []time.Duration{200 * ms, 200 * ms}
	set.OpTypes.OpTimeout = []time.Duration{1200 * ms, 1200 * ms}
	set.Schedulers, set.MeanUnits, set.LargestUnits = f.hosts, units, 6.0
	if f.stated > 0 {
		set.Schedulers = f.stated
	}
	set.Dispatches.ConnectTimeout = f.connect
	patience := 1200 * ms
	if f.late > 0 { // what waits for a connection may wait for it to the end
		patience = 5 * time.Second
		set.OpTypes.OpTimeout = []time.Duration{patience, patience}
		set.OpTypes.TargetLatency = []time.Duration{200 * ms, 3 * time.Second}
	}
	if f.late > 0 && f.hosts >= 300 { // fewer sweeps, to keep the test short
		set.Step = 50 * ms
	}
	set.SlowStart.Units, set.SlowStart.Window = f.always*units, window
	set.SlowStart.Time, set.SlowStart.From = warm, from
	set.Plans.Rate, set.Plans.Reserve = []float64{1000}, []float64{0}
	if f.due {
		set.Plans.Reserve = []float64{1e6}
	}
	rng := rand.New(rand.NewSource(seed))
	var a agenda
	n := 0
	add := func(at time.Duration, host int, e honeyplank.Event) {
		n++
		heap.Push(&a, due{at, n, hosted{e, host}})
	}
	hosts := make([]*Scheduler, f.hosts)
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
		if f.again > 0 {
			starts = append(starts, begin+f.again)
		}
		for _, start := range starts {
			at = start + time.Duration(rng.Int63n(int64(300*ms)))
			var news []honeyplank.Member
			for k := range max(f.cold, 1) {
				gone, fresh := member(k, 0), member(k, start)
				gone.State, fresh.ID = honeyplank.Removed, cold(k)
				news = append(news, gone, fresh)
			}
			add(at, i, honeyplank.List{Kind: honeyplank.Delta, Members: news})
		}
	}
	started := func(at time.Duration) time.Duration {
		if f.again > 0 && at >= begin+f.again {
			return begin + f.again
		}
		return begin
	}
	told := make([]time.Duration, f.hosts) // the start that each host knows of
	pick := func() int {
		if f.unlike && rng.Intn(2) == 0 {
			return rng.Intn(max(f.hosts/10, 1))
		}
		return rng.Intn(f.hosts)
	}
	arrive := func(cell int, usual float64) {
		for at := now; at < end; {
			rate := usual
			if f.burst > 0 && at > begin+time.Second {
				rate *= f.burst
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(cell, "/", n)), Schedulers: f.hosts, Cell: cell,
				Units: 1 + float64(rng.Intn(3)), Timeout: at + patience, Volume: rng.Int63n(50)}
			if f.late > 0 { // a class with time to wait for its connection
				op.Type = 1
			}
			if f.through == 0 {
				add(at, pick(), op)
				continue
			}
			v := rng.Intn(7)
			if f.hot && cell == 0 && rng.Intn(2) == 0 {
				v = 0
			}
			op.Schedulers, op.Volume = f.through, int64(7*cell+v)
			add(at, (7*cell+v+rng.Intn(f.through)*101)%f.hosts, op)
		}
	}
	for cell := range servers {
		rate := f.others
		if cell < max(f.cold, 1) {
			rate = f.ask
		}
		arrive(cell, rate*f.always/window.Seconds())
	}
	type open struct {
		honeyplank.Op
		sends, tries int
	}
	ops := map[honeyplank.OpID]*open{}
	logs := map[honeyplank.ServerID][]arrival{}
	for len(a) > 0 {
		d := heap.Pop(&a).(due)
		now = d.at
		if now >= end {
			break
		}
		h := d.event.(hosted)
		switch e := h.Event.(type) {
		case honeyplank.Op:
			if ops[e.ID] == nil {
				ops[e.ID] = &open{Op: e}
			}
		case honeyplank.List:
			if e.Kind == honeyplank.Delta {
				told[h.host] = started(now)
			}
		case reaches:
			ended := honeyplank.Outcome{Op: e.op, Dispatch: e.n, Server: e.osd, Code: honeyplank.Succeeded, Answered: true}
			took := 20*ms + time.Duration(rng.Int63n(int64(30*ms)))
			if e.never != 0 {
				ended.Code, ended.Answered, took = e.never, false, 0
			} else if strings.HasPrefix(string(e.osd), "cold") {
				sent++
				e.at, e.told = now, told[h.host] == started(now)
				logs[e.osd] = append(logs[e.osd], e.arrival)
			}
			ended.Elapsed = now + took - e.decided
			add(now+took, h.host, ended)
			continue
		}
		for _, action := range hosts[h.host].Handle(now, h.Event) {
			switch x := action.(type) {
			case honeyplank.Dispatch:
				op := ops[x.Op]
				r := reaches{arrival: arrival{op: x.Op, n: op.sends, osd: x.Server, host: h.host, units: op.Units},
					decided: now, timeout: op.Timeout}
				op.sends++
				up := now
				if strings.HasPrefix(string(x.Server), "cold") {
					up = max(now, started(now)+f.late)
				}
				if within := now + f.connect; up > within && within < op.Timeout {
					up, r.never = within, honeyplank.ConnectFailed
				} else if up > op.Timeout {
					up, r.never = op.Timeout, honeyplank.TimedOut
				}
				add(up, h.host, r)
			case honeyplank.Reject:
				if op := ops[x.Op]; f.retries && op.tries < 3 {
					again := open{op.Op, 0, op.tries + 1}
					again.ID = honeyplank.OpID(fmt.Sprint(x.Op, "+"))
					at := now + time.Duration(rng.Int63n(int64(100*ms)))
					again.Timeout = at + patience
					ops[again.ID] = &again
					add(at, h.host, again.Op)
				}
			case honeyplank.SetTimer:
				add(x.At, h.host, honeyplank.Timer{Name: x.Name})
			}
		}
	}
	for _, log := range logs {
		first, sum, known := 0, 0.0, 0.0
		for _, x := range log {
			sum += x.units
			known += x.units * float64(boolToInt(x.told))
			start := started(x.at)
			for log[first].at < max(x.at-window, start) {
				sum -= log[first].units
				known -= log[first].units * float64(boolToInt(log[first].told))
				first++
			}
			bears := f.always * min(1, from+(1-from)*float64(x.at-start)/float64(warm)) / from
			if known > sum*2/3 {
				worst = max(worst, sum/units/bound(bears))
			}
		}
	}
	return worst, sent
}

func cold(k int) honeyplank.ServerID { return honeyplank.ServerID(fmt.Sprint("cold", k)) }

// hosted is an event of one of many hosts.
type hosted struct {
	honeyplank.Event
	host int
}

// TestColdFleet: whatever a fleet is asked, all hosts together send a disk server that has just started no more
// than it bears and what is put down to chance: with few and with many hosts, alike and unlike traffic, a hot
// place, a crowd that comes again, and whatever the others are asked. It holds for what arrives, also where the first
// connections come up late, for servers that start twice or several at once, and where more or fewer hosts run than the
// settings tell: by a tenth more, since nothing tells a host how many others run.
func TestColdFleet(t *testing.T) {
	var wait sync.WaitGroup
	for _, f := range []coldFleet{
		{hosts: 4, always: 60, ask: 3, others: 0.2},
		{hosts: 25, always: 60, ask: 3, others: 0.2, due: true},
		{hosts: 25, always: 12, ask: 2, others: 1},
		{hosts: 25, always: 12, ask: 6, others: 0.2},
		{hosts: 25, always: 12, ask: 6, others: 1, unlike: true},
		{hosts: 300, always: 12, ask: 3, others: 0.2},
		{hosts: 300, always: 60, ask: 1, others: 0.2},
		{hosts: 300, always: 60, ask: 2, others: 1},
		{hosts: 300, always: 60, ask: 6, others: 0.2, due: true},
		{hosts: 300, always: 60, ask: 6, others: 1, unlike: true},
		{hosts: 300, always: 200, ask: 2, others: 0.5, retries: true},
		{hosts: 300, always: 200, ask: 6, others: 0.2, unlike: true, retries: true},
		{hosts: 300, always: 200, ask: 6, others: 0.2, due: true},
		{hosts: 300, always: 60, ask: 1.2, others: 1.2},
		{hosts: 300, always: 200, ask: 0.6, others: 0.6, unlike: true},
		{hosts: 300, always: 12, ask: 3, others: 3, through: 2},
		{hosts: 300, always: 60, ask: 3, others: 3, through: 2, retries: true},
		{hosts: 300, always: 60, ask: 6, others: 1, through: 2, hot: true},
		{hosts: 300, always: 12, ask: 6, others: 2, through: 1, hot: true, retries: true},
		{hosts: 1, always: 2, ask: 6, others: 1, burst: 1.5, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 1, always: 500, ask: 3, others: 0.2, late: 1500 * ms, connect: time.Second},
		{hosts: 2, always: 30, ask: 4, others: 1, late: 1500 * ms, connect: 2 * time.Second, again: 2500 * ms},
		{hosts: 5, always: 2, ask: 6, others: 6, late: 1500 * ms, connect: 2 * time.Second, cold: 4},
		{hosts: 5, always: 120, ask: 3, others: 1, late: 1500 * ms, connect: 2 * time.Second, retries: true, cold: 4},
		{hosts: 5, always: 120, ask: 3, others: 1, late: 1500 * ms, connect: time.Second, again: 2 * time.Second, burst: 2},
		{hosts: 20, always: 29, ask: 3, others: 3, late: 1500 * ms, connect: 2 * time.Second, burst: 1.5},
		{hosts: 20, always: 30, ask: 3, others: 1, late: 900 * ms, connect: time.Second, retries: true},
		{hosts: 20, always: 500, ask: 2, others: 1, late: 1500 * ms, connect: 2 * time.Second, unlike: true},
		{hosts: 300, always: 2, ask: 6, others: 1, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 300, always: 30, ask: 3, others: 3, late: 1500 * ms, connect: 2 * time.Second, again: 2 * time.Second},
		{hosts: 300, always: 60, ask: 3, others: 3, late: 1500 * ms, connect: 2 * time.Second, burst: 1.5, cold: 4},
		{hosts: 300, always: 500, ask: 1.5, others: 0.5, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 900, always: 12, ask: 6, others: 2, late: 1500 * ms, connect: 2 * time.Second, retries: true},
		{hosts: 900, always: 200, ask: 2, others: 1, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 30, stated: 60, always: 60, ask: 3, others: 1, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 33, stated: 30, always: 60, ask: 3, others: 1, late: 1500 * ms, connect: 2 * time.Second},
		{hosts: 330, stated: 300, always: 60, ask: 3, others: 1, late: 1500 * ms, connect: 2 * time.Second},
	} {
		wait.Go(func() {
			seeds := int64(2)
			if f.late > 0 && f.hosts >= 300 {
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

// TestColdServerIsUsed: a disk server that has just started is given a good part of what it always bears, also where its
// volumes come through a few of many hosts: ops whose data lies there can't go elsewhere.
func TestColdServerIsUsed(t *testing.T) {
	const least = 0.4
	for _, f := range []coldFleet{
		{hosts: 25, always: 60, ask: 3, others: 3, through: 2},
		{hosts: 300, always: 12, ask: 3, others: 3, through: 2},
		{hosts: 300, always: 60, ask: 3, others: 3, through: 1},
		{hosts: 300, always: 60, ask: 3, others: 3, through: 3, due: true},
	} {
		bears := 0.0 // in mean ops, over the five seconds until it is warm
		for second := range 5 {
			bears += f.always * (0.21 + 0.79*(float64(second)+0.5)/5) / 0.21
		}
		_, sent := f.play(1)
		if part := float64(sent) / bears; part < least {
			t.Errorf("%+v: sent %.2f of what it bears", f, part)
		}
	}
}
