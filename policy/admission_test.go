package policy

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

// TestReserveFirstOnSlowServers checks that ops beyond the reserve get less of the window as
// latency grows, and that ops within the reserve are dispatched first. Otherwise the windows of
// many instances add up to more than a server serves in time (incidents i9adade, i340d5f).
func TestReserveFirstOnSlowServers(t *testing.T) {
	fleet := fullServerFleet(t)
	fleet.admit("spare", 0, 8, 2, 0)
	fleet.admit("reserved", 0, 7, 3, 0)
	engine := fleet.instances[0]
	server := engine.servers["osd0"]
	engine.volumes[9].reserve, engine.volumes[8].reserve, server.sliceEnd = 0, 0, 0
	engine.setServerLatency(server, 0.025)
	fleet.endDispatch(fleet.ops["full0"], honeyplank.Succeeded)
	if len(fleet.ops["reserved0"].dispatched) != 1 || len(fleet.ops["spare0"].dispatched) != 0 {
		t.Error("an op beyond its reserve was dispatched before one within")
	}
	engine.volumes[8].reserve, server.outstanding = 0, 1
	engine.setServerLatency(server, 0.2)
	if candidate := engine.ops["spare0"]; candidate != nil && engine.hasCapacity(server, candidate) {
		t.Error("a slow server still has capacity for ops beyond the reserve")
	}
}

// TestNewObjectsAvoidSlowServers checks that a new object does not go to the first server in rank
// if the latency of that server leaves no capacity.
func TestNewObjectsAvoidSlowServers(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, membersUpTo(3)...)
	engine := fleet.instances[0]
	var chosen []honeyplank.ServerID
	for _, id := range []honeyplank.OpID{"a", "b", "c"} {
		fleet.handle(0, honeyplank.Op{ID: id, Units: 1, Deadline: time.Second, Volume: 5, Cell: honeyplank.AnyCell})
		chosen = append(chosen, fleet.ops[id].dispatched[0].server)
		engine.setServerLatency(engine.servers[chosen[0]], max(0.2*float64(len(chosen)-1), 0.001))
	}
	if chosen[0] != chosen[1] || chosen[0] == chosen[2] {
		t.Errorf("servers %v, want the first twice, then another since the first is slow", chosen)
	}
}

// TestConcurrencyLimitBelowOne checks that if one op of each instance is more than a server serves
// in time (incident i65239e), ops beyond the reserve are admitted at random, and those of a volume
// with more demand than others less often. With few instances one op always fits.
func TestConcurrencyLimitBelowOne(t *testing.T) {
	for instances, want := range map[int][]bool{3: {true, true, true}, 200: {false, true, false}} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			fleet := fullServerFleet(t)
			fleet.settings.Instances, fleet.settings.MeanUnits = instances, 2.0
			engine := fleet.instances[0]
			engine.settings = readSettings(fleet.settings)
			server := engine.servers["osd0"]
			server.outstanding, server.bestPerUnit = 0, 0.02
			engine.setTypicalLatency(0.2)
			engine.setServerLatency(server, 0.2)
			candidate := &op{
				Op:            honeyplank.Op{Deadline: time.Second, Units: 1},
				target:        time.Second,
				volume:        &volume{instances: 1},
				admissionDraw: 0.5,
			}
			got := []bool{engine.hasCapacity(server, candidate)}
			for _, demand := range []float64{1, 4000} {
				candidate.admissionDraw = 0.01
				candidate.queue = &volumeQueue{demand: decayedRate{units: demand, time: 1}}
				got = append(got, engine.hasCapacity(server, candidate))
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("capacity for the median draw, a low one, a low one with high demand: %v, want %v",
					got, want)
			}
		})
	}
}

// TestShortClientTimeout checks that an op with a short timeout does not count as one whose client
// has waited for long. It is dispatched at once.
func TestShortClientTimeout(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0))
	fleet.admit("usual", 0, 8, 1, 0)
	fleet.handle(0, honeyplank.Op{ID: "short", Units: 1, Deadline: fleet.now + 60*ms, Instances: 1, Volume: 7})
	short := fleet.instances[0].ops["short"]
	if short == nil || len(short.dispatches) != 1 || short.target != fleet.now+60*ms {
		t.Errorf("op with a short timeout: %+v, want one dispatch and the timeout as its target", short)
	}
}

// TestSuccessProbability checks that on a heavily loaded server, an op with less time left than
// answers take is admitted with the square of the ratio of these times.
func TestSuccessProbability(t *testing.T) {
	engine := New(1, testSettings())
	server := &server{}
	engine.now = time.Second
	engine.setTypicalLatency(0.4)
	engine.setServerLatency(server, 0.4)
	for left, want := range map[time.Duration]float64{
		time.Second: 1, 400 * ms: 1, 200 * ms: 0.25, 0: 0, -time.Second: 0,
	} {
		t.Run(fmt.Sprint(left, " left"), func(t *testing.T) {
			late := &op{Op: honeyplank.Op{Deadline: time.Hour}, target: engine.now + left}
			gone := &op{Op: honeyplank.Op{Deadline: engine.now + left}, target: time.Hour}
			for _, candidate := range []*op{late, gone} {
				if got := engine.successProbability(server, candidate); math.Abs(got-want) > 1e-9 {
					t.Errorf("%v left: success probability %v, want %v", left, got, want)
				}
			}
		})
	}
}
