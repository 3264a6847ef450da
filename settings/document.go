package settings

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Error is what is wrong with a file, where, and what would be right.
type Error struct {
	File     string
	Line     int
	Problem  string
	Expected string
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	if e.Expected != "" {
		s += "; " + e.Expected
	}
	return s
}

// position is a line of a file.
type position struct {
	file string
	line int
}

// fault is an error at the position; expected may be empty.
func (p position) fault(problem, expected string) error {
	return &Error{File: p.file, Line: p.line, Problem: problem, Expected: expected}
}

// node is an element of a file with where it stands.
type node struct {
	name       string
	at         position
	attributes map[string]string
	children   []*node
}

// find lists the nodes that a path of element names leads to.
func (n *node) find(path string) []*node {
	found := []*node{n}
	for _, name := range strings.Split(path, "/") {
		var next []*node
		for _, parent := range found {
			for _, child := range parent.children {
				if child.name == name {
					next = append(next, child)
				}
			}
		}
		found = next
	}
	return found
}

// Bounds of what a file may cost before it is found wrong.
const (
	maxDepth    = 16
	maxElements = 200_000
	maxFileSize = 32 << 20
)

// parser builds the nodes of a file. Entities beyond XML's own five, directives and text are rejected.
type parser struct {
	decoder  *xml.Decoder
	at       position // where the current token begins
	root     *node
	open     []*node // from the root to the element that the current token stands in
	elements int
}

// parseDocument reads a file into nodes.
func parseDocument(file string, text []byte) (*node, error) {
	p := parser{decoder: xml.NewDecoder(bytes.NewReader(text)), at: position{file, 1}}
	if len(text) > maxFileSize {
		return nil, p.at.fault("the file is too large", fmt.Sprintf("at most %d bytes", maxFileSize))
	}
	for {
		p.at.line, _ = p.decoder.InputPos() // the column is not used
		token, err := p.decoder.Token()
		if err == io.EOF && p.root != nil && len(p.open) == 0 {
			return p.root, nil
		}
		if err != nil {
			return nil, p.malformed(err)
		}
		if err := p.token(token); err != nil {
			return nil, err
		}
	}
}

// malformed is the error for what the decoder can't read.
func (p *parser) malformed(err error) error {
	var syntax *xml.SyntaxError
	if errors.As(err, &syntax) {
		return position{p.at.file, syntax.Line}.fault("not well-formed XML: "+syntax.Msg, "")
	}
	return p.at.fault("not well-formed XML: "+err.Error(), "")
}

func (p *parser) token(token xml.Token) error {
	switch t := token.(type) {
	case xml.StartElement:
		return p.startElement(t)
	case xml.EndElement:
		p.open = p.open[:len(p.open)-1]
	case xml.CharData:
		return p.text(t)
	case xml.Directive:
		return p.at.fault("a document type or other directive", "leave it out")
	}
	return nil
}

func (p *parser) startElement(t xml.StartElement) error {
	if p.elements++; p.elements > maxElements || len(p.open) == maxDepth {
		return p.at.fault("too many or too deeply nested elements", "")
	}
	if t.Name.Space != "" {
		problem := fmt.Sprintf("element <%s> is in a namespace", t.Name.Local)
		return p.at.fault(problem, "write it without a prefix or xmlns")
	}
	attributes, err := p.attributes(t.Attr)
	if err != nil {
		return err
	}
	n := &node{name: t.Name.Local, at: p.at, attributes: attributes}
	switch {
	case len(p.open) > 0:
		parent := p.open[len(p.open)-1]
		parent.children = append(parent.children, n)
	case p.root != nil:
		return p.at.fault("a second root element", "")
	default:
		p.root = n
	}
	p.open = append(p.open, n)
	return nil
}

func (p *parser) attributes(list []xml.Attr) (map[string]string, error) {
	attributes := map[string]string{}
	for _, a := range list {
		name := a.Name.Local
		if a.Name.Space != "" || name == "xmlns" {
			return nil, p.at.fault(fmt.Sprintf("attribute %q is in a namespace", name), "write it without a prefix")
		}
		if _, duplicate := attributes[name]; duplicate {
			return nil, p.at.fault(fmt.Sprintf("attribute %q stands twice", name), "")
		}
		attributes[name] = a.Value
	}
	return attributes, nil
}

// text admits white space alone.
func (p *parser) text(t xml.CharData) error {
	word := bytes.TrimSpace(t)
	if len(word) == 0 {
		return nil
	}
	before := t[:len(t)-len(bytes.TrimLeft(t, " \t\r\n"))]
	at := position{p.at.file, p.at.line + bytes.Count(before, []byte("\n"))}
	return at.fault(fmt.Sprintf("text %.20q has no place here", word), "values are given as attributes")
}
