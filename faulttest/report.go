package faulttest

import (
	"fmt"
	"strings"
	"time"

	"honeyplank/audit"
	"honeyplank/gateway"
	"honeyplank/loadgen"
)

// Report is the result of a run. Each Service is the utility that was earned, as a share of the utility due.
type Report struct {
	Seed    int64           `json:"seed"`
	Rules   []audit.Verdict `json:"rules"`
	Kept    bool            `json:"kept"` // no rule was violated and WrongRemovals is 0
	OpTypes []OpTypeReport  `json:"op_types"`
	Service float64         `json:"service"`
	// The service of clients whose connections were damaged, and of all others; 0 if no connections were damaged.
	ServiceBehindFaultyWires float64 `json:"service_behind_faulty_wires,omitempty"`
	ServiceOfOthers          float64 `json:"service_of_others,omitempty"`
	// Leaked is the number of ops, dispatches and bytes that gateways still held after the clients had stopped.
	Leaked   int              `json:"leaked"`
	Gateways []gateway.Counts `json:"gateways"`
	// OverloadedServers is the number of disk servers that failed under load during their slow start.
	OverloadedServers int `json:"overloaded_servers"`
	// WrongRemovals is the number of samples in which a gateway had removed a disk server although both sources listed
	// it as up and the gateway did not keep it out because of flapping.
	WrongRemovals int     `json:"wrong_removals"`
	Samples       int     `json:"samples"` // one per disk server, gateway and sampling time
	Seconds       float64 `json:"seconds"` // duration of the run
}

// OpTypeReport is the result of the ops of one type.
type OpTypeReport struct {
	Name       string  `json:"name"`
	Ops        int     `json:"ops"`
	Attempts   int     `json:"attempts"`
	Succeeded  int     `json:"succeeded"`
	InTime     int     `json:"within_target_latency"`
	Rejected   int     `json:"rejected"`
	Failed     int     `json:"failed"`
	Lost       int     `json:"lost"`       // the connection ended before an answer
	Mismatches int     `json:"mismatches"` // reads whose bytes differ from those written
	Target     float64 `json:"target_latency_ms"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	Service    float64 `json:"service"`
}

// report returns the report of the run. The load must have stopped, and the loop must still be running.
func (r *run) report() *Report {
	report := &Report{
		Seed:          r.options.Seed,
		Kept:          r.wrongRemovals == 0,
		Samples:       r.samples,
		WrongRemovals: r.wrongRemovals,
	}
	for _, g := range r.gateways {
		counts, _ := g.Counts() // zero if the gateway has been killed
		report.Gateways = append(report.Gateways, counts)
		report.Leaked += counts.Unanswered + counts.Outstanding + counts.BufferedBytes
	}
	done := make(chan struct{})
	r.loop.Post(func() {
		defer close(done)
		r.reportLoad(report)
		for _, server := range r.servers {
			if server.Overloaded {
				report.OverloadedServers++
			}
		}
	})
	<-done
	report.Rules = r.log.Check(r.script)
	for _, verdict := range report.Rules {
		report.Kept = report.Kept && verdict.Kept
	}
	return report
}

// reportLoad adds the results of the clients to a report. It must be called on the loop.
func (r *run) reportLoad(report *Report) {
	var due, earned float64
	for i, name := range r.load.OpTypes() {
		tally := &r.load.ByType[i]
		due, earned = due+tally.Due, earned+tally.Earned
		target := r.script.OpTypes[i].TargetLatency.Duration()
		report.OpTypes = append(report.OpTypes, reportOpType(name, target, tally))
	}
	report.Service = ratio(earned, due)
	if behind := r.load.CountedSeparately; behind.Due > 0 {
		report.ServiceBehindFaultyWires = behind.Earned / behind.Due
		report.ServiceOfOthers = (earned - behind.Earned) / (due - behind.Due)
	}
}

func reportOpType(name string, target time.Duration, tally *loadgen.Tally) OpTypeReport {
	return OpTypeReport{
		Name:       name,
		Ops:        tally.Ops,
		Attempts:   tally.Attempts,
		Succeeded:  tally.Succeeded,
		InTime:     tally.InTime,
		Rejected:   tally.Rejected,
		Failed:     tally.Failed,
		Lost:       tally.Lost,
		Mismatches: tally.Mismatches,
		Target:     milliseconds(target),
		P50:        milliseconds(tally.Quantile(0.5)),
		P99:        milliseconds(tally.Quantile(0.99)),
		Service:    ratio(tally.Earned, tally.Due),
	}
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// String returns the report as text, with the verdicts and a table of the op types.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %.0f s; all figures are of fakes\n\n", r.Seed, r.Seconds)
	for _, verdict := range r.Rules {
		b.WriteString(verdictLine(verdict))
	}
	fmt.Fprintf(&b, "\n%-12s %6s %8s %9s %8s %8s %6s %5s %10s %9s %9s %9s %8s\n", "op type", "ops", "attempts",
		"succeeded", "in time", "rejected", "failed", "lost", "mismatches", "target ms", "p50 ms", "p99 ms", "service")
	for _, t := range r.OpTypes {
		fmt.Fprintf(&b, "%-12s %6d %8d %9d %8d %8d %6d %5d %10d %9.0f %9.1f %9.1f %8.3f\n", t.Name, t.Ops, t.Attempts,
			t.Succeeded, t.InTime, t.Rejected, t.Failed, t.Lost, t.Mismatches, t.Target, t.P50, t.P99, t.Service)
	}
	fmt.Fprintf(&b, "\nservice (utility earned of what was due) %.3f; disk servers overloaded in slow start: %d\n",
		r.Service, r.OverloadedServers)
	if r.ServiceOfOthers > 0 {
		fmt.Fprintf(&b, "service of clients behind faulty wires %.3f, of the others %.3f\n",
			r.ServiceBehindFaultyWires, r.ServiceOfOthers)
	}
	if r.Samples > 0 {
		fmt.Fprintf(&b, "removed though both sources listed it as up: %d of %d samples\n", r.WrongRemovals, r.Samples)
	}
	return b.String()
}

func verdictLine(v audit.Verdict) string {
	result := "kept"
	if !v.Kept {
		result = fmt.Sprintf("BROKEN %d times", v.Violations)
	}
	line := fmt.Sprintf("rule %d  %-50s %s (%d cases)", v.Rule, v.Name, result, v.Checked)
	if v.Evidence != "" {
		line += "; " + v.Evidence
	}
	return line + "\n"
}
