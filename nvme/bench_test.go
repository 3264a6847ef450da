package nvme

import (
	"testing"
)

// benchmarkFramings returns the framings of the benchmarks by name.
func benchmarkFramings() map[string]Framing {
	return map[string]Framing{
		"plain":   {MaxData: 1 << 20},
		"digests": {MaxData: 1 << 20, HeaderDigest: true, DataDigest: true},
	}
}

// readDataHeader is the header of the one data PDU of a Read.
var readDataHeader = DataHeader{Type: TypeC2HData, Flags: FlagLast, CID: 1}

// BenchmarkDecode decodes the PDUs of a Read: command, data and completion, with and without digests. docs/fuzzing.md
// compares its result with that of earlier versions.
func BenchmarkDecode(b *testing.B) {
	for name, f := range benchmarkFramings() {
		host := f
		host.FromHost = true
		c, d := NewRW(Read, 1, 2, 1), NewCompletion(1, Success, 0, 0)
		command := host.AppendCommand(nil, &c, nil)
		answer := f.AppendCompletion(f.AppendData(nil, readDataHeader, make([]byte, 4096)), &d)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := decodeAll(&host, command); err != nil {
					b.Fatal(err)
				}
				if err := decodeAll(&f, answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAppend encodes the same PDUs.
func BenchmarkAppend(b *testing.B) {
	for name, f := range benchmarkFramings() {
		c, d, data := NewRW(Read, 1, 2, 1), NewCompletion(1, Success, 0, 0), make([]byte, 4096)
		var out []byte
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				out = f.AppendCommand(out[:0], &c, nil)
				out = f.AppendCompletion(f.AppendData(out, readDataHeader, data), &d)
			}
		})
	}
}
