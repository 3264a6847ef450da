package inflight

import "honeyplank"

// maxDeparted is the number of ids that are remembered of clients that have left.
const maxDeparted = 4096

// departedIDs remembers the ids of the last ops whose client has gone and that may have run, so that none of them runs
// again under the same id. The zero value remembers none.
type departedIDs struct {
	known map[honeyplank.OpID]bool
	order []honeyplank.OpID // a ring, once it is full
	next  int               // index in order of the oldest id, once it is full
}

// add remembers an id, in place of the oldest one if there are too many.
func (d *departedIDs) add(id honeyplank.OpID) {
	if d.known[id] {
		return
	}
	if d.known == nil {
		d.known = map[honeyplank.OpID]bool{}
	}
	d.known[id] = true
	if len(d.order) < maxDeparted {
		d.order = append(d.order, id)
		return
	}
	delete(d.known, d.order[d.next])
	d.order[d.next] = id
	d.next = (d.next + 1) % maxDeparted
}
