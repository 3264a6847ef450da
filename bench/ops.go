package bench

import (
	_ "embed" // for the baseline
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"honeyplank/gateway"
)

// Baseline is the recorded cost of an op, as the JSON form of an OpsReport.
//
//go:embed baseline.json
var Baseline []byte

// maxCostRatio is the largest ratio of a cost to its baseline that Compare accepts.
const maxCostRatio = 1.1

// OpsOptions configure Ops.
type OpsOptions struct {
	Seconds  float64 // duration of each measurement of throughput and of latency
	InFlight int     // ops in flight at saturation
	Rate     float64 // ops per second while latency is measured
}

// OpCost is the cost of one op at the gateway. Allocations are those of the load through the gateway minus those of the
// load sent directly to the disk servers. The other costs are those of the gateway's loop.
type OpCost struct {
	Allocations float64 `json:"allocations"`
	SystemCalls float64 `json:"system_calls"`
	Copied      float64 `json:"bytes_copied"`
	CPU         float64 `json:"cpu_us"`
}

// Phase is the result of one phase of a measurement: throughput at saturation and latency at a fixed rate.
type Phase struct {
	Throughput   float64 `json:"ops_a_second"`
	P50          float64 `json:"p50_us"`
	P99          float64 `json:"p99_us"`
	Unsuccessful int     `json:"not_succeeded"`
	Allocations  float64 `json:"allocations_an_op"`
}

// OpsReport is the result of Ops.
type OpsReport struct {
	Servers        int     `json:"servers"`
	Volumes        int     `json:"volumes"`
	Bytes          int     `json:"bytes_an_op"`
	Direct         Phase   `json:"direct"`
	ThroughGateway Phase   `json:"through"`
	Op             OpCost  `json:"op"`
	PerCore        float64 `json:"ops_a_second_of_one_core"` // ops per second of processor time of the gateway's loop
}

// Ops sends load directly to the disk servers, then through the gateway. Each phase warms up, then measures throughput
// at saturation, then latency at a fixed rate.
func Ops(options OpsOptions) (*OpsReport, error) {
	bed, err := newTestbed(nil)
	if err != nil {
		return nil, err
	}
	defer bed.close()
	s := bed.settings
	report := &OpsReport{Servers: len(bed.diskServers), Volumes: len(s.Volumes.List), Bytes: opBytes}
	direct, err := newDriver(bed, bed.diskAddresses(), s.DiskServers.Subsystem)
	if err != nil {
		return nil, err
	}
	report.Direct, _ = measurePhase(direct, options)
	through, err := newDriver(bed, bed.gatewayAddresses(), s.Listen.Subsystem)
	if err != nil {
		return nil, err
	}
	var usage gatewayUsage
	report.ThroughGateway, usage = measurePhase(through, options)
	report.Op = OpCost{
		Allocations: report.ThroughGateway.Allocations - report.Direct.Allocations,
		SystemCalls: float64(usage.systemCalls) / usage.ops,
		Copied:      float64(usage.copied) / usage.ops,
		CPU:         float64(usage.cpu.Microseconds()) / usage.ops,
	}
	report.PerCore = usage.ops / usage.cpu.Seconds()
	return report, nil
}

// gatewayUsage is the resource usage of the gateway's loop for a number of ops.
type gatewayUsage struct {
	ops         float64
	systemCalls int64
	copied      int64 // bytes
	cpu         time.Duration
}

// readUsage returns the resource usage of the gateway's loop since its start, without the number of ops.
func readUsage(g *gateway.Instance) gatewayUsage {
	counts, _ := g.Counts() // succeeds while the gateway runs
	return gatewayUsage{systemCalls: g.Stats().Calls(), copied: g.Stats().Copied.Load(), cpu: counts.CPU}
}

// measurePhase measures one phase and closes the driver. The usage is that of the measurement at saturation.
func measurePhase(d *driver, options OpsOptions) (Phase, gatewayUsage) {
	defer d.close()
	duration := seconds(options.Seconds)
	d.saturate(options.InFlight, duration/2)
	var memoryBefore, memoryAfter runtime.MemStats
	runtime.ReadMemStats(&memoryBefore)
	before := readUsage(d.bed.gateway)
	completed, took := d.saturate(options.InFlight, duration)
	runtime.ReadMemStats(&memoryAfter)
	after := readUsage(d.bed.gateway)
	ops := float64(completed)
	latency := d.sendAtRate(options.Rate, duration)
	phase := Phase{
		Throughput:   ops / took.Seconds(),
		P50:          float64(latency.ValueAtQuantile(50)),
		P99:          float64(latency.ValueAtQuantile(99)),
		Unsuccessful: d.unsuccessful,
		Allocations:  float64(memoryAfter.Mallocs-memoryBefore.Mallocs) / ops,
	}
	return phase, gatewayUsage{
		ops:         ops,
		systemCalls: after.systemCalls - before.systemCalls,
		copied:      after.copied - before.copied,
		cpu:         after.cpu - before.cpu,
	}
}

// Compare returns an error that names the costs of an op that exceed those of a baseline by more than a tenth.
// Processor time is not compared, since it depends on the machine.
func (r *OpsReport) Compare(baseline []byte) error {
	var recorded OpsReport
	if err := json.Unmarshal(baseline, &recorded); err != nil {
		return fmt.Errorf("bench: reading the baseline: %w", err)
	}
	var grown []string
	compare := func(name string, recorded, current float64) {
		if current > maxCostRatio*recorded {
			grown = append(grown, fmt.Sprintf("%s per op: %.2f, baseline %.2f", name, current, recorded))
		}
	}
	compare("allocations", recorded.Op.Allocations, r.Op.Allocations)
	compare("system calls", recorded.Op.SystemCalls, r.Op.SystemCalls)
	compare("bytes copied", recorded.Op.Copied, r.Op.Copied)
	if len(grown) > 0 {
		return fmt.Errorf("bench: costs of an op have grown by more than a tenth: %s", strings.Join(grown, "; "))
	}
	return nil
}

// String returns the report as text.
func (r *OpsReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d fake disk servers, %d volumes, reads of %d bytes; measured with fakes on loopback\n\n",
		r.Servers, r.Volumes, r.Bytes)
	fmt.Fprintf(&b, "%-28s %12s %12s %8s\n", "", "direct", "through", "ratio")
	row := func(name string, direct, through float64) {
		fmt.Fprintf(&b, "%-28s %12.1f %12.1f %8.2f\n", name, direct, through, through/direct)
	}
	row("ops per second, saturated", r.Direct.Throughput, r.ThroughGateway.Throughput)
	row("p50, us", r.Direct.P50, r.ThroughGateway.P50)
	row("p99, us", r.Direct.P99, r.ThroughGateway.P99)
	row("allocations per op, total", r.Direct.Allocations, r.ThroughGateway.Allocations)
	fmt.Fprintf(&b, "\nat the gateway, per op: %.2f allocations, %.2f system calls, %.0f bytes copied, ",
		r.Op.Allocations, r.Op.SystemCalls, r.Op.Copied)
	fmt.Fprintf(&b, "%.1f us of processor time of its loop\n", r.Op.CPU)
	fmt.Fprintf(&b, "one core of the gateway handles %.0f ops per second; not succeeded: %d direct, %d through\n",
		r.PerCore, r.Direct.Unsuccessful, r.ThroughGateway.Unsuccessful)
	return b.String()
}
