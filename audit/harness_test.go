package audit

import (
	"cmp"
	"testing"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

// testSettings are the XML settings of two gateways.
const testSettings = `<honeyplank version="1">
  <listen address="127.0.0.1:0" subsystem="nqn.2026-12.x:s" host="nqn.2026-12.x:h"/>
  <list prefix="/n/" ask-within="4s" most="20000"><etcd endpoint="127.0.0.1:2379"/></list>
  <scheduler hosts="2" ordinal="0"/>
  <dispatches most="4"/>
  <op-types>
    <op-type name="read" opcode="read" target-latency="200ms" op-timeout="1s" utility="2" kind="replayable"/>
    <op-type name="ordered" opcode="write" to="4KiB" target-latency="300ms" op-timeout="1s" utility="2"
      kind="replayable" ordered="true"/>
    <op-type name="once" opcode="write" from="8KiB" to="8KiB" target-latency="300ms" op-timeout="1s" utility="2"
      kind="once-only"/>
    <op-type name="marked" opcode="write" from="12KiB" target-latency="300ms" op-timeout="2s" utility="3"
      kind="deduplicated" scope="zone" remember="500ms"/>
  </op-types>
  <plans><plan name="p" rate="1" reserve="1" weight="1" limit="10" burst="5" slack="1"/></plans>
  <volumes block="4KiB" unit="4KiB" extent="1MiB" mean-units="1">
    <volume nsid="1" name="a" plan="p" size="1GiB" cells="0"/>
  </volumes>
  <rules drain-grace="1s" answer-margin="10ms" order-settle="500ms">
    <cold from="0.25" time="4s" window="1s" units="4" multiple="2"/><budget free="1" share="0.1" window="5s"/>
  </rules>
  <limits connections="9" depth="9" transfer="16KiB" capsule="8KiB" piece="16KiB" held="1MiB" unsent="1MiB"
    handshake="1s"/>
  <disk-servers subsystem="nqn.2026-12.x:d" connect-within="1s" keep-alive="1s" depth="9"/>
</honeyplank>`

// The number of blocks of a write of each op type.
const (
	orderedBlocks = 1
	onceBlocks    = 2
	markedBlocks  = 3
	testBlockSize = 4096
)

const ms = time.Millisecond

// verdictCase is a constructed run with the verdicts that are expected of it.
type verdictCase struct {
	violatedRule int // its number; 0: the run keeps all rules
	build        func(run constructedRun)
}

// checkVerdicts checks the log of each case against the rules. It fails the test unless exactly the case's violatedRule
// is violated.
func checkVerdicts(t *testing.T, cases map[string]verdictCase) {
	t.Helper()
	shared, err := settings.Parse("audit", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := NewLog()
			log.locations["a"], log.locations["b"] = Location{Zone: 0}, Location{Zone: 1}
			c.build(constructedRun{log})
			for _, verdict := range log.Check(shared) {
				if verdict.Kept != (verdict.Rule != c.violatedRule) {
					t.Errorf("rule %d: kept = %v (%s), want the opposite", verdict.Rule, verdict.Kept, verdict.Evidence)
				}
			}
		})
	}
}

// constructedRun is a log that a test fills in directly, without connections.
type constructedRun struct{ *Log }

// constructedOp describes an op to add to a run. By default it is a read of block 1 through gateway 0.
type constructedOp struct {
	gateway  int
	opcode   uint8
	lba      uint64
	blocks   int
	sent     time.Duration
	answered time.Duration // 0: never
	status   nvme.Status
}

func (run constructedRun) op(c constructedOp) *opRecord {
	op := &opRecord{
		opKey:   opKey{1, cmp.Or(c.lba, 1), cmp.Or(c.opcode, nvme.Read)},
		gateway: c.gateway,
		bytes:   cmp.Or(c.blocks, 1) * testBlockSize,
		sent:    c.sent,
	}
	if c.answered > 0 {
		op.answers = []answerRecord{{c.answered, c.status}}
	}
	run.order = append(run.order, op)
	return op
}

// write adds a write that was sent at 0. The number of blocks selects its op type.
func (run constructedRun) write(blocks int, answered time.Duration, status nvme.Status) *opRecord {
	return run.op(constructedOp{opcode: nvme.Write, blocks: blocks, answered: answered, status: status})
}

// dispatch adds a dispatch that a disk server received at a time, and answered at another; answered 0 means never.
func (run constructedRun) dispatch(
	op *opRecord, server string, at, answered time.Duration, status nvme.Status,
) *dispatchRecord {
	dispatch := &dispatchRecord{op: op, gateway: op.gateway, server: server, at: at}
	if answered > 0 {
		dispatch.answer = answerRecord{answered, status}
	}
	op.dispatches = append(op.dispatches, dispatch)
	run.dispatches = append(run.dispatches, dispatch)
	return dispatch
}

// read adds a read of one block with a dispatch at a time, both answered.
func (run constructedRun) read(lba int, at time.Duration) {
	op := run.op(constructedOp{lba: uint64(lba), sent: at - ms, answered: at + 20*ms})
	run.dispatch(op, "a", at, at+10*ms, nvme.Success)
}

// notify adds notices about the disk server a.
func (run constructedRun) notify(notices ...noticeRecord) {
	for _, notice := range notices {
		notice.server = "a"
		run.notices = append(run.notices, notice)
	}
}
