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
	maxPDUData = 4096 // that the controller takes in one PDU
)

// controller is a session in memory, and the controller at its other end, which sends what it likes.
type controller struct {
	session *Session
	buffers eventloop.Buffers
	output  []byte       // of the session
	framing nvme.Framing // of what the controller sends
	input   nvme.Framing // of what it receives
}

// newController makes a session that waits for its ICResp.
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
	})
	return c
}

// sendICResp sends the ICResp.
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

// readyController makes a session that is ready, without digests.
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

// readBlock submits a Read of a block, and has its result appended.
func (c *controller) readBlock(results *[]Result) (cid uint16, ok bool) {
	done := func(r Result) { *results = append(*results, r) }
	return c.session.Submit(nvme.NewRW(nvme.Read, 1, 0, 1), nil, testBlock, CallbackFunc(done))
}

func (c *controller) mustReadBlock(t *testing.T, results *[]Result) uint16 {
	t.Helper()
	cid, ok := c.readBlock(results)
	if !ok {
		t.Fatal("a Read was not taken")
	}
	return cid
}

func (c *controller) data(cid uint16, offset, size int) []byte {
	header := nvme.DataHeader{Type: nvme.TypeC2HData, CID: cid, Offset: offset}
	return c.framing.AppendData(nil, header, make([]byte, size))
}

// dataWithSuccess is data that stands for a completion too.
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

// abandoned is how many abandoned commands wait for an answer.
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
		t.Error("a command was taken before ICResp")
	}
}

// TestInvalidSequences has a controller send well-formed PDUs in an impossible order: each ends the connection, and
// every command still ends once.
func TestInvalidSequences(t *testing.T) {
	for name, bytes := range map[string]func(c *controller, cid uint16) []byte{
		"an answer to what was never sent": func(c *controller, cid uint16) []byte { return c.success(cid + 1) },
		"an answer to an earlier use": func(c *controller, cid uint16) []byte {
			return c.success(cid ^ 1<<slotBits)
		},
		"two answers to one command": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock), c.success(cid), c.success(cid))
		},
		"data for a finished read": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock), c.success(cid), c.data(cid, 0, testBlock))
		},
		"data past what was asked": func(c *controller, cid uint16) []byte { return c.data(cid, 0, 2*testBlock) },
		"data twice": func(c *controller, cid uint16) []byte {
			return slices.Concat(c.data(cid, 0, testBlock/2), c.data(cid, 0, testBlock/2))
		},
		"an R2T for a read": func(c *controller, cid uint16) []byte { return c.r2t(cid, 0, testBlock) },
		"a completion before its data": func(c *controller, cid uint16) []byte {
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
				t.Errorf("%v", err)
			}
			c.session.endInFlight()
			if len(results) != 1 {
				t.Errorf("the command ended %d times", len(results))
			}
		})
	}
}

// TestLateAnswerToAbandonedCommand abandons a command and uses every id that is free: the late answer is discarded, and
// its id comes back only then.
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
		t.Errorf("the late answer reached %d and %d", len(first), len(others)-before)
	}
	if n, free := c.abandoned(), c.session.Free(); n != 0 || free != testDepth {
		t.Errorf("its id is lost: %d abandoned, %d free", n, free)
	}
}

// useFreeIDs reads blocks one after another until more than eight have been read in all.
func (c *controller) useFreeIDs(t *testing.T, abandoned uint16, results *[]Result) {
	t.Helper()
	for c.session.Free() > 0 {
		cid := c.mustReadBlock(t, results)
		if cid&(MaxDepth-1) == abandoned&(MaxDepth-1) {
			t.Fatal("an id that is in flight was used again")
		}
		if err := c.send(slices.Concat(c.data(cid, 0, testBlock), c.success(cid))); err != nil {
			t.Fatal(err)
		}
		if len(*results) > 8 {
			return
		}
	}
}
