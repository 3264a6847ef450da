package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	fake "honeyplank/fake/resp"
	"honeyplank/resp"
)

const (
	// Of copyOdds answers, serveCopies sends one a second time, leastCopyDelay to longestCopyDelay late.
	copyOdds                         = 5
	leastCopyDelay, longestCopyDelay = 2 * time.Millisecond, 4 * time.Millisecond

	// A disk server stands still for 74 to 210 ms every 2.1 to 7.1 s. shortPeriod is the longest period of the case.
	leastStandstill, longestStandstill = 74 * time.Millisecond, 210 * time.Millisecond
	leastPeriod, shortPeriod           = 2100 * time.Millisecond, 3 * time.Second
)

func init() { cases["8"] = foreignValues }

// runDisk is a disk server until it fails. It prints its address. With copies it sends some answers twice.
func runDisk(copies bool) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveCopies(conn, copies)
	}
}

// serveCopies answers the commands of a connection in their order.
func serveCopies(conn net.Conn, copies bool) {
	defer func() { _ = conn.Close() }()
	var waiting atomic.Int64 // commands that were read and are not answered
	commands := make(chan []resp.Value, 1024)
	go func() {
		defer close(commands)
		reader, buffer := resp.Reader{Limits: diskLimits}, make([]byte, 64<<10)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			for used := 0; used < n; {
				frame, err := reader.Next(buffer[used:n])
				if err != nil {
					return
				}
				if used += frame.Used; frame.Complete {
					waiting.Add(1)
					commands <- frame.Value.List
				}
			}
		}
	}()
	for args := range commands {
		answer := resp.AppendSimpleString(nil, "OK")
		block := strings.HasPrefix(string(args[0].Text), "BLK.") && len(args) >= 4
		if block {
			time.Sleep(25 * time.Millisecond)
			answer = resp.AppendBulk(resp.AppendArray(nil, 3), valueOf(string(args[2].Text), "read"))
			answer = resp.AppendNull(resp.AppendNull(answer))
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if waiting.Add(-1) > 0 || !copies || !block || rand.Intn(copyOdds) > 0 {
			continue
		}
		time.Sleep(between(leastCopyDelay, longestCopyDelay))
		if waiting.Load() == 0 { // nothing else waits on the connection
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}
}

// startDiskProcess starts a disk server as a process of its own.
func (l *lab) startDiskProcess(copies bool) (*exec.Cmd, string, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	command := exec.Command(program, "disk", fmt.Sprint(copies))
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := command.Start(); err != nil {
		return nil, "", err
	}
	l.atEnd(func() {
		_ = command.Process.Kill() // an ended process needs none
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	return command, strings.TrimSpace(address), err
}

// between returns a random time.
func between(least, longest time.Duration) time.Duration {
	return least + time.Duration(rand.Int63n(int64(longest-least)))
}

// standStill stops a process for a while, again and again, until stop is closed.
func standStill(l *lab, name string, process *os.Process, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(leastPeriod, shortPeriod)):
		}
		length := between(leastStandstill, longestStandstill)
		l.note("%s stands still for %v", name, length)
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = process.Signal(syscall.SIGCONT)
	}
}

// foreignValues has disk servers that send a second answer some milliseconds late, and that stand still now and then.
// Each value must be the one that was made for its request.
func foreignValues(l *lab) error {
	const disks, clientsEach, length = 10, 30, 90 * time.Second
	var list []fake.Member
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range disks {
		command, address, err := l.startDiskProcess(l.trouble)
		if err != nil {
			return err
		}
		list = append(list, fake.Member{ID: fmt.Sprintf("s-%08x", i), Address: address, Zone: "lj-room1",
			Model: "std-2c", Cell: i, Phase: "up", Size: 1})
		running.Go(func() { standStill(l, fmt.Sprintf("disk %d", i), command.Process, stop) })
	}
	discovery, err := fake.NewDiscovery(list...)
	if err != nil {
		return err
	}
	l.atEnd(discovery.Stop)
	var asked, served atomic.Int64
	for i := range schedulers {
		s, err := l.startScheduler(i, ljubljanaSettings(disks), discovery.Address(), list)
		if err != nil {
			return err
		}
		for n := range clientsEach {
			c, err := dialClient(l, s.address)
			if err != nil {
				return err
			}
			running.Go(func() { readOn(c, i*clientsEach+n, disks, stop, &asked, &served) })
		}
	}
	time.Sleep(length)
	close(stop)
	running.Wait()
	l.note("%d requests, %d of them served", asked.Load(), served.Load())
	if served.Load() == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// readOn sends a read about every 160 ms and compares what it gets.
func readOn(c *client, number, disks int, stop chan struct{}, asked, served *atomic.Int64) {
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(between(80*time.Millisecond, 170*time.Millisecond)):
		}
		r := &request{class: "read", plan: "priority", id: fmt.Sprintf("read-%d-%d", number, i),
			timeout: 1200 * time.Millisecond, volume: number, piece: i, units: 2, shard: rand.Intn(disks), hosts: 1}
		c.send(r.args()...)
		asked.Add(1)
		got := c.next(3 * time.Second)
		if got == nil {
			c.lab.note("%s has no answer", r.id)
			return
		}
		if got.value.Kind != resp.BulkString {
			continue
		}
		served.Add(1)
		if string(got.value.Text) != string(valueOf(r.id, r.class)) {
			c.lab.violation("%s of shard %d is served with %q", r.id, r.shard, got.text())
		}
	}
}
