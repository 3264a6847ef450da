// Package estimates is the file in which what an instance knows of disk servers outlives it: the figures that mean the
// same to the instance that comes after. docs/migration.md has the format. It decides nothing: what a figure is still
// worth, the module tells by its age and the server's last start.
package estimates

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"time"

	"honeyplank"
)

// Record is what one instance knew when it was asked.
type Record struct {
	Unit           int64    `json:"unit"`  // bytes of a unit, by which best is counted
	TypicalLatency float64  `json:"usual"` // recent answer time of all servers, in seconds
	Servers        []Server `json:"servers"`
}

// Server is what it knew of one disk server.
type Server struct {
	ID          string    `json:"osd"`
	At          time.Time `json:"at"`      // when it last learnt something there
	BestPerUnit float64   `json:"best"`    // best answer time for each unit, in seconds
	Latency     float64   `json:"latency"` // recent answer time, in seconds
}

const (
	magic   = "honeyplank-learnt 1 "
	maxSize = 16 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a record out: a line of magic, version and CRC-32C of the rest, then JSON.
func (r *Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s%08x\n", magic, crc32.Checksum(body, table)), body...), nil
}

// Decode reads a record; a damaged one is an error as a whole.
func Decode(b []byte) (*Record, error) {
	head, body, ok := bytes.Cut(b, []byte("\n"))
	if !ok || len(b) > maxSize || !bytes.HasPrefix(head, []byte(magic)) {
		return nil, errors.New("not a file of what was learnt, version 1")
	}
	if sum := fmt.Sprintf("%08x", crc32.Checksum(body, table)); sum != string(head[len(magic):]) {
		return nil, fmt.Errorf("its checksum is %s, its content's %s", head[len(magic):], sum)
	}
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	for _, s := range append(r.Servers, Server{Latency: r.TypicalLatency}) {
		if s.BestPerUnit < 0 || s.Latency < 0 || math.IsInf(s.BestPerUnit+s.Latency, 0) {
			return nil, fmt.Errorf("%q: a time below 0 or without end", s.ID)
		}
	}
	return r, nil
}

// Read reads a file; one that is missing is an error that os.ErrNotExist matches.
func Read(file string) (*Record, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r, err := Decode(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// Write replaces a file as a whole or leaves it as it was, and removes the temporary files of killed writers.
func (r *Record) Write(file string) error {
	content, err := r.Encode()
	if err != nil {
		return err
	}
	return replace(disk{}, file, content)
}

// FromEvent puts what a module knows into a record; at turns its clock into the wall's.
func FromEvent(l honeyplank.SavedEstimates, unit int64, at func(time.Duration) time.Time) *Record {
	r := &Record{Unit: unit, TypicalLatency: l.TypicalLatency}
	for _, k := range l.Servers {
		r.Servers = append(r.Servers, Server{string(k.Server), at(k.At), k.BestPerUnit, k.Latency})
	}
	return r
}

// ToEvent is what a record tells an instance whose units are so large. Where they differ, a time for each unit means
// something else and is left out.
func (r *Record) ToEvent(unit int64, span func(time.Time) time.Duration) honeyplank.SavedEstimates {
	l := honeyplank.SavedEstimates{TypicalLatency: r.TypicalLatency}
	for _, s := range r.Servers {
		k := honeyplank.ServerEstimate{Server: honeyplank.ServerID(s.ID), At: span(s.At), BestPerUnit: s.BestPerUnit, Latency: s.Latency}
		if r.Unit != unit {
			k.BestPerUnit = 0
		}
		l.Servers = append(l.Servers, k)
	}
	return l
}
