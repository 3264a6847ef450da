// Package estimates reads and writes the file in which an instance saves its latency estimates of disk servers for the
// next start. docs/migration.md has the format and which estimates are saved. The package decides nothing: the decision
// module decides by age and by the server's last start which estimates it still uses.
//
// The package starts no goroutine. Its functions block on the disk, so the program calls them apart from the event
// loop; a Record that is being written must not be changed.
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

// Record is the estimates of one instance at one moment.
type Record struct {
	Unit           int64    `json:"unit"`  // bytes of a unit, by which BestPerUnit is counted
	TypicalLatency float64  `json:"usual"` // recent latency of all servers, in seconds
	Servers        []Server `json:"servers"`
}

// Server is the estimates of one disk server.
type Server struct {
	ID          string    `json:"osd"`
	At          time.Time `json:"at"`      // of the last observation
	BestPerUnit float64   `json:"best"`    // lowest latency for each unit, in seconds
	Latency     float64   `json:"latency"` // recent latency, in seconds
}

const (
	magic   = "honeyplank-learnt 1 " // with the version of the format; the checksum and a line feed follow
	maxSize = 16 << 20               // bytes of a file that is read
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Why a file is not valid, beside the errors of the JSON decoder.
var (
	ErrFormat   = errors.New("not a file of saved estimates, version 1")
	ErrChecksum = errors.New("the checksum does not match the content")
	ErrValue    = errors.New("a latency is negative or infinite")
)

// Encode is the content of a record's file: a line with the magic and version and the CRC-32C of the rest, then JSON.
func (r *Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("estimates: %w", err)
	}
	return append(fmt.Appendf(nil, "%s%08x\n", magic, crc32.Checksum(body, checksumTable)), body...), nil
}

// Decode decodes the content of a file. A file that is damaged in any part is an error: ErrFormat,
// ErrChecksum, ErrValue or one of the JSON decoder.
func Decode(content []byte) (*Record, error) {
	head, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok || len(content) > maxSize || !bytes.HasPrefix(head, []byte(magic)) {
		return nil, ErrFormat
	}
	if sum := fmt.Sprintf("%08x", crc32.Checksum(body, checksumTable)); sum != string(head[len(magic):]) {
		return nil, fmt.Errorf("%w: %s in the file, %s of its content", ErrChecksum, head[len(magic):], sum)
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

// Read reads a file. A missing file is an error that os.ErrNotExist matches; others are those of Decode, with the name.
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

// FromEvent makes a record of the estimates of a decision module; wall converts a time of its clock to the wall clock.
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

// ToEvent converts the record for the decision module of an instance; unit is the size of its units in bytes, and clock
// converts a wall clock time to its clock. Where the record has units of another size, a latency for each unit means
// something else and is left out.
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
