package dns

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	mdns "github.com/miekg/dns"

	"honeyplank"
	"honeyplank/discovery"
)

const millisecondsPerSecond = 1000

// errNoCell means that the first label of a target does not follow the convention, or that the record has no port.
var errNoCell = errors.New("has no cell label or no port")

// listReader has the records of the list while it is read from one name server.
type listReader struct {
	*Client
	server    string
	addresses map[string][]netip.Addr // by target
	ttl       uint32                  // the shortest TTL of the records used, in seconds
	entries   []entry
	skipped   []string
}

// entry is an SRV record with its address.
type entry struct {
	node     discovery.Node
	priority uint16
}

// readList reads the SRV records and the addresses of their targets from one server. ttl is the shortest TTL in
// seconds. If one address cannot be read, the whole list fails: otherwise its server would appear to be removed.
func (c *Client) readList(server string) (update discovery.Update, ttl uint32, err error) {
	update = discovery.Update{Kind: honeyplank.Complete}
	answer, err := c.query(server, c.settings.Name, mdns.TypeSRV)
	var negative negativeError
	if errors.As(err, &negative) { // the list is empty
		return update, negative.ttl, nil
	}
	if err != nil {
		return update, 0, err
	}
	reader := &listReader{Client: c, server: server, addresses: map[string][]netip.Addr{}, ttl: math.MaxUint32}
	for _, record := range answer.Extra {
		reader.addAddress(record)
	}
	for _, record := range answer.Answer {
		if srv, ok := record.(*mdns.SRV); ok {
			if err := reader.addRecord(srv); err != nil {
				return update, 0, err
			}
		}
	}
	update.Nodes, update.Skipped = reader.selected(), reader.skipped
	return update, reader.ttl, nil
}

// addRecord adds an SRV record as an entry, or skips it.
func (r *listReader) addRecord(srv *mdns.SRV) error {
	r.ttl = min(r.ttl, srv.Hdr.Ttl)
	target := strings.ToLower(srv.Target)
	e, err := parseTarget(target, srv)
	if err != nil {
		r.skipped = append(r.skipped, err.Error())
		return nil
	}
	if err := r.queryAddress(target); err != nil {
		return err
	}
	if len(r.addresses[target]) == 0 {
		r.skipped = append(r.skipped, "discovery: "+target+" has no address")
		return nil
	}
	e.node.Address = netip.AddrPortFrom(r.addresses[target][0], srv.Port).String() // each target is one server
	r.entries = append(r.entries, e)
	return nil
}

// queryAddress queries the A records of a target, and then the AAAA records if there is no address yet.
func (r *listReader) queryAddress(target string) error {
	for _, recordType := range []uint16{mdns.TypeA, mdns.TypeAAAA} {
		if len(r.addresses[target]) > 0 {
			return nil
		}
		answer, err := r.query(r.server, target, recordType)
		var negative negativeError
		if errors.As(err, &negative) {
			r.ttl = min(r.ttl, negative.ttl)
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range answer.Answer {
			record.Header().Name = target // the record may belong to an alias of the target
			r.addAddress(record)
		}
	}
	return nil
}

// addAddress adds the address of an A or AAAA record under its owner name, and ignores other records.
func (r *listReader) addAddress(record mdns.RR) {
	var raw []byte
	switch a := record.(type) {
	case *mdns.A:
		raw = a.A.To4()
	case *mdns.AAAA:
		raw = a.AAAA.To16()
	}
	if ip, ok := netip.AddrFromSlice(raw); ok {
		name := strings.ToLower(record.Header().Name)
		r.addresses[name] = append(r.addresses[name], ip.Unmap())
		r.ttl = min(r.ttl, record.Header().Ttl)
	}
}

// selected returns the nodes of the entries that selectRecords selects.
func (r *listReader) selected() (nodes []discovery.Node) {
	candidates := make([]candidate, len(r.entries))
	for i, e := range r.entries {
		candidates[i] = candidate{
			server:   e.node.Address,
			cell:     e.node.Cell,
			priority: e.priority,
			draining: e.node.State == discovery.StateDraining,
		}
	}
	for _, i := range selectRecords(candidates) {
		nodes = append(nodes, r.entries[i].node)
	}
	return nodes
}

// targetLabel matches the first label of a target: a name, the cell, and optionally the zone and the start in Unix
// seconds.
var targetLabel = regexp.MustCompile(`^[a-z0-9-]*--c([0-9]{1,6})(?:-z([0-9]{1,4}))?(?:-t([0-9]{1,12}))?$`)

// parseTarget decodes a record and the first label of its target, which must be in lower case.
func parseTarget(target string, r *mdns.SRV) (e entry, err error) {
	label, _, _ := strings.Cut(target, ".")
	part := targetLabel.FindStringSubmatch(label)
	if part == nil || r.Port == 0 {
		return e, fmt.Errorf("discovery: target %.80s:%d %w", target, r.Port, errNoCell)
	}
	e.priority = r.Priority
	e.node.State, e.node.Size = discovery.StateOn, float64(r.Weight)
	if r.Weight == 0 {
		e.node.State = discovery.StateDraining
	}
	e.node.Cell, _ = strconv.Atoi(part[1]) // the pattern limits the digits; an omitted part is 0
	e.node.Zone, _ = strconv.Atoi(part[2])
	started, _ := strconv.ParseInt(part[3], 10, 64)
	e.node.StartedMS = millisecondsPerSecond * started
	return e, nil
}
