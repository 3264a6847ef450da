// Package estimates reads and writes the file in which an instance saves its latency estimates of disk servers for the
// next start. docs/migration.md describes the format and lists the estimates that are saved. The package does not
// choose among them: the decision module decides, by the age of an estimate and by the server's last start, which ones
// it still uses.
//
// The package starts no goroutine. Its functions block on the disk, so the program must not call them on the event
// loop. A Record must not be changed while it is being written.
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

// Record holds the estimates of one instance at one point in time.
type Record struct {
	Unit           int64    `json:"unit"`  // size of the units of BestPerUnit, in bytes
	TypicalLatency float64  `json:"usual"` // recent latency of all servers, in seconds
	Servers        []Server `json:"servers"`
}

// Server holds the estimates of one disk server.
type Server struct {
	ID          string    `json:"osd"`
	At          time.Time `json:"at"`      // time of the last observation
	BestPerUnit float64   `json:"best"`    // lowest latency per unit, in seconds
	Latency     float64   `json:"latency"` // recent latency, in seconds
}

const (
	magic   = "honeyplank-learnt 1 " // includes the version of the format; the checksum and a line feed follow
	maxSize = 16 << 20               // largest file that is decoded, in bytes
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Errors of Decode, in addition to those of the JSON decoder.
var (
	ErrFormat   = errors.New("not a file of saved estimates, version 1")
	ErrChecksum = errors.New("the checksum does not match the content")
	ErrValue    = errors.New("a latency is negative or infinite")
)

// Encode returns the content of a record's file: a line with the magic, the version of the format and the CRC-32C of
// the rest, followed by JSON.
func (r *Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode estimates: %w", err)
	}
	return append(fmt.Appendf(nil, "%s%08x\n", magic, crc32.Checksum(body, checksumTable)), body...), nil
}

// Decode decodes the content of a file. If any part of the file is damaged, it returns ErrFormat, ErrChecksum, ErrValue
// or an error of the JSON decoder.
func Decode(content []byte) (*Record, error) {
	head, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok || len(content) > maxSize || !bytes.HasPrefix(head, []byte(magic)) {
		return nil, ErrFormat
	}
	if sum := fmt.Sprintf("%08x", crc32.Checksum(body, checksumTable)); sum != string(head[len(magic):]) {
		return nil, fmt.Errorf("%w: %s in the file, %s computed from its content", ErrChecksum, head[len(magic):], sum)
	}
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	for _, s := range append(r.Servers, Server{Latency: r.TypicalLatency}) {
		if s.BestPerUnit < 0 || s.Latency < 0 || math.IsInf(s.BestPerUnit+s.Latency, 0) {
			return nil, fmt.Errorf("%q: %w", s.ID, ErrValue)
		}
	}
	return r, nil
}

// Read reads a file. If the file is missing, the error matches os.ErrNotExist. An error of Decode is returned with the
// name of the file.
func Read(file string) (*Record, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r, err := Decode(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// FromEvent makes a record of the estimates of a decision module. unit is the size of its units in bytes, and wall
// converts a time of its clock to wall clock time.
func FromEvent(saved honeyplank.SavedEstimates, unit int64, wall func(time.Duration) time.Time) *Record {
	r := &Record{Unit: unit, TypicalLatency: saved.TypicalLatency}
	for _, s := range saved.Servers {
		r.Servers = append(r.Servers, Server{
			ID:          string(s.Server),
			At:          wall(s.At),
			BestPerUnit: s.BestPerUnit,
			Latency:     s.Latency,
		})
	}
	return r
}

// ToEvent converts the record for the decision module of an instance. unit is the size of its units in bytes, and clock
// converts a wall clock time to a time of its clock. If the record has units of another size, its latencies per unit
// are not comparable and are left out.
func (r *Record) ToEvent(unit int64, clock func(time.Time) time.Duration) honeyplank.SavedEstimates {
	saved := honeyplank.SavedEstimates{TypicalLatency: r.TypicalLatency}
	for _, s := range r.Servers {
		estimate := honeyplank.ServerEstimate{
			Server:      honeyplank.ServerID(s.ID),
			At:          clock(s.At),
			BestPerUnit: s.BestPerUnit,
			Latency:     s.Latency,
		}
		if r.Unit != unit {
			estimate.BestPerUnit = 0
		}
		saved.Servers = append(saved.Servers, estimate)
	}
	return saved
}
