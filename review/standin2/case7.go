package main

import (
	"fmt"
	"time"

	"honeyplank/nvme"
)

func init() { cases["7"] = abortedWriteSent }

// abortedWriteSent has one disk server that is eight times slower for a while. A write to it is answered as failed when
// its time is up; the client writes the block anew, with success. What was written last has to stay.
func abortedWriteSent(l *lab) error {
	const volume, otherVolume, slowFactor = 5, 8, 8 // both have block 0 on cell 0
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
	for answer := range []int{0, 1, 2} { // ordinary traffic
		r := one.retry(func() chan nvmeAnswer { return one.write(volume, uint64(answer)*4, 4, 'o') })
		if r.lost || r.status != nvme.Success {
			return fmt.Errorf("a write before the disruption ended with status %#x", r.status)
		}
	}
	if l.trouble { // until the end of the run
		l.note("disk 0 is %d times slower from now on", slowFactor)
		g.loop.Post(func() { g.disks[0].slow = slowFactor })
	}
	large := other.write(otherVolume, 0, maxTransfer/blockSize, 'L')
	time.Sleep(50 * time.Millisecond)
	first := <-one.write(volume, 0, 4, 'A')
	l.noteAt(first.at, "client one: write 'A' ends with status %#x after %v", first.status, first.at.Sub(first.sent))
	second := one.retry(func() chan nvmeAnswer { return one.write(volume, 0, 2, 'B') })
	took := second.at.Sub(second.sent)
	l.noteAt(second.at, "client one: write 'B' ends with status %#x after %v", second.status, took)
	if second.lost || second.status != nvme.Success {
		l.note("write 'B' was not acknowledged: nothing to judge")
	}
	last := <-large
	l.noteAt(last.at, "client other: write 'L' ends with status %#x after %v", last.status, last.at.Sub(last.sent))
	time.Sleep(2 * time.Second)
	read := one.retry(func() chan nvmeAnswer { return one.submit(volume, 0, 2, nil) })
	if read.lost || len(read.data) == 0 {
		return fmt.Errorf("the read at the end ended with status %#x", read.status)
	}
	l.note("client one: reads %q from block 0", read.data[0])
	if second.status == nvme.Success && read.data[0] != 'B' {
		l.violation("write 'B' was acknowledged last, but block 0 has %q", read.data[0])
	}
	arrived := make(chan []nvmeWrite)
	g.loop.Post(func() { arrived <- g.disks[0].writes })
	for _, w := range <-arrived {
		if w.mark == 'A' && first.status != nvme.Success && w.at.Sub(first.at) > slack {
			l.violation("the data of write 'A' came at disk 0 %v after the final answer to it", w.at.Sub(first.at))
		}
	}
	return nil
}
