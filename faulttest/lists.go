package faulttest

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"honeyplank/discovery"
	"honeyplank/fake/dns"
)

// States of a disk server in the audit's record and in the list of etcd.
const (
	stateOn       = "on"
	stateDraining = "draining"
	stateGone     = "gone"
)

// Sources of the endpoint list, as the audit names them.
const (
	sourceEtcd = "etcd"
	sourceDNS  = "dns"
)

const (
	recordTTL      = 1 // of the records in DNS, in seconds
	weightUp       = 1 // of the SRV record of a server that is up
	weightDraining = 0 // and of one that is draining
)

// list enters the disk server of a cell in etcd and in DNS, with its state.
func (r *run) list(cell int, state string) {
	server := r.serverOfCell[cell]
	record := discovery.Record{State: state, Size: float64(r.diskModel.Cores), Zone: zoneOf(cell), Cell: cell}
	if server.Started > 0 {
		record.StartedMS = r.loop.WallTime(server.Started).UnixMilli()
	}
	value, err := json.Marshal(record)
	if err != nil {
		r.injected = err
		return
	}
	r.etcd.Set(r.script.EndpointList.Prefix+server.Address(), value)
	weight := uint16(weightUp)
	if state != stateOn {
		weight = weightDraining
	}
	r.listInDNS(cell, weight)
}

// listInDNS enters the disk server of a cell in DNS.
func (r *run) listInDNS(cell int, weight uint16) {
	server := r.serverOfCell[cell]
	address := netip.MustParseAddrPort(server.Address())
	label := fmt.Sprintf("n%d--c%d-z%d", address.Port(), cell, zoneOf(cell))
	if server.Started > 0 {
		label += fmt.Sprintf("-t%d", r.loop.WallTime(server.Started).Unix())
	}
	r.dnsRecords[server.Address()] = dns.Record{
		Target: label + ".storage.example.",
		IP:     address.Addr().String(),
		Port:   address.Port(),
		Weight: weight,
	}
	r.publishDNS()
}

// unlist removes a disk server from etcd and DNS.
func (r *run) unlist(address string) {
	r.etcd.Delete(r.script.EndpointList.Prefix + address)
	delete(r.dnsRecords, address)
	r.publishDNS()
}

// publishDNS has the name servers answer with the records as they are now, unless DNS is frozen.
func (r *run) publishDNS() {
	if r.dnsFrozen {
		return
	}
	var records []dns.Record
	for _, record := range r.dnsRecords {
		records = append(records, record)
	}
	for _, server := range r.nameServers {
		server.SetRecords(recordTTL, records)
	}
}

// recordEtcdNotice records for the audit what etcd has sent to a gateway. Any goroutine may call it.
func (r *run) recordEtcdNotice(agent, key string, value []byte) {
	r.mu.Lock()
	gateway, known := r.gatewaysByNQN[agent]
	r.mu.Unlock()
	if !known {
		return
	}
	state, started := stateGone, time.Time{}
	var record discovery.Record
	if len(value) > 0 && json.Unmarshal(value, &record) == nil {
		state = record.State
		if record.StartedMS > 0 {
			started = time.UnixMilli(record.StartedMS)
		}
	}
	r.log.Notified(gateway, sourceEtcd, strings.TrimPrefix(key, r.script.EndpointList.Prefix), state, started)
}

// dnsNoticeRecorder returns a function that tells the audit what the answers of a name server tell its gateway. By
// the rule of docs/sources.md a server is removed when an answer lacks it together with no more than a share of those
// of the answer before.
func (r *run) dnsNoticeRecorder(gateway int) func([]dns.Record) {
	before := map[string]bool{} // addresses of the last answer that counted
	return func(records []dns.Record) {
		now := map[string]bool{}
		for _, record := range records {
			address := fmt.Sprintf("%s:%d", record.IP, record.Port)
			now[address] = true
			r.log.Notified(gateway, sourceDNS, address, dnsState(record), startOfTarget(record.Target))
		}
		var missing []string
		for address := range before {
			if !now[address] {
				missing = append(missing, address)
			}
		}
		if float64(len(missing)) > r.script.EndpointList.SourceTrust.MaxRemovedShare*float64(len(before)) {
			return // unconfirmed: what was listed before stays
		}
		for _, address := range missing {
			r.log.Notified(gateway, sourceDNS, address, stateGone, time.Time{})
		}
		before = now
	}
}

func dnsState(record dns.Record) string {
	if record.Weight == weightDraining {
		return stateDraining
	}
	return stateOn
}

// startOfTarget returns the start that the first label of an SRV target names (docs/dns.md); the zero time: none.
func startOfTarget(target string) time.Time {
	label, _, _ := strings.Cut(target, ".")
	_, text, ok := strings.Cut(label, "-t")
	if !ok {
		return time.Time{}
	}
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(seconds, 0)
}
