package gateway_test

import (
	"io"
	"net"
	"testing"

	"honeyplank/nvme"
)

// TestReadWrite writes and reads data of several sizes, in capsules and by R2T, with and without digests and in several
// extents (no op crosses a boundary), and compares it byte for byte.
func TestReadWrite(t *testing.T) {
	h := newHarness(t)
	for n, name := range []string{"plain", "digests"} {
		client := h.connect(name)
		for i, blocks := range []int{1, 2, 3, 16, 32} {
			lba, data := uint64(1000*n+i*100), pattern(byte(40*n+i), blocks)
			if _, status := h.do(client, nvme.NewRW(nvme.Write, 1, lba, blocks), data); status != nvme.Success {
				t.Fatalf("%s: write of %d blocks: status %#x", name, blocks, status)
			}
			got, status := h.do(client, nvme.NewRW(nvme.Read, 1, lba, blocks), nil)
			if status != nvme.Success || string(got) != string(data) {
				t.Fatalf("%s: read of %d blocks: status %#x, %d bytes; want success and the data written",
					name, blocks, status, len(got))
			}
		}
	}
	h.waitIdle()
}

// TestRequestByteByByte has a client send its PDUs byte by byte: a write must succeed with the right data.
func TestRequestByteByByte(t *testing.T) {
	h := newHarness(t)
	c := connectRaw(t, h, "byte-by-byte")
	c.writeSize = 1
	data := pattern(3, 4)
	c.write(c.command(1, nvme.Write, 1, 8, 4, nil))
	p := c.expect(nvme.TypeR2T)
	c.write(c.sendFraming.AppendData(nil, nvme.DataHeader{
		Type: nvme.TypeH2CData, Flags: nvme.FlagLast, CID: 1, TTAG: p.TTAG(),
	}, data))
	if p := c.expect(nvme.TypeCapsuleResp); p.Completion() != [16]byte(p.Header[8:24]) || c.status(p) != nvme.Success {
		t.Fatalf("write: status %#x, or the completion is not the one in the PDU", c.status(p))
	}
	got, status := h.do(h.connect("reader"), nvme.NewRW(nvme.Read, 1, 8, 4), nil)
	if status != nvme.Success || string(got) != string(data) {
		t.Fatal("read does not return the data that was written byte by byte")
	}
}

// TestSameCommandIDs has two clients use the same command IDs at the same time: each must get its own data.
func TestSameCommandIDs(t *testing.T) {
	h := newHarness(t)
	one, two := connectRaw(t, h, "one"), connectRaw(t, h, "two")
	for id := range uint16(20) {
		one.write(one.command(id, nvme.Read, 1, 10, 1, nil))
		two.write(two.command(id, nvme.Read, 2, 20, 1, nil))
	}
	for client, want := range map[*rawClient]byte{one: 10, two: 20} {
		seen := map[uint16]bool{}
		for len(seen) < 20 {
			p := client.expect(nvme.TypeC2HData)
			if p.Data[8] != want || seen[p.CCCID()] {
				t.Fatalf("command %d: data of block %d, want %d; answered before: %v",
					p.CCCID(), p.Data[8], want, seen[p.CCCID()])
			}
			seen[p.CCCID()] = true
			client.expect(nvme.TypeCapsuleResp)
		}
	}
}

// TestAnswerByteByByte puts a proxy between gateway and disk server that forwards the server's answers byte by byte:
// reads and writes must succeed.
func TestAnswerByteByByte(t *testing.T) {
	h := newHarness(t)
	server := h.disks[1].Address()
	proxy := byteByByteProxy(t, server)
	h.register(proxy, 1, "on")
	h.deregister(server)
	client := h.connect("client")
	h.eventually("served through the proxy", func() bool {
		data, status := h.do(client, nvme.NewRW(nvme.Read, 2, 300, 1), nil)
		return status == nvme.Success && data[8] == 300&0xFF && data[9] == 300>>8
	})
	data := pattern(9, 2)
	if _, status := h.do(client, nvme.NewRW(nvme.Write, 2, 500, 2), data); status != nvme.Success {
		t.Fatalf("write: status %#x", status)
	}
	got, status := h.do(client, nvme.NewRW(nvme.Read, 2, 500, 2), nil)
	if status != nvme.Success || string(got) != string(data) {
		t.Fatalf("read: status %#x, want success and the data written", status)
	}
}

// byteByByteProxy starts a proxy that forwards connections to a server until the test ends, and the server's bytes one
// at a time. It returns the address on which the proxy listens.
func byteByByteProxy(t *testing.T, server string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", server)
			if err != nil {
				return
			}
			go func() { // both copies end with their connections, which gateway and server close
				defer to.Close()
				_, _ = io.Copy(to, from) // fails if the other side is closed first
			}()
			go func() {
				defer from.Close()
				copyByteByByte(from, to)
			}()
		}
	}()
	return listener.Addr().String()
}

// copyByteByByte copies until either side fails, with one write per byte.
func copyByteByByte(to io.Writer, from io.Reader) {
	b := make([]byte, 1<<16)
	for {
		n, err := from.Read(b)
		for i := range n {
			if _, err := to.Write(b[i : i+1]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
