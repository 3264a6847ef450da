package main

import (
	"fmt"

	"honeyplank/nvme"
)

func init() { cases["6"] = writeAcrossExtents }

// writeAcrossExtents has clients that write and read two blocks at a time. With the trouble, the two blocks lie in two
// extents, and so on two cells. What a read returns must be what was written to its blocks last.
func writeAcrossExtents(l *lab) error {
	const volume, firstOfExtent = 5, (256 << 20) / blockSize // the second extent, of 256 MiB, begins with this block
	border := uint64(firstOfExtent)
	if l.trouble {
		border--
	}
	g, err := l.deployGateway()
	if err != nil {
		return err
	}
	one, err := g.connect("one")
	if err != nil {
		return err
	}
	other, err := g.connect("other")
	if err != nil {
		return err
	}
	last := map[uint64]byte{} // what was written to a block last, with success
	write := func(c *nvmeClient, block uint64, blocks int, mark byte) error {
		r := c.retry(func() chan nvmeAnswer { return c.write(volume, block, blocks, mark) })
		l.noteAt(r.at, "client %s: write %q ends with status %#x", c.name, mark, r.status)
		if r.lost || r.status != nvme.Success {
			return fmt.Errorf("write %q ended with status %#x", mark, r.status)
		}
		for i := range blocks {
			last[block+uint64(i)] = mark
		}
		return nil
	}
	read := func(c *nvmeClient, block uint64, blocks int) error {
		r := c.retry(func() chan nvmeAnswer { return c.submit(volume, block, blocks, nil) })
		l.noteAt(r.at, "client %s: read of block %d, %d blocks, ends with status %#x", c.name, block, blocks, r.status)
		if r.lost || r.status != nvme.Success || len(r.data) != blocks*blockSize {
			return fmt.Errorf("a read ended with status %#x", r.status)
		}
		for i := range blocks {
			at := block + uint64(i)
			if got := r.data[i*blockSize]; got != last[at] {
				l.violation("block %d has %q for client %s, %q was written to it last", at, got, c.name, last[at])
			}
		}
		return nil
	}
	steps := []func() error{
		func() error { return write(one, border, 2, 'A') },
		func() error { return read(one, border, 2) },
		func() error { return read(other, border, 1) },
		func() error { return read(other, border+1, 1) },
		func() error { return write(other, border+1, 1, 'B') },
		func() error { return read(other, border+1, 1) },
		func() error { return read(one, border, 2) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
