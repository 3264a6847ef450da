package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// TestReserveShare: an instance's part of a reserve follows what the volume is served through it.
func TestReserveShare(t *testing.T) {
	for _, test := range []struct {
		total, others float64 // units that the volume is served in all, and through others
		elsewhere     bool    // servers report what others were served
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
				t.Errorf("%+v: within the reserve: %v", test, got)
			}
		})
	}
}

// TestLimitOfNewVolumes: an instance that has been up for long has its part of a limit ready for a
// volume that it meets for the first time or again; one that has just started has none, since what it
// sent before is unknown.
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

// admitIn sends an op for a cell to the first instance, with a second until its timeout, and returns
// how many dispatches it has at once.
func (fleet *testFleet) admitIn(cell int, op honeyplank.Op) int {
	op.ID, op.Cell = honeyplank.OpID(fmt.Sprint(len(fleet.order))), cell
	op.Timeout, op.Instances = fleet.now+time.Second, 1
	fleet.handle(0, op)
	return len(fleet.ops[op.ID].dispatched)
}

// TestLimitHeadroom: ops of less utility leave a part of a limit's bucket to those of more.
func TestLimitHeadroom(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst, settings.Plans[0].Reserve = 1, 12, 20
	settings.Plans[0].Slack = 1              // what a hold-up adds
	for opType, want := range []int{12, 9} { // utilities 2 and 1: half of half is left by the second
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

// TestLimitAfterIdleExpiry: a volume whose record was dropped as idle has what its bucket has been
// refilled with since for certain, not a whole one. A full bucket allows an op whose type should leave
// more than the bucket can hold.
func TestLimitAfterIdleExpiry(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 0.1, 8
	fleet := newTestFleet(t, 1, settings)
	fleet.sendList(honeyplank.Cached, member(0, 0))
	admit := func(n int, units float64) int {
		id := honeyplank.OpID(fmt.Sprint(n))
		fleet.handle(0, honeyplank.Op{ID: id, Units: units, Type: 1, Timeout: fleet.now + 5*time.Second, Instances: 1})
		return len(fleet.order[n].dispatched)
	}
	fleet.now = time.Hour
	for range 3 { // not seen for long: as much as the time that idle records are kept gives
		fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
		fleet.now += time.Minute
	}
	if admit(0, 4) != 0 || admit(1, 1) != 1 {
		t.Error("a volume met late lacks what half a minute refills")
	}
	fleet.now += 3 * time.Minute
	fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
	fleet.instances[0].volumes[0] = &volume{instances: 1, limit: 8, refilledAt: fleet.now}
	if admit(2, 7) != 1 {
		t.Error("a full bucket does not allow an op")
	}
}

// TestServedElsewhereInAnyAnswer: what a server served others is reported once, also with an error or
// a rejection.
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
				t.Errorf("after %d answers: %v units of others", i+1, got)
			}
		})
	}
}

// TestLimitWithProcessPause: what is decided within a hold-up may arrive at one instant, and then takes no
// more from a limit's bucket than that holds; one that holds little more than a largest op still allows
// it.
func TestLimitWithProcessPause(t *testing.T) {
	for _, test := range []struct {
		limit, burst, slack float64
		units               float64 // of an op
		least, most         float64 // units dispatched
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
				t.Errorf("%v units dispatched within a hold-up", sent)
			}
		})
	}
}
