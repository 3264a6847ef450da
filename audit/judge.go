package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

// Verdict is what became of one rule.
type Verdict struct {
	Rule    int    `json:"rule"`
	Name    string `json:"name"`
	Kept    bool   `json:"kept"`
	Checked int    `json:"checked"` // how many cases were looked at
	Broken  int    `json:"broken"`
	// Evidence is the first case that broke it, or how near the nearest came where there is such a measure.
	Evidence string `json:"evidence,omitempty"`
}

// slack is how much later than it left a gateway something may be seen at the other end of a socket, since
// all of a rehearsal shares one machine. It hides breaches that are over sooner.
const slack = 100 * time.Millisecond

func (v *Verdict) breach(format string, a ...any) {
	if v.Broken++; v.Broken == 1 {
		v.Evidence = fmt.Sprintf(format, a...)
	}
	v.Kept = false
}

// Judge holds what was seen against the rules, with the settings that all gateways shared.
func (l *Log) Judge(s *settings.Gateway) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	rules := []struct {
		name string
		f    func(*settings.Gateway, *Verdict)
	}{
		{"every op gets exactly one final answer in time", l.answers},
		{"no effect happens twice", l.effects},
		{"nothing new to a server that drains or is gone", l.drains},
		{"no cold disk server is pushed over", l.cold},
		{"order is kept for each key", l.ordered},
		{"further dispatches stay within the budget", l.budget},
		{"limits are kept", l.limits},
	}
	var out []Verdict
	for i, r := range rules {
		v := Verdict{Rule: i + 1, Name: r.name, Kept: true}
		r.f(s, &v)
		out = append(out, v)
	}
	return out
}

func (r *opRecord) String() string {
	return fmt.Sprintf("op %#x at block %d of volume %d, sent to gateway %d at %v", r.opcode, r.lba, r.nsid, r.gateway, r.sent)
}

func (r *opRecord) opType(s *settings.Gateway) *settings.OpType {
	if t := s.OpTypeIndex(r.opcode, int64(r.bytes)); t >= 0 {
		return &s.OpTypes[t]
	}
	return nil
}

// final is when its client had the answer; ok is false where there was none.
func (r *opRecord) final() (at time.Duration, status nvme.Status, ok bool) {
	if len(r.answers) == 0 {
		return 0, 0, false
	}
	return r.answers[0].at, r.answers[0].status, true
}

func (l *Log) killed(gateway int, from, to time.Duration) bool {
	for _, at := range l.kills[gateway] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// left tells whether a connection that ended at a time was one that its client broke.
func (l *Log) left(gateway int, closed time.Duration) bool {
	return slices.ContainsFunc(l.leaves[gateway], func(at time.Duration) bool { return at <= closed && closed <= at+slack })
}

func (l *Log) answers(s *settings.Gateway, v *Verdict) {
	for _, r := range l.order {
		t := r.opType(s)
		if t == nil || r.spoiled || r.twice {
			continue
		}
		v.Checked++
		timeout := t.OpTimeout.Duration()
		if r.patience > 0 {
			timeout = min(timeout, r.patience)
		}
		switch at, _, ok := r.final(); {
		case len(r.answers) > 1:
			v.breach("%v had %d answers", r, len(r.answers))
		case ok && at-r.sent > timeout:
			v.breach("%v was answered %v later, past its op timeout of %v", r, at-r.sent, timeout)
		case !ok && r.closed > 0 && r.closed-r.sent <= timeout && l.left(r.gateway, r.closed):
		case !ok && !l.killed(r.gateway, r.sent-slack, r.sent+timeout):
			v.breach("%v had no answer within its op timeout of %v", r, timeout)
		}
		if at, _, ok := r.final(); ok {
			for _, d := range r.sends {
				if d.at > at+slack {
					v.breach("%v was dispatched to %s %v after its final answer", r, d.server, d.at-at)
				}
			}
		}
	}
}

// proves tells whether a dispatch is known not to have run.
func (d *sendRecord) proves() bool {
	return d.answer.at > 0 && d.answer.status.Code() == nvme.Rejected
}

// over is when a dispatch had its outcome, at the server's end; 0: never.
func (d *sendRecord) over() time.Duration {
	if d.answer.at > 0 {
		return d.answer.at
	}
	return d.closed
}

func (l *Log) effects(s *settings.Gateway, v *Verdict) {
	for _, r := range l.order {
		t := r.opType(s)
		if t == nil || len(r.sends) == 0 || r.twice {
			continue
		}
		v.Checked++
		for i, later := range r.sends {
			for _, d := range r.sends[:i] {
				if o := d.over(); !s.Dispatches.HedgingAllowed && (o == 0 || o > later.at+slack) {
					v.breach("%v was dispatched to %s while a dispatch to %s was out", r, later.server, d.server)
				}
				if d.proves() {
					continue
				}
				a, b := l.servers[d.server], l.servers[later.server]
				far := t.DedupScope == "zone" && a.Zone != b.Zone || t.DedupScope == "cell" && a.Cell != b.Cell
				switch {
				case t.Semantics == "once-only":
					v.breach("%v, once-only, was dispatched to %s after a dispatch to %s that may have run", r, later.server, d.server)
				case t.Semantics == "deduplicated" && (far || later.at-d.at > t.DedupWindow.Duration()+slack):
					v.breach("%v was dispatched to %s, outside the group or time that drops repeats of the dispatch to %s", r, later.server, d.server)
				}
			}
		}
		at, status, ok := r.final()
		if !ok || status.Code() != nvme.CommandInterrupted || t.Semantics == "replayable" || t.Semantics == "deduplicated" && (t.DedupScope == "" || t.DedupScope == "all") {
			continue
		}
		for _, d := range r.sends {
			if !d.proves() && d.at < at {
				v.breach("%v, %s, was throttled after a dispatch to %s that may have run", r, t.Semantics, d.server)
			}
		}
	}
}

func (l *Log) drains(s *settings.Gateway, v *Verdict) {
	grace := s.Policy.DrainGrace.Duration()
	told := map[string][]toldRecord{}
	for _, t := range l.told {
		told[fmt.Sprint(t.gateway, " ", t.server)] = append(told[fmt.Sprint(t.gateway, " ", t.server)], t)
	}
	for _, d := range l.sends {
		out := map[string]toldRecord{} // by source, since it took the server out
		for _, t := range told[fmt.Sprint(d.gateway, " ", d.server)] {
			if t.at > d.at {
				break
			}
			if was, is := out[t.source]; t.state != "on" && !is {
				out[t.source] = t
			} else if t.state == "on" {
				delete(out, t.source)
				for source, was := range out { // a newer start than the other source's word
					if t.started > was.at {
						delete(out, source)
					}
				}
			} else if was.state != t.state && is {
				was.state = t.state
				out[t.source] = was
			}
		}
		v.Checked++
		for source, t := range out {
			if d.at > t.at+grace+slack {
				v.breach("%s was sent an op by gateway %d at %v, %v after %s told that it is %s", d.server, d.gateway, d.at, d.at-t.at, source, t.state)
			}
		}
	}
}

func (l *Log) units(s *settings.Gateway, r *opRecord) float64 {
	return float64(s.Units(int64(r.bytes)))
}

func (l *Log) cold(s *settings.Gateway, v *Verdict) {
	c := s.Policy.SlowStart
	if c == nil {
		return
	}
	byServer := map[string][]*sendRecord{}
	for _, d := range l.sends {
		byServer[d.server] = append(byServer[d.server], d)
	}
	nearest, where := 0.0, ""
	for server, starts := range l.starts {
		list := byServer[server]
		for _, start := range starts {
			from := 0
			for i, d := range list {
				age := d.at - start.at
				if age < 0 || age > c.Time.Duration()+c.Window.Duration() {
					continue
				}
				for list[from].at < d.at-c.Window.Duration() || list[from].at < start.at {
					from++
				}
				v.Checked++
				sum, informed := 0.0, 0.0
				for _, x := range list[from : i+1] {
					if x.op == nil {
						continue
					}
					u := l.units(s, x.op)
					sum += u
					if slices.ContainsFunc(l.told, func(t toldRecord) bool {
						return t.gateway == x.gateway && t.server == server && t.at <= x.at && t.started >= start.at-slack
					}) {
						informed += u
					}
				}
				most := c.Multiple * start.capacity(age) * c.Window.Duration().Seconds()
				if part := sum / most; part > nearest {
					nearest, where = part, fmt.Sprintf("nearest: %.0f%% of what makes %s fall, %v after its start", 100*part, server, age.Round(time.Millisecond))
				}
				if sum > most && informed >= sum*2/3 {
					v.breach("%s, %v after its start, had been sent %.0f units within %v, over %.1f times its capacity", server, age, sum, c.Window.Duration(), c.Multiple)
				}
			}
		}
	}
	if v.Kept {
		v.Evidence = where
	}
}

func (l *Log) ordered(s *settings.Gateway, v *Verdict) {
	type place struct {
		gateway int
		nsid    uint32
		extent  int64
	}
	keys := map[place][]*opRecord{}
	for _, r := range l.order {
		if t := r.opType(s); t != nil && t.Ordered && len(r.sends) > 0 && !r.twice {
			p := place{r.gateway, r.nsid, int64(r.lba) * int64(s.Volumes.Block) / int64(s.Volumes.Extent)}
			keys[p] = append(keys[p], r)
		}
	}
	for _, list := range keys {
		var sends []*sendRecord
		for _, r := range list {
			sends = append(sends, r.sends...)
		}
		slices.SortFunc(sends, func(a, b *sendRecord) int { return cmp.Compare(a.at, b.at) })
		for i, d := range sends {
			v.Checked++
			for _, e := range sends[:i] {
				if e.op == d.op {
					continue
				}
				// Between the outcome at the server and the next dispatch lies the way to the gateway and back, so
				// no slack is needed here. A dispatch may be given up with its op, before the server is done.
				if o := e.over(); (o == 0 || o > d.at) && !l.excused(e, d.at) {
					v.breach("%v was dispatched while %v of the same key was out", d.op, e.op)
				}
				// A key rests after a dispatch that may be running still.
				if ended := e.given(); ended > 0 && d.at < ended+s.Policy.OrderSettle.Duration()-slack && d.at > ended {
					v.breach("%v was dispatched %v after a dispatch of the same key ended without an answer", d.op, d.at-ended)
				}
				// An op that its client sent clearly earlier, and that was not over, must not come after.
				if e.op.sent > d.op.sent+slack && e.at < d.at && len(e.op.sends) > 0 && e.op.sends[0] == e && d.op.sends[0] == d {
					v.breach("%v was dispatched before %v of the same key, which was sent %v earlier", e.op, d.op, e.op.sent-d.op.sent)
				}
			}
		}
	}
}

// given is when a dispatch without an answer ended for its gateway: with its connection, or with its op; 0: it
// had an answer, or has not ended.
func (d *sendRecord) given() time.Duration {
	if at, _, ok := d.op.final(); d.answer.at == 0 && ok && (d.closed == 0 || at < d.closed) {
		return at
	}
	if d.answer.at == 0 {
		return d.closed
	}
	return 0
}

// excused tells whether a dispatch without an outcome had to end before a time: at its op timeout, or with
// the gateway.
func (l *Log) excused(d *sendRecord, by time.Duration) bool {
	at, _, ok := d.op.final()
	return ok && at <= by || d.op.closed > 0 && d.op.closed <= by || l.killed(d.gateway, d.at, by)
}

func (l *Log) budget(s *settings.Gateway, v *Verdict) {
	b := s.Policy.RetryBudget
	if b == nil {
		return
	}
	taken, extra := map[int][]time.Duration{}, map[int][]time.Duration{}
	for _, r := range l.order {
		taken[r.gateway] = append(taken[r.gateway], r.sent)
		for i, d := range r.sends {
			if i > 0 {
				extra[d.gateway] = append(extra[d.gateway], d.at)
			}
		}
	}
	for gateway, list := range extra {
		slices.Sort(list)
		for i, at := range list {
			v.Checked++
			n, ops := 1, 0
			for _, x := range list[:i] {
				if x > at-b.Window.Duration()+slack {
					n++
				}
			}
			for _, x := range taken[gateway] {
				if x > at-b.Window.Duration()-slack && x <= at {
					ops++
				}
			}
			if float64(n) > b.Free+b.Share*float64(ops) {
				v.breach("gateway %d sent %d further dispatches within %v of %d ops", gateway, n, b.Window.Duration(), ops)
			}
		}
	}
}

func (l *Log) limits(s *settings.Gateway, v *Verdict) {
	plans := map[uint32]*settings.Plan{}
	for _, x := range s.Volumes.List {
		plans[x.NSID] = &s.Plans.List[s.PlanIndex(x.Plan)]
	}
	firsts := map[uint32][]*sendRecord{}
	for _, r := range l.order {
		if p := plans[r.nsid]; p != nil && p.Limit > 0 && len(r.sends) > 0 {
			firsts[r.nsid] = append(firsts[r.nsid], r.sends[0])
		}
	}
	for nsid, list := range firsts {
		p := plans[nsid]
		slices.SortFunc(list, func(a, b *sendRecord) int { return cmp.Compare(a.at, b.at) })
		store, last := p.Burst, time.Duration(0)
		for _, d := range list {
			v.Checked++
			store = min(p.Burst, store+p.Limit*(d.at-last).Seconds()) - l.units(s, d.op)
			last = d.at
			if store < -p.Slack-p.Limit*slack.Seconds() {
				v.breach("volume %d was sent %.1f units past its limit at %v", nsid, -store, d.at)
			}
		}
	}
}
