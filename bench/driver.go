package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"honeyplank/initiator"
	"honeyplank/nvme"
)

const (
	opBytes         = 4096 // of a Read
	hostNQN         = "nqn.2026-12.org.honeyplank:bench"
	hostQueueDepth  = 120
	connectTimeout  = 2 * time.Second
	maxLatency      = 10 * time.Second       // that a histogram can hold
	lastAnswersTime = 100 * time.Millisecond // for answers after the last op at a rate
	histogramDigits = 3
)

// driver drives load at several controllers. Its fields belong to the clients' loop.
type driver struct {
	bed          *testbed
	associations []*initiator.Association
	connected    chan error // one value for each association that is up, or the error with which it ended
	submitted    int
	completed    int
	unsuccessful int
	saturating   bool
	latency      *hdrhistogram.Histogram // in microseconds
}

// newDriver connects to all addresses.
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

// Ended implements initiator.Handler. Once all associations have been up nobody waits for the error any more: their
// ops count as unsuccessful.
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

// submit sends the next Read and calls then when it is completed. Association n gets the extents of cell n, so that
// load through the gateway and load straight at the disk servers reach the same ones.
func (d *driver) submit(then func()) {
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
		// The error says that the latency is beyond the histogram, which an op timeout is not.
		_ = d.latency.RecordValue((d.bed.clientLoop.Now() - began).Microseconds())
		then()
	}))
	if !ok {
		d.unsuccessful++
	}
}

// saturate keeps a number of ops in flight for a time. It returns how many were completed, and the time that it took.
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

// sendAtRate sends ops at a rate, in ops a second, and returns their latencies in microseconds.
func (d *driver) sendAtRate(rate float64, duration time.Duration) *hdrhistogram.Histogram {
	finished := make(chan struct{})
	loop := d.bed.clientLoop
	loop.Post(func() {
		d.latency.Reset()
		end := loop.Now() + duration
		var tick func()
		tick = func() {
			if loop.Now() >= end {
				loop.Schedule(end+lastAnswersTime, func() { close(finished) })
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
