package settings

import (
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// The types that XML Schema brings itself.
const (
	typeString  = "xs:string"
	typeBoolean = "xs:boolean"
	typeDecimal = "xs:decimal"
	typeInteger = "xs:integer"
)

// maxNumberLength bounds the text of a number.
const maxNumberLength = 63

var (
	decimalText = regexp.MustCompile(`^[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)
	integerText = regexp.MustCompile(`^[+-]?[0-9]+$`)
)

// accepts tells whether a value is of a type. Numbers are compared exactly, as the schema's are.
func (s *schema) accepts(typeName, value string) bool {
	switch typeName {
	case typeString:
		return true
	case typeBoolean:
		return slices.Contains([]string{"true", "false", "1", "0"}, collapse(value))
	case typeDecimal:
		return len(value) <= maxNumberLength && decimalText.MatchString(collapse(value))
	case typeInteger:
		return len(value) <= maxNumberLength && integerText.MatchString(collapse(value))
	}
	t := s.types[typeName]
	return t != nil && s.accepts(t.Restriction.Base, value) && t.accepts(value)
}

// accepts tells whether a value of the type's base is within its restriction.
func (t *simpleType) accepts(value string) bool {
	if t.pattern != nil && !t.pattern.MatchString(value) {
		return false
	}
	r := &t.Restriction
	if len(r.Values) > 0 {
		return slices.Contains(r.Values, facet{value})
	}
	return (r.MinInclusive == nil || r.MinInclusive.compare(value) >= 0) &&
		(r.MinExclusive == nil || r.MinExclusive.compare(value) > 0) &&
		(r.MaxInclusive == nil || r.MaxInclusive.compare(value) <= 0)
}

// compare is above 0 where a value is above the facet's, below 0 where it is below, and 0 where one is no number.
func (f *facet) compare(value string) int {
	number, valid := new(big.Rat).SetString(strings.TrimPrefix(collapse(value), "+"))
	bound, validBound := new(big.Rat).SetString(f.Value)
	if !valid || !validBound {
		return 0
	}
	return number.Cmp(bound)
}

// collapse removes the white space around a value, as XML Schema does for all types but strings.
func collapse(value string) string { return strings.Trim(value, " \t\r\n") }

// describe tells what a value of a type looks like.
func (s *schema) describe(typeName string) string {
	switch typeName {
	case "span":
		return `a span is a number with its unit, such as "250ms" (us, ms, s, m, h)`
	case "bytes":
		return `a size is a whole number with its unit, such as "64KiB" (B, KiB, MiB, GiB, TiB)`
	case "address":
		return `an address is IPv4 loopback and a port, such as "127.0.0.1:4420"`
	case typeBoolean:
		return "true or false"
	}
	if t := s.types[typeName]; t != nil {
		return t.describe()
	}
	return ""
}

func (t *simpleType) describe() string {
	r := &t.Restriction
	var parts []string
	for _, value := range r.Values {
		parts = append(parts, strconv.Quote(value.Value))
	}
	if len(parts) > 0 {
		return "it must be one of " + strings.Join(parts, ", ")
	}
	if r.MinInclusive != nil {
		parts = append(parts, "at least "+r.MinInclusive.Value)
	}
	if r.MinExclusive != nil {
		parts = append(parts, "over "+r.MinExclusive.Value)
	}
	if r.MaxInclusive != nil {
		parts = append(parts, "at most "+r.MaxInclusive.Value)
	}
	if r.Pattern != nil {
		parts = append(parts, "of the form "+r.Pattern.Value)
	}
	return "it must be " + strings.Join(parts, ", ")
}
