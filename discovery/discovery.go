// Package discovery has the types that the two sources of the endpoint list share. Package discovery/etcd watches the
// list in etcd (docs/etcd.md), package discovery/dns polls SRV records in DNS (docs/dns.md). A source passes on the
// updates that it receives and reports failures. It does not merge the two lists, which is done by package membership,
// and it does not retry a watch, which the decision module requests.
//
// The package itself has no state and starts no goroutine.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"honeyplank"
)

// The values of Record.State.
const (
	StateOn       = "on"       // the server accepts ops
	StateDraining = "draining" // the server gets no new ops
)

// Record is the value of a server's key in etcd. The key is the prefix followed by the server's address.
type Record struct {
	State     string  `json:"state"`                // StateOn or StateDraining
	StartedMS int64   `json:"started_ms,omitempty"` // Unix time of the last start, in milliseconds; 0: long ago
	Size      float64 `json:"size,omitempty"`       // relative to other servers; 0: the same as all others
	Model     int     `json:"model,omitempty"`
	Zone      int     `json:"zone,omitempty"`
	Cell      int     `json:"cell"`
}

// Node is one disk server of the list.
type Node struct {
	Record
	Address string // IP address and port
	Removed bool   // the server is no longer listed; Record is the last one listed
}

// Update is a change of the list, or a failure, that a source reports.
type Update struct {
	// Kind is Complete for a complete list, Delta for changes, and WatchFailed if a request or a watch has failed. In
	// the last case Err has the reason, and there are no nodes.
	Kind     honeyplank.ListKind
	Revision int64 // of etcd
	Nodes    []Node
	Skipped  []string // the invalid entries, each with the reason
	Err      error
	// Current means that every change up to this moment has been passed on. Only a Delta sets it, possibly one without
	// nodes.
	Current bool
}

// The reasons why a record is invalid. RecordError wraps one of these, or the error of the JSON decoder.
var (
	ErrAddress  = errors.New("not an IP address and port")
	ErrState    = errors.New("state is neither on nor draining")
	ErrNegative = errors.New("a number is negative")
)

// RecordError is the error for an invalid record, with the address of its server and the reason.
type RecordError struct {
	Address string
	Err     error
}

// Error returns the text that the log shows for a skipped entry.
func (e *RecordError) Error() string { return fmt.Sprintf("discovery: %.80q: %v", e.Address, e.Err) }

// Unwrap returns the reason.
func (e *RecordError) Unwrap() error { return e.Err }

// ParseRecord decodes and checks the value of a server's key. An error is a *RecordError.
func ParseRecord(address string, value []byte) (Record, error) {
	var r Record
	if _, err := netip.ParseAddrPort(address); err != nil {
		return r, &RecordError{address, ErrAddress}
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, &RecordError{address, err}
	}
	if r.State != StateOn && r.State != StateDraining {
		return r, &RecordError{address, fmt.Errorf("%w: %.20q", ErrState, r.State)}
	}
	if r.Size < 0 || r.StartedMS < 0 || r.Cell < 0 || r.Zone < 0 {
		return r, &RecordError{address, ErrNegative}
	}
	return r, nil
}
