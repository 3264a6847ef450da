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
	settings := testSettings()
	settings.Instances, settings.Step, settings.Watch.OnRequest, settings.Watch.Within = 2, 5*ms, true, 2*time.Second
	settings.SlowStart.From, settings.SlowStart.Units, settings.SlowStart.Time, settings.SlowStart.Window = 0.3, 40.0, 2*time.Second, 500*ms
	settings.MeanUnits, settings.Plans.Reserve, settings.Dispatches.ConnectTimeout = 1.5, []float64{1e3}, 200*ms
	settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3.0, Share: 0.2, Window: 5 * time.Second}
	settings.Plans.Limit, settings.Plans.Burst = []float64{1000}, []float64{2000}
	fleet := &idleFleet{testFleet: newTestFleet(t, 3, settings), lastDispatch: map[honeyplank.ServerID]time.Duration{}}
	fleet.longestDispatch, fleet.now = 30*ms, time.Second
	fleet.onWatch = func(instance int) {
		kind := honeyplank.Delta
		if fleet.watchFails {
			kind = honeyplank.WatchFailed
		}
		fleet.handle(instance, honeyplank.List{Kind: kind})
	}
	fleet.members(honeyplank.Complete, 0, idleServers, honeyplank.Up, 0)
	return fleet
}

// members sends a list with some servers.
func (fleet *idleFleet) members(kind honeyplank.ListKind, from, to int, state honeyplank.MemberState, started time.Duration) {
	var members []honeyplank.Member
	for i := from; i < to; i++ {
		m := member(i, started)
		m.State, m.Cell = state, i%idleServers
		members = append(members, m)
	}
	fleet.sendList(kind, members...)
}

// idle lets ops end, and then nothing happen but the modules' timers.
func (fleet *idleFleet) idle(length time.Duration) {
	fleet.serve(6*time.Second, 0, honeyplank.Succeeded)
	for end := fleet.now + length; ; {
		instance, name, at := -1, honeyplank.TimerID(""), end
		for i, timers := range fleet.timers {
			for _, n := range []honeyplank.TimerID{sweepTimer, watchTimer} {
				if due, scheduled := timers[n]; scheduled && due < at {
					instance, name, at = i, n, due
				}
			}
		}
		fleet.now = at
		if instance < 0 {
			return
		}
		delete(fleet.timers[instance], name)
		fleet.handle(instance, honeyplank.Timer{ID: name})
	}
}

// serve brings ops for a time, of which dispatches end by some codes, and returns those taken.
func (fleet *idleFleet) serve(length time.Duration, rate int, codes ...honeyplank.Code) (admitted []*trackedOp) {
	next := fleet.now
	for end := fleet.now + length; fleet.now < end; {
		for rate > 0 && next <= fleet.now {
			next += time.Duration(float64(time.Second) / float64(rate) * fleet.rng.ExpFloat64())
			fleet.opCount++
			cell := fleet.rng.Intn(idleServers+2) - 2
			opType := fleet.rng.Intn(2)
			op := honeyplank.Op{ID: honeyplank.OpID(fmt.Sprint(fleet.opCount)), Units: float64(1 + fleet.rng.Intn(2)), Type: opType, Instances: 2,
				Timeout: fleet.now + valueAt(fleet.settings.OpTypes.OpTimeout, opType), Volume: fleet.rng.Int63n(9), Cell: max(cell, honeyplank.NewObject)}
			fleet.handle(fleet.rng.Intn(2), op)
			admitted = append(admitted, fleet.order[len(fleet.order)-1])
		}
		fleet.advance(codes)
		open := fleet.order[:0] // ops that are over and past the budget's window are left out, for speed
		for _, t := range fleet.order {
			n := len(t.dispatched)
			if n > 0 {
				fleet.lastDispatch[t.dispatched[n-1].server] = max(fleet.lastDispatch[t.dispatched[n-1].server], t.dispatched[n-1].sentAt)
			}
			if !t.answered || n > 0 && !t.dispatched[n-1].done || t.admittedAt > fleet.now-2*fleet.settings.RetryBudget.Window {
				open = append(open, t)
			}
		}
		fleet.order = open
	}
	return admitted
}

// TestFaultsAfterLongIdle: whatever begins after ten minutes or an hour in which nothing happened, each op gets exactly
// one answer in time, the rules hold, and once the trouble is over the servers are used again.
func TestFaultsAfterLongIdle(t *testing.T) {
	good := honeyplank.Succeeded
	troubles := map[string]func(*idleFleet){
		"none": func(*idleFleet) {},
		"silence": func(fleet *idleFleet) {
			fleet.serve(4*time.Second, idleFleetRate, honeyplank.TimedOut)
		},
		"idle connections were reset": func(fleet *idleFleet) {
			fleet.serve(200*ms, idleFleetRate, honeyplank.Reset)
		},
		"no connections": func(fleet *idleFleet) {
			fleet.serve(4*time.Second, idleFleetRate, honeyplank.ConnectFailed)
		},
		"no descriptors, full queues and errors": func(fleet *idleFleet) {
			fleet.serve(3*time.Second, idleFleetRate, honeyplank.NotSent, honeyplank.Rejected, honeyplank.Failed)
		},
		"discovery refuses for minutes": func(fleet *idleFleet) {
			fleet.watchFails = true
			fleet.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			fleet.handle(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			fleet.serve(5*time.Second, idleFleetRate, good)
			fleet.idle(4 * time.Minute)
			fleet.serve(5*time.Second, idleFleetRate, good, good, honeyplank.Reset)
			fleet.watchFails = false
			fleet.members(honeyplank.Complete, 0, idleServers, honeyplank.Up, fleet.now-time.Minute)
		},
		"restarts and drains together": func(fleet *idleFleet) {
			fleet.members(honeyplank.Delta, 0, 3, honeyplank.Up, fleet.now)
			fleet.members(honeyplank.Delta, 3, 6, honeyplank.Draining, 0)
			fleet.serve(time.Second, idleFleetRate, good, good, honeyplank.Reset)
			fleet.members(honeyplank.Delta, 9, 12, honeyplank.Up, fleet.now)
			fleet.serve(time.Second, idleFleetRate, good)
			fleet.members(honeyplank.Delta, 3, 6, honeyplank.Removed, 0)
		},
		"all servers replaced while discovery refuses": func(fleet *idleFleet) {
			fleet.watchFails = true
			fleet.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
			fleet.handle(1, honeyplank.List{Kind: honeyplank.WatchFailed})
			fleet.serve(3*time.Second, idleFleetRate, honeyplank.ConnectFailed)
			fleet.idle(2 * time.Minute)
			fleet.watchFails = false
			for id, m := range fleet.servers { // a whole list leaves out what is gone
				m.State = honeyplank.Removed
				fleet.servers[id], fleet.stoppedSince[id] = m, fleet.now
			}
			fleet.members(honeyplank.Complete, 6, 12, honeyplank.Up, fleet.now)
			fleet.serve(3*time.Second, idleFleetRate, good)
		},
	}
	for name, trouble := range troubles {
		for _, quiet := range []time.Duration{10 * time.Minute, time.Hour} {
			t.Run(strings.ReplaceAll(fmt.Sprint(quiet, " ", name), " ", "_"), func(t *testing.T) {
				t.Parallel()
				fleet := newIdleFleet(t)
				fleet.serve(2*time.Second, idleFleetRate, good)
				fleet.idle(quiet)
				trouble(fleet)
				fleet.serve(10*time.Second, idleFleetRate, good)
				since := fleet.now
				last := fleet.serve(5*time.Second, idleFleetRate, good)
				fleet.serve(11*time.Second, 0, good)
				if len(fleet.order) > 0 {
					t.Errorf("%d ops are not over", len(fleet.order))
				}
				served := 0
				for _, op := range last {
					n := len(op.dispatched)
					if n > 0 && op.dispatched[n-1].done && op.dispatched[n-1].mayHaveRun {
						served++
					}
				}
				if float64(served) < 0.9*float64(len(last)) {
					t.Errorf("%d of %d ops served once the trouble was over", served, len(last))
				}
				for id, m := range fleet.servers {
					if m.State == honeyplank.Up && fleet.lastDispatch[id] < since {
						t.Errorf("%s was not used after %v, last at %v", id, since, fleet.lastDispatch[id])
					}
				}
			})
		}
	}
}
