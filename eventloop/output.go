package eventloop

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// UnsentBytes returns the number of bytes of Output that are not written to the socket yet.
func (c *Conn) UnsentBytes() int { return len(c.Output) - c.written }

// OutputMemory returns the number of bytes of memory that Output uses, not counting a small buffer that is kept for
// reuse.
func (c *Conn) OutputMemory() int {
	if n := cap(c.Output); n > keptOutputSize {
		return n
	}
	return 0
}

// DiscardUnsent removes the unsent bytes at each index i with from <= i < to; index 0 is the first unsent byte. It must
// not be used together with FaultFilter.
func (c *Conn) DiscardUnsent(from, to int) {
	c.Output = slices.Delete(c.Output, c.written+from, c.written+to)
}

// Send schedules Output to be written at the end of the round.
func (c *Conn) Send() {
	if !c.writeQueued && !c.closed && !c.dialing && c.written < len(c.Output) {
		c.writeQueued = true
		c.loop.pendingWrites = append(c.loop.pendingWrites, c)
	}
}

// UnackedBytes returns the number of bytes that the peer's kernel has not acknowledged (SIOCOUTQ, see tcp(7)),
// including unsent bytes. If the ioctl fails, it returns the number of unsent bytes.
func (c *Conn) UnackedBytes() int {
	if c.closed || c.dialing {
		return 0
	}
	c.loop.Stats.OtherCalls.Add(1)
	n, err := c.loop.sys.UnackedBytes(c.fd)
	if err != nil {
		n = 0
	}
	return n + c.UnsentBytes()
}

// write writes as much of Output as the socket accepts.
func (c *Conn) write() {
	if c.closed { // the kernel may have reused its descriptor number
		return
	}
	if c.FaultFilter != nil {
		c.filterOutput()
	}
	if c.BeforeWrite != nil && !c.closed && c.written < len(c.Output) {
		c.BeforeWrite()
	}
	c.writeUnsent()
	if c.closed { // by an error or by Tap
		return
	}
	c.releaseWritten()
	c.updateInterest()
	if c.OnWritten != nil {
		c.OnWritten()
	}
}

// filterOutput passes the new bytes of Output through FaultFilter.
func (c *Conn) filterOutput() {
	c.filtered = min(c.filtered, len(c.Output))
	unfiltered := append([]byte(nil), c.Output[c.filtered:]...)
	c.Output = append(c.Output[:c.filtered], c.FaultFilter.FilterOutput(unfiltered)...)
	c.filtered = len(c.Output)
}

// writeUnsent writes until all output is written, the socket accepts no more or the connection fails.
func (c *Conn) writeUnsent() {
	for !c.closed && c.written < len(c.Output) {
		c.loop.Stats.Writes.Add(1)
		n, err := c.loop.sys.Write(c.fd, c.Output[c.written:])
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) { // epoll reports when the socket is writable
			return
		}
		if err != nil {
			c.fail(err)
			return
		}
		if c.Tap != nil {
			c.Tap(true, c.Output[c.written:c.written+n])
		}
		c.loop.Stats.BytesOut.Add(int64(n))
		c.written += n
	}
}

// releaseWritten removes the written bytes from Output when all bytes are written, or when more than readSize bytes
// are. When all are written, it continues a close that waits for them. A buffer larger than keptOutputSize is released.
func (c *Conn) releaseWritten() {
	switch {
	case c.written == len(c.Output):
		c.Output, c.written, c.filtered = c.Output[:0], 0, 0
		if cap(c.Output) > keptOutputSize {
			c.Output = nil
		}
		c.outputWritten()
	case c.written > readSize:
		c.Output = slices.Clone(c.Output[c.written:]) // a buffer of the size that is needed now
		c.filtered, c.written = max(0, c.filtered-c.written), 0
	}
}
