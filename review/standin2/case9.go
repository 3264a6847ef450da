package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["9"] = readButNotAnswered }

// readButNotAnswered has a client that sends 40 reads with long values at once, while over a quarter of the descriptors
// belong to other clients that send reads. The scheduler stands still once the first 32 are answered. Each of the 40 is
// due its final answer half a second after its time at the latest.
func readButNotAnswered(l *lab) error {
	const (
		atOnce, beforeStall  = 40, 32
		otherClients, rounds = 75, 3
		timeout              = 6 * time.Second
		answerGrace          = 500 * time.Millisecond
	)
	l.sockets = 256
	d, err := l.deploy(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range otherClients {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		running.Go(func() { (&user{client: c, number: i, rest: 250 * time.Millisecond}).run(stop) })
	}
	time.Sleep(time.Second)
	for round := range rounds {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		sent := time.Now()
		for i := range atOnce {
			r := &request{class: "bulk-export", plan: "premium", id: fmt.Sprintf("export-%d-%d", round, i),
				timeout: timeout, volume: 1000 + i, piece: i, units: 1, shard: i % 5, hosts: 1}
			if i == 0 {
				r.units = 8 // the others wait for the first
			}
			c.ask(r)
		}
		for i := range atOnce {
			if i == beforeStall {
				d.stall(l, func() {})
			}
			r := c.next(time.Until(sent.Add(timeout + answerGrace + slack)))
			if r == nil {
				l.violation("export-%d-%d and %d more have no answer after %v, the connection is open: %v", round, i,
					atOnce-i-1, time.Since(sent).Round(time.Millisecond), len(c.ended) == 0)
				break
			}
			l.noteAt(r.at, "client: export-%d-%d gets %s", round, i, r.text())
		}
		c.close()
	}
	close(stop)
	running.Wait()
	return nil
}
