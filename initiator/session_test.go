package initiator

import (
	"errors"
	"slices"
	"testing"

	"honeyplank/eventloop"
	"honeyplank/nvme"
)

const (
	testDepth  = 4
	testBlock  = 4096
	maxPDUData = 4096 // data bytes that the controller accepts in one PDU
)

// controller is a session without a network, and a controller that can send it any PDU.
type controller struct {
	session *Session
	buffers eventloop.Buffers
	output  []byte       // of the session
	framing nvme.Framing // of the PDUs from the controller
	input   nvme.Framing // of the PDUs to the controller
	unsent  int          // bytes at the end of output that have not left
	unacked int          // bytes that are not acknowledged, beside the unsent ones
	aborts  []uint16     // ids of the commands whose Abort the session has requested
	acks    []uint16     // ids of the commands whose acknowledgement the session has required
}

// UnsentBytes, UnackedBytes and DiscardUnsent implement transport.
func (c *controller) UnsentBytes() int  { return c.unsent }
func (c *controller) UnackedBytes() int { return c.unsent + c.unacked }

func (c *controller) DiscardUnsent(from, to int) {
	first := len(c.output) - c.unsent
	c.output = slices.Delete(c.output, first+from, first+to)
	c.unsent -= to - from
}

// newController returns a controller whose session waits for ICResp.
func newController(digests bool) *controller {
	c := &controller{}
	c.session = newSession(sessionOptions{
		depth:   testDepth,
		maxData: 64 << 10,
		digests: digests,
		buffers: &c.buffers,
		output:  &c.output,
		flush:   func() {},
		onReady: func() {},

		transport:    c,
		requestAbort: func(cid uint16) { c.aborts = append(c.aborts, cid) },
		requireAck:   func(cid uint16) { c.acks = append(c.acks, cid) },
	})
	return c
}

// sendICResp sends an ICResp with the digests of i, after which the session is ready.
func (c *controller) sendICResp(t *testing.T, i nvme.Init) {
	t.Helper()
	i.Limit = maxPDUData
	if err := c.send(nvme.AppendInit(nil, nvme.TypeICResp, i)); err != nil {
		t.Fatal(err)
	}
	c.output = nil
	c.framing = nvme.Framing{MaxData: 1 << 20, HeaderDigest: i.HeaderDigest, DataDigest: i.DataDigest}
	c.input = c.framing
	c.input.FromHost = true
}

// readyController returns a controller whose session is ready, without digests.
func readyController(t *testing.T) *controller {
	t.Helper()
	c := newController(false)
	c.sendICResp(t, nvme.Init{})
	return c
}

func (c *controller) send(bytes []byte) error {
	_, err := c.session.Input(bytes)
	return err
}

// readBlock submits a Read of one block, whose result is appended to results.
func (c *controller) readBlock(results *[]Result) (cid uint16, ok bool) {
	done := func(r Result) { *results = append(*results, r) }
	return c.session.Submit(nvme.NewRW(nvme.Read, 1, 0, 1), nil, testBlock, CallbackFunc(done))
}

func (c *controller) mustReadBlock(t *testing.T, results *[]Result) uint16 {
	t.Helper()
	cid, ok := c.readBlock(results)
	if !ok {
		t.Fatal("Submit did not accept a Read")
	}
	return cid
}

func (c *controller) data(cid uint16, offset, size int) []byte {
	header := nvme.DataHeader{Type: nvme.TypeC2HData, CID: cid, Offset: offset}
	return c.framing.AppendData(nil, header, make([]byte, size))
}

// dataWithSuccess returns a C2HData with the SUCCESS flag, which replaces a completion.
func (c *controller) dataWithSuccess(cid uint16, size int) []byte {
	header := nvme.DataHeader{Type: nvme.TypeC2HData, Flags: nvme.FlagLast | nvme.FlagSuccess, CID: cid}
	return c.framing.AppendData(nil, header, make([]byte, size))
}

func (c *controller) completion(cid uint16, status nvme.Status) []byte {
	completion := nvme.NewCompletion(cid, status, 0, 0)
	return c.framing.AppendCompletion(nil, &completion)
}

func (c *controller) success(cid uint16) []byte { return c.completion(cid, nvme.Success) }

func (c *controller) r2t(cid uint16, offset, size int) []byte {
	return c.framing.AppendR2T(nil, cid, 1, offset, size)
}

// abandoned returns the number of abandoned commands that wait for an answer.
func (c *controller) abandoned() int {
	n := 0
	for _, v := range c.session.slots {
		if v.busy && v.callback == nil {
			n++
		}
	}
	return n
}

func TestSubmitBeforeReady(t *testing.T) {
	var results []Result
	if _, ok := newController(false).readBlock(&results); ok {
		t.Error("Submit accepted a command before ICResp")
	}
}

// TestInvalidSequences checks that well-formed PDUs in an invalid order end the connection with a FatalError, and that
// the command in flight still ends exactly once.
func TestInvalidSequences(t *testing.T) {
	for name, bytes := range map[string]func(c *controller, cid uint16) []byte{
		"an answer to an id that was never used": func(c *controller, cid uint16) []byte { return c.success(cid + 1) },
		"an answer to an earlier use": func(c *controller, cid uint16) []byte {
			return c.success(cid ^ 1<<slotBits)
		},
		"two answers to one command": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock), c.success(cid), c.success(cid))
		},
		"data for a completed read": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock), c.success(cid), c.data(cid, 0, testBlock))
		},
		"data past the end of the read": func(c *controller, cid uint16) []byte { return c.data(cid, 0, 2*testBlock) },
		"data twice": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock/2), c.data(cid, 0, testBlock/2))
		},
		"an R2T for a read": func(c *controller, cid uint16) []byte { return c.r2t(cid, 0, testBlock) },
		"success before the end of the data": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock/2), c.success(cid))
		},
		"a second ICResp": func(*controller, uint16) []byte {
			return nvme.AppendInit(nil, nvme.TypeICResp, nvme.Init{Limit: maxPDUData})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := readyController(t)
			var results []Result
			cid := c.mustReadBlock(t, &results)
			err := c.send(bytes(c, cid))
			var fatal *nvme.FatalError
			if !errors.As(err, &fatal) {
				t.Errorf("error %v, want a FatalError", err)
			}
			c.session.endInFlight()
			if len(results) != 1 {
				t.Errorf("the command has %d results, want 1", len(results))
			}
		})
	}
}

// TestLateAnswerToAbandonedCommand checks that the late answer to an abandoned command is discarded and reaches no
// other command, and that the command id is not reused before that answer.
func TestLateAnswerToAbandonedCommand(t *testing.T) {
	c := readyController(t)
	var first, others []Result
	cid := c.mustReadBlock(t, &first)
	c.session.Abandon(cid)
	for range 10 {
		c.useFreeIDs(t, cid, &others)
	}
	before := len(others)
	if err := c.send(slices.Concat(c.data(cid, 0, testBlock), c.success(cid))); err != nil {
		t.Fatal(err)
	}
	if len(first) != 0 || len(others) != before {
		t.Errorf("the late answer gave %d results to its command, %d to others", len(first), len(others)-before)
	}
	if n, free := c.abandoned(), c.session.Free(); n != 0 || free != testDepth {
		t.Errorf("after the late answer: %d commands abandoned, want 0; %d slots free", n, free)
	}
}

// useFreeIDs reads blocks one after another until results has more than eight. No Read may get the slot of the
// abandoned command.
func (c *controller) useFreeIDs(t *testing.T, abandoned uint16, results *[]Result) {
	t.Helper()
	for c.session.Free() > 0 {
		cid := c.mustReadBlock(t, results)
		if cid&(MaxDepth-1) == abandoned&(MaxDepth-1) {
			t.Fatal("the slot of the abandoned command was used again before its answer")
		}
		if err := c.send(slices.Concat(c.data(cid, 0, testBlock), c.success(cid))); err != nil {
			t.Fatal(err)
		}
		if len(*results) > 8 {
			return
		}
	}
}
