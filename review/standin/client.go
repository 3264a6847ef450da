package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"honeyplank/resp"
)

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// reply is an answer of a scheduler: a value, or a line that begins with +, - or :.
type reply struct {
	text   string // the value, or the line
	served bool   // text is a value
	at     time.Time
}

// summary returns what the reply says, without the value.
func (r reply) summary() string {
	if r.served {
		return fmt.Sprintf("served with %d bytes", len(r.text))
	}
	return r.text
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReaderSize(conn, 1<<20)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// command encodes a command.
func command(words ...string) []byte {
	list := make([][]byte, len(words))
	for i, word := range words {
		list[i] = []byte(word)
	}
	return resp.AppendCommand(nil, list...)
}

// call sends a command and returns the reply.
func (c *client) call(words ...string) (reply, error) {
	if _, err := c.conn.Write(command(words...)); err != nil {
		return reply{}, err
	}
	return c.read(time.Now().Add(5 * time.Second))
}

// read reads a reply.
func (c *client) read(deadline time.Time) (reply, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return reply{}, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return reply{}, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return reply{text: line, at: time.Now()}, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return reply{}, fmt.Errorf("reply %q", line)
	}
	value := make([]byte, size+2)
	if _, err := io.ReadFull(c.reader, value); err != nil {
		return reply{}, err
	}
	return reply{text: string(value[:size]), served: true, at: time.Now()}, nil
}

// request is a read or a write of a client.
type request struct {
	id, piece, class, plan string
	volume                 int
	shard, hosts           int
	units                  int
	patience               time.Duration // the client waits so long
	body                   string        // of a write
}

// encode returns the command of the request.
func (r request) encode() []byte {
	names := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=%d,shard=%d,hosts=%d", r.class, r.plan,
		r.patience.Milliseconds(), r.volume, r.units, r.shard, r.hosts)
	if r.class == "write" {
		return command("BLK.WRITE", r.piece, r.id, names, r.body)
	}
	return command("BLK.READ", r.piece, r.id, names)
}

// valueOf returns the value of a given size that disk servers make for a request.
func valueOf(piece, id string, size int) string {
	text := piece + " for " + id + " "
	return (text + strings.Repeat(".", max(size, len(text))))[:max(size, len(text))]
}
