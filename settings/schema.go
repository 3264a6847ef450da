package settings

import (
	"bytes"
	_ "embed"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/big"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// Schema is the XSD that settings and scripts follow. The program checks files by this very text.
//
//go:embed honeyplank.xsd
var Schema []byte

// Error is what is wrong with a file, where, and what would be right.
type Error struct {
	File  string
	Line  int
	Wrong string
	Right string
}

func (f *Error) Error() string {
	s := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Wrong)
	if f.Right != "" {
		s += "; " + f.Right
	}
	return s
}

// The parts of XML Schema that honeyplank.xsd uses. A part that is not here is an error in the schema, since
// it would go unchecked.
type (
	schemaText struct {
		Types   []simpleType    `xml:"simpleType"`
		Element []schemaElement `xml:"element"`
	}
	simpleType struct {
		Name        string `xml:"name,attr"`
		Restriction struct {
			Base    string        `xml:"base,attr"`
			Pattern *schemaFacet  `xml:"pattern"`
			Values  []schemaFacet `xml:"enumeration"`
			Least   *schemaFacet  `xml:"minInclusive"`
			Over    *schemaFacet  `xml:"minExclusive"`
			Most    *schemaFacet  `xml:"maxInclusive"`
		} `xml:"restriction"`
		pattern *regexp.Regexp
	}
	schemaFacet struct {
		Value string `xml:"value,attr"`
	}
	schemaElement struct {
		Name  string `xml:"name,attr"`
		Least string `xml:"minOccurs,attr"`
		Most  string `xml:"maxOccurs,attr"`
		Inner struct {
			Children   []schemaElement   `xml:"sequence>element"`
			Attributes []schemaAttribute `xml:"attribute"`
		} `xml:"complexType"`
		Keys []schemaKey `xml:"key"`
		Refs []schemaKey `xml:"keyref"`
	}
	schemaAttribute struct {
		Name string `xml:"name,attr"`
		Type string `xml:"type,attr"`
		Use  string `xml:"use,attr"`
	}
	schemaKey struct {
		Name     string `xml:"name,attr"`
		Refer    string `xml:"refer,attr"`
		Selector struct {
			Path string `xml:"xpath,attr"`
		} `xml:"selector"`
		Field struct {
			Path string `xml:"xpath,attr"`
		} `xml:"field"`
	}
)

type schema struct {
	root  schemaElement
	types map[string]*simpleType
}

var load = sync.OnceValues(func() (*schema, error) {
	var t schemaText
	if err := xml.Unmarshal(Schema, &t); err != nil {
		return nil, err
	}
	if len(t.Element) != 1 {
		return nil, errors.New("the schema must have one root element")
	}
	s := &schema{root: t.Element[0], types: map[string]*simpleType{}}
	for i := range t.Types {
		k := &t.Types[i]
		if p := k.Restriction.Pattern; p != nil {
			k.pattern = regexp.MustCompile("^(?:" + p.Value + ")$")
		}
		s.types[k.Name] = k
	}
	return s, nil
})

// node is an element of a file with where it stands.
type node struct {
	name       string
	line       int
	attributes map[string]string
	children   []*node
}

// depthMost and nodesMost bound what a file may cost before it is found wrong.
const (
	depthMost = 16
	nodesMost = 200_000
	sizeMost  = 32 << 20
)

// parse reads a file into nodes. Entities beyond XML's own five, directives and text are turned away.
func parse(file string, text []byte) (*node, error) {
	d := xml.NewDecoder(bytes.NewReader(text))
	var open []*node
	var root *node
	count := 0
	start := 1 // line where the token begins
	line := func() int { return start }
	fault := func(wrong, right string) error { return &Error{file, line(), wrong, right} }
	if len(text) > sizeMost {
		return nil, fault("the file is too large", fmt.Sprintf("at most %d bytes", sizeMost))
	}
	for {
		start, _ = d.InputPos()
		t, err := d.Token()
		if err == io.EOF && root != nil && len(open) == 0 {
			return root, nil
		}
		if err != nil {
			if e, ok := err.(*xml.SyntaxError); ok {
				return nil, &Error{file, e.Line, "not well-formed XML: " + e.Msg, ""}
			}
			return nil, fault("not well-formed XML: "+err.Error(), "")
		}
		switch t := t.(type) {
		case xml.StartElement:
			n := &node{name: t.Name.Local, line: line(), attributes: map[string]string{}}
			if count++; count > nodesMost || len(open) == depthMost {
				return nil, fault("too many or too deeply nested elements", "")
			}
			if t.Name.Space != "" {
				return nil, fault(fmt.Sprintf("element <%s> is in a namespace", n.name), "write it without a prefix or xmlns")
			}
			for _, a := range t.Attr {
				if a.Name.Space != "" || a.Name.Local == "xmlns" {
					return nil, fault(fmt.Sprintf("attribute %q is in a namespace", a.Name.Local), "write it without a prefix")
				}
				if _, twice := n.attributes[a.Name.Local]; twice {
					return nil, fault(fmt.Sprintf("attribute %q stands twice", a.Name.Local), "")
				}
				n.attributes[a.Name.Local] = a.Value
			}
			switch {
			case len(open) > 0:
				p := open[len(open)-1]
				p.children = append(p.children, n)
			case root != nil:
				return nil, fault("a second root element", "")
			default:
				root = n
			}
			open = append(open, n)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if len(bytes.TrimSpace(t)) > 0 {
				start += bytes.Count(t[:len(t)-len(bytes.TrimLeft(t, " \t\r\n"))], []byte("\n"))
				return nil, fault(fmt.Sprintf("text %.20q has no place here", bytes.TrimSpace(t)), "values are given as attributes")
			}
		case xml.Directive:
			return nil, fault("a document type or other directive", "leave it out")
		}
	}
}

// check holds a file against the schema.
func (s *schema) check(file string, root *node) error {
	if root.name != s.root.Name {
		return &Error{file, root.line, fmt.Sprintf("root element <%s>", root.name), fmt.Sprintf("it must be <%s>", s.root.Name)}
	}
	if err := s.element(file, root, &s.root); err != nil {
		return err
	}
	return s.keys(file, root)
}

func (s *schema) element(file string, n *node, e *schemaElement) error {
	fault := func(line int, right, wrong string, a ...any) error {
		return &Error{file, line, fmt.Sprintf(wrong, a...), right}
	}
	known := map[string]bool{}
	var names []string
	for _, a := range e.Inner.Attributes {
		known[a.Name], names = true, append(names, a.Name)
		v, given := n.attributes[a.Name]
		if !given {
			if a.Use == "required" {
				return fault(n.line, s.describe(a.Type), "<%s> lacks the attribute %q", n.name, a.Name)
			}
			continue
		}
		if !s.fits(a.Type, v) {
			return fault(n.line, s.describe(a.Type), "%s=%q of <%s> is not valid", a.Name, v, n.name)
		}
	}
	for name := range n.attributes {
		if !known[name] {
			return fault(n.line, "known are "+strings.Join(names, ", "), "<%s> has no attribute %q", n.name, name)
		}
	}
	i := 0
	for c := range e.Inner.Children {
		child := &e.Inner.Children[c]
		least, most := occurs(child.Least), occurs(child.Most)
		seen := 0
		for ; i < len(n.children) && n.children[i].name == child.Name; i++ {
			if seen++; seen > most {
				return fault(n.children[i].line, fmt.Sprintf("at most %d may stand here", most), "one <%s> too many", child.Name)
			}
			if err := s.element(file, n.children[i], child); err != nil {
				return err
			}
		}
		if seen < least {
			line, found := n.line, "the end of <"+n.name+">"
			if i < len(n.children) {
				line, found = n.children[i].line, "<"+n.children[i].name+">"
			}
			return fault(line, fmt.Sprintf("<%s> must come first", child.Name), "%s stands where <%s> is missing", found, child.Name)
		}
	}
	if i < len(n.children) {
		return fault(n.children[i].line, "", "<%s> is unknown or stands in the wrong place in <%s>", n.children[i].name, n.name)
	}
	return nil
}

func occurs(text string) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return 1
}

var (
	decimalText = regexp.MustCompile(`^[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)
	integerText = regexp.MustCompile(`^[+-]?[0-9]+$`)
)

// fits tells whether a value belongs to a type. Numbers are compared exactly, as the schema's are.
func (s *schema) fits(name, v string) bool {
	switch name {
	case "xs:string":
		return true
	case "xs:boolean":
		v = collapse(v)
		return v == "true" || v == "false" || v == "1" || v == "0"
	case "xs:decimal":
		return len(v) < 64 && decimalText.MatchString(collapse(v))
	case "xs:integer":
		return len(v) < 64 && integerText.MatchString(collapse(v))
	}
	t := s.types[name]
	if t == nil || !s.fits(t.Restriction.Base, v) || t.pattern != nil && !t.pattern.MatchString(v) {
		return false
	}
	if list := t.Restriction.Values; len(list) > 0 {
		for _, x := range list {
			if x.Value == v {
				return true
			}
		}
		return false
	}
	against := func(f *schemaFacet) int {
		x, _ := new(big.Rat).SetString(strings.TrimPrefix(collapse(v), "+"))
		y, _ := new(big.Rat).SetString(f.Value)
		if x == nil || y == nil {
			return 0
		}
		return x.Cmp(y)
	}
	r := &t.Restriction
	return (r.Least == nil || against(r.Least) >= 0) && (r.Over == nil || against(r.Over) > 0) && (r.Most == nil || against(r.Most) <= 0)
}

func collapse(v string) string { return strings.Trim(v, " \t\r\n") }

// describe tells what a value of a type looks like.
func (s *schema) describe(name string) string {
	switch name {
	case "span":
		return `a span is a number with its unit, such as "250ms" (us, ms, s, m, h)`
	case "bytes":
		return `a size is a whole number with its unit, such as "64KiB" (B, KiB, MiB, GiB, TiB)`
	case "address":
		return `an address is IPv4 loopback and a port, such as "127.0.0.1:4420"`
	case "xs:boolean":
		return "true or false"
	}
	t := s.types[name]
	if t == nil {
		return ""
	}
	r := &t.Restriction
	var parts []string
	for _, x := range r.Values {
		parts = append(parts, strconv.Quote(x.Value))
	}
	if len(parts) > 0 {
		return "it must be one of " + strings.Join(parts, ", ")
	}
	if r.Least != nil {
		parts = append(parts, "at least "+r.Least.Value)
	}
	if r.Over != nil {
		parts = append(parts, "over "+r.Over.Value)
	}
	if r.Most != nil {
		parts = append(parts, "at most "+r.Most.Value)
	}
	if t.pattern != nil {
		parts = append(parts, "of the form "+r.Pattern.Value)
	}
	return "it must be " + strings.Join(parts, ", ")
}

// pick lists the nodes that a path of element names leads to.
func (n *node) pick(path string) []*node {
	found := []*node{n}
	for _, name := range strings.Split(path, "/") {
		var next []*node
		for _, p := range found {
			for _, c := range p.children {
				if c.name == name {
					next = append(next, c)
				}
			}
		}
		found = next
	}
	return found
}

func (s *schema) keys(file string, root *node) error {
	held := map[string]map[string]bool{}
	for _, k := range s.root.Keys {
		field := strings.TrimPrefix(k.Field.Path, "@")
		held[k.Name] = map[string]bool{}
		for _, n := range root.pick(k.Selector.Path) {
			v := n.attributes[field]
			if i, ok := new(big.Int).SetString(strings.TrimPrefix(collapse(v), "+"), 10); ok && field == "nsid" {
				v = i.String()
			}
			if held[k.Name][v] {
				return &Error{file, n.line, fmt.Sprintf("%s=%q of <%s> stands twice", field, v, n.name), "each must be its own"}
			}
			held[k.Name][v] = true
		}
	}
	for _, k := range s.root.Refs {
		field := strings.TrimPrefix(k.Field.Path, "@")
		for _, n := range root.pick(k.Selector.Path) {
			if v, given := n.attributes[field]; given && !held[k.Refer][v] {
				var names []string
				for name := range held[k.Refer] {
					names = append(names, name)
				}
				return &Error{file, n.line, fmt.Sprintf("%s=%q of <%s> is not defined", field, v, n.name), "defined are " + strings.Join(sorted(names), ", ")}
			}
		}
	}
	return nil
}
