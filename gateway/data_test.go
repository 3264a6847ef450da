package gateway_test

import (
	"io"
	"net"
	"testing"

	"honeyplank/nvme"
)

// TestBytes writes and reads in capsules and by R2T, with and without digests, over extent borders of no
// concern to the gateway, and compares byte for byte.
func TestBytes(t *testing.T) {
	w := start(t)
	for n, name := range []string{"plain", "digests"} {
		a := w.dial(name)
		for i, blocks := range []int{1, 2, 3, 16, 32} {
			lba, data := uint64(1000*n+i*100), pattern(byte(40*n+i), blocks)
			if _, status := w.op(a, nvme.NewRW(nvme.Write, 1, lba, blocks), data); status != nvme.Success {
				t.Fatalf("%s: write of %d blocks: %#x", name, blocks, status)
			}
			got, status := w.op(a, nvme.NewRW(nvme.Read, 1, lba, blocks), nil)
			if status != nvme.Success || string(got) != string(data) {
				t.Fatalf("%s: read of %d blocks: %#x, %d bytes", name, blocks, status, len(got))
			}
		}
	}
	w.quiet()
}

// TestPieces sends every PDU of a client byte by byte.
func TestPieces(t *testing.T) {
	w := start(t)
	c := rawConnect(t, w, "drip")
	c.piece = 1
	data := pattern(3, 4)
	c.write(c.command(1, nvme.Write, 1, 8, 4, nil))
	p := c.expect(nvme.TypeR2T)
	c.write(c.frame.AppendData(nil, nvme.TypeH2CData, nvme.FlagLast, 1, p.TTAG(), 0, data))
	if p := c.expect(nvme.TypeCapsuleResp); p.Completion() != [16]byte(p.Header[8:24]) || c.status(p) != nvme.Success {
		t.Fatalf("write: %#x", c.status(p))
	}
	if got, status := w.op(w.dial("reader"), nvme.NewRW(nvme.Read, 1, 8, 4), nil); status != nvme.Success || string(got) != string(data) {
		t.Fatal("what was read is not what was written byte by byte")
	}
}

// TestSameIDs has two clients use the same command ids at the same time; each gets its own data.
func TestSameIDs(t *testing.T) {
	w := start(t)
	one, two := rawConnect(t, w, "one"), rawConnect(t, w, "two")
	for id := range uint16(20) {
		one.write(one.command(id, nvme.Read, 1, 10, 1, nil))
		two.write(two.command(id, nvme.Read, 2, 20, 1, nil))
	}
	for c, want := range map[*raw]byte{one: 10, two: 20} {
		seen := map[uint16]bool{}
		for len(seen) < 20 {
			p := c.expect(nvme.TypeC2HData)
			if p.Data[8] != want || seen[p.CCCID()] {
				t.Fatalf("id %d: block %d, want %d, seen %v", p.CCCID(), p.Data[8], want, seen[p.CCCID()])
			}
			seen[p.CCCID()] = true
			c.expect(nvme.TypeCapsuleResp)
		}
	}
}

// TestDrip puts a line between gateway and disk server that brings the server's answers byte by byte.
func TestDrip(t *testing.T) {
	w := start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	behind := w.disks[1].Address()
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", behind)
			if err != nil {
				return
			}
			go func() { io.Copy(to, from); to.Close() }()
			go func() {
				defer from.Close()
				b := make([]byte, 1<<16)
				for {
					n, err := to.Read(b)
					for i := range n {
						if _, err := from.Write(b[i : i+1]); err != nil {
							return
						}
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	w.list(l.Addr().String(), 1, "on")
	w.etcd.Delete("/honeyplank/nodes/" + behind)
	a := w.dial("client")
	w.eventually("served through the line", func() bool {
		data, status := w.op(a, nvme.NewRW(nvme.Read, 2, 300, 1), nil)
		return status == nvme.Success && data[8] == 300&0xFF && data[9] == 300>>8
	})
	data := pattern(9, 2)
	if _, status := w.op(a, nvme.NewRW(nvme.Write, 2, 500, 2), data); status != nvme.Success {
		t.Fatalf("write: %#x", status)
	}
	if got, status := w.op(a, nvme.NewRW(nvme.Read, 2, 500, 2), nil); status != nvme.Success || string(got) != string(data) {
		t.Fatalf("read: %#x", status)
	}
}
