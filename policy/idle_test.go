package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// idleFleet is a fleet that is idle for a long time, then has a fault, and then serves ops again.
type idleFleet struct {
	*testFleet
	opCount      int
	watchFails   bool // every watch fails
	lastDispatch map[honeyplank.ServerID]time.Duration
}

const (
	idleServers   = 6
	idleFleetRate = 60 // ops a second
)

func newIdleFleet(t *testing.T) *idleFleet {
	t.Helper()
	settings := testSettings()
	settings.Instances, settings.Step, settings.MeanUnits = 2, 5*ms, 1.5
	settings.Watch = honeyplank.WatchSettings{OnRequest: true, Within: 2 * time.Second}
	settings.SlowStart = honeyplank.SlowStartSettings{From: 0.3, Units: 40, Time: 2 * time.Second, Window: 500 * ms}
	settings.Dispatches.ConnectTimeout = 200 * ms
	settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3, Share: 0.2, Window: 5 * time.Second}
	settings.Plans[0].Reserve = 1000
	settings.Plans[0].Limit, settings.Plans[0].Burst = 1000, 2000
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

// members sends a list with the servers from one number up to another.
func (fleet *idleFleet) members(
	kind honeyplank.ListKind, from, to int, state honeyplank.MemberState, started time.Duration,
) {
	var members []honeyplank.Member
	for i := from; i < to; i++ {
		m := member(i, started)
		m.State, m.Cell = state, i%idleServers
		members = append(members, m)
	}
	fleet.sendList(kind, members...)
}

// failWatches ends the watches of all instances with a failure, and lets every further watch fail.
func (fleet *idleFleet) failWatches() {
	fleet.watchFails = true
	fleet.handle(0, honeyplank.List{Kind: honeyplank.WatchFailed})
	fleet.handle(1, honeyplank.List{Kind: honeyplank.WatchFailed})
}

// replaceAll sends a complete list of the servers from one number up to another, in place of all
// others.
func (fleet *idleFleet) replaceAll(from, to int) {
	for id, m := range fleet.servers { // a complete list leaves out removed servers
		m.State = honeyplank.Removed
		fleet.servers[id], fleet.stoppedSince[id] = m, fleet.now
	}
	fleet.members(honeyplank.Complete, from, to, honeyplank.Up, fleet.now)
}

// idle lets the ops end, and then fires only the timers of the instances for a time.
func (fleet *idleFleet) idle(length time.Duration) {
	fleet.t.Helper()
	fleet.runLoad(6*time.Second, 0, honeyplank.Succeeded)
	for end := fleet.now + length; ; {
		instance, id, at := fleet.nextTimer(end)
		fleet.now = at
		if instance < 0 {
			return
		}
		delete(fleet.timers[instance], id)
		fleet.handle(instance, honeyplank.Timer{ID: id})
	}
}

// nextTimer returns the next timer of any instance that is due before end, with its instance and
// time. If there is none, the instance is -1 and the time is end.
func (fleet *idleFleet) nextTimer(end time.Duration) (instance int, id honeyplank.TimerID, at time.Duration) {
	instance, at = -1, end
	for i, timers := range fleet.timers {
		for _, candidate := range []honeyplank.TimerID{sweepTimer, watchTimer} {
			if due, set := timers[candidate]; set && due < at {
				instance, id, at = i, candidate, due
			}
		}
	}
	return instance, id, at
}

// runLoad sends ops at a rate for a time, ends their dispatches with one of the codes at random,
// and returns the ops.
func (fleet *idleFleet) runLoad(length time.Duration, rate int, codes ...honeyplank.Code) (admitted []*trackedOp) {
	fleet.t.Helper()
	next := fleet.now
	for end := fleet.now + length; fleet.now < end; {
		for rate > 0 && next <= fleet.now {
			next += time.Duration(float64(time.Second) / float64(rate) * fleet.rng.ExpFloat64())
			admitted = append(admitted, fleet.admitNext())
		}
		fleet.advance(codes)
		fleet.dropFinished()
	}
	return admitted
}

// admitNext sends an op to a random instance.
func (fleet *idleFleet) admitNext() *trackedOp {
	fleet.opCount++
	cell := fleet.rng.Intn(idleServers+2) - 2
	opType := fleet.rng.Intn(2)
	op := honeyplank.Op{
		ID:        honeyplank.OpID(fmt.Sprint(fleet.opCount)),
		Units:     float64(1 + fleet.rng.Intn(2)),
		Type:      opType,
		Instances: 2,
		Deadline:  fleet.now + fleet.settings.OpTypes[opType].OpTimeout,
		Volume:    fleet.rng.Int63n(9),
		Cell:      max(cell, honeyplank.AnyCell),
	}
	fleet.handle(fleet.rng.Intn(2), op)
	return fleet.ops[op.ID]
}

// dropFinished drops the ops that have ended and no longer count for the retry budget, to keep the
// test fast.
func (fleet *idleFleet) dropFinished() {
	open := fleet.order[:0]
	for _, op := range fleet.order {
		if n := len(op.dispatched); n > 0 {
			last := op.dispatched[n-1]
			fleet.lastDispatch[last.server] = max(fleet.lastDispatch[last.server], last.sentAt)
		}
		recent := op.admittedAt > fleet.now-2*fleet.settings.RetryBudget.Window
		if !op.answered || op.outstanding() || recent {
			open = append(open, op)
		}
	}
	fleet.order = open
}

// faultsAfterIdle are the faults of TestFaultsAfterLongIdle, by name.
var faultsAfterIdle = map[string]func(*idleFleet){
	"none": func(*idleFleet) {},
	"no answers": func(fleet *idleFleet) {
		fleet.runLoad(4*time.Second, idleFleetRate, honeyplank.TimedOut)
	},
	"idle connections were reset": func(fleet *idleFleet) {
		fleet.runLoad(200*ms, idleFleetRate, honeyplank.Reset)
	},
	"no connections": func(fleet *idleFleet) {
		fleet.runLoad(4*time.Second, idleFleetRate, honeyplank.ConnectFailed)
	},
	"dispatches not sent, rejected and failed": func(fleet *idleFleet) {
		fleet.runLoad(3*time.Second, idleFleetRate, honeyplank.NotSent, honeyplank.Rejected, honeyplank.Failed)
	},
	"watches fail for minutes": func(fleet *idleFleet) {
		fleet.failWatches()
		fleet.runLoad(5*time.Second, idleFleetRate, honeyplank.Succeeded)
		fleet.idle(4 * time.Minute)
		fleet.runLoad(5*time.Second, idleFleetRate, honeyplank.Succeeded, honeyplank.Succeeded, honeyplank.Reset)
		fleet.watchFails = false
		fleet.members(honeyplank.Complete, 0, idleServers, honeyplank.Up, fleet.now-time.Minute)
	},
	"restarts and drains together": func(fleet *idleFleet) {
		fleet.members(honeyplank.Delta, 0, 3, honeyplank.Up, fleet.now)
		fleet.members(honeyplank.Delta, 3, 6, honeyplank.Draining, 0)
		fleet.runLoad(time.Second, idleFleetRate, honeyplank.Succeeded, honeyplank.Succeeded, honeyplank.Reset)
		fleet.members(honeyplank.Delta, 9, 12, honeyplank.Up, fleet.now)
		fleet.runLoad(time.Second, idleFleetRate, honeyplank.Succeeded)
		fleet.members(honeyplank.Delta, 3, 6, honeyplank.Removed, 0)
	},
	"all servers replaced while watches fail": func(fleet *idleFleet) {
		fleet.failWatches()
		fleet.runLoad(3*time.Second, idleFleetRate, honeyplank.ConnectFailed)
		fleet.idle(2 * time.Minute)
		fleet.watchFails = false
		fleet.replaceAll(idleServers, 2*idleServers)
		fleet.runLoad(3*time.Second, idleFleetRate, honeyplank.Succeeded)
	},
}

// TestFaultsAfterLongIdle checks that if a fault begins after ten minutes or an hour without ops,
// each op still gets exactly one answer in time, the rules hold, and the servers are used again
// once the fault is over.
func TestFaultsAfterLongIdle(t *testing.T) {
	for name, fault := range faultsAfterIdle {
		for _, idleTime := range []time.Duration{10 * time.Minute, time.Hour} {
			t.Run(strings.ReplaceAll(fmt.Sprint(idleTime, " ", name), " ", "_"), func(t *testing.T) {
				t.Parallel()
				fleet := newIdleFleet(t)
				fleet.runLoad(2*time.Second, idleFleetRate, honeyplank.Succeeded)
				fleet.idle(idleTime)
				fault(fleet)
				fleet.runLoad(10*time.Second, idleFleetRate, honeyplank.Succeeded)
				since := fleet.now
				last := fleet.runLoad(5*time.Second, idleFleetRate, honeyplank.Succeeded)
				fleet.runLoad(11*time.Second, 0, honeyplank.Succeeded)
				fleet.checkRecovered(last, since)
			})
		}
	}
}

// checkRecovered checks that all ops have ended, that most of the last ones were served, and that
// every server that is up was used after the given time.
func (fleet *idleFleet) checkRecovered(last []*trackedOp, since time.Duration) {
	fleet.t.Helper()
	if len(fleet.order) > 0 {
		fleet.t.Errorf("%d ops have not ended, want 0", len(fleet.order))
	}
	served := 0
	for _, op := range last {
		if n := len(op.dispatched); n > 0 && op.dispatched[n-1].done && op.dispatched[n-1].mayHaveRun {
			served++
		}
	}
	if float64(served) < 0.9*float64(len(last)) {
		fleet.t.Errorf("%d of %d ops served once the fault was over, want nine tenths", served, len(last))
	}
	for id, m := range fleet.servers {
		if m.State == honeyplank.Up && fleet.lastDispatch[id] < since {
			fleet.t.Errorf("%s was not used after %v, but last at %v", id, since, fleet.lastDispatch[id])
		}
	}
}
