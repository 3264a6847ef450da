// Package dns follows the list of disk servers in DNS SRV records. docs/dns.md has the convention of the records.
package dns

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	mdns "github.com/miekg/dns"

	"honeyplank"
	"honeyplank/discovery"
)

// Settings say whom to ask for what. docs/dns.md gives the convention of the records.
type Settings struct {
	Servers     []string // name servers, asked in turn
	Name        string   // owner of the SRV records
	MinInterval time.Duration
	MaxInterval time.Duration // bounds of a record's lifetime, whatever it says
	Timeout     time.Duration // for one exchange
	Seed        int64         // of the jitter
}

// Client is the list in DNS. News comes on its own goroutine, in order, and none after Close: Whole for an answer,
// also a negative one, Refused for a failure. What was known then still holds; that is for its hearer to keep.
type Client struct {
	t       Settings
	tell    func(discovery.Update)
	asker   *resolver
	ask     func(server, name string, kind uint16) (*mdns.Msg, error)
	cancel  context.CancelFunc
	running sync.WaitGroup
	Queries int // sent so far; read after Close
}

// New starts asking.
func New(t Settings, tell func(discovery.Update)) *Client {
	t.Name = mdns.Fqdn(t.Name)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Client{t: t, tell: tell, cancel: cancel}
	d.asker = newResolver(resolverSettings{Servers: len(t.Servers), MinInterval: t.MinInterval, MaxInterval: t.MaxInterval, Seed: t.Seed})
	d.ask = func(server, name string, kind uint16) (*mdns.Msg, error) { return d.exchange(ctx, server, name, kind) }
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		d.run(ctx)
	}()
	return d
}

// Close ends it and waits for the exchange under way.
func (d *Client) Close() {
	d.cancel()
	d.running.Wait()
}

// run asks as the resolver says, and tells the outcome of each round.
func (d *Client) run(ctx context.Context) {
	start := time.Now()
	var failures error
	for {
		next := d.asker.Next()
		wait := time.NewTimer(next.At - time.Since(start))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		server := d.t.Servers[next.Server]
		news, life, err := d.list(server)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("members: %s asked for %s: %w", server, d.t.Name, err))
			if !d.asker.Failed(time.Since(start)) {
				continue
			}
			news = discovery.Update{Kind: honeyplank.WatchFailed, Err: failures}
		} else {
			d.asker.Answered(time.Since(start), time.Duration(life)*time.Second)
		}
		failures = nil
		d.tell(news)
	}
}

// errNegative tells that a name has no such records; life is for how long that may be believed.
type errNegative struct{ life uint32 }

func (errNegative) Error() string { return "there are no such records" }

// list gets the SRV records and the addresses of their targets from one server, with the shortest lifetime.
func (d *Client) list(server string) (discovery.Update, uint32, error) {
	news := discovery.Update{Kind: honeyplank.Complete}
	m, err := d.ask(server, d.t.Name, mdns.TypeSRV)
	var negative errNegative
	if errors.As(err, &negative) { // an answer: there is none
		return news, negative.life, nil
	}
	if err != nil {
		return news, 0, err
	}
	life := ^uint32(0)
	addresses := map[string][]netip.Addr{} // by target, from the additional section
	for _, rr := range m.Extra {
		d.address(rr, addresses, &life)
	}
	var found []srv
	for _, rr := range m.Answer {
		r, ok := rr.(*mdns.SRV)
		if !ok {
			continue
		}
		life = min(life, r.Hdr.Ttl)
		target := strings.ToLower(r.Target)
		s, err := parseTarget(target, r)
		if err != nil {
			news.Skipped = append(news.Skipped, err.Error())
			continue
		}
		for _, kind := range []uint16{mdns.TypeA, mdns.TypeAAAA} {
			if len(addresses[target]) > 0 {
				break
			}
			a, err := d.ask(server, target, kind)
			if errors.As(err, &negative) {
				life = min(life, negative.life)
				continue
			}
			if err != nil { // one address is missing: the whole answer is no better
				return news, 0, err
			}
			for _, rr := range a.Answer { // whatever alias led to it
				rr.Header().Name = target
				d.address(rr, addresses, &life)
			}
		}
		if len(addresses[target]) == 0 {
			news.Skipped = append(news.Skipped, "members: "+target+" has no address")
			continue
		}
		for _, ip := range addresses[target] {
			s.node.Address = netip.AddrPortFrom(ip, r.Port).String()
			found = append(found, s)
			break // one target is one server
		}
	}
	records := make([]candidate, len(found))
	for i, s := range found {
		records[i] = candidate{Server: s.node.Address, Cell: s.node.Cell, Priority: s.priority, Draining: s.node.State != "on"}
	}
	for _, i := range choose(records) {
		news.Nodes = append(news.Nodes, found[i].node)
	}
	return news, life, nil
}

// address notes an A or AAAA record by its owner.
func (d *Client) address(rr mdns.RR, into map[string][]netip.Addr, life *uint32) {
	var raw []byte
	switch r := rr.(type) {
	case *mdns.A:
		raw = r.A.To4()
	case *mdns.AAAA:
		raw = r.AAAA.To16()
	}
	if ip, ok := netip.AddrFromSlice(raw); ok {
		name := strings.ToLower(rr.Header().Name)
		into[name] = append(into[name], ip.Unmap())
		*life = min(*life, rr.Header().Ttl)
	}
}

// exchange asks one server one question: over UDP, and over TCP when the answer is truncated. An answer that
// is to another question, or makes no sense, is a failure; one that says there is nothing is errNegative.
func (d *Client) exchange(ctx context.Context, server, name string, kind uint16) (*mdns.Msg, error) {
	q := new(mdns.Msg)
	q.SetQuestion(name, kind)
	q.SetEdns0(1232, false)
	var m *mdns.Msg
	for _, network := range []string{"udp", "tcp"} {
		call, cancel := context.WithTimeout(ctx, d.t.Timeout)
		c := &mdns.Client{Net: network, Timeout: d.t.Timeout, UDPSize: 1232}
		var err error
		d.Queries++
		m, _, err = c.ExchangeContext(call, q, server) // ids are compared there
		cancel()
		if err != nil {
			return nil, fmt.Errorf("over %s: %w", network, err)
		}
		if !m.Truncated {
			break
		}
	}
	answers, err := validRecord(m, name, kind)
	if err != nil {
		return nil, err
	}
	m.Answer = answers
	return m, nil
}

// validRecord is what a message answers to a question, or why it is no answer.
func validRecord(m *mdns.Msg, name string, kind uint16) ([]mdns.RR, error) {
	switch {
	case m.Truncated:
		return nil, errors.New("truncated over TCP too")
	case !m.Response || m.Opcode != mdns.OpcodeQuery || len(m.Question) != 1:
		return nil, errors.New("no answer to a question")
	case !strings.EqualFold(m.Question[0].Name, name) || m.Question[0].Qtype != kind || m.Question[0].Qclass != mdns.ClassINET:
		return nil, fmt.Errorf("an answer to another question, %s", m.Question[0].String())
	case m.Rcode != mdns.RcodeSuccess && m.Rcode != mdns.RcodeNameError:
		return nil, errors.New("it says " + mdns.RcodeToString[m.Rcode])
	}
	owner, answers := strings.ToLower(name), m.Answer[:0:0]
	for range 8 { // aliases, in whatever order they stand
		alias := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if h.Class != mdns.ClassINET || !strings.EqualFold(h.Name, owner) {
				continue
			}
			if h.Rrtype == kind {
				answers = append(answers, rr)
			} else if c, ok := rr.(*mdns.CNAME); ok {
				alias = strings.ToLower(c.Target)
			}
		}
		if alias == "" || len(answers) > 0 {
			break
		}
		owner = alias
	}
	if m.Rcode == mdns.RcodeSuccess && len(answers) > 0 {
		return answers, nil
	}
	for _, rr := range m.Ns { // RFC 2308: a negative answer carries the SOA, which tells its lifetime
		if soa, ok := rr.(*mdns.SOA); ok {
			return nil, errNegative{min(soa.Hdr.Ttl, soa.Minttl)}
		}
	}
	return nil, errors.New("an empty answer without an SOA")
}

// srv is a record of the list with its priority.
type srv struct {
	node     discovery.Node
	priority uint16
}

var targetLabel = regexp.MustCompile(`^[a-z0-9-]*--c([0-9]{1,6})(?:-z([0-9]{1,4}))?(?:-t([0-9]{1,12}))?$`)

// parseTarget reads what a record and the first label of its target tell of a node.
func parseTarget(target string, r *mdns.SRV) (s srv, err error) {
	label, _, _ := strings.Cut(target, ".")
	part := targetLabel.FindStringSubmatch(label)
	if part == nil || r.Port == 0 {
		return s, fmt.Errorf("members: target %.80s:%d names no cell", target, r.Port)
	}
	s.priority = r.Priority
	s.node.State, s.node.Size = "on", float64(r.Weight)
	if r.Weight == 0 {
		s.node.State = "draining"
	}
	s.node.Cell, _ = strconv.Atoi(part[1])
	s.node.Zone, _ = strconv.Atoi(part[2])
	started, _ := strconv.ParseInt(part[3], 10, 64)
	s.node.StartedMS = 1000 * started
	return s, nil
}
