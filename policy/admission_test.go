package policy

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"honeyplank"
)

// Windows of many instances add up past what a server serves in time (incidents i9adade, i340d5f): ops beyond the
// reserve get less of the window as latency grows, and ops within it leave first.
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
		t.Error("an op beyond its reserve left before one within")
	}
	engine.volumes[8].reserve, server.outstanding = 0, 1
	engine.setServerLatency(server, 0.2)
	if candidate := engine.ops["spare0"]; candidate != nil && engine.hasCapacity(server, candidate) {
		t.Error("a slow server still has capacity for ops beyond the reserve")
	}
}

// New objects leave the first server in rank where latency leaves no capacity.
func TestNewObjectsLeaveSlowServers(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0), member(1, 0), member(2, 0))
	var homes []honeyplank.ServerID
	for _, id := range []honeyplank.OpID{"a", "b", "c"} {
		fleet.handle(0, honeyplank.Op{ID: id, Units: 1, Timeout: time.Second, Volume: 5, Cell: honeyplank.NewObject})
		homes = append(homes, fleet.ops[id].dispatched[0].server)
		fleet.instances[0].setServerLatency(fleet.instances[0].servers[homes[0]], max(0.2*float64(len(homes)-1), 0.001))
	}
	if homes[0] != homes[1] || homes[0] == homes[2] {
		t.Errorf("%v, of which the first was crowded before the last", homes)
	}
}

// Where one op of each instance is more than a server serves in time (incident i65239e), ops beyond the reserve leave
// by random admission, those of a volume that asks for more than others less often; with few instances one op always fits.
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
			candidate := &op{Op: honeyplank.Op{Timeout: time.Second, Units: 1}, target: time.Second, volume: &volume{instances: 1}, admissionDraw: 0.5}
			got := []bool{engine.hasCapacity(server, candidate)}
			for _, asked := range []float64{1, 4000} {
				candidate.admissionDraw, candidate.queue = 0.01, &volumeQueue{demand: decayedRate{units: asked, time: 1}}
				got = append(got, engine.hasCapacity(server, candidate))
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%d instances: capacity for the median draw, a low one, a low one of a volume with high demand: %v", instances, got)
			}
		})
	}
}

// A client in a hurry is not one that has waited for long (thies-campus-later, rough-1): its op leaves at once.
func TestShortClientTimeout(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0))
	fleet.admit("patient", 0, 8, 1, 0)
	fleet.handle(0, honeyplank.Op{ID: "hurry", Units: 1, Timeout: fleet.now + 60*ms, Instances: 1, Volume: 7})
	if candidate := fleet.instances[0].ops["hurry"]; candidate == nil || len(candidate.dispatches) != 1 || candidate.target != fleet.now+60*ms {
		t.Errorf("%+v", candidate)
	}
}

// Where a server is crowded, an op with less time left than answers take is thinned by the square of what it lacks.
func TestSuccessProbability(t *testing.T) {
	engine := New(1, testSettings())
	server := &server{}
	engine.now = time.Second
	engine.setTypicalLatency(0.4)
	engine.setServerLatency(server, 0.4)
	for left, want := range map[time.Duration]float64{time.Second: 1, 400 * ms: 1, 200 * ms: 0.25, 0: 0, -time.Second: 0} {
		t.Run(fmt.Sprint(left, " left"), func(t *testing.T) {
			in, gone := &op{target: engine.now + left}, &op{target: time.Hour}
			in.Timeout, gone.Timeout = time.Hour, engine.now+left
			for _, candidate := range []*op{in, gone} {
				if got := engine.successProbability(server, candidate); math.Abs(got-want) > 1e-9 {
					t.Errorf("%v left: %v, want %v", left, got, want)
				}
			}
		})
	}
}
