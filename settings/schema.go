package settings

import (
	_ "embed" // for Schema
	"encoding/xml"
	"errors"
	"fmt"
	"maps"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Schema is the XSD of settings files and fault test scripts. Parse checks files against it.
//
//go:embed honeyplank.xsd
var Schema []byte

// The parts of XML Schema that honeyplank.xsd uses. The schema must not use any other part, since it would not be
// checked.
type (
	schemaDocument struct {
		Types    []simpleType    `xml:"simpleType"`
		Elements []schemaElement `xml:"element"`
	}
	simpleType struct {
		Name        string      `xml:"name,attr"`
		Restriction restriction `xml:"restriction"`
		pattern     *regexp.Regexp
	}
	restriction struct {
		Base         string  `xml:"base,attr"`
		Pattern      *facet  `xml:"pattern"`
		Values       []facet `xml:"enumeration"`
		MinInclusive *facet  `xml:"minInclusive"`
		MinExclusive *facet  `xml:"minExclusive"`
		MaxInclusive *facet  `xml:"maxInclusive"`
	}
	facet struct {
		Value string `xml:"value,attr"`
	}
	schemaElement struct {
		Name      string      `xml:"name,attr"`
		MinOccurs string      `xml:"minOccurs,attr"`
		MaxOccurs string      `xml:"maxOccurs,attr"`
		Type      complexType `xml:"complexType"`
		Keys      []schemaKey `xml:"key"`
		KeyRefs   []schemaKey `xml:"keyref"`
	}
	complexType struct {
		Children   []schemaElement   `xml:"sequence>element"`
		Attributes []schemaAttribute `xml:"attribute"`
	}
	schemaAttribute struct {
		Name string `xml:"name,attr"`
		Type string `xml:"type,attr"`
		Use  string `xml:"use,attr"`
	}
	schemaKey struct {
		Name     string     `xml:"name,attr"`
		Refer    string     `xml:"refer,attr"`
		Selector schemaPath `xml:"selector"`
		Field    schemaPath `xml:"field"`
	}
	schemaPath struct {
		Path string `xml:"xpath,attr"`
	}
)

// attribute returns the name of the attribute that the key's field selects.
func (k *schemaKey) attribute() string { return strings.TrimPrefix(k.Field.Path, "@") }

type schema struct {
	root  schemaElement
	types map[string]*simpleType
}

var loadSchema = sync.OnceValues(func() (*schema, error) {
	var document schemaDocument
	if err := xml.Unmarshal(Schema, &document); err != nil {
		return nil, err
	}
	if len(document.Elements) != 1 {
		return nil, errors.New("the schema must have one root element")
	}
	s := &schema{root: document.Elements[0], types: map[string]*simpleType{}}
	for i := range document.Types {
		t := &document.Types[i]
		if p := t.Restriction.Pattern; p != nil {
			t.pattern = regexp.MustCompile("^(?:" + p.Value + ")$")
		}
		s.types[t.Name] = t
	}
	return s, nil
})

// check validates a file against the schema.
func (s *schema) check(root *node) error {
	if root.name != s.root.Name {
		problem := fmt.Sprintf("root element <%s>", root.name)
		return root.at.newError(problem, fmt.Sprintf("it must be <%s>", s.root.Name))
	}
	if err := s.checkElement(root, &s.root); err != nil {
		return err
	}
	return s.checkKeys(root)
}

func (s *schema) checkElement(n *node, e *schemaElement) error {
	if err := s.checkAttributes(n, e.Type.Attributes); err != nil {
		return err
	}
	return s.checkChildren(n, e.Type.Children)
}

func (s *schema) checkAttributes(n *node, attributes []schemaAttribute) error {
	known := map[string]bool{}
	names := make([]string, 0, len(attributes))
	for _, a := range attributes {
		known[a.Name] = true
		names = append(names, a.Name)
		value, given := n.attributes[a.Name]
		if !given {
			if a.Use == "required" {
				return n.at.newError(fmt.Sprintf("<%s> lacks the attribute %q", n.name, a.Name), s.describe(a.Type))
			}
			continue
		}
		if !s.accepts(a.Type, value) {
			problem := fmt.Sprintf("%s=%q of <%s> is not valid", a.Name, value, n.name)
			return n.at.newError(problem, s.describe(a.Type))
		}
	}
	for name := range n.attributes {
		if !known[name] {
			problem := fmt.Sprintf("<%s> has no attribute %q", n.name, name)
			return n.at.newError(problem, "known attributes: "+strings.Join(names, ", "))
		}
	}
	return nil
}

// checkChildren checks that the children are in the order of the schema, and that each occurs a permitted number of
// times.
func (s *schema) checkChildren(n *node, sequence []schemaElement) error {
	rest := n.children
	for i := range sequence {
		count, err := s.checkRepeated(rest, &sequence[i])
		if err != nil {
			return err
		}
		rest = rest[count:]
		if count < parseOccurs(sequence[i].MinOccurs) {
			return missingError(n, rest, sequence[i].Name)
		}
	}
	if len(rest) > 0 {
		problem := fmt.Sprintf("<%s> is unknown or misplaced in <%s>", rest[0].name, n.name)
		return rest[0].at.newError(problem, "")
	}
	return nil
}

// checkRepeated checks the nodes at the start of a list that have the element's name, and returns their number.
func (s *schema) checkRepeated(nodes []*node, e *schemaElement) (count int, err error) {
	maximum := parseOccurs(e.MaxOccurs)
	for _, n := range nodes {
		if n.name != e.Name {
			break
		}
		if count++; count > maximum {
			problem := fmt.Sprintf("too many <%s> elements", e.Name)
			return count, n.at.newError(problem, fmt.Sprintf("at most %d allowed here", maximum))
		}
		if err := s.checkElement(n, e); err != nil {
			return count, err
		}
	}
	return count, nil
}

// missingError returns the error for a child that must occur before the rest of its parent's children.
func missingError(parent *node, rest []*node, name string) error {
	at, found := parent.at, "the end of <"+parent.name+">"
	if len(rest) > 0 {
		at, found = rest[0].at, "<"+rest[0].name+">"
	}
	problem := fmt.Sprintf("%s found where <%s> is missing", found, name)
	return at.newError(problem, fmt.Sprintf("<%s> must come before it", name))
}

// parseOccurs reads the value of minOccurs or maxOccurs, whose default is 1.
func parseOccurs(text string) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return 1
}

// checkKeys checks that the values of keys are unique and that references name a value that is defined.
func (s *schema) checkKeys(root *node) error {
	defined := map[string]map[string]bool{}
	for i := range s.root.Keys {
		k := &s.root.Keys[i]
		values, err := checkUnique(root, k)
		if err != nil {
			return err
		}
		defined[k.Name] = values
	}
	for i := range s.root.KeyRefs {
		k := &s.root.KeyRefs[i]
		if err := checkReferences(root, k, defined[k.Refer]); err != nil {
			return err
		}
	}
	return nil
}

// checkUnique checks that the values of a key are unique and returns them.
func checkUnique(root *node, k *schemaKey) (map[string]bool, error) {
	attribute := k.attribute()
	values := map[string]bool{}
	for _, n := range root.find(k.Selector.Path) {
		value := n.attributes[attribute]
		if number, ok := parseInteger(value); ok && attribute == "nsid" {
			value = number.String() // "+1" and "01" are the same key as "1"
		}
		if values[value] {
			problem := fmt.Sprintf("%s=%q of <%s> is a duplicate", attribute, value, n.name)
			return nil, n.at.newError(problem, "each value must be unique")
		}
		values[value] = true
	}
	return values, nil
}

func checkReferences(root *node, k *schemaKey, defined map[string]bool) error {
	attribute := k.attribute()
	for _, n := range root.find(k.Selector.Path) {
		value, given := n.attributes[attribute]
		if given && !defined[value] {
			problem := fmt.Sprintf("%s=%q of <%s> is not defined", attribute, value, n.name)
			names := slices.Sorted(maps.Keys(defined))
			return n.at.newError(problem, "defined: "+strings.Join(names, ", "))
		}
	}
	return nil
}

func parseInteger(text string) (*big.Int, bool) {
	return new(big.Int).SetString(strings.TrimPrefix(collapse(text), "+"), 10)
}
