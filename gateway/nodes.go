package gateway

import (
	"fmt"
	"slices"
	"time"

	"honeyplank"
	"honeyplank/membership"
)

// Node is the state of a disk server in the membership ledger, its cause, and the state that each source reports. Since
// is the duration for which State has held, rounded to seconds.
type Node struct {
	Server string `json:"osd"`
	Cell   int    `json:"cell"`
	State  string `json:"believed"`
	Cause  string `json:"cause"`
	Since  string `json:"since"`
	Etcd   string `json:"etcd"`
	DNS    string `json:"dns"`
}

// Nodes returns the state of each disk server, sorted by address; ok is false if the instance has ended. Nodes blocks
// until the event loop has run the query, so it must not be called on the loop.
func (g *Instance) Nodes() (list []Node, ok bool) {
	return query(g, func() (list []Node) {
		ids := g.ledger.Nodes()
		slices.Sort(ids)
		now := g.loop.Now()
		for _, id := range ids {
			view, _ := g.ledger.View(id)
			list = append(list, makeNode(now, id, view))
		}
		return list
	})
}

func makeNode(now time.Duration, id honeyplank.ServerID, view membership.View) Node {
	return Node{
		Server: string(id),
		Cell:   view.Member.Cell,
		State:  view.State.String(),
		Cause:  view.Cause.String(),
		Since:  (now - view.Since).Round(time.Second).String(),
		Etcd:   sourceText(now, membership.Etcd, view),
		DNS:    sourceText(now, membership.DNS, view),
	}
}

// sourceText returns the state that a source reports of a disk server, and for how long it has reported it.
func sourceText(now time.Duration, source membership.Source, view membership.View) string {
	state := view.ReportedState[source]
	if state == membership.NeverListed {
		return state.String()
	}
	text := fmt.Sprintf("%v for %v", state, (now - view.ReportedAt[source]).Round(time.Second))
	if view.Unconfirmed[source] {
		text += ", vanished"
	}
	return text
}
