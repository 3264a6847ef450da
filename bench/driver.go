package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeyplank/initiator"
	"honeyplank/nvme"
)

const (
	opBytes          = 4096 // size of a Read
	hostNQN          = "nqn.2026-12.org.honeyplank:bench"
	hostQueueDepth   = 120
	connectTimeout   = 2 * time.Second
	maxLatency       = 10 * time.Second       // largest latency that a histogram records
	lastRepliesDelay = 100 * time.Millisecond // from the end of the load at a fixed rate until its latencies are read
	histogramDigits  = 3
)

// driver sends Reads to several controllers. While ops are in flight, its fields may be used only on the goroutine of
// the clients' loop.
type driver struct {
	bed          *testbed
	associations []*initiator.Association
	connected    chan error // receives nil when an association is ready, and the error when one ends
	submitted    int
	completed    int
	unsuccessful int
	saturating   bool                    // saturate sends a new op for each that completes
	latency      *hdrhistogram.Histogram // in microseconds
}

// newDriver connects to all addresses and returns when all associations are ready. The caller closes the driver.
func newDriver(bed *testbed, addresses []string, subsystem string) (*driver, error) {
	d := &driver{
		bed:       bed,
		connected: make(chan error, len(addresses)+1),
		latency:   hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
	}
	bed.clientLoop.Post(func() {
		for _, address := range addresses {
			d.associations = append(d.associations, initiator.Dial(bed.clientLoop, initiator.Settings{
				Address:        address,
				Subsystem:      subsystem,
				Host:           hostNQN,
				Depth:          hostQueueDepth,
				MaxData:        int(bed.settings.Limits.MaxTransfer),
				ConnectTimeout: connectTimeout,
			}, d))
		}
	})
	for range addresses {
		if err := <-d.connected; err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Ready implements initiator.Handler.
func (d *driver) Ready(*initiator.Association) { d.connected <- nil }

// Ended implements initiator.Handler. After newDriver has returned, nothing receives the error: the ops of the
// association count as unsuccessful instead.
func (d *driver) Ended(_ *initiator.Association, err error) {
	select {
	case d.connected <- err:
	default:
	}
}

func (d *driver) close() {
	done := make(chan struct{})
	d.bed.clientLoop.Post(func() {
		for _, association := range d.associations {
			association.Close()
		}
		close(done)
	})
	<-done
}

// submit sends the next Read and calls onComplete when it is completed. A Read that cannot be sent counts as
// unsuccessful, and onComplete is not called. Association n reads extents of cell n, so that the load through the
// gateway and the load sent directly to the disk servers read the same extents.
func (d *driver) submit(onComplete func()) {
	d.submitted++
	volumes := d.bed.settings.Volumes
	volume := &volumes.List[d.submitted%len(volumes.List)]
	cell := d.submitted / len(volumes.List) % len(d.associations)
	blocksOfExtent := uint64(volumes.Extent / volumes.Block)
	lba := uint64(cell)*blocksOfExtent + uint64(d.submitted)%blocksOfExtent
	command := nvme.NewRW(nvme.Read, volume.NSID, lba, opBytes/int(volumes.Block))
	began := d.bed.clientLoop.Now()
	_, ok := d.associations[cell].IO.Submit(command, nil, opBytes, initiator.CallbackFunc(func(r initiator.Result) {
		d.completed++
		if r.ConnectionLost || r.Status() != nvme.Success {
			d.unsuccessful++
		}
		// An error would mean that the latency exceeds maxLatency. The op timeout is shorter.
		_ = d.latency.RecordValue((d.bed.clientLoop.Now() - began).Microseconds())
		onComplete()
	}))
	if !ok {
		d.unsuccessful++
	}
}

// saturate keeps inFlight ops in flight for the given duration and then waits until they have completed. It returns the
// number of ops that completed and the time that this took.
func (d *driver) saturate(inFlight int, duration time.Duration) (int, time.Duration) {
	finished := make(chan int)
	began := time.Now()
	d.bed.clientLoop.Post(func() {
		d.saturating = true
		completedBefore, left := d.completed, inFlight
		var submitNext func()
		submitNext = func() {
			if d.saturating {
				d.submit(submitNext)
				return
			}
			if left--; left == 0 {
				finished <- d.completed - completedBefore
			}
		}
		for range inFlight {
			d.submit(submitNext)
		}
		d.bed.clientLoop.Schedule(d.bed.clientLoop.Now()+duration, func() { d.saturating = false })
	})
	completed := <-finished
	return completed, time.Since(began)
}

// sendAtRate sends ops at a rate, in ops per second, for the given duration and returns their latencies in
// microseconds. The histogram is valid until the driver sends ops again.
func (d *driver) sendAtRate(rate float64, duration time.Duration) *hdrhistogram.Histogram {
	finished := make(chan struct{})
	loop := d.bed.clientLoop
	loop.Post(func() {
		d.latency.Reset()
		end := loop.Now() + duration
		var tick func()
		tick = func() {
			if loop.Now() >= end {
				loop.Schedule(end+lastRepliesDelay, func() { close(finished) })
				return
			}
			d.submit(func() {})
			loop.Schedule(loop.Now()+seconds(1/rate), tick)
		}
		tick()
	})
	<-finished
	return d.latency
}
