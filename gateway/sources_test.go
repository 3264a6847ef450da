package gateway_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/gateway"
	"honeyplank/nvme"
	"honeyplank/settings"
)

// TestListReturns takes the list away and brings it back with a server replaced: ops held for the old one move.
func TestListReturns(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	var fresh *disk.Server
	w.on(func() {
		w.disks[1].Die()
		fresh = w.add(1)
		w.etcd.Delete("/honeyplank/nodes/" + fresh.Address())
	})
	w.etcd.Down(true)
	held := w.submit(a, nvme.NewRW(nvme.Read, 2, 7, 1), nil)
	w.etcd.Delete("/honeyplank/nodes/" + w.disks[1].Address())
	w.list(fresh.Address(), 1, "on")
	w.etcd.Down(false)
	if r := <-held; r.lost {
		t.Error("a held op was lost")
	}
	w.eventually("served by the replacement", func() bool {
		data, status := w.op(a, nvme.NewRW(nvme.Read, 2, 9, 1), nil)
		return status == nvme.Success && data[8] == 9
	})
	// An op that waits while its server is replaced moves: nobody holds cell 1 for a moment. It must be served where it is
	// still owed once the gateway has heard of the replacement. One whose time was over by then shows nothing.
	w.eventually("an op was held until the gateway heard of the replacement", func() bool {
		w.etcd.Delete("/honeyplank/nodes/" + fresh.Address())
		w.eventually("nobody holds the cell", func() bool { return (<-w.submit(a, nvme.NewRW(nvme.Read, 2, 9, 1), nil)).status != nvme.Success })
		moved := w.submit(a, nvme.NewRW(nvme.Read, 2, 11, 1), nil)
		w.eventually("the op waits", func() bool { return w.counts().Open > 0 || len(moved) > 0 })
		w.list(fresh.Address(), 1, "on")
		w.eventually("the replacement is believed", func() bool {
			nodes, _ := w.g.Nodes()
			return slices.ContainsFunc(nodes, func(n gateway.Node) bool { return n.OSD == fresh.Address() && n.Believed == "on" })
		})
		owed := w.counts().Open > 0
		r := <-moved
		served := r.status == nvme.Success && r.data[8] == 11
		if owed && !served {
			t.Errorf("the held op did not move: %#x", r.status)
		}
		return owed || served
	})
}

// TestReregistered has a thousand nodes register anew within a second, twice; ops go on, and the list is right.
func TestReregistered(t *testing.T) {
	w := start(t)
	a := w.dial("client")
	for round := range 2 {
		began := time.Now()
		for i := range 1000 {
			w.list(fmt.Sprintf("127.0.9.%d:%d", i%250, 8000+i/250), 100+i, "on")
			if i%100 == 0 {
				if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
					t.Errorf("op while %d nodes register: %#x", i, status)
				}
			}
		}
		t.Logf("round %d: a thousand registered in %v", round, time.Since(began))
	}
	w.eventually("all are believed on", func() bool {
		list, _ := w.g.Nodes()
		on := 0
		for _, n := range list {
			if n.Believed == "on" {
				on++
			}
		}
		return on == 1002
	})
}

// asksDNS has the settings ask a name server for _h._tcp.x. beside etcd, very often.
func asksDNS(s *settings.Gateway, address string) {
	s.List.DNS = &settings.NameService{Name: "_h._tcp.x.", Floor: settings.Span(50 * time.Millisecond), Ceiling: settings.Span(100 * time.Millisecond), Timeout: settings.Span(time.Second)}
	s.List.DNS.Servers = append(s.List.DNS.Servers, struct {
		Address string `xml:"address,attr"`
	}{address})
	s.List.Believe = &settings.Believe{Vanish: 0.4, Confirm: settings.Span(300 * time.Millisecond), Calm: settings.Span(time.Second), Flaps: 9}
}

// TestBulkLoss has every key in etcd go, one by one, as leases do that run out together, while DNS holds the
// servers on: the fleet is not taken away. A drain told by DNS alone then takes one server out, and it alone.
func TestBulkLoss(t *testing.T) {
	names, err := dns.New("_h._tcp.x.")
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	var records []dns.Record
	w := start(t, func(s *settings.Gateway) {
		asksDNS(s, names.Address())
	})
	for cell, d := range w.disks {
		at := netip.MustParseAddrPort(d.Address())
		records = append(records, dns.Record{Target: fmt.Sprintf("a%d--c%d.x.", cell, cell), IP: "127.0.0.1", Port: at.Port(), Weight: 1})
	}
	names.Set(1, records)
	believed := func() (text string) {
		list, _ := w.g.Nodes()
		for _, d := range w.disks {
			for _, n := range list {
				if n.OSD == d.Address() {
					text += n.Believed + " " + strings.SplitN(n.DNS, " ", 2)[0] + ";"
				}
			}
		}
		return text
	}
	w.eventually("both sources are heard", func() bool { return believed() == "on on;on on;" })
	for _, d := range w.disks {
		w.etcd.Delete("/honeyplank/nodes/" + d.Address())
	}
	a := w.dial("client")
	for i := range 60 { // for twice as long as it takes to confirm
		if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, uint64(i), 1), nil); status != nvme.Success {
			t.Fatalf("op %d after etcd emptied: %#x; %s", i, status, believed())
		}
		time.Sleep(10 * time.Millisecond)
	}
	for cell, d := range w.disks {
		w.list(d.Address(), cell, "on")
	}
	records[1].Weight = 0
	names.Set(1, records)
	w.eventually("the drain told by DNS", func() bool { return believed() == "on on;draining draining;" })
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 2, 1, 1), nil); status == nvme.Success {
		t.Error("work for a server that DNS drains")
	}
	if _, status := w.op(a, nvme.NewRW(nvme.Read, 1, 1, 1), nil); status != nvme.Success {
		t.Errorf("the other server: %#x", status)
	}
}
