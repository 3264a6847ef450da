package policy

import (
	"fmt"
	"testing"
	"time"

	"honeyplank"
)

// floodedEngine is an engine with ten servers and a plan with a limit, to which the ops of new
// names come faster than idle records expire.
func floodedEngine(cells func(n int) int, ops int) *Engine {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 1, 8
	settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3, Share: 0.2, Window: 5 * time.Second}
	settings.OpTypes[0].Ordered = true
	engine := New(1, settings)
	now := time.Second
	engine.Handle(now, honeyplank.List{Kind: honeyplank.Complete, Members: membersUpTo(10)})
	for n := range ops {
		now += 50 * time.Microsecond
		id := honeyplank.OpID(fmt.Sprint(n))
		actions := engine.Handle(now, honeyplank.Op{
			ID: id, Units: 1, Deadline: now + time.Second, Volume: int64(n), Key: int64(n), HasKey: true,
			Cell: cells(n), Instances: 1,
		})
		for _, action := range actions {
			if dispatch, ok := action.(honeyplank.Dispatch); ok && n%2 == 0 {
				outcome := honeyplank.Outcome{Op: dispatch.Op, Server: dispatch.Server, Code: honeyplank.Succeeded}
				engine.Handle(now, outcome)
			}
		}
		engine.Handle(now, honeyplank.ClientGone{Op: id})
	}
	return engine
}

// TestRecordsStayBounded guards against the failure that records of ever new volumes, keys, cells
// and requests grow without bound, until the process passes its memory limit.
func TestRecordsStayBounded(t *testing.T) {
	const ops = 60000
	for name, cells := range map[string]func(int) int{
		"volumes":      func(n int) int { return n % 10 },
		"new objects":  func(int) int { return honeyplank.AnyCell },
		"unknown cell": func(n int) int { return 10 + n },
	} {
		t.Run(name, func(t *testing.T) {
			engine := floodedEngine(cells, ops)
			queues := 0
			for _, server := range engine.serversByID {
				queues += len(server.queueByVolume)
			}
			open := len(engine.ops)
			for what, count := range map[string]struct{ got, most int }{
				"volumes":          {len(engine.volumes), maxIdleVolumes + maxUnusedVolumes + open},
				"queues":           {queues, maxIdleQueues + open},
				"earlier attempts": {len(engine.earlierAttempts), maxEarlierAttempts},
				"keys":             {len(engine.keyQueues), open},
				"cells":            {len(engine.demandByCell), maxUnknownCells + 10},
				"admissions":       {len(engine.admissions), maxAdmissions},
			} {
				if count.got > count.most {
					t.Errorf("%d records of %s after %d ops, want at most %d", count.got, what, ops, count.most)
				}
			}
		})
	}
}

// TestLimitAfterDroppedRecord guards against the failure that a volume gets a full bucket of its
// limit because its record was dropped to make room for those of other volumes.
func TestLimitAfterDroppedRecord(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Limit, settings.Plans[0].Burst = 0.1, 8
	fleet := newTestFleet(t, 1, settings)
	fleet.sendList(honeyplank.Cached, member(0, 0))
	fleet.now = time.Hour
	engine := fleet.instances[0]
	fleet.handle(0, honeyplank.Timer{ID: sweepTimer})
	fleet.now += time.Minute
	admit := func(id honeyplank.OpID, volume int64) {
		fleet.handle(0, honeyplank.Op{
			ID: id, Units: 1, Type: 1, Deadline: fleet.now + 5*time.Second, Volume: volume, Instances: 1,
		})
	}
	admit("first", 1)
	if len(fleet.ops["first"].dispatched) != 1 {
		t.Fatal("an op within the limit was not dispatched")
	}
	fleet.endDispatch(fleet.ops["first"], honeyplank.Succeeded)
	engine.dropVolume(engine.volumes[1])
	admit("second", 1)
	if len(fleet.ops["second"].dispatched) != 0 || engine.volumes[1].limit > 0 {
		t.Errorf("the volume has %v units of its limit, want none", engine.volumes[1].limit)
	}
}

// TestDroppedQueueKeepsServing checks that the queue that is being served is not dropped, and that
// a volume whose queue was dropped gets a new one.
func TestDroppedQueueKeepsServing(t *testing.T) {
	fleet := fullServerFleet(t)
	engine := fleet.instances[0]
	server := engine.servers["osd0"]
	served := server.servedQueue
	for n := range maxIdleQueues + 10 {
		queue := server.queueOf(&volume{id: int64(n)})
		engine.markQueueIdle(queue)
	}
	if server.queueByVolume[served.volume] != served {
		t.Error("the queue that is being served was dropped")
	}
	if engine.idleQueues.count > maxIdleQueues {
		t.Errorf("%d empty queues, want at most %d", engine.idleQueues.count, maxIdleQueues)
	}
}
