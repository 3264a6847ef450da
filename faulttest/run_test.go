package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"honeyplank/settings"
)

// parseScript reads a built-in script and changes its length.
func parseScript(t *testing.T, text []byte, length time.Duration) *settings.Gateway {
	t.Helper()
	script, err := settings.Parse("built-in script", text)
	if err != nil {
		t.Fatal(err)
	}
	script.FaultTest.Duration = settings.Span(length)
	return script
}

// shortScript is the bad day's fleet and traffic for some seconds, with these faults.
func shortScript(t *testing.T, length time.Duration, faults ...settings.Fault) *settings.Gateway {
	t.Helper()
	script := parseScript(t, BadDay, length)
	script.FaultTest.Faults = faults
	return script
}

func fault(kind string, start, duration time.Duration, count int, factor float64) settings.Fault {
	return settings.Fault{
		Kind:     kind,
		Start:    settings.Span(start),
		Duration: settings.Span(duration),
		Count:    count,
		Factor:   factor,
	}
}

// TestKept plays some faults with the module as it is: every rule is kept, and every rule was checked.
func TestKept(t *testing.T) {
	for seed := range int64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			script := shortScript(t, 7*time.Second,
				fault("fail", 200*time.Millisecond, 800*time.Millisecond, 2, 0.8), // retries: rule 6 has cases
				fault("die", 500*time.Millisecond, 1200*time.Millisecond, 2, 0),
				fault("surge", time.Second, 2*time.Second, 3, 6),
				fault("lose-answers", 2*time.Second, time.Second, 2, 0.3),
				fault("drain", 3*time.Second, time.Second, 1, 0),
				fault("cut", 4*time.Second, time.Second, 2, 0),
				fault("gateway-restart", 5*time.Second, 500*time.Millisecond, 1, 0))
			report, err := Run(context.Background(), Options{Seed: seed, Script: script})
			if err != nil {
				t.Fatal(err)
			}
			if !report.Kept || report.OverloadedServers > 0 {
				t.Errorf("%v", report)
			}
			for _, v := range report.Rules {
				if v.Checked == 0 {
					t.Errorf("rule %d was not checked", v.Rule)
				}
			}
			for _, x := range report.OpTypes {
				if x.Mismatches > 0 || x.Succeeded == 0 {
					t.Errorf("%s: %d succeeded, %d mismatches", x.Name, x.Succeeded, x.Mismatches)
				}
			}
		})
	}
}

// TestSources plays the first part of the day on which both sources misbehave.
func TestSources(t *testing.T) {
	t.Parallel()
	script := parseScript(t, Sources, 9*time.Second)
	script.FaultTest.Faults = []settings.Fault{
		fault("dns-drain", 500*time.Millisecond, 3*time.Second, 1, 0),
		fault("dns-empty", time.Second, 2*time.Second, 0, 0),
		fault("list-compacted", 1500*time.Millisecond, 2*time.Second, 1, 0),
		fault("list-mute", 4*time.Second, 3*time.Second, 0, 0),
		fault("dns-truncated", 4*time.Second, 2*time.Second, 0, 0),
		fault("drain", 4200*time.Millisecond, time.Second, 1, 0),
		fault("gateway-restart", 5*time.Second, 300*time.Millisecond, 1, 0),
		fault("dns-lies", 6*time.Second, 2*time.Second, 0, 0),
		fault("die", 6500*time.Millisecond, time.Second, 1, 0),
	}
	report, err := Run(context.Background(), Options{Script: script, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	if !report.Kept || report.Samples == 0 || report.WrongRemovals > 0 || report.Rules[2].Checked == 0 {
		t.Errorf("%v", report)
	}
}

// TestWires damages in every way what crosses between some clients, disk servers and the gateways: every sound op is
// answered, nothing leaks, no read has wrong bytes, and the clients whose connections are sound hardly notice.
func TestWires(t *testing.T) {
	t.Parallel()
	script := parseScript(t, Wires, 9*time.Second)
	for i := range script.FaultTest.Faults {
		f := &script.FaultTest.Faults[i]
		f.Start = settings.Span(time.Duration(i) * 1500 * time.Millisecond)
		f.Duration = settings.Span(1200 * time.Millisecond)
		f.Factor = 0.06
	}
	report, err := Run(context.Background(), Options{Script: script, Seed: 11})
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for _, x := range report.OpTypes {
		lost += x.Lost
		if x.Mismatches > 0 {
			t.Errorf("%s: %d with other bytes than were written", x.Name, x.Mismatches)
		}
	}
	if !report.Kept || report.Leaked > 0 || lost == 0 {
		t.Errorf("%d lost, %d leaked; %v", lost, report.Leaked, report)
	}
	behind, others := report.ServiceBehindFaultyWires, report.ServiceOfOthers
	if behind == 0 || others < behind || others < 0.8 {
		t.Errorf("service %v behind faulty wires, %v of the others; %v", behind, others, report)
	}
}
