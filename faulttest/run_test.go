package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"honeyplank/settings"
)

// parseScript parses a built-in script and sets its duration.
func parseScript(t *testing.T, text []byte, length time.Duration) *settings.Gateway {
	t.Helper()
	script, err := settings.Parse("built-in script", text)
	if err != nil {
		t.Fatal(err)
	}
	script.FaultTest.Duration = settings.Span(length)
	return script
}

// shortScript returns a script with the fleet and traffic of BadDay, and with the given duration and faults.
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

// TestRulesKeptUnderFaults injects crashes, drains, failures, lost answers, load spikes and a gateway restart with the
// regular decision module. The run must keep and check every rule, and reads must return the bytes that were written.
func TestRulesKeptUnderFaults(t *testing.T) {
	for seed := range int64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			script := shortScript(t, 7*time.Second,
				fault("fail", 200*time.Millisecond, 800*time.Millisecond, 2, 0.8), // for retries, which rule 6 checks
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

// TestRulesKeptWithFaultySources injects faults of etcd and DNS while disk servers drain, are replaced and crash. Every
// rule must be kept, and no gateway may remove a disk server that both sources list as up.
func TestRulesKeptWithFaultySources(t *testing.T) {
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

// TestRulesKeptWithDamagedConnections applies every kind of damage to the connections of some clients and disk servers.
// Ops on undamaged connections must be answered, nothing may leak and no read may return wrong bytes. The service of
// clients with undamaged connections must be at least 0.8, and no lower than that of the other clients.
func TestRulesKeptWithDamagedConnections(t *testing.T) {
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
			t.Errorf("%s: %d reads returned bytes that differ from those written", x.Name, x.Mismatches)
		}
	}
	if !report.Kept || report.Leaked > 0 || lost == 0 {
		t.Errorf("%d ops lost (want some), %d leaked (want 0); %v", lost, report.Leaked, report)
	}
	behind, others := report.ServiceBehindFaultyWires, report.ServiceOfOthers
	if behind == 0 || others < behind || others < 0.8 {
		t.Errorf("service %v of clients behind faulty wires, %v of the others; %v", behind, others, report)
	}
}
