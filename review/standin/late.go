package main

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

const (
	// networkTime is the time of a message between the scheduler and a disk server, one way.
	networkTime = 2 * time.Millisecond
	// copyDelay is the time from an answer to its second copy.
	copyDelay = 9 * time.Millisecond
	// copyOdds is the number of answers for each one that is sent twice.
	copyOdds = 10
	// lateTime is the length of the play.
	lateTime = 20 * time.Second
)

// copyingDisk is a disk server that sends some answers a second time, late, when nothing else waits on the connection.
type copyingDisk struct {
	listener net.Listener
	world    *world
	copies   *atomic.Int64
}

func (d copyingDisk) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serveConn(conn)
	}
}

// serveConn answers the commands of a connection one by one.
func (d copyingDisk) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	commands := make(chan []resp.Value, 1024)
	go readCommands(conn, commands)
	var waiting []resp.Value
	for {
		words := waiting
		if waiting = nil; words == nil {
			words = <-commands
		}
		if len(words) < 4 {
			return
		}
		value := valueOf(string(words[1].Text), string(words[2].Text), 200)
		b := resp.AppendBulk(resp.AppendArray(nil, 3), []byte(value))
		b = resp.AppendNull(resp.AppendNull(b))
		time.Sleep(networkTime + 5*time.Millisecond) // until the command has come and is done
		answered := time.Now()
		time.Sleep(networkTime)
		_, _ = conn.Write(b)
		if !d.world.trouble || rand.Intn(copyOdds) > 0 {
			continue
		}
		// What is read networkTime before the copy leaves, or sooner, has come by then and waits.
		select {
		case waiting = <-commands:
			continue
		case <-time.After(time.Until(answered.Add(copyDelay - networkTime))):
		}
		time.Sleep(time.Until(answered.Add(copyDelay + networkTime)))
		d.copies.Add(1)
		_, _ = conn.Write(b)
	}
}

// readCommands passes on the commands of a connection and closes the channel at its end.
func readCommands(conn net.Conn, commands chan<- []resp.Value) {
	defer close(commands)
	reader, buffer := resp.Reader{Limits: diskLimits}, make([]byte, 1<<20)
	for {
		n, err := conn.Read(buffer)
		for used := 0; used < n; {
			frame, err := reader.Next(buffer[used:n])
			if used += frame.Used; err != nil {
				return
			}
			if frame.Complete {
				commands <- frame.Value.List
			}
		}
		if err != nil {
			return
		}
	}
}

// foreignAfterLateCopy is a play that is no case. Each value that a client gets has to be the one that a disk server
// made for its request.
func foreignAfterLateCopy(w *world) (violations []string, err error) {
	var members []fakeresp.Member
	var copies atomic.Int64
	for shard := range diskServers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go copyingDisk{listener, w, &copies}.serve()
		members = append(members, member(shard, listener.Addr().String()))
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
	var running sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(lateTime)
	for n := range diskServers {
		running.Go(func() {
			foreign := w.compareValues(s, n, end)
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, foreign...)
		})
	}
	running.Wait()
	w.record("%d second copies were sent", copies.Load())
	return violations, nil
}

// compareValues reads from one disk server, one request after another, and returns a violation for each foreign value.
func (w *world) compareValues(s *scheduler, shard int, end time.Time) (violations []string) {
	c, err := dialClient(s.address)
	if err != nil {
		w.record("client %d: %v", shard, err)
		return nil
	}
	defer c.close()
	for n := 0; time.Now().Before(end); n++ {
		r := request{
			id: fmt.Sprintf("%016x", shard<<32+n), piece: fmt.Sprintf("%016x", n), class: "read", plan: "priority",
			volume: shard, shard: shard, hosts: 1, units: 1, patience: 1200 * time.Millisecond,
		}
		_, _ = c.conn.Write(r.encode())
		answered, err := c.read(time.Now().Add(5 * time.Second))
		if err != nil {
			w.record("client %d: read %s: %v", shard, r.id, err)
			return violations
		}
		w.record("client %d: read %s: %s: %.36s", shard, r.id, answered.summary(), answered.text)
		if answered.served && !strings.HasPrefix(answered.text, r.piece+" for "+r.id) {
			violations = append(violations,
				fmt.Sprintf("read %s of piece %s was served with %.36q", r.id, r.piece, answered.text))
		}
		time.Sleep(5*time.Millisecond + time.Duration(rand.Intn(10000))*time.Microsecond)
	}
	return violations
}
