package audit

import "honeyplank/nvme"

// direction is one of the two of a connection.
type direction int

const (
	fromHost direction = iota
	fromController
	directions
)

// maxWireData bounds the data of one PDU, in bytes.
const maxWireData = 4 << 20

// wire reads both directions of one NVMe/TCP connection. R is the record of a command.
type wire[R any] struct {
	framing [directions]nvme.Framing
	pending [directions][]byte // bytes of an incomplete PDU
	broken  bool               // what came is no NVMe/TCP; the rest is not read
	ioQueue bool               // it is of an I/O queue
	hostNQN string
	open    map[uint16]R // commands by id
}

func newWire[R any]() *wire[R] {
	return &wire[R]{
		framing: [directions]nvme.Framing{
			fromHost:       {MaxData: maxWireData, FromHost: true},
			fromController: {MaxData: maxWireData},
		},
		open: map[uint16]R{},
	}
}

// read decodes what came from one side, and has handle see each PDU but Connect commands.
func (w *wire[R]) read(from direction, data []byte, handle func(*nvme.PDU)) {
	pending := append(w.pending[from], data...)
	used := 0
	for !w.broken {
		pdu, length, err := w.framing[from].Decode(pending[used:])
		if err != nil {
			w.broken = true
			break
		}
		if length == 0 {
			break
		}
		used += length
		if pdu.Type == nvme.TypeICResp {
			w.setDigests(&pdu)
		}
		if !w.readConnect(&pdu) {
			handle(&pdu)
		}
	}
	w.pending[from] = append(pending[:0], pending[used:]...)
}

// setDigests takes over the digests that the controller has agreed to.
func (w *wire[R]) setDigests(response *nvme.PDU) {
	init := response.Init()
	for from := range w.framing {
		w.framing[from].HeaderDigest, w.framing[from].DataDigest = init.HeaderDigest, init.DataDigest
	}
}

// readConnect reads a Connect command; it reports whether the PDU is one.
func (w *wire[R]) readConnect(pdu *nvme.PDU) bool {
	if pdu.Type != nvme.TypeCapsuleCmd || len(pdu.Data) != nvme.ConnectLen {
		return false
	}
	command := pdu.Command()
	if command.Opcode() != nvme.Fabrics || command.FabricsType() != nvme.FabricsConnect {
		return false
	}
	w.hostNQN = nvme.ParseConnectData(pdu.Data).Host
	w.ioQueue = command.DW(10)>>16 != 0
	return true
}

// ioCommand is the Read or Write of an I/O queue that a PDU holds; ok is false where it holds none.
func (w *wire[R]) ioCommand(pdu *nvme.PDU) (command nvme.Command, ok bool) {
	if pdu.Type != nvme.TypeCapsuleCmd || !w.ioQueue {
		return command, false
	}
	command = pdu.Command()
	return command, command.Opcode() == nvme.Read || command.Opcode() == nvme.Write
}

// completion is the id of the command that a PDU completes, and its status; ok is false where it completes none.
func completion(pdu *nvme.PDU) (id uint16, status nvme.Status, ok bool) {
	switch {
	case pdu.Type == nvme.TypeCapsuleResp:
		entry := pdu.Completion()
		return entry.CID(), entry.Status(), true
	case pdu.Type == nvme.TypeC2HData && pdu.Flags&nvme.FlagSuccess != 0:
		return pdu.CCCID(), nvme.Success, true
	}
	return 0, 0, false
}
