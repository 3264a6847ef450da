package nvme

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"honeyplank/internal/heap"
)

// allFramings returns framings with all combinations of digests and two alignments.
func allFramings() (list []Framing) {
	for i := range 8 {
		f := Framing{HeaderDigest: i&1 != 0, DataDigest: i&2 != 0, MaxData: 1 << 16}
		if i&4 != 0 {
			f.Align = 31
		}
		list = append(list, f)
	}
	return list
}

// sentPDU is the type and data of a PDU in a stream.
type sentPDU struct {
	kind uint8
	data []byte
}

// sampleStream returns a stream of PDUs from one end, and their types and data.
func sampleStream(f Framing, rng *rand.Rand) (stream []byte, sent []sentPDU) {
	for range 20 {
		data := make([]byte, 4*(1+rng.Intn(3000)))
		for i := range data {
			data[i] = byte(rng.Int())
		}
		if f.FromHost {
			c := NewRW(Write, 7, rng.Uint64(), 3)
			c.SetSGL(SGLInCapsule, len(data))
			stream = f.AppendCommand(stream, &c, data)
			written := DataHeader{Type: TypeH2CData, Flags: FlagLast, CID: 5, TTAG: 9, Offset: 4096}
			stream = f.AppendData(stream, written, data)
			sent = append(sent, sentPDU{TypeCapsuleCmd, data}, sentPDU{TypeH2CData, data})
			continue
		}
		c := NewCompletion(11, InternalError|DoNotRetry, 1, 2)
		stream = f.AppendCompletion(stream, &c)
		stream = f.AppendData(stream, DataHeader{Type: TypeC2HData, CID: 5, Offset: 8}, data)
		stream = f.AppendR2T(stream, 1, 2, 3, 4)
		sent = append(sent, sentPDU{TypeCapsuleResp, nil}, sentPDU{TypeC2HData, data}, sentPDU{TypeR2T, nil})
	}
	return stream, sent
}

// TestDecodeInPieces checks that a stream decodes to the PDUs that were sent, as a whole and in pieces of several
// sizes.
func TestDecodeInPieces(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, f := range allFramings() {
		for _, fromHost := range []bool{true, false} {
			f.FromHost = fromHost
			stream, sent := sampleStream(f, rng)
			for _, size := range []int{1, 3, 7, 100, 4096, len(stream)} {
				t.Run(fmt.Sprintf("%+v in pieces of %d", f, size), func(t *testing.T) {
					decodePieces(t, f, slices.Collect(slices.Chunk(stream, size)), sent)
				})
			}
		}
	}
}

func decodePieces(t *testing.T, f Framing, pieces [][]byte, sent []sentPDU) {
	t.Helper()
	var input []byte
	n := 0
	for _, piece := range pieces {
		input = append(input, piece...)
		for {
			p, used, err := f.Decode(input)
			if err != nil {
				t.Fatal(err)
			}
			if used == 0 {
				break
			}
			if want := sent[n]; p.Type != want.kind || !bytes.Equal(p.Data, want.data) || p.DataDigestError {
				t.Fatalf("PDU %d is of type %d with %d bytes, want %d with %d",
					n, p.Type, len(p.Data), want.kind, len(want.data))
			}
			n++
			input = input[used:]
		}
	}
	if n != len(sent) {
		t.Fatalf("%d PDUs decoded, want %d", n, len(sent))
	}
}

// TestBitFlipsDetected checks that a flip of any bit of a PDU with digests is detected, except in the padding.
func TestBitFlipsDetected(t *testing.T) {
	f := Framing{HeaderDigest: true, DataDigest: true, MaxData: 1 << 16, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	pdu := f.AppendCommand(nil, &c, bytes.Repeat([]byte{7}, 64))
	for bit := range 8 * len(pdu) {
		bad := bytes.Clone(pdu)
		bad[bit/8] ^= 1 << (bit % 8)
		p, used, err := f.Decode(bad)
		pad := bit/8 >= commandCapsuleLen+digestLen && bit/8 < int(pdu[3])
		switch {
		case err != nil || used == 0 || p.DataDigestError || pad:
		default:
			t.Fatalf("bit %d of byte %d was not detected", bit%8, bit/8)
		}
	}
}

// TestInvalidHeadersRejected checks that a common header with an invalid field is rejected, either before the rest of
// the PDU has come or when the PDU is complete.
func TestInvalidHeadersRejected(t *testing.T) {
	f := Framing{MaxData: 8192, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	valid := f.AppendCommand(nil, &c, make([]byte, 64))
	for name, change := range map[string]func(b []byte){
		"unknown type":        func(b []byte) { b[0] = 0x0F },
		"type of other end":   func(b []byte) { b[0] = TypeR2T },
		"header too short":    func(b []byte) { b[2] = 8 },
		"length 0":            func(b []byte) { copy(b[4:], []byte{0, 0, 0, 0}) },
		"length past 2^31":    func(b []byte) { copy(b[4:], []byte{0, 0, 0, 0x90}) },
		"more than MaxData":   func(b []byte) { copy(b[4:], []byte{0, 0x40, 0, 0}) },
		"data in the header":  func(b []byte) { b[3] = 16 },
		"data past the end":   func(b []byte) { b[3] = 252 },
		"unaligned offset":    func(b []byte) { b[3] = 73 },
		"unnegotiated digest": func(b []byte) { b[1] = FlagHeaderDigest },
	} {
		t.Run(name, func(t *testing.T) {
			b := bytes.Clone(valid)
			change(b)
			_, used, err := f.Decode(b[:commonHeaderLen]) // the common header alone
			if err == nil {
				_, used, err = f.Decode(b)
			}
			var fatal *FatalError
			if used != 0 || !errors.As(err, &fatal) || fatal.Status == 0 {
				t.Errorf("error %v, %d bytes used, want a FatalError", err, used)
			}
		})
	}
}

// TestIdentifyRoundTrip checks that the Identify data structures decode to the values that were encoded.
func TestIdentifyRoundTrip(t *testing.T) {
	d := AppendController(nil, Controller{ID: 3, RetryDelay: [3]uint16{1, 2, 3}, CapsuleBytes: 64 + 8192})
	if len(d) != IdentifyLen || CapsuleBytes(d) != 64+8192 || RetryDelays(d) != [3]uint16{1, 2, 3} {
		t.Error("Identify Controller does not decode to the encoded values")
	}
	if blocks, shift := ParseNamespace(AppendNamespace(nil, 77, 12)); blocks != 77 || shift != 12 {
		t.Error("Identify Namespace does not decode to the encoded values")
	}
	if ids := ParseActiveNamespaces(AppendActiveNamespaces(nil, 2,
		[]uint32{1, 2, 3, 9})); len(ids) != 2 || ids[1] != 9 {
		t.Error("active namespaces above 2, want [3 9]:", ids)
	}
}

// TestConnectDataRoundTrip checks that the data of a Connect decodes to the values that were encoded.
func TestConnectDataRoundTrip(t *testing.T) {
	want := ConnectData{HostID: [16]byte{1}, ControllerID: 5, Subsystem: "a", Host: "b"}
	if got := ParseConnectData(AppendConnectData(nil, want)); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestCompletionRoundTrip checks that a completion with a load report decodes to the values that were encoded.
func TestCompletionRoundTrip(t *testing.T) {
	load := Load{1, 2, 3, 4}
	dw0, dw1 := load.Dwords()
	c := NewCompletion(9, Rejected.WithRetryDelay(2), dw0, dw1)
	if c.Load() != load || c.CID() != 9 || c.Status().Code() != Rejected || c.Status().RetryDelay() != 2 {
		t.Errorf("completion %x does not decode to the encoded values", c)
	}
}

func TestCRC32C(t *testing.T) {
	if got := CRC32C([]byte("123456789")); got != 0xE3069283 { // the check value of CRC-32C
		t.Errorf("check value %#x, want 0xe3069283", got)
	}
}

// TestDecodeDoesNotAllocate checks that valid PDUs are decoded without an allocation.
func TestDecodeDoesNotAllocate(t *testing.T) {
	f := Framing{MaxData: 64 << 10, FromHost: true}
	c := NewRW(Write, 1, 2, 1)
	header := DataHeader{Type: TypeH2CData, Flags: FlagLast, CID: 1, TTAG: 1}
	valid := f.AppendData(f.AppendCommand(nil, &c, nil), header, make([]byte, 4096))
	decode := func() {
		if err := decodeAll(&f, valid); err != nil {
			t.Fatal(err)
		}
	}
	if n := testing.AllocsPerRun(100, decode); n > 0 {
		t.Errorf("%v allocations for two PDUs, want 0", n)
	}
}

var errIncomplete = errors.New("the last PDU is incomplete")

// decodeAll decodes a stream of complete PDUs.
func decodeAll(f *Framing, stream []byte) error {
	for len(stream) > 0 {
		_, n, err := f.Decode(stream)
		if err != nil {
			return err
		}
		if n == 0 {
			return errIncomplete
		}
		stream = stream[n:]
	}
	return nil
}

// TestWrongLengthsDoNotAllocate checks that a wrong PDU length causes no allocation of that size, so that a host cannot
// exhaust memory with a header. Only the error may be allocated.
func TestWrongLengthsDoNotAllocate(t *testing.T) {
	f := Framing{MaxData: 64 << 10, FromHost: true}
	for _, length := range []uint32{0, 1, 71, 73, 64 << 10, 64<<10 + 72, 1 << 20, 1<<31 - 1, 1 << 31, 1<<32 - 1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			head := append([]byte{TypeCapsuleCmd, 0, 72, 72}, binary.LittleEndian.AppendUint32(nil, length)...)
			allocated := heap.Bytes(func() {
				for range 1000 {
					_, _, _ = f.Decode(head) // returns an error, or that more bytes are needed
				}
			})
			if allocated > 1000*1024 {
				t.Errorf("%d bytes allocated for 1000 headers, want at most 1024 for each", allocated)
			}
		})
	}
}
