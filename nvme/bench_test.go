package nvme

import "testing"

// BenchmarkDecode reads what an op costs at the gateway: a Read's command, its data and completion, with and without
// digests. docs/fuzzing.md has its ratio to earlier versions.
func BenchmarkDecode(b *testing.B) {
	for name, f := range map[string]Framing{"plain": {MaxData: 1 << 20}, "digests": {MaxData: 1 << 20, HeaderDigest: true, DataDigest: true}} {
		host := f
		host.FromHost = true
		c, d := NewRW(Read, 1, 2, 1), NewCompletion(1, Success, 0, 0)
		command := host.AppendCommand(nil, &c, nil)
		answer := f.AppendCompletion(f.AppendData(nil, TypeC2HData, FlagLast, 1, 0, 0, make([]byte, 4096)), &d)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, n, err := host.Decode(command); err != nil || n != len(command) {
					b.Fatal(n, err)
				}
				for at := 0; at < len(answer); {
					_, n, err := f.Decode(answer[at:])
					if err != nil || n == 0 {
						b.Fatal(n, err)
					}
					at += n
				}
			}
		})
	}
}

// BenchmarkAppend writes the same.
func BenchmarkAppend(b *testing.B) {
	for name, f := range map[string]Framing{"plain": {MaxData: 1 << 20}, "digests": {MaxData: 1 << 20, HeaderDigest: true, DataDigest: true}} {
		c, d, data := NewRW(Read, 1, 2, 1), NewCompletion(1, Success, 0, 0), make([]byte, 4096)
		var out []byte
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				out = f.AppendCommand(out[:0], &c, nil)
				out = f.AppendCompletion(f.AppendData(out, TypeC2HData, FlagLast, 1, 0, 0, data), &d)
			}
		})
	}
}
