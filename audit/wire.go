package audit

import "honeyplank/nvme"

// direction is one of the two directions of a connection.
type direction int

const (
	fromHost direction = iota
	fromController
	directions
)

// maxPDUData is the largest size of a PDU's data, in bytes.
const maxPDUData = 4 << 20

// decoder decodes both directions of one NVMe/TCP connection. R is the type of a command's record.
type decoder[R any] struct {
	framing   [directions]nvme.Framing
	pending   [directions][]byte // an incomplete PDU
	malformed bool               // the bytes are not valid NVMe/TCP; the rest is ignored
	ioQueue   bool               // the connection is an I/O queue
	hostNQN   string
	commands  map[uint16]R // records of commands by command id
}

func newDecoder[R any]() *decoder[R] {
	return &decoder[R]{
		framing: [directions]nvme.Framing{
			fromHost:       {MaxData: maxPDUData, FromHost: true},
			fromController: {MaxData: maxPDUData},
		},
		commands: map[uint16]R{},
	}
}

// decode decodes bytes of one direction and calls handle with each PDU that is not a Connect command.
func (d *decoder[R]) decode(from direction, data []byte, handle func(*nvme.PDU)) {
	pending := append(d.pending[from], data...)
	consumed := 0
	for !d.malformed {
		pdu, length, err := d.framing[from].Decode(pending[consumed:])
		if err != nil {
			d.malformed = true
			break
		}
		if length == 0 {
			break
		}
		consumed += length
		if pdu.Type == nvme.TypeICResp {
			d.setDigests(&pdu)
		}
		if !d.readConnect(&pdu) {
			handle(&pdu)
		}
	}
	d.pending[from] = append(pending[:0], pending[consumed:]...)
}

// setDigests applies the digest settings of the controller's initialization response.
func (d *decoder[R]) setDigests(response *nvme.PDU) {
	init := response.Init()
	for from := range d.framing {
		d.framing[from].HeaderDigest, d.framing[from].DataDigest = init.HeaderDigest, init.DataDigest
	}
}

// readConnect reports whether a PDU is a Connect command. If so, it records the host NQN and the kind of the queue.
func (d *decoder[R]) readConnect(pdu *nvme.PDU) bool {
	if pdu.Type != nvme.TypeCapsuleCmd || len(pdu.Data) != nvme.ConnectLen {
		return false
	}
	command := pdu.Command()
	if command.Opcode() != nvme.Fabrics || command.FabricsType() != nvme.FabricsConnect {
		return false
	}
	d.hostNQN = nvme.ParseConnectData(pdu.Data).Host
	d.ioQueue = command.DW(10)>>16 != 0
	return true
}

// ioCommand returns the Read or Write command in a PDU of an I/O queue; ok is false if there is none.
func (d *decoder[R]) ioCommand(pdu *nvme.PDU) (command nvme.Command, ok bool) {
	if pdu.Type != nvme.TypeCapsuleCmd || !d.ioQueue {
		return command, false
	}
	command = pdu.Command()
	return command, command.Opcode() == nvme.Read || command.Opcode() == nvme.Write
}

// completion returns the id of the command that a PDU completes and its status; ok is false if it completes none.
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
