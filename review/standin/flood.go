package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	fakeresp "honeyplank/fake/resp"
)

const (
	// badClients is the number of connections of bad clients. Clients hold at most a third of the 512 descriptors.
	badClients = 60
	// badCommands is the number of commands that each of them sends at once.
	badCommands = 200
	// floodTime is the time for which the case watches the scheduler after the bad clients have connected.
	floodTime = 15 * time.Second
	// usualClients is the number of connections of usual clients, each of which sends about 10 requests a second.
	usualClients = 10
)

// memoryUnderFlood is case 3. Bad clients send hundreds of writes at once, each within the protocol. The scheduler may
// not go over its memory limit, over which the platform kills it.
func memoryUnderFlood(w *world) (violations []string, err error) {
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
	end := time.Now().Add(time.Second + floodTime)
	var lost atomic.Int64
	var usual sync.WaitGroup
	for n := range usualClients {
		usual.Go(func() { lost.Add(w.usualTraffic(s, n, end)) })
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.record("%d bad clients connect, each sends %d writes of 64 KiB at once", badClients, badCommands)
		for n := range badClients {
			go w.flood(s, n, end)
		}
	}
	peak, over := w.watchMemory(s, end)
	usual.Wait()
	w.record("most memory seen: %d MB anonymous, limit %d MB", peak, memoryMB)
	if over {
		violations = append(violations, fmt.Sprintf(
			"the scheduler held %d MB, its limit is %d MB: killed; usual clients lost %d requests that it had taken",
			peak, memoryMB, lost.Load(),
		))
	}
	return violations, nil
}

// watchMemory looks at the memory of the scheduler until the end. Over the limit it kills the scheduler, as the
// platform does, and returns true.
func (w *world) watchMemory(s *scheduler, end time.Time) (peak int, over bool) {
	for noted := 0; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		anonymous, err := anonymousMB(s.process.Pid)
		if err != nil {
			w.record("the scheduler is gone: %v", err)
			return peak, false
		}
		if peak = max(peak, anonymous); peak >= noted+20 {
			noted = peak
			w.record("the scheduler holds %d MB", peak)
		}
		if peak > memoryMB {
			w.record("over memory_mb the scheduler is killed")
			_ = w.signal(s, syscall.SIGKILL) // it may have ended
			return peak, true
		}
	}
	return peak, false
}

// anonymousMB returns the memory of a process that no file backs, which is the least that a limit can count.
func anonymousMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no RssAnon", pid)
}

// usualTraffic sends reads one by one until the end and returns the number of those that got no answer.
func (w *world) usualTraffic(s *scheduler, number int, end time.Time) (lost int64) {
	c, err := dialClient(s.address)
	if err != nil {
		return 0
	}
	defer c.close()
	for n := 0; time.Now().Before(end); n++ {
		r := request{
			id: fmt.Sprintf("%016x", 1<<40+number<<20+n), piece: fmt.Sprintf("%016x", n), class: "read",
			plan: "priority", volume: number, shard: (number + n) % diskServers, hosts: 1, units: 2,
			patience: 1200 * time.Millisecond,
		}
		if _, err := c.conn.Write(r.encode()); err != nil {
			return 0 // not taken
		}
		reply, err := c.read(time.Now().Add(5 * time.Second))
		if err != nil {
			w.record("usual client %d: read %s got no answer: %v", number, r.id, err)
			return 1
		}
		w.record("usual client %d: read %s: %s", number, r.id, reply.summary())
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// flood sends the writes of a bad client at full speed, and reads what is sent to it.
func (w *world) flood(s *scheduler, number int, end time.Time) {
	c, err := dialClient(s.address)
	if err != nil {
		return
	}
	defer c.close()
	body := strings.Repeat("x", 64<<10)
	go func() {
		for n := range badCommands {
			r := request{
				id: fmt.Sprintf("%016x", 2<<40+number<<20+n), piece: fmt.Sprintf("%016x", number<<20+n),
				class: "write", plan: "priority", volume: 1000 + n, shard: (number + n) % diskServers, hosts: 1,
				units: 6, patience: 2 * time.Second, body: body,
			}
			if _, err := c.conn.Write(r.encode()); err != nil {
				return
			}
		}
	}()
	replies := map[string]int{}
	for n := range badCommands {
		reply, err := c.read(end)
		if err != nil {
			w.record("bad client %d: %v after %d replies", number, err, n)
			return
		}
		replies[reply.summary()]++
	}
	w.record("bad client %d: replies %v", number, replies)
}
