package audit

import (
	"time"

	"honeyplank/nvme"
)

// Link is a connection of a client as the audit sees it.
type Link struct {
	// Observe is called with what crosses the socket; empty data tells that the connection has ended.
	Observe func(sent bool, data []byte)
	// MarkCorrupted records that the wire has damaged what crossed. From then on the gateway can't know what its
	// client meant, so its ops that were open, and those that come, are owed no answer; where the wire repeated a
	// command, no order and no single effect either.
	MarkCorrupted func()
}

// ClientLinks makes links for the connections of a gateway's clients; blockSize is in bytes. The tap sits at the
// client: what it sent came from the host.
func (l *Log) ClientLinks(gateway, blockSize int) func() Link {
	return func() Link {
		connection := &clientConnection{log: l, gateway: gateway, blockSize: blockSize, wire: newWire[*opRecord]()}
		return Link{Observe: connection.tap, MarkCorrupted: connection.markCorrupted}
	}
}

// clientConnection is a connection of a client.
type clientConnection struct {
	log       *Log
	gateway   int
	blockSize int
	wire      *wire[*opRecord]
	closed    bool
	corrupted bool
}

func (c *clientConnection) markCorrupted() {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.corrupted = true
	for _, op := range c.wire.open {
		if len(op.answers) == 0 {
			op.corrupted = true
		}
	}
}

func (c *clientConnection) tap(sent bool, data []byte) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if len(data) == 0 {
		c.close()
		return
	}
	from := fromController
	if sent {
		from = fromHost
	}
	c.wire.read(from, data, c.handle)
}

// close records the end of the connection, at the first call only.
func (c *clientConnection) close() {
	if c.closed {
		return
	}
	c.closed = true
	for _, op := range c.wire.open {
		op.closed = c.log.now()
	}
}

// handle records an op or an answer. An op stays open, so that a second answer is seen.
func (c *clientConnection) handle(pdu *nvme.PDU) {
	if command, ok := c.wire.ioCommand(pdu); ok {
		c.recordOp(command)
	} else if id, status, ok := completion(pdu); ok && c.wire.open[id] != nil {
		op := c.wire.open[id]
		op.answers = append(op.answers, answerRecord{c.log.now(), status})
	}
}

func (c *clientConnection) recordOp(command nvme.Command) {
	op := &opRecord{
		opKey:         opKey{command.NSID(), command.SLBA(), command.Opcode()},
		gateway:       c.gateway,
		bytes:         command.Blocks() * c.blockSize,
		clientTimeout: time.Duration(command.ClientTimeout()) * time.Millisecond,
		sent:          c.log.now(),
		corrupted:     c.corrupted,
	}
	if earlier := c.log.ops[op.opKey]; earlier != nil && c.corrupted {
		earlier.duplicated = true
		return
	}
	c.log.ops[op.opKey] = op
	c.log.order = append(c.log.order, op)
	c.wire.open[command.CID()] = op
}

// ServerObservers makes taps for the connections of a disk server; gateways are the numbers of the hosts by their NQN. The
// tap sits at the disk server: what it sent came from the controller.
func (l *Log) ServerObservers(server func() string, gateways map[string]int) func() func(sent bool, data []byte) {
	return func() func(bool, []byte) {
		connection := &serverConnection{log: l, server: server, gateways: gateways, wire: newWire[*dispatchRecord]()}
		return connection.tap
	}
}

// serverConnection is a connection of a disk server.
type serverConnection struct {
	log      *Log
	server   func() string
	gateways map[string]int
	wire     *wire[*dispatchRecord]
}

func (c *serverConnection) tap(sent bool, data []byte) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if len(data) == 0 {
		c.close()
		return
	}
	from := fromHost
	if sent {
		from = fromController
	}
	c.wire.read(from, data, c.handle)
}

// close records the end of the connection for the dispatches without an answer.
func (c *serverConnection) close() {
	for _, dispatch := range c.wire.open {
		if dispatch.answer.at == 0 && dispatch.closed == 0 {
			dispatch.closed = c.log.now()
		}
	}
}

// handle records a dispatch or its answer.
func (c *serverConnection) handle(pdu *nvme.PDU) {
	if command, ok := c.wire.ioCommand(pdu); ok {
		c.recordDispatch(command)
	} else if id, status, ok := completion(pdu); ok && c.wire.open[id] != nil {
		c.wire.open[id].answer = answerRecord{c.log.now(), status}
		delete(c.wire.open, id)
	}
}

func (c *serverConnection) recordDispatch(command nvme.Command) {
	gateway, known := c.gateways[c.wire.hostNQN]
	if !known {
		gateway = unknownGateway
	}
	dispatch := &dispatchRecord{
		op:      c.log.ops[opKey{command.NSID(), command.SLBA(), command.Opcode()}],
		gateway: gateway,
		server:  c.server(),
		at:      c.log.now(),
	}
	if dispatch.op != nil {
		dispatch.op.dispatches = append(dispatch.op.dispatches, dispatch)
	}
	c.log.dispatches = append(c.log.dispatches, dispatch)
	c.wire.open[command.CID()] = dispatch
}
