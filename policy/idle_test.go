package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// idleFleet is a fleet that has stood still for long, then a trouble, then service.
type idleFleet struct {
	*testFleet
	opCount      int
	watchFails   bool // discovery refuses every watch
	lastDispatch map[honeyplank.ServerID]time.Duration
}

const (
	idleServers   = 6
	idleFleetRate = 60 // ops a second
)

func newIdleFleet(t *testing.T) *idleFleet {
	set := testSettings()
	set.Schedulers, set.Step, set.Watch.OnRequest, set.Watch.Within = 2, 5*ms, true, 2*time.Second
	set.SlowStart.From, set.SlowStart.Units, set.SlowStart.Time, set.SlowStart.Window = 0.3, 40.0, 2*time.Second, 500*ms
	set.MeanUnits, set.Plans.Reserve, set.Dispatches.ConnectTimeout = 1.5, []float64{1e3}, 200*ms
	set.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3.0, Share: 0.2, Window: 5 * time.Second}
	set.Plans.Limit, set.Plans.Burst = []float64{1000}, []float64{2000}
	d := &idleFleet{testFleet: newTestFleet(t, 3, set), lastDispatch: map[honeyplank.ServerID]time.Duration{}}
	d.longestDispatch, d.now = 30*ms, time.Second
	d.onWatch = func(host int) {
		kind := honeyplank.Delta
		if d.watchFails {
			kind = honeyplank.WatchFailed
		}
		d.handle(host, honeyplank.List{Kind: kind})
	}
	d.members(honeyplank.Complete, 0, idleServers, honeyplank.Up, 0)
	return d
}

// members tells of some disk servers.
func (d *idleFleet) members(kind honeyplank.ListKind, from, to int, state honeyplank.MemberState, started time.Duration) {
	var members []honeyplank.Member
	for i := from; i < to; i++ {
		m := member(i, started)
		m.State, m.Cell = state, i%idleServers
		members = append(members, m)
	}
	d.sendList(kind, members...)
}

// idle lets ops end, and then nothing happen but the modules' timers.
func (d *idleFleet) idle(length time.Duration) {
	d.serve(6*time.Second, 0, honeyplank.Succeeded)
	for end := d.now + length; ; {
		host, name, at := -1, "", end
		for i, timers := range d.timers {
			for _, n := range []string{"sweep", "watch"} {
				if due, set := timers[n]; set && due < at {
					host, name, at = i, n, due
				}
			}
		}
		d.now = at
		if host < 0 {
			return
		}
		delete(d.timers[host], name)
		d.handle(host, honeyplank.Timer{Name: name})
	}
}

// serve brings ops for a time, of which dispatches end by some codes, and returns those taken.
func (d *idleFleet) serve(length time.Duration, rate int, codes ...honeyplank.Code) (taken []*trackedOp) {
	next := d.now
	for end := d.now + length; d.now < end; {
		for rate > 0 && next <= d.now {
			next += time.Duration(float64(time.Second) / float64(rate) * d.rng.ExpFloat64())
			d.opCount++
			cell := d.rng.Intn(idleServers+2) - 2
			typ := d.rng.Intn(2)
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(d.opCount)), Units: float64(1 + d.rng.Intn(2)), Type: typ, Schedulers: 2,
				Timeout: d.now + valueAt(d.settings.OpTypes.OpTimeout, typ), Volume: d.rng.Int63n(9), Cell: max(cell, honeyplank.NewObject)}
			d.handle(d.rng.Intn(2), op)
			taken = append(taken, d.order[len(d.order)-1])
		}
		d.advance(codes)
		open := d.order[:0] // ops that are over and past the budget's window are left out, for speed
		for _, t := range d.order {
			n := len(t.dispatched)
			if n > 0 {
				d.lastDispatch[t.dispatched[n-1].server] = max(d.lastDispatch[t.dispatched[n-1].server], t.dispatched[n-1].sentAt)
			}
			if !t.answered || n > 0 && !t.dispatched[n-1].done || t.admittedAt > d.now-2*d.settings.RetryBudget.Window {
				open = append(open, t)
			}
		}
		d.order = open
	}
	return taken
}

// TestFaultsAfterLongIdle: whatever begins after ten minutes or an hour in which nothing happened, each op gets exactly
// one answer in time, the rules hold, and once the trouble is over the servers are used again.
func TestFaultsAfterLongIdle(t *testing.T) {
	good := honeyplank.Succeeded
	troubles := map[string]func(*idleFleet){
		"none": func(*idleFleet) {},
		"silence": func(d *idleFleet) {
			d.serve(4*time.Second, idleFleetRate, honeyplank.TimedOut)
		},
		"idle connections were reset": func(d *idleFleet) {
			d.serve(200*ms, idleFleetRate, honeyplank.Reset)
		},
		"no connections": func(d *idleFleet) {
			d.serve(4*time.Second, idleFleetRate, honeyplank.ConnectFailed)
		},
		"no descriptors, full queues and errors": func(d *idleFleet) {
			d.serve(3*time.Second, idleFleetRate, honeyplank.NotSent, honeyplank.Rejected, honeyplank.Failed)
		},
		"discovery refuses for minutes": func(d *idleFleet) {
			d.watchFails = true
			d.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.handle(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.serve(5*time.Second, idleFleetRate, good)
			d.idle(4 * time.Minute)
			d.serve(5*time.Second, idleFleetRate, good, good, honeyplank.Reset)
			d.watchFails = false
			d.members(honeyplank.Complete, 0, idleServers, honeyplank.Up, d.now-time.Minute)
		},
		"restarts and drains together": func(d *idleFleet) {
			d.members(honeyplank.Delta, 0, 3, honeyplank.Up, d.now)
			d.members(honeyplank.Delta, 3, 6, honeyplank.Draining, 0)
			d.serve(time.Second, idleFleetRate, good, good, honeyplank.Reset)
			d.members(honeyplank.Delta, 9, 12, honeyplank.Up, d.now)
			d.serve(time.Second, idleFleetRate, good)
			d.members(honeyplank.Delta, 3, 6, honeyplank.Removed, 0)
		},
		"all servers replaced while discovery refuses": func(d *idleFleet) {
			d.watchFails = true
			d.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.handle(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.serve(3*time.Second, idleFleetRate, honeyplank.ConnectFailed)
			d.idle(2 * time.Minute)
			d.watchFails = false
			for id, m := range d.servers { // a whole list leaves out what is gone
				m.State = honeyplank.Removed
				d.servers[id], d.stoppedSince[id] = m, d.now
			}
			d.members(honeyplank.Complete, 6, 12, honeyplank.Up, d.now)
			d.serve(3*time.Second, idleFleetRate, good)
		},
	}
	for name, trouble := range troubles {
		for _, quiet := range []time.Duration{10 * time.Minute, time.Hour} {
			t.Run(strings.ReplaceAll(fmt.Sprint(quiet, " ", name), " ", "_"), func(t *testing.T) {
				t.Parallel()
				d := newIdleFleet(t)
				d.serve(2*time.Second, idleFleetRate, good)
				d.idle(quiet)
				trouble(d)
				d.serve(10*time.Second, idleFleetRate, good)
				since := d.now
				last := d.serve(5*time.Second, idleFleetRate, good)
				d.serve(11*time.Second, 0, good)
				if len(d.order) > 0 {
					t.Errorf("%d ops are not over", len(d.order))
				}
				served := 0
				for _, op := range last {
					n := len(op.dispatched)
					served += boolToInt(n > 0 && op.dispatched[n-1].done && op.dispatched[n-1].mayHaveRun)
				}
				if float64(served) < 0.9*float64(len(last)) {
					t.Errorf("%d of %d ops served once the trouble was over", served, len(last))
				}
				for id, m := range d.servers {
					if m.State == honeyplank.Up && d.lastDispatch[id] < since {
						t.Errorf("%s was not used after %v, last at %v", id, since, d.lastDispatch[id])
					}
				}
			})
		}
	}
}
