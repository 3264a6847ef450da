// Package bench measures what the gateway costs: in one run it drives the same load straight at stand-in disk
// servers and through a gateway before them, and reports ratios. Figures are of stand-ins on loopback.
package bench

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
	"honeyplank/gateway"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// Baseline is the recorded cost of an op.
//
//go:embed baseline.json
var Baseline []byte

//go:embed bench.xml
var script []byte

// Options say how long and how large.
type Options struct {
	Seconds float64 // of each of the four phases
	Depth   int     // ops out at a time at saturation
	Rate    float64 // ops a second where latency is measured
}

// Cost is what one op costs at the gateway: what the run through it counts beyond the run without.
type Cost struct {
	Allocations float64 `json:"allocations"`
	SystemCalls float64 `json:"system_calls"`
	Copied      float64 `json:"bytes_copied"`
	CPU         float64 `json:"cpu_us"`
}

// Phase is one way of driving the load.
type Phase struct {
	Throughput float64 `json:"ops_a_second"`
	P50        float64 `json:"p50_us"`
	P99        float64 `json:"p99_us"`
	Refused    int     `json:"not_acked"`
	Allocs     float64 `json:"allocations_an_op"`
}

// Report is one run.
type Report struct {
	Servers int     `json:"servers"`
	Volumes int     `json:"volumes"`
	Bytes   int     `json:"bytes_an_op"`
	Direct  Phase   `json:"direct"`
	Through Phase   `json:"through"`
	Op      Cost    `json:"op"`
	PerCore float64 `json:"ops_a_second_of_one_core"` // of the gateway's loop
}

type rig struct {
	script  *settings.Gateway
	disks   *eventloop.Loop
	clients *eventloop.Loop
	servers []*disk.Server
}

// raise brings up stand-ins and a gateway before them, its settings changed where asked; the caller lets it fall.
func raise(change func(*settings.Gateway)) (r *rig, g *gateway.Instance, fall func(), err error) {
	s, err := settings.Parse("bench.xml", script)
	if err != nil {
		return nil, nil, nil, err
	}
	if change != nil {
		change(s)
	}
	r = &rig{script: s}
	if r.disks, err = eventloop.New(time.Minute); err != nil {
		return nil, nil, nil, err
	}
	if r.clients, err = eventloop.New(time.Minute); err != nil {
		return nil, nil, nil, err
	}
	model := faulttest.Model(s)
	model.Meter = nil
	registry, err := etcd.New("127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	for cell := range s.Volumes.List[0].CellList() {
		d, err := disk.New(r.disks, "127.0.0.1:0", model, int64(cell))
		if err != nil {
			return nil, nil, nil, err
		}
		r.servers = append(r.servers, d)
		value, _ := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: cell})
		registry.Set(s.EndpointList.Prefix+d.Address(), value)
	}
	own := *s
	own.FaultTest = nil
	own.EndpointList.Etcd[0].Endpoint = registry.Address()
	if g, err = gateway.New(gateway.Options{Settings: &own, Seed: 1, Log: zerolog.Nop()}); err != nil {
		return nil, nil, nil, err
	}
	ended := make(chan error, 3)
	go func() { ended <- r.disks.Run() }()
	go func() { ended <- r.clients.Run() }()
	go func() { ended <- g.Serve(context.Background()) }()
	time.Sleep(300 * time.Millisecond) // the list arrives
	return r, g, func() {
		g.Kill()
		r.disks.Post(r.disks.Stop)
		r.clients.Post(r.clients.Stop)
		for range 3 {
			<-ended
		}
		registry.Close()
	}, nil
}

// Run measures.
func Run(o Options) (*Report, error) {
	r, g, fall, err := raise(nil)
	if err != nil {
		return nil, err
	}
	defer fall()
	s := r.script
	report := &Report{Servers: len(r.servers), Volumes: len(s.Volumes.List), Bytes: opBytes}
	var direct, through []string
	for _, d := range r.servers {
		direct = append(direct, d.Address())
	}
	for range r.servers { // as many connections either way
		through = append(through, g.Address())
	}
	// Each way first warms up, then saturates, then is asked at a steady rate.
	for _, way := range []struct {
		phase     *Phase
		addresses []string
		subsystem string
		own       bool
	}{{&report.Direct, direct, s.DiskServers.Subsystem, false}, {&report.Through, through, s.Listen.Subsystem, true}} {
		load, err := r.connect(way.addresses, way.subsystem, way.own)
		if err != nil {
			return nil, err
		}
		load.saturate(o.Depth, o.Seconds/2)
		before, _ := g.Counts()
		var m0, m1 runtime.MemStats
		runtime.ReadMemStats(&m0)
		g0, k0 := g.Stats().Calls(), g.Stats().Copied.Load()
		done, took := load.saturate(o.Depth, o.Seconds)
		runtime.ReadMemStats(&m1)
		after, _ := g.Counts()
		ops := float64(done)
		way.phase.Throughput = ops / took.Seconds()
		way.phase.Allocs = float64(m1.Mallocs-m0.Mallocs) / ops
		if way.own {
			cpu := after.CPU - before.CPU
			report.Op = Cost{Allocations: way.phase.Allocs - report.Direct.Allocs, SystemCalls: float64(g.Stats().Calls()-g0) / ops,
				Copied: float64(g.Stats().Copied.Load()-k0) / ops, CPU: float64(cpu.Microseconds()) / ops}
			report.PerCore = ops / cpu.Seconds()
		}
		h := load.steady(o.Rate, o.Seconds)
		way.phase.P50, way.phase.P99 = float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(99))
		way.phase.Refused = load.refused
		load.close()
	}
	return report, nil
}

const opBytes = 4096

// driver keeps ops out at several controllers; each answer brings the next op.
type driver struct {
	r       *rig
	links   []*initiator.Association
	own     bool
	next    int
	done    int
	refused int
	running bool
	hist    *hdrhistogram.Histogram
	ready   chan error
	waits   int
}

func (r *rig) connect(addresses []string, subsystem string, through bool) (*driver, error) {
	d := &driver{r: r, own: through, ready: make(chan error, len(addresses)+1), waits: len(addresses), hist: hdrhistogram.New(1, 10_000_000, 3)}
	r.clients.Post(func() {
		for _, a := range addresses {
			d.links = append(d.links, initiator.Dial(r.clients, initiator.Settings{Address: a, Subsystem: subsystem, Host: "nqn.2026-12.org.honeyplank:bench",
				Depth: 120, MaxData: int(r.script.Limits.MaxTransfer), ConnectTimeout: 2 * time.Second}, d))
		}
	})
	for range addresses {
		if err := <-d.ready; err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *driver) Ready(*initiator.Association) { d.ready <- nil }
func (d *driver) Ended(_ *initiator.Association, err error) {
	select {
	case d.ready <- err:
	default:
	}
}

func (d *driver) close() {
	done := make(chan struct{})
	d.r.clients.Post(func() {
		for _, l := range d.links {
			l.Close()
		}
		close(done)
	})
	<-done
}

// submit sends the next read; server n holds the extents of its cell, so that both ways reach the same ones.
func (d *driver) submit(then func()) {
	d.next++
	volume := &d.r.script.Volumes.List[d.next%len(d.r.script.Volumes.List)]
	cell := d.next / len(d.r.script.Volumes.List) % len(d.links)
	perExtent := uint64(d.r.script.Volumes.Extent / d.r.script.Volumes.Block)
	c := nvme.NewRW(nvme.Read, volume.NSID, uint64(cell)*perExtent+uint64(d.next)%perExtent, opBytes/int(d.r.script.Volumes.Block))
	began := d.r.clients.Now()
	_, ok := d.links[cell].IO.Submit(c, nil, opBytes, initiator.CallFunc(func(r initiator.Result) {
		d.done++
		if r.Lost || r.Status() != nvme.Success {
			d.refused++
		}
		d.hist.RecordValue(int64((d.r.clients.Now() - began) / time.Microsecond))
		then()
	}))
	if !ok {
		d.refused++
	}
}

// saturate keeps depth ops out for a time; it returns how many ended.
func (d *driver) saturate(depth int, seconds float64) (int, time.Duration) {
	finished := make(chan int)
	began := time.Now()
	d.r.clients.Post(func() {
		d.running = true
		from, out := d.done, depth
		var again func()
		again = func() {
			if d.running {
				d.submit(again)
				return
			}
			if out--; out == 0 {
				finished <- d.done - from
			}
		}
		for range depth {
			d.submit(again)
		}
		d.r.clients.Schedule(d.r.clients.Now()+time.Duration(seconds*float64(time.Second)), func() { d.running = false })
	})
	n := <-finished
	return n, time.Since(began)
}

// steady sends ops at a rate and returns their latencies in microseconds.
func (d *driver) steady(rate, seconds float64) *hdrhistogram.Histogram {
	finished := make(chan struct{})
	d.r.clients.Post(func() {
		d.hist.Reset()
		end := d.r.clients.Now() + time.Duration(seconds*float64(time.Second))
		var tick func()
		tick = func() {
			if d.r.clients.Now() >= end {
				d.r.clients.Schedule(end+100*time.Millisecond, func() { close(finished) })
				return
			}
			d.submit(func() {})
			d.r.clients.Schedule(d.r.clients.Now()+time.Duration(float64(time.Second)/rate), tick)
		}
		tick()
	})
	<-finished
	return d.hist
}

// Compare tells which costs have grown by more than a tenth over the baseline. Processor time is not held
// against it, since it is the machine's.
func (r *Report) Compare(baseline []byte) error {
	var was Report
	if err := json.Unmarshal(baseline, &was); err != nil {
		return fmt.Errorf("bench: the baseline: %w", err)
	}
	var grown []string
	for _, c := range []struct {
		name     string
		was, now float64
	}{{"allocations", was.Op.Allocations, r.Op.Allocations}, {"system calls", was.Op.SystemCalls, r.Op.SystemCalls}, {"bytes copied", was.Op.Copied, r.Op.Copied}} {
		if c.now > 1.1*c.was {
			grown = append(grown, fmt.Sprintf("%s an op: %.2f, were %.2f", c.name, c.now, c.was))
		}
	}
	if len(grown) > 0 {
		return fmt.Errorf("bench: grown by more than a tenth: %s", strings.Join(grown, "; "))
	}
	return nil
}

// String is the report for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d stand-in disk servers, %d volumes, reads of %d bytes; figures are of stand-ins on loopback\n\n", r.Servers, r.Volumes, r.Bytes)
	fmt.Fprintf(&b, "%-28s %12s %12s %8s\n", "", "direct", "through", "ratio")
	row := func(name string, a, c float64) { fmt.Fprintf(&b, "%-28s %12.1f %12.1f %8.2f\n", name, a, c, c/a) }
	row("ops a second, saturated", r.Direct.Throughput, r.Through.Throughput)
	row("p50, us", r.Direct.P50, r.Through.P50)
	row("p99, us", r.Direct.P99, r.Through.P99)
	row("allocations an op, in all", r.Direct.Allocs, r.Through.Allocs)
	fmt.Fprintf(&b, "\nat the gateway, an op: %.2f allocations, %.2f system calls, %.0f bytes copied, %.1f us of its loop's core\n", r.Op.Allocations, r.Op.SystemCalls, r.Op.Copied, r.Op.CPU)
	fmt.Fprintf(&b, "one core of the gateway carries %.0f ops a second; not acked: %d direct, %d through\n", r.PerCore, r.Direct.Refused, r.Through.Refused)
	return b.String()
}
