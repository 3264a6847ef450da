package nvme

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand"
	"testing"

	"honeyplank/internal/heap"
)

// framings are all that two ends can agree on here.
func framings() (list []Framing) {
	for i := range 8 {
		f := Framing{HeaderDigest: i&1 != 0, DataDigest: i&2 != 0, MaxData: 1 << 16}
		if i&4 != 0 {
			f.Align = 31
		}
		list = append(list, f)
	}
	return list
}

// sample is a stream of PDUs with what they carry.
func sample(f Framing, rng *rand.Rand, fromHost bool) (stream []byte, kinds []uint8, data [][]byte) {
	f.FromHost = fromHost
	add := func(kind uint8, d []byte) { kinds, data = append(kinds, kind), append(data, d) }
	for range 20 {
		d := make([]byte, 4*(1+rng.Intn(3000)))
		rng.Read(d)
		if fromHost {
			c := NewRW(Write, 7, rng.Uint64(), 3)
			c.SetSGL(SGLInCapsule, len(d))
			stream = f.AppendCommand(stream, &c, d)
			add(TypeCapsuleCmd, d)
			stream = f.AppendData(stream, TypeH2CData, FlagLast, 5, 9, 4096, d)
			add(TypeH2CData, d)
			continue
		}
		c := NewCompletion(11, InternalError|DoNotRetry, 1, 2)
		stream = f.AppendCompletion(stream, &c)
		add(TypeCapsuleResp, nil)
		stream = f.AppendData(stream, TypeC2HData, 0, 5, 0, 8, d)
		add(TypeC2HData, d)
		stream = f.AppendR2T(stream, 1, 2, 3, 4)
		add(TypeR2T, nil)
	}
	return stream, kinds, data
}

// TestPieces decodes a stream whole and in pieces of every small size; both must give what was sent.
func TestPieces(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, f := range framings() {
		for _, host := range []bool{true, false} {
			stream, kinds, data := sample(f, rng, host)
			in := f
			in.FromHost = host
			for _, piece := range []int{1, 3, 7, 100, 4096, len(stream)} {
				held, n := []byte(nil), 0
				for at := 0; at < len(stream); at += piece {
					held = append(held, stream[at:min(at+piece, len(stream))]...)
					for {
						p, used, err := in.Decode(held)
						if err != nil {
							t.Fatal(err)
						}
						if used == 0 {
							break
						}
						if p.Type != kinds[n] || !bytes.Equal(p.Data, data[n]) || p.BadData {
							t.Fatalf("PDU %d is of type %d with %d bytes, want %d with %d", n, p.Type, len(p.Data), kinds[n], len(data[n]))
						}
						n++
						held = held[used:]
					}
				}
				if n != len(kinds) {
					t.Fatalf("%d PDUs of %d in pieces of %d", n, len(kinds), piece)
				}
			}
		}
	}
}

// TestDamage flips every bit of a PDU with digests: no damage passes, and none is taken for more than it is.
func TestDamage(t *testing.T) {
	f := Framing{HeaderDigest: true, DataDigest: true, MaxData: 1 << 16, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	pdu := f.AppendCommand(nil, &c, bytes.Repeat([]byte{7}, 64))
	for bit := range 8 * len(pdu) {
		bad := bytes.Clone(pdu)
		bad[bit/8] ^= 1 << (bit % 8)
		p, used, err := f.Decode(bad)
		pad := bit/8 >= cmdLen+digestLen && bit/8 < int(pdu[3])
		switch {
		case err != nil || used == 0 || p.BadData || pad:
		default:
			t.Fatalf("bit %d of byte %d went unseen", bit%8, bit/8)
		}
	}
}

// TestLies gives headers whose lengths are not what the type allows.
func TestLies(t *testing.T) {
	f := Framing{MaxData: 8192, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	good := f.AppendCommand(nil, &c, make([]byte, 64))
	for name, change := range map[string]func(b []byte){
		"unknown type":        func(b []byte) { b[0] = 0x0F },
		"the other end's":     func(b []byte) { b[0] = TypeR2T },
		"header too short":    func(b []byte) { b[2] = 8 },
		"length 0":            func(b []byte) { copy(b[4:], []byte{0, 0, 0, 0}) },
		"length past 2^31":    func(b []byte) { copy(b[4:], []byte{0, 0, 0, 0x90}) },
		"more than the bound": func(b []byte) { copy(b[4:], []byte{0, 0x40, 0, 0}) },
		"data in the header":  func(b []byte) { b[3] = 16 },
		"data past the end":   func(b []byte) { b[3] = 252 },
		"odd offset":          func(b []byte) { b[3] = 73 },
		"digest not agreed":   func(b []byte) { b[1] = FlagHeaderDigest },
	} {
		b := bytes.Clone(good)
		change(b)
		_, used, err := f.Decode(b[:headLen]) // before a byte of the rest is there
		if err == nil {
			_, used, err = f.Decode(b)
		}
		var fatal *FatalError
		if used != 0 || !errors.As(err, &fatal) || fatal.Status == 0 {
			t.Errorf("%s: %v, %d bytes used", name, err, used)
		}
	}
}

// TestStructures reads back what was written.
func TestStructures(t *testing.T) {
	d := AppendController(nil, Controller{ID: 3, RetryDelay: [3]uint16{1, 2, 3}, CapsuleBytes: 64 + 8192})
	if len(d) != IdentifyLen || CapsuleBytes(d) != 64+8192 || RetryDelays(d) != [3]uint16{1, 2, 3} {
		t.Error("Identify Controller")
	}
	if blocks, shift := Namespace(AppendNamespace(nil, 77, 12)); blocks != 77 || shift != 12 {
		t.Error("Identify Namespace")
	}
	if ids := Active(AppendActive(nil, 2, []uint32{1, 2, 3, 9})); len(ids) != 2 || ids[1] != 9 {
		t.Error("active namespaces", ids)
	}
	connect := ConnectData{HostID: [16]byte{1}, ControllerID: 5, Subsystem: "a", Host: "b"}
	if ParseConnectData(AppendConnectData(nil, connect)) != connect {
		t.Error("Connect data")
	}
	l := Load{1, 2, 3, 4}
	dw0, dw1 := l.Dwords()
	c := NewCompletion(9, Rejected.WithDelay(2), dw0, dw1)
	if c.Load() != l || c.CID() != 9 || c.Status().Code() != Rejected || c.Status().Delay() != 2 {
		t.Error("completion")
	}
	if CRC32C([]byte("123456789")) != 0xE3069283 { // the check value of CRC-32C
		t.Error("CRC32C")
	}
}

// TestNoAllocation reads PDUs that are right, and beginnings of such whose lengths lie: nothing is allocated for what
// a length says, only the error that tells of it.
func TestNoAllocation(t *testing.T) {
	f := Framing{MaxData: 64 << 10, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	right := f.AppendData(f.AppendCommand(nil, &c, nil), TypeH2CData, FlagLast, 1, 1, 0, make([]byte, 4096))
	if n := testing.AllocsPerRun(100, func() {
		for at := 0; at < len(right); {
			_, n, err := f.Decode(right[at:])
			if err != nil || n == 0 {
				t.Fatal(n, err)
			}
			at += n
		}
	}); n > 0 {
		t.Errorf("%v allocations for two PDUs", n)
	}
	for _, length := range []uint32{0, 1, 71, 73, 64 << 10, 64<<10 + 72, 1 << 20, 1<<31 - 1, 1 << 31, 1<<32 - 1} {
		head := append([]byte{TypeCapsuleCmd, 0, 72, 72}, binary.LittleEndian.AppendUint32(nil, length)...)
		bytes := heap.Bytes(func() {
			for range 1000 {
				f.Decode(head)
			}
		})
		if bytes > 1000*1024 {
			t.Errorf("a length of %d: %d bytes for a thousand headers", length, bytes)
		}
	}
}
