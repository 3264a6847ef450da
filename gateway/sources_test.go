package gateway_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// TestServerReplaced stops etcd and restarts it with a server replaced: ops queued for the old one move.
func TestServerReplaced(t *testing.T) {
	h := newHarness(t)
	a := h.connect("client")
	var fresh *disk.Server
	h.onLoop(func() {
		h.disks[1].Kill()
		fresh = h.addDisk(1)
		h.deregister(fresh.Address())
	})
	h.etcd.SetUnavailable(true)
	queued := h.submit(a, nvme.NewRW(nvme.Read, 2, 7, 1), nil)
	h.deregister(h.disks[1].Address())
	h.register(fresh.Address(), 1, "on")
	h.etcd.SetUnavailable(false)
	if r := <-queued; r.lost {
		t.Error("a queued op was lost")
	}
	h.eventually("served by the replacement", func() bool {
		data, status := h.do(a, nvme.NewRW(nvme.Read, 2, 9, 1), nil)
		return status == nvme.Success && data[8] == 9
	})
	h.eventually("an op was queued until the gateway was notified of the replacement", func() bool {
		return queuedOpMoves(h, a, fresh.Address())
	})
}

// queuedOpMoves sends an op while no server holds cell 1 and then registers a replacement. The op must be served if
// it is still unanswered when the gateway is notified of the replacement. An op that has timed out by then shows
// nothing: the result is false.
func queuedOpMoves(h *harness, client *initiator.Association, replacement string) bool {
	h.t.Helper()
	h.deregister(replacement)
	h.eventually("no server holds the cell", func() bool {
		return (<-h.submit(client, nvme.NewRW(nvme.Read, 2, 9, 1), nil)).status != nvme.Success
	})
	moved := h.submit(client, nvme.NewRW(nvme.Read, 2, 11, 1), nil)
	h.eventually("the op waits", func() bool { return h.counts().Unanswered > 0 || len(moved) > 0 })
	h.register(replacement, 1, "on")
	h.eventually("the replacement is up", func() bool {
		node, ok := h.node(replacement)
		return ok && node.State == "on"
	})
	unanswered := h.counts().Unanswered > 0
	r := <-moved
	served := r.status == nvme.Success && r.data[8] == 11
	if unanswered && !served {
		h.t.Errorf("the queued op did not move: %#x", r.status)
	}
	return unanswered || served
}

// TestMassReregistration has a thousand nodes register again within a second, twice; ops go on, and the list is right.
func TestMassReregistration(t *testing.T) {
	h := newHarness(t)
	a := h.connect("client")
	for round := range 2 {
		began := time.Now()
		for i := range 1000 {
			h.register(fmt.Sprintf("127.0.9.%d:%d", i%250, 8000+i/250), 100+i, "on")
			if i%100 == 0 {
				if _, status := h.do(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
					t.Errorf("op while %d nodes register: %#x", i, status)
				}
			}
		}
		t.Logf("round %d: a thousand registered in %v", round, time.Since(began))
	}
	h.eventually("all are up", func() bool { return nodesUp(h) == 1002 })
}

// nodesUp returns how many nodes are up.
func nodesUp(h *harness) int {
	nodes, _ := h.gateway.Nodes()
	up := 0
	for _, node := range nodes {
		if node.State == "on" {
			up++
		}
	}
	return up
}

// addDNS adds a name server as a source beside etcd, polled for _h._tcp.x. at short intervals.
func addDNS(s *settings.Gateway, address string) {
	s.EndpointList.DNS = &settings.DNSSource{
		Name:        "_h._tcp.x.",
		MinInterval: settings.Span(50 * time.Millisecond),
		MaxInterval: settings.Span(100 * time.Millisecond),
		Timeout:     settings.Span(time.Second),
	}
	s.EndpointList.DNS.Servers = []settings.NameServer{{Address: address}}
	s.EndpointList.SourceTrust = &settings.SourceTrust{
		MaxRemovedShare: 0.4,
		ConfirmAfter:    settings.Span(300 * time.Millisecond),
		FlapWindow:      settings.Span(time.Second),
		FlapThreshold:   9,
	}
}

// TestMassRemoval has every key in etcd go, one by one, as leases do that run out together, while DNS holds the
// servers on: no server is removed. A drain in DNS alone then takes out that server only.
func TestMassRemoval(t *testing.T) {
	names := newNameServer(t)
	h := newHarness(t, func(s *settings.Gateway) { addDNS(s, names.Address()) })
	records := diskRecords(h)
	names.SetRecords(1, records)
	states := func() string { return mergedAndDNSStates(h) }
	h.eventually("both sources have reported", func() bool { return states() == "on on;on on;" })
	for _, d := range h.disks {
		h.deregister(d.Address())
	}
	a := h.connect("client")
	for i := range 60 { // for twice the time that confirms a removal
		if _, status := h.do(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Fatalf("op %d after etcd emptied: %#x; %s", i, status, states())
		}
		time.Sleep(10 * time.Millisecond)
	}
	for cell, d := range h.disks {
		h.register(d.Address(), cell, "on")
	}
	records[1].Weight = 0
	names.SetRecords(1, records)
	h.eventually("the drain in DNS", func() bool { return states() == "on on;draining draining;" })
	if _, status := h.do(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status == nvme.Success {
		t.Error("work for a server that DNS drains")
	}
	if _, status := h.do(a, nvme.NewRW(nvme.Read, 1, 1, 1), nil); status != nvme.Success {
		t.Errorf("the other server: %#x", status)
	}
}

// newNameServer starts a fake name server for _h._tcp.x., which ends with the test.
func newNameServer(t *testing.T) *dns.Server {
	t.Helper()
	names, err := dns.New("_h._tcp.x.")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	return names
}

// diskRecords returns a record of each disk server of the harness.
func diskRecords(h *harness) []dns.Record {
	var records []dns.Record
	for cell, d := range h.disks {
		records = append(records, dns.Record{
			Target: fmt.Sprintf("a%d--c%d.x.", cell, cell),
			IP:     "127.0.0.1",
			Port:   netip.MustParseAddrPort(d.Address()).Port(),
			Weight: 1,
		})
	}
	return records
}

// mergedAndDNSStates returns the merged state of each disk server and the one that DNS reports, of one moment.
func mergedAndDNSStates(h *harness) (text string) {
	nodes, _ := h.gateway.Nodes()
	for _, d := range h.disks {
		if node, ok := findNode(nodes, d.Address()); ok {
			text += node.State + " " + strings.SplitN(node.DNS, " ", 2)[0] + ";"
		}
	}
	return text
}
