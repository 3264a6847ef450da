package dns

import (
	"context"
	"errors"
	"fmt"
	"strings"

	mdns "github.com/miekg/dns"
)

const (
	udpSize    = 1232 // bytes; the largest UDP answer that is not fragmented (DNS Flag Day 2020)
	maxAliases = 8    // CNAME records followed in one answer, so that a loop of aliases ends
)

// The reasons why a message is not accepted as an answer. Update.Err wraps them.
var (
	ErrTruncated        = errors.New("answer is truncated, also over TCP")
	ErrNotAResponse     = errors.New("message is not a response to one question")
	ErrQuestionMismatch = errors.New("answer to another question")
	ErrEmptyAnswer      = errors.New("empty answer without an SOA record")
)

// RcodeError is the response code by which a name server reports an error.
type RcodeError int

// Error returns a text with the name of the code.
func (e RcodeError) Error() string { return "name server returned " + mdns.RcodeToString[int(e)] }

// negativeError is the answer that a name has no records of a type (RFC 2308), with its TTL in seconds.
type negativeError struct{ ttl uint32 }

func (negativeError) Error() string { return "no such records" }

// exchange sends one query to one server over UDP, and again over TCP if the answer is truncated. The error is a
// negativeError if the server answers that there are no such records.
func (c *Client) exchange(ctx context.Context, server, name string, recordType uint16) (*mdns.Msg, error) {
	query := new(mdns.Msg)
	query.SetQuestion(name, recordType)
	query.SetEdns0(udpSize, false)
	var answer *mdns.Msg
	for _, network := range []string{"udp", "tcp"} {
		var err error
		if answer, err = c.exchangeOver(ctx, network, server, query); err != nil {
			return nil, err
		}
		if !answer.Truncated {
			break
		}
	}
	records, err := validAnswer(answer, name, recordType)
	if err != nil {
		return nil, err
	}
	answer.Answer = records
	return answer, nil
}

// exchangeOver sends a query to a server over a network, "udp" or "tcp", and returns the reply.
func (c *Client) exchangeOver(ctx context.Context, network, server string, query *mdns.Msg) (*mdns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	c.Queries++
	transport := &mdns.Client{Net: network, Timeout: c.settings.Timeout, UDPSize: udpSize}
	answer, _, err := transport.ExchangeContext(ctx, query, server) // checks that the message IDs are equal
	if err != nil {
		return nil, fmt.Errorf("over %s: %w", network, err)
	}
	return answer, nil
}

// validAnswer returns the records of a message that answer a question, or the reason why the message does not answer
// it.
func validAnswer(m *mdns.Msg, name string, recordType uint16) ([]mdns.RR, error) {
	if err := checkHeader(m, name, recordType); err != nil {
		return nil, err
	}
	records := followAliases(m.Answer, name, recordType)
	if m.Rcode == mdns.RcodeSuccess && len(records) > 0 {
		return records, nil
	}
	for _, record := range m.Ns { // a negative answer contains the SOA record, which has its TTL (RFC 2308)
		if soa, ok := record.(*mdns.SOA); ok {
			return nil, negativeError{min(soa.Hdr.Ttl, soa.Minttl)}
		}
	}
	return nil, ErrEmptyAnswer
}

// checkHeader returns an error if the header and question section of a message show that it is not an answer to a
// question.
func checkHeader(m *mdns.Msg, name string, recordType uint16) error {
	switch {
	case m.Truncated:
		return ErrTruncated
	case !m.Response || m.Opcode != mdns.OpcodeQuery || len(m.Question) != 1:
		return ErrNotAResponse
	case !isQuestion(m.Question[0], name, recordType):
		return fmt.Errorf("%w, %s", ErrQuestionMismatch, m.Question[0].String())
	case m.Rcode != mdns.RcodeSuccess && m.Rcode != mdns.RcodeNameError:
		return RcodeError(m.Rcode)
	}
	return nil
}

// isQuestion reports whether a question is the one for a name and record type.
func isQuestion(question mdns.Question, name string, recordType uint16) bool {
	return strings.EqualFold(question.Name, name) && question.Qtype == recordType && question.Qclass == mdns.ClassINET
}

// followAliases returns the records of a type that a name has, or that the target of its aliases has. The records may
// be in any order.
func followAliases(all []mdns.RR, name string, recordType uint16) []mdns.RR {
	var records []mdns.RR
	owner := strings.ToLower(name)
	for range maxAliases {
		alias := ""
		for _, record := range all {
			header := record.Header()
			if header.Class != mdns.ClassINET || !strings.EqualFold(header.Name, owner) {
				continue
			}
			if header.Rrtype == recordType {
				records = append(records, record)
			} else if cname, ok := record.(*mdns.CNAME); ok {
				alias = strings.ToLower(cname.Target)
			}
		}
		if alias == "" || len(records) > 0 {
			break
		}
		owner = alias
	}
	return records
}
