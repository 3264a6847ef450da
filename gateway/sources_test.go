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

// TestServerReplaced stops etcd and restarts it with a disk server replaced: ops that were queued for the old server
// must be dispatched to the new one.
func TestServerReplaced(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	var fresh *disk.Server
	h.onLoop(func() {
		h.disks[1].Kill()
		fresh = h.addDisk(1)
		h.deregister(fresh.Address())
	})
	h.etcd.SetUnavailable(true)
	queued := h.submit(client, nvme.NewRW(nvme.Read, 2, 7, 1), nil)
	h.deregister(h.disks[1].Address())
	h.register(fresh.Address(), 1, "on")
	h.etcd.SetUnavailable(false)
	if r := <-queued; r.lost {
		t.Error("a queued op got no answer")
	}
	h.eventually("served by the replacement", func() bool {
		data, status := h.do(client, nvme.NewRW(nvme.Read, 2, 9, 1), nil)
		return status == nvme.Success && data[8] == 9
	})
	h.eventually("an op was queued until the gateway was notified of the replacement", func() bool {
		return queuedOpMoves(h, client, fresh.Address())
	})
}

// queuedOpMoves sends an op while no server holds cell 1 and then registers a replacement. The op must be served if
// it is still unanswered when the gateway is notified of the replacement. If the op has timed out by then, the attempt
// is inconclusive and the result is false.
func queuedOpMoves(h *harness, client *initiator.Association, replacement string) bool {
	h.t.Helper()
	h.deregister(replacement)
	h.eventually("no server holds the cell", func() bool {
		return (<-h.submit(client, nvme.NewRW(nvme.Read, 2, 9, 1), nil)).status != nvme.Success
	})
	moved := h.submit(client, nvme.NewRW(nvme.Read, 2, 11, 1), nil)
	h.eventually("the op is queued", func() bool { return h.counts().Unanswered > 0 || len(moved) > 0 })
	h.register(replacement, 1, "on")
	h.eventually("the replacement is up", func() bool {
		node, ok := h.node(replacement)
		return ok && node.State == "on"
	})
	unanswered := h.counts().Unanswered > 0
	r := <-moved
	served := r.status == nvme.Success && r.data[8] == 11
	if unanswered && !served {
		h.t.Errorf("the queued op was not served by the replacement: status %#x", r.status)
	}
	return unanswered || served
}

// TestMassReregistration registers a thousand nodes within a second, twice: ops must be served meanwhile, and all nodes
// must be up afterwards.
func TestMassReregistration(t *testing.T) {
	h := newHarness(t)
	client := h.connect("client")
	for round := range 2 {
		began := time.Now()
		for i := range 1000 {
			h.register(fmt.Sprintf("127.0.9.%d:%d", i%250, 8000+i/250), 100+i, "on")
			if i%100 == 0 {
				if _, status := h.do(client, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
					t.Errorf("op after %d registrations: status %#x, want success", i, status)
				}
			}
		}
		t.Logf("round %d: a thousand nodes registered in %v", round, time.Since(began))
	}
	h.eventually("all nodes are up", func() bool { return nodesUp(h) == 1002 })
}

// nodesUp returns the number of nodes that are up.
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

// addDNS adds a name server as a source in addition to etcd, polled for _h._tcp.x. at short intervals.
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

// TestMassRemoval deletes every key in etcd one by one, as happens when leases expire together, while DNS still lists
// the servers: no server must be removed. A drain in DNS alone must then affect that server only.
func TestMassRemoval(t *testing.T) {
	nameServer := newNameServer(t)
	h := newHarness(t, func(s *settings.Gateway) { addDNS(s, nameServer.Address()) })
	records := diskRecords(h)
	nameServer.SetRecords(1, records)
	states := func() string { return mergedAndDNSStates(h) }
	h.eventually("both sources have reported", func() bool { return states() == "on on;on on;" })
	for _, d := range h.disks {
		h.deregister(d.Address())
	}
	client := h.connect("client")
	for i := range 60 { // for twice the time after which a removal is confirmed
		if _, status := h.do(client, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Fatalf("op %d after all keys were deleted: status %#x, want success; states %s", i, status, states())
		}
		time.Sleep(10 * time.Millisecond)
	}
	for cell, d := range h.disks {
		h.register(d.Address(), cell, "on")
	}
	records[1].Weight = 0
	nameServer.SetRecords(1, records)
	h.eventually("the drain in DNS takes effect", func() bool { return states() == "on on;draining draining;" })
	if _, status := h.do(client, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status == nvme.Success {
		t.Error("an op was dispatched to a server that drains in DNS")
	}
	if _, status := h.do(client, nvme.NewRW(nvme.Read, 1, 1, 1), nil); status != nvme.Success {
		t.Errorf("op on the other server: status %#x, want success", status)
	}
}

// newNameServer starts a fake name server for _h._tcp.x., which is closed when the test ends.
func newNameServer(t *testing.T) *dns.Server {
	t.Helper()
	nameServer, err := dns.New("_h._tcp.x.")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nameServer.Close)
	return nameServer
}

// diskRecords returns a DNS record for each disk server of the harness.
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

// mergedAndDNSStates returns, for each disk server, the merged state and the state that DNS reports, both at the same
// point in time.
func mergedAndDNSStates(h *harness) (text string) {
	nodes, _ := h.gateway.Nodes()
	for _, d := range h.disks {
		if node, ok := findNode(nodes, d.Address()); ok {
			text += node.State + " " + strings.SplitN(node.DNS, " ", 2)[0] + ";"
		}
	}
	return text
}
