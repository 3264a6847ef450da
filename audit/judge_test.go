package audit

import (
	"testing"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

const script = `<honeyplank version="1">
  <listen address="127.0.0.1:0" subsystem="nqn.2026-12.x:s" host="nqn.2026-12.x:h"/>
  <list prefix="/n/" ask-within="4s" most="20000"><etcd endpoint="127.0.0.1:2379"/></list>
  <scheduler hosts="2" ordinal="0"/>
  <dispatches most="4"/>
  <op-types>
    <op-type name="read" opcode="read" target-latency="200ms" op-timeout="1s" utility="2" kind="replayable"/>
    <op-type name="ordered" opcode="write" to="4KiB" target-latency="300ms" op-timeout="1s" utility="2" kind="replayable" ordered="true"/>
    <op-type name="once" opcode="write" from="8KiB" to="8KiB" target-latency="300ms" op-timeout="1s" utility="2" kind="once-only"/>
    <op-type name="marked" opcode="write" from="12KiB" target-latency="300ms" op-timeout="2s" utility="3" kind="deduplicated" scope="zone" remember="500ms"/>
  </op-types>
  <plans><plan name="p" rate="1" reserve="1" weight="1" limit="10" burst="5" slack="1"/></plans>
  <volumes block="4KiB" unit="4KiB" extent="1MiB" mean-units="1"><volume nsid="1" name="a" plan="p" size="1GiB" cells="0"/></volumes>
  <rules drain-grace="1s" answer-margin="10ms" order-settle="500ms"><cold from="0.25" time="4s" window="1s" units="4" multiple="2"/><budget free="1" share="0.1" window="5s"/></rules>
  <limits connections="9" depth="9" transfer="16KiB" capsule="8KiB" piece="16KiB" held="1MiB" unsent="1MiB" handshake="1s"/>
  <disk-servers subsystem="nqn.2026-12.x:d" connect-within="1s" keep-alive="1s" depth="9"/>
</honeyplank>`

const ms = time.Millisecond

// run builds a record by hand.
type run struct{ *Log }

// op is one of blocks blocks by a gateway, sent and answered at times; answer 0: none.
func (r run) op(gateway int, opcode uint8, lba uint64, blocks int, sent, answer time.Duration, status nvme.Status) *opRecord {
	o := &opRecord{opKey: opKey{1, lba, opcode}, gateway: gateway, bytes: blocks * 4096, sent: sent}
	if answer > 0 {
		o.answers = []answerRecord{{answer, status}}
	}
	r.order = append(r.order, o)
	return o
}

// send is a dispatch received at a time; answer 0: none.
func (r run) send(o *opRecord, server string, at, answer time.Duration, status nvme.Status) *sendRecord {
	d := &sendRecord{op: o, gateway: o.gateway, server: server, at: at}
	if answer > 0 {
		d.answer = answerRecord{answer, status}
	}
	o.sends = append(o.sends, d)
	r.sends = append(r.sends, d)
	return d
}

// TestConstructed gives the judge a sound run and, rule by rule, the nearest that is not.
func TestConstructed(t *testing.T) {
	s, err := settings.Parse("audit", []byte(script))
	if err != nil {
		t.Fatal(err)
	}
	const throttled = nvme.CommandInterrupted
	for name, c := range map[string]struct {
		broken int // 0: none
		build  func(r run)
	}{
		"answered in time": {0, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 999*ms, 0) }},
		"answered late":    {1, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 1001*ms, 0) }},
		"never answered":   {1, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 0, 0) }},
		"its client left": {0, func(r run) {
			r.op(0, nvme.Read, 1, 1, 0, 0, 0).closed = 300 * ms
			r.leaves[0] = []time.Duration{290 * ms}
		}},
		"the gateway hung up": {1, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 0, 0).closed = 300 * ms }},
		"another client left": {1, func(r run) {
			r.op(0, nvme.Read, 1, 1, 0, 0, 0).closed = 300 * ms
			r.leaves[1] = []time.Duration{290 * ms}
		}},
		"its gateway died":     {0, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 0, 0); r.kills[0] = []time.Duration{500 * ms} }},
		"another gateway died": {1, func(r run) { r.op(0, nvme.Read, 1, 1, 0, 0, 0); r.kills[1] = []time.Duration{500 * ms} }},
		"answered twice": {1, func(r run) {
			o := r.op(0, nvme.Read, 1, 1, 0, 9*ms, 0)
			o.answers = append(o.answers, answerRecord{10 * ms, 0})
		}},
		"sent after the answer": {1, func(r run) { r.send(r.op(0, nvme.Read, 1, 1, 0, 9*ms, 0), "a", 300*ms, 310*ms, 0) }},
		"once-only, refused unseen, sent anew": {0, func(r run) {
			o := r.op(0, nvme.Write, 1, 2, 0, 90*ms, 0)
			r.send(o, "a", 10*ms, 20*ms, nvme.Rejected)
			r.send(o, "a", 30*ms, 40*ms, 0)
		}},
		"once-only, failed, sent anew": {2, func(r run) {
			o := r.op(0, nvme.Write, 1, 2, 0, 90*ms, 0)
			r.send(o, "a", 10*ms, 20*ms, nvme.InternalError)
			r.send(o, "a", 30*ms, 40*ms, 0)
		}},
		"once-only, failed, throttled": {2, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 2, 0, 90*ms, throttled), "a", 10*ms, 20*ms, nvme.InternalError)
		}},
		"marked, in its zone and time": {0, func(r run) {
			o := r.op(0, nvme.Write, 1, 3, 0, 900*ms, 0)
			r.send(o, "a", 10*ms, 20*ms, nvme.InternalError)
			r.send(o, "a", 400*ms, 410*ms, 0)
		}},
		"marked, in another zone": {2, func(r run) {
			o := r.op(0, nvme.Write, 1, 3, 0, 900*ms, 0)
			r.send(o, "a", 10*ms, 20*ms, nvme.InternalError)
			r.send(o, "b", 400*ms, 410*ms, 0)
		}},
		"marked, too late": {2, func(r run) {
			o := r.op(0, nvme.Write, 1, 3, 0, 1900*ms, 0)
			r.send(o, "a", 10*ms, 20*ms, nvme.InternalError)
			r.send(o, "a", 900*ms, 910*ms, 0)
		}},
		"two out at once": {2, func(r run) {
			o := r.op(0, nvme.Read, 1, 1, 0, 900*ms, 0)
			r.send(o, "a", 10*ms, 500*ms, 0)
			r.send(o, "a", 30*ms, 40*ms, 0)
		}},
		"within the grace": {0, func(r run) {
			r.told = []toldRecord{{gateway: 0, server: "a", at: 0, state: "draining"}}
			r.send(r.op(0, nvme.Read, 1, 1, 900*ms, 999*ms, 0), "a", 950*ms, 960*ms, 0)
		}},
		"past the grace": {3, func(r run) {
			r.told = []toldRecord{{gateway: 0, server: "a", at: 0, state: "draining"}, {gateway: 0, server: "a", at: 900 * ms, state: "gone"}}
			r.send(r.op(0, nvme.Read, 1, 1, 1200*ms, 1300*ms, 0), "a", 1250*ms, 1260*ms, 0)
		}},
		"on again": {0, func(r run) {
			r.told = []toldRecord{{gateway: 0, server: "a", at: 0, state: "draining"}, {gateway: 0, server: "a", at: 900 * ms, state: "on"}}
			r.send(r.op(0, nvme.Read, 1, 1, 1200*ms, 1300*ms, 0), "a", 1250*ms, 1260*ms, 0)
		}},
		"on again by the other source": {3, func(r run) {
			r.told = []toldRecord{{server: "a", source: "dns", state: "gone"}, {server: "a", source: "etcd", at: 900 * ms, state: "on"}}
			r.send(r.op(0, nvme.Read, 1, 1, 1200*ms, 1300*ms, 0), "a", 1250*ms, 1260*ms, 0)
		}},
		"a newer start by the other source": {0, func(r run) {
			r.told = []toldRecord{{server: "a", source: "dns", at: ms, state: "gone"}, {server: "a", source: "etcd", at: 900 * ms, state: "on", started: 800 * ms}}
			r.send(r.op(0, nvme.Read, 1, 1, 1200*ms, 1300*ms, 0), "a", 1250*ms, 1260*ms, 0)
		}},
		"told of the drain alone at another": {0, func(r run) {
			r.told = []toldRecord{{gateway: 1, server: "a", at: 0, state: "draining"}}
			r.send(r.op(0, nvme.Read, 1, 1, 1200*ms, 1300*ms, 0), "a", 1250*ms, 1260*ms, 0)
		}},
		"a cold server's fill":        {0, func(r run) { r.flood(2, true) }},
		"a cold server's fall":        {4, func(r run) { r.flood(9, true) }},
		"a fall nobody could know of": {0, func(r run) { r.flood(9, false) }},
		"one after another": {0, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 1, 0, 90*ms, 0), "a", 10*ms, 20*ms, 0)
			r.send(r.op(0, nvme.Write, 2, 1, 1*ms, 91*ms, 0), "a", 30*ms, 40*ms, 0)
		}},
		"two of a key at once": {5, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 1, 0, 90*ms, 0), "a", 10*ms, 50*ms, 0)
			r.send(r.op(0, nvme.Write, 2, 1, 1*ms, 91*ms, 0), "a", 30*ms, 60*ms, 0)
		}},
		"out of turn": {5, func(r run) {
			a, b := r.op(0, nvme.Write, 1, 1, 0, 900*ms, 0), r.op(0, nvme.Write, 2, 1, 300*ms, 901*ms, 0)
			r.send(b, "a", 310*ms, 320*ms, 0)
			r.send(a, "a", 330*ms, 340*ms, 0)
		}},
		"no rest after a reset": {5, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 1, 0, 90*ms, 0), "a", 10*ms, 0, 0).closed = 20 * ms
			r.send(r.op(0, nvme.Write, 2, 1, 1*ms, 391*ms, 0), "a", 310*ms, 320*ms, 0)
		}},
		"a rest after a reset": {0, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 1, 0, 90*ms, 0), "a", 10*ms, 0, 0).closed = 20 * ms
			r.send(r.op(0, nvme.Write, 2, 1, 1*ms, 691*ms, 0), "a", 610*ms, 620*ms, 0)
		}},
		"the same of two gateways": {0, func(r run) {
			r.send(r.op(0, nvme.Write, 1, 1, 0, 90*ms, 0), "a", 10*ms, 50*ms, 0)
			r.send(r.op(1, nvme.Write, 2, 1, 1*ms, 91*ms, 0), "a", 30*ms, 60*ms, 0)
		}},
		"one free try":        {0, func(r run) { r.tries(2) }},
		"two of few ops":      {6, func(r run) { r.tries(3) }},
		"a burst":             {0, func(r run) { r.burst(1, 6) }},
		"past the slack":      {7, func(r run) { r.burst(1, 12) }},
		"a burst, spread out": {0, func(r run) { r.burst(100, 12) }},
	} {
		l := NewLog()
		l.servers["a"], l.servers["b"] = Place{Zone: 0}, Place{Zone: 1}
		c.build(run{l})
		for _, v := range l.Judge(s) {
			if v.Kept != (v.Rule != c.broken) {
				t.Errorf("%s: rule %d kept: %v (%s)", name, v.Rule, v.Kept, v.Evidence)
			}
		}
	}
}

// flood sends n units at once to a server just started that can do 10 a second.
func (r run) flood(n int, told bool) {
	r.starts["a"] = []startRecord{{1000 * ms, func(age time.Duration) float64 { return 10 * (0.25 + 0.75*age.Seconds()/4) }}}
	if told {
		r.told = []toldRecord{{gateway: 0, server: "a", at: 1000 * ms, state: "on", started: 1000 * ms}}
	}
	for i := range n { // four blocks each would pass the limit; reads of one block, spread over gateways
		at := time.Duration(1010+30*i) * ms
		r.send(r.op(0, nvme.Read, uint64(i), 1, at-ms, at+20*ms, 0), "a", at, at+10*ms, 0)
	}
}

// tries dispatches one op n times.
func (r run) tries(n int) {
	o := r.op(0, nvme.Read, 1, 1, 0, 900*ms, 0)
	for i := range n {
		at := time.Duration(10+200*i) * ms
		r.send(o, "a", at, at+10*ms, nvme.InternalError)
	}
}

// burst dispatches n ops of one unit, gap milliseconds apart.
func (r run) burst(gap, n int) {
	for i := range n {
		at := time.Duration(1000+gap*i) * ms
		r.send(r.op(0, nvme.Read, uint64(i), 1, at-ms, at+20*ms, 0), "a", at, at+10*ms, 0)
	}
}
