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

// Schema is the XSD that settings and scripts follow. The program checks files by this very text.
//
//go:embed honeyplank.xsd
var Schema []byte

// The parts of XML Schema that honeyplank.xsd uses. A part that is not here is an error in the schema, since
// it would go unchecked.
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

// attribute is the name of the attribute that a key's field leads to.
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

// check holds a file against the schema.
func (s *schema) check(root *node) error {
	if root.name != s.root.Name {
		problem := fmt.Sprintf("root element <%s>", root.name)
		return root.at.fault(problem, fmt.Sprintf("it must be <%s>", s.root.Name))
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
				return n.at.fault(fmt.Sprintf("<%s> lacks the attribute %q", n.name, a.Name), s.describe(a.Type))
			}
			continue
		}
		if !s.accepts(a.Type, value) {
			problem := fmt.Sprintf("%s=%q of <%s> is not valid", a.Name, value, n.name)
			return n.at.fault(problem, s.describe(a.Type))
		}
	}
	for name := range n.attributes {
		if !known[name] {
			problem := fmt.Sprintf("<%s> has no attribute %q", n.name, name)
			return n.at.fault(problem, "known are "+strings.Join(names, ", "))
		}
	}
	return nil
}

// checkChildren wants the children in the order of the schema, each as often as it may stand.
func (s *schema) checkChildren(n *node, sequence []schemaElement) error {
	rest := n.children
	for i := range sequence {
		count, err := s.checkRepeated(rest, &sequence[i])
		if err != nil {
			return err
		}
		rest = rest[count:]
		if count < occurs(sequence[i].MinOccurs) {
			return missing(n, rest, sequence[i].Name)
		}
	}
	if len(rest) > 0 {
		problem := fmt.Sprintf("<%s> is unknown or stands in the wrong place in <%s>", rest[0].name, n.name)
		return rest[0].at.fault(problem, "")
	}
	return nil
}

// checkRepeated checks the nodes of one name that a list begins with, and returns how many they are.
func (s *schema) checkRepeated(nodes []*node, e *schemaElement) (count int, err error) {
	most := occurs(e.MaxOccurs)
	for _, n := range nodes {
		if n.name != e.Name {
			break
		}
		if count++; count > most {
			problem := fmt.Sprintf("one <%s> too many", e.Name)
			return count, n.at.fault(problem, fmt.Sprintf("at most %d may stand here", most))
		}
		if err := s.checkElement(n, e); err != nil {
			return count, err
		}
	}
	return count, nil
}

// missing is the error for a child that should stand before the rest of its parent's children.
func missing(parent *node, rest []*node, name string) error {
	at, found := parent.at, "the end of <"+parent.name+">"
	if len(rest) > 0 {
		at, found = rest[0].at, "<"+rest[0].name+">"
	}
	problem := fmt.Sprintf("%s stands where <%s> is missing", found, name)
	return at.fault(problem, fmt.Sprintf("<%s> must come first", name))
}

// occurs reads how often an element may stand; left out, it is once.
func occurs(text string) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return 1
}

// checkKeys wants keys to be unique, and what refers to one to name one that stands.
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

// checkUnique returns the values of a key.
func checkUnique(root *node, k *schemaKey) (map[string]bool, error) {
	attribute := k.attribute()
	values := map[string]bool{}
	for _, n := range root.find(k.Selector.Path) {
		value := n.attributes[attribute]
		if number, ok := integer(value); ok && attribute == "nsid" {
			value = number.String() // "+1" and "01" are the same key as "1"
		}
		if values[value] {
			problem := fmt.Sprintf("%s=%q of <%s> stands twice", attribute, value, n.name)
			return nil, n.at.fault(problem, "each must be its own")
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
			return n.at.fault(problem, "defined are "+strings.Join(names, ", "))
		}
	}
	return nil
}

func integer(text string) (*big.Int, bool) {
	return new(big.Int).SetString(strings.TrimPrefix(collapse(text), "+"), 10)
}
