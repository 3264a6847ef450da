package main

import (
	"fmt"
	"time"
)

func init() { cases["stall-gone"] = sentForGoneClient }

// sentForGoneClient has clients whose requests wait for the limit of their plan, and who leave while the scheduler
// stands still. Nothing may be sent for them later than 0.1 s after they have closed.
func sentForGoneClient(l *lab) error {
	const goneGrace = 100 * time.Millisecond
	d, err := l.deploy(5, 4*time.Millisecond)
	if err != nil {
		return err
	}
	closed := map[string]time.Time{}
	var clients []*client
	time.Sleep(1500 * time.Millisecond) // the limit fills
	if err := d.warmUp(l, d.disks); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	for i := range 10 {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		clients = append(clients, c)
		c.ask(&request{class: "bulk-export", plan: "standard", id: fmt.Sprintf("export-%d", i),
			timeout: 6 * time.Second, volume: 1, piece: i, units: 8, shard: i % 5, hosts: 1})
	}
	time.Sleep(300 * time.Millisecond)
	d.stall(l, func() {
		time.Sleep(300 * time.Millisecond) // the clients give up a try after 24 to 59% of the target of 2 s
		for i, c := range clients {
			id := fmt.Sprintf("export-%d", i)
			select {
			case r := <-c.replies:
				l.noteAt(r.at, "client: %s gets %s", id, r.text())
			default:
				closed[id] = c.close()
				l.noteAt(closed[id], "client: leaves %s", id)
			}
		}
	})
	time.Sleep(3 * time.Second)
	for _, disk := range d.disks {
		for _, c := range disk.received() {
			if left, ok := closed[c.id]; ok && c.at.Sub(left) > goneGrace+slack {
				l.violation("%s came at %s %v after its client had closed", c.id, disk.name, c.at.Sub(left))
			}
		}
	}
	return nil
}
