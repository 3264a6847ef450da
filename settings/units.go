package settings

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

// Span is a duration that is written like "250ms" in XML.
type Span time.Duration

// UnmarshalText reads a duration in the format of time.ParseDuration.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*s = Span(d)
	return err
}

// MarshalText writes the duration in the format of time.Duration.String.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Duration returns the span as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// Bytes is a size in bytes that is written like "64KiB" in XML.
type Bytes int64

// Binary multiples of a byte.
const (
	kib Bytes = 1 << 10
	mib Bytes = 1 << 20
)

// maxSizeBits limits sizes so that the sum of two sizes doesn't overflow.
const maxSizeBits = 62

// sizeUnit is a unit of sizes: 1<<shift bytes.
type sizeUnit struct {
	name  string
	shift uint
}

var (
	singleByte  = sizeUnit{"B", 0}
	binaryUnits = []sizeUnit{{"TiB", 40}, {"GiB", 30}, {"MiB", 20}, {"KiB", 10}} // largest first
	// allSizeUnits has "B" last, since it is a suffix of the other units.
	allSizeUnits = append(binaryUnits[:len(binaryUnits):len(binaryUnits)], singleByte)
)

// UnmarshalText reads an integer with one of the units B, KiB, MiB, GiB and TiB.
func (s *Bytes) UnmarshalText(b []byte) error {
	for _, unit := range allSizeUnits {
		digits, ok := strings.CutSuffix(string(b), unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || bits.Len64(uint64(n))+int(unit.shift) > maxSizeBits {
			return fmt.Errorf("size %q is too large", b)
		}
		*s = Bytes(n << unit.shift)
		return nil
	}
	return fmt.Errorf("size %q has no unit", b)
}

// MarshalText writes the size in the largest unit that divides it.
func (s Bytes) MarshalText() ([]byte, error) {
	for _, unit := range binaryUnits {
		if s != 0 && int64(s)%(1<<unit.shift) == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)>>unit.shift, unit.name), nil
		}
	}
	return fmt.Appendf(nil, "%d%s", int64(s), singleByte.name), nil
}
