package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	fakeresp "honeyplank/fake/resp"
)

const (
	// againClients is the number of connections of bad clients. Clients hold at most a third of the 512 descriptors.
	againClients = 150
	// againCommands is the number of commands that each of them sends at once. It sends one more for each that is
	// turned away.
	againCommands = 300
	// overloadTime is the time for which the bad clients send.
	overloadTime = 15 * time.Second
	// usualPatience is the time of a read of a usual client, as the settings have it.
	usualPatience = 1200 * time.Millisecond
)

// lostUnderOverload is a case of part two. Bad clients send hundreds of small reads at once, and each again as soon as
// it is turned away. Each request of the usual clients has to get its final answer within its time and half a second.
func lostUnderOverload(w *world) (violations []string, err error) {
	var members []fakeresp.Member
	for shard := range diskServers {
		d, err := newDisk(shard, 0, func(arrival) time.Duration { return 30 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		go d.serve()
		members = append(members, member(shard, d.listener.Addr().String()))
	}
	discovery, err := fakeresp.NewDiscovery(members...)
	if err != nil {
		return nil, err
	}
	defer discovery.Stop()
	s, err := w.startScheduler("n0", discovery.Address(), members, smallDeployment(1))
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(2*time.Second + overloadTime)
	var mu sync.Mutex
	var running sync.WaitGroup
	for n := range usualClients {
		running.Go(func() {
			late := w.judgedTraffic(s, n, end)
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, late...)
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.record("%d bad clients connect, each sends %d reads at once and again what is turned away", againClients,
			againCommands)
		for n := range againClients {
			running.Go(func() { w.sendAgain(s, n, end) })
		}
	}
	running.Wait()
	return violations, nil
}

// judgedTraffic sends reads one by one until the end and returns a violation for each that is answered too late. A read
// that crosses the end of its connection is not judged.
func (w *world) judgedTraffic(s *scheduler, number int, end time.Time) (violations []string) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = dialClient(s.address); err != nil {
				w.record("usual client %d: %v", number, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		r := request{
			id: fmt.Sprintf("%016x", 1<<40+number<<20+n), piece: fmt.Sprintf("%016x", n), class: "read",
			plan: "priority", volume: number, shard: (number + n) % diskServers, hosts: 1, units: 2,
			patience: usualPatience,
		}
		sent := time.Now()
		_, err := c.conn.Write(r.encode())
		var answered reply
		if err == nil {
			answered, err = c.read(sent.Add(20 * time.Second))
		}
		if err != nil {
			w.record("usual client %d: read %s: %v", number, r.id, err)
			c.close()
			c = nil
			continue
		}
		took := answered.at.Sub(sent).Round(time.Millisecond)
		w.record("usual client %d: read %s: %s after %v", number, r.id, answered.summary(), took)
		if took > r.patience+answerSlack {
			violations = append(violations, fmt.Sprintf(
				"%s of a usual client got its answer (%s) %v after it was sent, its time was %v",
				r.id, answered.summary(), took, r.patience,
			))
		}
		time.Sleep(100 * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
	return violations
}

// sendAgain plays a bad client until the end.
func (w *world) sendAgain(s *scheduler, number int, end time.Time) {
	c, err := dialClient(s.address)
	if err != nil {
		w.record("bad client %d: %v", number, err)
		return
	}
	defer c.close()
	encode := func(n int) []byte {
		return request{
			id: fmt.Sprintf("%016x", 2<<40+number<<24+n), piece: fmt.Sprintf("%016x", number<<24+n),
			class: "bulk-read", plan: "basic", volume: 1000 + number*1000 + n%200, shard: n % diskServers,
			hosts: 1, units: 6, patience: 5 * time.Second,
		}.encode()
	}
	var commands []byte
	for n := range againCommands {
		commands = append(commands, encode(n)...)
	}
	next := againCommands
	if _, err := c.conn.Write(commands); err != nil {
		return
	}
	replies := map[string]int{}
	for {
		reply, err := c.read(end)
		if err != nil {
			break
		}
		replies[reply.summary()]++
		if strings.HasPrefix(reply.text, "-BUSY") {
			if _, err := c.conn.Write(encode(next)); err != nil {
				break
			}
			next++
		}
	}
	w.record("bad client %d: sent %d reads, replies %v", number, next, replies)
}
