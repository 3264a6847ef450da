package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["10"] = answeredTooLate }

// answeredTooLate sends reads while the scheduler stands still. One disk server of five hangs. Each read is due its
// final answer half a second after its time at the latest.
func answeredTooLate(l *lab) error {
	const answerGrace = 500 * time.Millisecond
	d, err := l.deploy(5, 15*time.Millisecond)
	if err != nil {
		return err
	}
	if err := d.warmUp(l, d.disks); err != nil {
		return err
	}
	l.note("disk 0 hangs from now on")
	d.disks[0].silent.Store(true)
	var asked []*request
	var clients []*client
	var sent []time.Time
	for i := range 4 {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		defer c.close()
		clients = append(clients, c)
		asked = append(asked, &request{class: "doc-read", plan: "premium", id: fmt.Sprintf("read-%d", i),
			timeout: 2 * time.Second, volume: 10 + i, piece: 10 + i, units: 2, shard: i % 2, hosts: 1})
	}
	time.Sleep(100 * time.Millisecond)
	d.stall(l, func() {
		for i, c := range clients {
			sent = append(sent, c.ask(asked[i]))
		}
	})
	for i, c := range clients {
		due := sent[i].Add(asked[i].timeout + answerGrace + slack)
		r := c.next(time.Until(due.Add(3 * time.Second)))
		if r == nil {
			l.violation("%s has no answer 3 s after it was due", asked[i].id)
			continue
		}
		l.noteAt(r.at, "client: %s gets %s, %.0f ms after it was sent", asked[i].id, r.text(),
			float64(r.at.Sub(sent[i]).Milliseconds()))
		if r.at.After(due) {
			l.violation("%s is answered %v after its time was up", asked[i].id, r.at.Sub(sent[i].Add(asked[i].timeout)))
		}
	}
	for _, disk := range d.disks {
		for _, c := range disk.received() {
			for i, r := range asked {
				if told, err := strconv.Atoi(c.options["d"]); err == nil && r.id == c.id {
					l.note("%s was told d=%d when %v were left", c.id, told, sent[i].Add(r.timeout).Sub(c.at))
				}
			}
		}
	}
	return nil
}
