package settings

import (
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// The built-in types of XML Schema that honeyplank.xsd uses.
const (
	typeString  = "xs:string"
	typeBoolean = "xs:boolean"
	typeDecimal = "xs:decimal"
	typeInteger = "xs:integer"
)

// maxNumberLength is the maximum length of a number's text in bytes.
const maxNumberLength = 63

var (
	decimalText = regexp.MustCompile(`^[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)
	integerText = regexp.MustCompile(`^[+-]?[0-9]+$`)
)

// accepts reports whether a value is valid for a type. Numbers are compared exactly, as XML Schema requires.
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

// accepts reports whether a value of the type's base satisfies the type's restriction.
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

// compare returns a positive number if value is greater than the facet's value and a negative number if it is less. It
// returns 0 if they are equal or if one of them is not a number.
func (f *facet) compare(value string) int {
	number, valid := new(big.Rat).SetString(strings.TrimPrefix(collapse(value), "+"))
	bound, validBound := new(big.Rat).SetString(f.Value)
	if !valid || !validBound {
		return 0
	}
	return number.Cmp(bound)
}

// collapse removes the white space around a value, as XML Schema does for all types except strings.
func collapse(value string) string { return strings.Trim(value, " \t\r\n") }

// describe returns a description of the valid values of a type for error messages.
func (s *schema) describe(typeName string) string {
	switch typeName {
	case "span":
		return `a span is a number with its unit, such as "250ms" (us, ms, s, m, h)`
	case "bytes":
		return `a size is a whole number with its unit, such as "64KiB" (B, KiB, MiB, GiB, TiB)`
	case "address":
		return `an address is an IPv4 loopback address with a port, such as "127.0.0.1:4420"`
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
