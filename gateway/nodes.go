package gateway

import (
	"fmt"
	"slices"
	"time"

	"honeyplank/membership"
)

// Node is what is believed of a disk server, why, and what each source says. Times are ages.
type Node struct {
	OSD      string `json:"osd"`
	Cell     int    `json:"cell"`
	Believed string `json:"believed"`
	Cause    string `json:"cause"`
	Since    string `json:"since"`
	Etcd     string `json:"etcd"`
	DNS      string `json:"dns"`
}

// Nodes asks the loop what is believed of each disk server, by address.
func (g *Instance) Nodes() (list []Node, ok bool) {
	answer := make(chan []Node, 1)
	if !g.loop.Post(func() {
		var list []Node
		ids := g.book.Nodes()
		slices.Sort(ids)
		now := g.loop.Now()
		for _, id := range ids {
			v, _ := g.book.View(id)
			says := func(s membership.Source) string {
				if v.ReportedState[s] == membership.NeverListed {
					return v.ReportedState[s].String()
				}
				text := fmt.Sprintf("%v for %v", v.ReportedState[s], (now - v.ReportedAt[s]).Round(time.Second))
				if v.Unconfirmed[s] {
					text += ", vanished"
				}
				return text
			}
			list = append(list, Node{string(id), v.Member.Cell, v.State.String(), v.Cause.String(), (now - v.Since).Round(time.Second).String(), says(membership.Etcd), says(membership.DNS)})
		}
		answer <- list
	}) {
		return nil, false
	}
	select {
	case list = <-answer:
		return list, true
	case <-g.done:
		return nil, false
	}
}
