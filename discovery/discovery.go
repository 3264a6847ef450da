// Package discovery learns of the disk servers: from etcd over its published gRPC API (docs/etcd.md) and from DNS
// SRV records (docs/dns.md). The sources ask, tell what they heard and report what failed. Whom to believe is
// decided in package belief, when to ask etcd again by the module.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"honeyplank"
)

// Record is the value of a node's key; the key is the prefix and the node's address.
type Record struct {
	State     string  `json:"state"`                // "on" or "draining"
	StartedMS int64   `json:"started_ms,omitempty"` // unix time of its last start; 0: long ago
	Size      float64 `json:"size,omitempty"`
	Model     int     `json:"model,omitempty"`
	Zone      int     `json:"zone,omitempty"`
	Cell      int     `json:"cell"`
}

// Node is a record with its address.
type Node struct {
	Record
	Address string
	Removed bool
}

// Update is what the source heard. Err tells why a watch or fetch failed; then there are no nodes.
type Update struct {
	Kind     honeyplank.ListKind
	Revision int64
	Nodes    []Node
	Skipped  []string // keys whose values made no sense, with the reason
	Err      error
	// Current tells that nothing that has happened up to now is left to be told. Only changes set it; news without nodes
	// may tell nothing else.
	Current bool
}

// ParseRecord reads the value of a node's key.
func ParseRecord(address string, value []byte) (r Record, err error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return r, fmt.Errorf("members: %.80q is no address", address)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("members: %s: %w", address, err)
	}
	if r.State != "on" && r.State != "draining" {
		return r, fmt.Errorf("members: %s: state %.20q is neither on nor draining", address, r.State)
	}
	if r.Size < 0 || r.StartedMS < 0 || r.Cell < 0 || r.Zone < 0 {
		return r, errors.New("members: " + address + ": a negative figure")
	}
	return r, nil
}
