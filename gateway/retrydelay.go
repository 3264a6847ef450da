package gateway

import (
	"slices"
	"time"
)

// crdtUnit is the unit of CRDT1 to CRDT3 (Base 5.17.2.1).
const crdtUnit = 100 * time.Millisecond

// delays are the advices that the module can give, by the settings: three at most.
func (g *Instance) delays() (list []time.Duration) {
	if g.s.Dispatches.AdviceMost <= 0 {
		return nil
	}
	for _, t := range g.s.OpTypes {
		list = append(list, min(t.TargetLatency.D(), g.s.Dispatches.AdviceMost.D()))
	}
	slices.Sort(list)
	list = slices.Compact(list)
	for len(list) > 3 {
		list = slices.Delete(list, 1, 2)
	}
	return list
}

// delay is the CRD index whose time is the least that is not under the advice; 0: no advice.
func (g *Instance) delay(advice time.Duration) int {
	for i, d := range g.advice {
		if advice > 0 && advice <= d {
			return i + 1
		}
	}
	if advice > 0 {
		return len(g.advice)
	}
	return 0
}
