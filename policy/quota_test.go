package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestReserveShare checks that an instance's share of a reserve follows its share of the units that
// are served to the volume.
func TestReserveShare(t *testing.T) {
	for _, test := range []struct {
		total, others float64 // units served to the volume through all instances, and through other ones
		elsewhere     bool    // servers report units served through other instances
		want          bool    // an op is within the reserve
	}{
		{0, 0, false, false},
		{10, 0, false, true},
		{0, 0, true, true},
		{0, 9, true, false},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			settings.Usage.Elsewhere = test.elsewhere
			if test.total > 0 {
				settings.Usage.Period = time.Second
			}
			engine := New(1, settings)
			record := &volume{instances: 10, reserve: -1.5, totalServedRate: test.total}
			for range 10 {
				engine.now += 100 * ms
				record.servedHere.add(engine.now, 1, 2*time.Second)
				record.servedElsewhere.add(engine.now, test.others, 2*time.Second)
			}
			if got := engine.withinReserve(&op{volume: record, target: time.Hour}); got != test.want {
				t.Errorf("%+v: an op is within the reserve: %v", test, got)
			}
		})
	}
}

// TestLimitOfNewVolumes checks that an instance that has run for long has its share of a limit
// available for a volume that is new or comes again. An instance that has just started has none,
// because the units that its earlier process sent are unknown.
func TestLimitOfNewVolumes(t *testing.T) {
	for up, want := range map[time.Duration]int{0: 0, 2 * time.Second: 4, time.Minute: 6} {
		t.Run(fmt.Sprint("up for ", up), func(t *testing.T) {
			settings := testSettings()
			settings.Plans[0].Limit, settings.Plans[0].Burst = 2, 6
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, member(0, 0), member(1, 0))
			fleet.now += up
			sent := 0
			for i := range 10 {
				sent += fleet.admitIn(i%2, honeyplank.Op{Units: 1})
			}
			if sent != want {
				t.Errorf("%d ops of one unit dispatched at once, want %d", sent, want)
			}
		})
	}
}

// admitIn sends an op for a cell to the first instance, with a timeout of one second, and returns
// the number of its dispatches right afterwards.
func (fleet *testFleet) admitIn(cell int, op honeyplank.Op) int {
	op.ID, op.Cell = honeyplank.OpID(fmt.Sprint(len(fleet.order))), cell
	op.Deadline, op.Instances = fleet.now+time.Second, 1
	fleet.handle(0, op)
	return len(fleet.ops[op.ID].dispatched)
}

// TestLimitHeadroom checks that ops with less utility leave a part of a limit's bucket to ops with
// more.
func TestLimitHeadroom(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst, settings.Plans[0].Reserve = 1, 12, 20
	settings.Plans[0].Slack = 1              // the refill during a process pause
	for opType, want := range []int{12, 9} { // utilities 2 and 1: for the second, limitHeadroomShare/2 is withheld
		t.Run(fmt.Sprint("op type ", opType), func(t *testing.T) {
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, membersUpTo(4)...)
			fleet.now = 10 * time.Hour
			sent := 0
			for i := range 16 {
				sent += fleet.admitIn(i%4, honeyplank.Op{Units: 1, Type: opType})
			}
			if sent != want {
				t.Errorf("%d units dispatched, want %d", sent, want)
			}
		})
	}
}

// TestLimitAfterIdleExpiry checks that the bucket of a volume whose record was dropped as idle
// holds only what it was certainly refilled with since, not a full bucket. A full bucket allows an
// op even if the headroom of its type exceeds the bucket.
func TestLimitAfterIdleExpiry(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 0.1, 8
	fleet := newTestFleet(t, 1, settings)
	fleet.sendList(honeyplank.Cached, member(0, 0))
	admit := func(n int, units float64) int {
		id := honeyplank.OpID(fmt.Sprint(n))
		fleet.handle(0, honeyplank.Op{ID: id, Units: units, Type: 1, Deadline: fleet.now + 5*time.Second, Instances: 1})
		return len(fleet.order[n].dispatched)
	}
	fleet.now = time.Hour
	for range 3 { // long unseen: the bucket gets the refill of idleExpiry
		fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
		fleet.now += time.Minute
	}
	if admit(0, 4) != 0 || admit(1, 1) != 1 {
		t.Error("the bucket of a volume unseen for long does not hold the refill of half a minute")
	}
	fleet.now += 3 * time.Minute
	fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
	fleet.instances[0].volumes[0] = &volume{instances: 1, limit: 8, refilledAt: fleet.now}
	if admit(2, 7) != 1 {
		t.Error("a full bucket does not allow an op of 7 units")
	}
}

// TestServedElsewhereInAnyAnswer checks that the units that a server reports as served through other
// instances are counted in any answer, also in an error or a rejection.
func TestServedElsewhereInAnyAnswer(t *testing.T) {
	fleet := newTestFleet(t, 1, testSettings())
	fleet.sendList(honeyplank.Cached, member(0, 0))
	for i, code := range []honeyplank.Code{honeyplank.Succeeded, honeyplank.Failed, honeyplank.Rejected} {
		t.Run(fmt.Sprint("code ", code), func(t *testing.T) {
			fleet.admit("a", i, 1, int64(i), 0)
			fleet.handle(0, honeyplank.Outcome{
				Op: fleet.order[i].ID, Server: "osd0", Code: code, ServedElsewhere: 5, Answered: true,
			})
			if got := fleet.instances[0].volumes[1].servedElsewhere.units; got != float64(5*(i+1)) {
				t.Errorf("after %d answers: %v units served elsewhere, want 5 for each", i+1, got)
			}
		})
	}
}

// TestLimitWithProcessPause checks that dispatches decided within a process pause, which may arrive
// at one instant, together take no more from a limit's bucket than it holds. A bucket that holds
// little more than one largest op still allows such an op.
func TestLimitWithProcessPause(t *testing.T) {
	for _, test := range []struct {
		limit, burst, slack float64
		units               float64 // of an op
		least, most         float64 // bounds of the units dispatched
	}{
		{20, 40, 0, 1, 36, 40},
		{20, 40, 3, 1, 40, 43},
		{200, 6, 0, 6, 6, 6 + 200*0.15},
		{20, 40, 0, 5, 30, 40},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			settings := testSettings()
			settings.Plans[0].Limit, settings.Plans[0].Burst = test.limit, test.burst
			settings.Plans[0].Slack = test.slack
			fleet := newTestFleet(t, 1, settings)
			fleet.sendList(honeyplank.Cached, membersUpTo(50)...)
			sent, begin := 0.0, time.Hour
			for i := range 150 {
				fleet.now = begin + time.Duration(i)*ms
				sent += test.units * float64(fleet.admitIn(i%50, honeyplank.Op{Units: test.units}))
			}
			if sent < test.least || sent > test.most {
				t.Errorf("%v units dispatched within a process pause", sent)
			}
		})
	}
}
