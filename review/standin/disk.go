package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	fakeresp "honeyplank/fake/resp"
	"honeyplank/resp"
)

// arrival is a read or a write that has come to a disk server as a whole, and so has begun.
type arrival struct {
	id, piece, names string
	shard            int
	at               time.Time // when its last byte was read
	parts            int       // number of reads in which its bytes came
}

// disk is a disk server: it begins each command when its last byte has come, and answers those of a connection in
// their order.
type disk struct {
	listener net.Listener
	shard    int
	began    func(arrival)               // called for each read or write; may be nil
	work     func(arrival) time.Duration // how long it takes
	size     func(arrival) int           // of its value
}

// newDisk returns a disk server. receiveBuffer is the size of the buffer in which the system keeps what the disk server
// has not read yet, for each connection; 0 stands for the system's default.
func newDisk(shard, receiveBuffer int, work func(arrival) time.Duration) (*disk, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var setErr error
		err := socket.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, setErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &disk{listener: listener, shard: shard, work: work, size: func(arrival) int { return 200 }}, nil
}

// member returns the entry of the disk server in the list.
func member(shard int, address string) fakeresp.Member {
	return fakeresp.Member{
		ID: fmt.Sprintf("s-%08x", 0x5be2a000+shard), Address: address, Zone: "room", Model: "std-2c", Cell: shard,
		Phase: "up", Size: 1,
	}
}

// serve accepts connections until the listener is closed.
func (d *disk) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serveConn(conn)
	}
}

// diskLimits are the limits of a command, as the protocol page states them, with room.
var diskLimits = resp.Limits{Line: 64, BulkString: 64 << 10, Items: 16, Depth: 1, Total: 80 << 10, CommandsOnly: true}

// answer is the answer to a command, which is complete at a time.
type answer struct {
	bytes []byte
	at    time.Time
}

// serveConn reads the commands of a connection until it ends.
func (d *disk) serveConn(conn net.Conn) {
	answers := make(chan answer, 1024)
	var writing sync.WaitGroup
	writing.Go(func() {
		for a := range answers {
			time.Sleep(time.Until(a.at))
			_, _ = conn.Write(a.bytes) // the end of the connection ends the reading too
		}
	})
	defer func() {
		close(answers)
		writing.Wait()
		_ = conn.Close()
	}()
	reader, buffer, parts := resp.Reader{Limits: diskLimits}, make([]byte, 1<<20), 0
	for {
		n, err := conn.Read(buffer)
		for used := 0; used < n; {
			if reader.Idle() {
				parts = 0
			}
			parts++
			frame, err := reader.Next(buffer[used:n])
			if used += frame.Used; err != nil {
				return
			}
			if frame.Complete {
				answers <- d.handle(frame.Value.List, parts)
				parts = 0
			}
		}
		if err != nil {
			return
		}
	}
}

// handle begins a command and returns its answer.
func (d *disk) handle(words []resp.Value, parts int) answer {
	now := time.Now()
	if name := string(words[0].Text); !strings.HasPrefix(name, "BLK.") || len(words) < 4 {
		return answer{resp.AppendSimpleString(nil, "PONG"), now}
	}
	a := arrival{
		piece: string(words[1].Text), id: string(words[2].Text), names: string(words[3].Text), shard: d.shard,
		at: now, parts: parts,
	}
	if d.began != nil {
		d.began(a)
	}
	b := resp.AppendBulk(resp.AppendArray(nil, 3), []byte(valueOf(a.piece, a.id, d.size(a))))
	return answer{resp.AppendNull(resp.AppendNull(b)), now.Add(d.work(a))}
}

// serveDisk runs a disk server as a process of its own, which writes its address and then each command that begins to
// standard output.
func serveDisk() {
	d, err := newDisk(0, 32<<10, func(arrival) time.Duration { return 25 * time.Millisecond })
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	fmt.Println(d.listener.Addr())
	d.began = func(a arrival) { fmt.Println(a.id, a.at.UnixNano(), a.parts) }
	d.serve()
}

var errNoAddress = errors.New("a disk server does not tell its address")
