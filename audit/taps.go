package audit

import (
	"time"

	"honeyplank/nvme"
)

// Link records the traffic of one client connection in the log. Any goroutine may call its functions.
type Link struct {
	// Observe must be called with the bytes that cross the client's socket, in order, and with empty data when the
	// connection has ended. sent reports whether the client sent them.
	Observe func(sent bool, data []byte)
	// MarkCorrupted records that an injected fault has damaged the bytes of the connection. From then on the gateway
	// cannot decode its client's commands reliably. Unanswered and later ops of the connection therefore need no
	// answer. If the damage repeated a command, its op is also exempt from the rules on effects and order.
	MarkCorrupted func()
}

// ClientLinks returns a function that makes a link for each new connection of a gateway's clients. blockSize is in
// bytes. The links observe the client's socket, so the sent bytes come from the NVMe host.
func (l *Log) ClientLinks(gateway, blockSize int) func() Link {
	return func() Link {
		connection := &clientConnection{
			log: l, gateway: gateway, blockSize: blockSize, decoder: newDecoder[*opRecord](),
		}
		return Link{Observe: connection.observe, MarkCorrupted: connection.markCorrupted}
	}
}

type clientConnection struct {
	log       *Log
	gateway   int
	blockSize int
	decoder   *decoder[*opRecord]
	closed    bool
	corrupted bool
}

func (c *clientConnection) markCorrupted() {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.corrupted = true
	for _, op := range c.decoder.commands {
		if len(op.answers) == 0 {
			op.corrupted = true
		}
	}
}

func (c *clientConnection) observe(sent bool, data []byte) {
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
	c.decoder.decode(from, data, c.handle)
}

// close records the end of the connection. Only the first call has an effect.
func (c *clientConnection) close() {
	if c.closed {
		return
	}
	c.closed = true
	for _, op := range c.decoder.commands {
		op.closed = c.log.now()
	}
}

// handle records an op or an answer. An answered op stays in the decoder, so that a second answer is recorded too.
func (c *clientConnection) handle(pdu *nvme.PDU) {
	if command, ok := c.decoder.ioCommand(pdu); ok {
		c.recordOp(command)
	} else if id, status, ok := completion(pdu); ok && c.decoder.commands[id] != nil {
		op := c.decoder.commands[id]
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
	c.decoder.commands[command.CID()] = op
}

// ServerObservers returns a function that makes an observer for each new connection of a disk server. server returns
// the server's address, and gateways maps the NQN of each gateway to its number. An observer must be called with the
// bytes that cross the disk server's socket, so the sent bytes come from the NVMe controller. It must be called with
// empty data when the connection has ended.
func (l *Log) ServerObservers(server func() string, gateways map[string]int) func() func(sent bool, data []byte) {
	return func() func(bool, []byte) {
		connection := &serverConnection{
			log: l, server: server, gateways: gateways, decoder: newDecoder[*dispatchRecord](),
		}
		return connection.observe
	}
}

type serverConnection struct {
	log      *Log
	server   func() string
	gateways map[string]int
	decoder  *decoder[*dispatchRecord]
}

func (c *serverConnection) observe(sent bool, data []byte) {
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
	c.decoder.decode(from, data, c.handle)
}

// close records the end of the connection for all dispatches without an answer.
func (c *serverConnection) close() {
	for _, dispatch := range c.decoder.commands {
		if dispatch.answer.at == 0 && dispatch.closed == 0 {
			dispatch.closed = c.log.now()
		}
	}
}

// handle records a dispatch or its answer.
func (c *serverConnection) handle(pdu *nvme.PDU) {
	if command, ok := c.decoder.ioCommand(pdu); ok {
		c.recordDispatch(command)
	} else if id, status, ok := completion(pdu); ok && c.decoder.commands[id] != nil {
		c.decoder.commands[id].answer = answerRecord{c.log.now(), status}
		delete(c.decoder.commands, id)
	}
}

func (c *serverConnection) recordDispatch(command nvme.Command) {
	gateway, known := c.gateways[c.decoder.hostNQN]
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
	c.decoder.commands[command.CID()] = dispatch
}
