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

// States of a disk server in the audit's log and in etcd.
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
	recordTTL      = 1 // of DNS records, in seconds
	weightUp       = 1 // of the SRV record of an available server
	weightDraining = 0 // of the SRV record of a draining server
)

// updateList writes the state of a cell's disk server to etcd and DNS.
func (r *run) updateList(cell int, state string) {
	server := r.serverOfCell[cell]
	record := discovery.Record{State: state, Size: float64(r.diskModel.Cores), Zone: zoneOf(cell), Cell: cell}
	if server.Started > 0 {
		record.StartedMS = r.loop.WallTime(server.Started).UnixMilli()
	}
	value, err := json.Marshal(record)
	if err != nil {
		r.injectionErr = err
		return
	}
	r.etcd.Set(r.script.EndpointList.Prefix+server.Address(), value)
	weight := uint16(weightUp)
	if state != stateOn {
		weight = weightDraining
	}
	r.updateDNSRecord(cell, weight)
}

// updateDNSRecord writes the DNS record of a cell's disk server.
func (r *run) updateDNSRecord(cell int, weight uint16) {
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

// removeFromList removes a disk server from etcd and DNS.
func (r *run) removeFromList(address string) {
	r.etcd.Delete(r.script.EndpointList.Prefix + address)
	delete(r.dnsRecords, address)
	r.publishDNS()
}

// publishDNS makes the name servers answer with the current records, unless dnsFrozen is set.
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

// recordEtcdNotice records in the audit's log a key and value that etcd sends to a gateway. agent is the user agent of
// the client, which is the host NQN of a gateway. An empty or malformed value means that the disk server is gone. Any
// goroutine may call it.
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

// dnsNoticeRecorder returns a function that records the answers of a gateway's name server in the audit's log. It
// applies the rule of docs/sources.md: the servers that are missing from an answer count as gone only if they make up
// at most MaxRemovedShare of the servers in the last accepted answer. Otherwise the answer is not accepted.
func (r *run) dnsNoticeRecorder(gateway int) func([]dns.Record) {
	before := map[string]bool{} // the addresses in the last accepted answer
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
			return // unconfirmed: the servers of the last accepted answer stay
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

// startOfTarget returns the start time in the first label of an SRV target (docs/dns.md), or the zero time if there is
// none.
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
