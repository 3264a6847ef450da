package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// quietDay is a fleet that has stood still for long, then a trouble, then service.
type quietDay struct {
	*world
	number  int
	refused bool // discovery refuses every watch
	used    map[honeyplank.ServerID]time.Duration
}

const (
	quietServers = 6
	quietRate    = 60 // ops a second
)

func newQuietDay(t *testing.T) *quietDay {
	set := figures()
	set.Schedulers, set.Step, set.Watch.OnRequest, set.Watch.Within = 2, 5*ms, true, 2*time.Second
	set.SlowStart.From, set.SlowStart.Units, set.SlowStart.Time, set.SlowStart.Window = 0.3, 40.0, 2*time.Second, 500*ms
	set.MeanUnits, set.Plans.Reserve, set.Dispatches.ConnectTimeout = 1.5, []float64{1e3}, 200*ms
	set.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3.0, Share: 0.2, Window: 5 * time.Second}
	set.Plans.Limit, set.Plans.Burst = []float64{1000}, []float64{2000}
	d := &quietDay{world: newWorld(t, 3, set), used: map[honeyplank.ServerID]time.Duration{}}
	d.took, d.now = 30*ms, time.Second
	d.asked = func(host int) {
		kind := honeyplank.Delta
		if d.refused {
			kind = honeyplank.WatchFailed
		}
		d.give(host, honeyplank.List{Kind: kind})
	}
	d.members(honeyplank.Complete, 0, quietServers, honeyplank.Up, 0)
	return d
}

// members tells of some disk servers.
func (d *quietDay) members(kind honeyplank.ListKind, from, to int, state honeyplank.MemberState, started time.Duration) {
	var members []honeyplank.Member
	for i := from; i < to; i++ {
		m := member(i, started)
		m.State, m.Cell = state, i%quietServers
		members = append(members, m)
	}
	d.list(kind, members...)
}

// rest lets ops end, and then nothing happen but the modules' timers.
func (d *quietDay) rest(length time.Duration) {
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
		d.give(host, honeyplank.Timer{Name: name})
	}
}

// serve brings ops for a time, of which dispatches end by some codes, and returns those taken.
func (d *quietDay) serve(length time.Duration, rate int, codes ...honeyplank.Code) (taken []*told) {
	next := d.now
	for end := d.now + length; d.now < end; {
		for rate > 0 && next <= d.now {
			next += time.Duration(float64(time.Second) / float64(rate) * d.rng.ExpFloat64())
			d.number++
			cell := d.rng.Intn(quietServers+2) - 2
			typ := d.rng.Intn(2)
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(d.number)), Units: float64(1 + d.rng.Intn(2)), Type: typ, Schedulers: 2,
				Timeout: d.now + valueAt(d.set.OpTypes.OpTimeout, typ), Volume: d.rng.Int63n(9), Cell: max(cell, honeyplank.NewObject)}
			d.give(d.rng.Intn(2), op)
			taken = append(taken, d.order[len(d.order)-1])
		}
		d.step(codes)
		open := d.order[:0] // ops that are over and past the budget's window are left out, for speed
		for _, t := range d.order {
			n := len(t.sends)
			if n > 0 {
				d.used[t.sends[n-1].osd] = max(d.used[t.sends[n-1].osd], t.sends[n-1].at)
			}
			if !t.over || n > 0 && !t.sends[n-1].ended || t.at > d.now-2*d.set.RetryBudget.Window {
				open = append(open, t)
			}
		}
		d.order = open
	}
	return taken
}

// TestTroubleAfterLongQuiet: whatever begins after ten minutes or an hour in which nothing happened, each op gets exactly
// one answer in time, the rules hold, and once the trouble is over the servers are used again.
func TestTroubleAfterLongQuiet(t *testing.T) {
	good := honeyplank.Succeeded
	troubles := map[string]func(*quietDay){
		"none": func(*quietDay) {},
		"silence": func(d *quietDay) {
			d.serve(4*time.Second, quietRate, honeyplank.TimedOut)
		},
		"idle connections were reset": func(d *quietDay) {
			d.serve(200*ms, quietRate, honeyplank.Reset)
		},
		"no connections": func(d *quietDay) {
			d.serve(4*time.Second, quietRate, honeyplank.ConnectFailed)
		},
		"no descriptors, full queues and errors": func(d *quietDay) {
			d.serve(3*time.Second, quietRate, honeyplank.NotSent, honeyplank.Rejected, honeyplank.Failed)
		},
		"discovery refuses for minutes": func(d *quietDay) {
			d.refused = true
			d.give(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.give(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.serve(5*time.Second, quietRate, good)
			d.rest(4 * time.Minute)
			d.serve(5*time.Second, quietRate, good, good, honeyplank.Reset)
			d.refused = false
			d.members(honeyplank.Complete, 0, quietServers, honeyplank.Up, d.now-time.Minute)
		},
		"restarts and drains together": func(d *quietDay) {
			d.members(honeyplank.Delta, 0, 3, honeyplank.Up, d.now)
			d.members(honeyplank.Delta, 3, 6, honeyplank.Draining, 0)
			d.serve(time.Second, quietRate, good, good, honeyplank.Reset)
			d.members(honeyplank.Delta, 9, 12, honeyplank.Up, d.now)
			d.serve(time.Second, quietRate, good)
			d.members(honeyplank.Delta, 3, 6, honeyplank.Removed, 0)
		},
		"all servers replaced while discovery refuses": func(d *quietDay) {
			d.refused = true
			d.give(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.give(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			d.serve(3*time.Second, quietRate, honeyplank.ConnectFailed)
			d.rest(2 * time.Minute)
			d.refused = false
			for id, m := range d.osds { // a whole list leaves out what is gone
				m.State = honeyplank.Removed
				d.osds[id], d.stop[id] = m, d.now
			}
			d.members(honeyplank.Complete, 6, 12, honeyplank.Up, d.now)
			d.serve(3*time.Second, quietRate, good)
		},
	}
	for name, trouble := range troubles {
		for _, quiet := range []time.Duration{10 * time.Minute, time.Hour} {
			t.Run(strings.ReplaceAll(fmt.Sprint(quiet, " ", name), " ", "_"), func(t *testing.T) {
				t.Parallel()
				d := newQuietDay(t)
				d.serve(2*time.Second, quietRate, good)
				d.rest(quiet)
				trouble(d)
				d.serve(10*time.Second, quietRate, good)
				since := d.now
				last := d.serve(5*time.Second, quietRate, good)
				d.serve(11*time.Second, 0, good)
				if len(d.order) > 0 {
					t.Errorf("%d ops are not over", len(d.order))
				}
				served := 0
				for _, op := range last {
					n := len(op.sends)
					served += boolToInt(n > 0 && op.sends[n-1].ended && op.sends[n-1].maybe)
				}
				if float64(served) < 0.9*float64(len(last)) {
					t.Errorf("%d of %d ops served once the trouble was over", served, len(last))
				}
				for id, m := range d.osds {
					if m.State == honeyplank.Up && d.used[id] < since {
						t.Errorf("%s was not used after %v, last at %v", id, since, d.used[id])
					}
				}
			})
		}
	}
}
