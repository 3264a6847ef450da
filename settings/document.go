package settings

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Error is a problem in a file, with the place where it was found and what would be valid there.
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

// newError returns an *Error at the position. The text expected may be empty.
func (p position) newError(problem, expected string) error {
	return &Error{File: p.file, Line: p.line, Problem: problem, Expected: expected}
}

// node is an element of a file with its position.
type node struct {
	name       string
	at         position
	attributes map[string]string
	children   []*node
}

// find returns the descendants that match a path of element names, in the order of the file.
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

// Limits on the memory and time that an invalid file may use before it is rejected.
const (
	maxDepth    = 16
	maxElements = 200_000
	maxFileSize = 32 << 20
)

// parser builds the nodes of a file. It rejects directives, text, and entities other than XML's predefined five.
type parser struct {
	decoder  *xml.Decoder
	at       position // start of the current token
	root     *node
	open     []*node // path from the root to the element that contains the current token
	elements int
}

// parseDocument parses a file and returns its root element.
func parseDocument(file string, text []byte) (*node, error) {
	p := parser{decoder: xml.NewDecoder(bytes.NewReader(text)), at: position{file, 1}}
	if len(text) > maxFileSize {
		return nil, p.at.newError("the file is too large", fmt.Sprintf("at most %d bytes", maxFileSize))
	}
	for {
		p.at.line, _ = p.decoder.InputPos() // the column is not used
		token, err := p.decoder.Token()
		if err == io.EOF && p.root != nil && len(p.open) == 0 {
			return p.root, nil
		}
		if err != nil {
			return nil, p.syntaxError(err)
		}
		if err := p.token(token); err != nil {
			return nil, err
		}
	}
}

// syntaxError converts an error of the decoder. A syntax error has a line of its own.
func (p *parser) syntaxError(err error) error {
	var syntax *xml.SyntaxError
	if errors.As(err, &syntax) {
		return position{p.at.file, syntax.Line}.newError("not well-formed XML: "+syntax.Msg, "")
	}
	return p.at.newError("not well-formed XML: "+err.Error(), "")
}

func (p *parser) token(token xml.Token) error {
	switch t := token.(type) {
	case xml.StartElement:
		return p.startElement(t)
	case xml.EndElement:
		p.open = p.open[:len(p.open)-1]
	case xml.CharData:
		return p.checkText(t)
	case xml.Directive:
		return p.at.newError("unexpected document type or other directive", "remove it")
	}
	return nil
}

func (p *parser) startElement(t xml.StartElement) error {
	if p.elements++; p.elements > maxElements || len(p.open) == maxDepth {
		return p.at.newError("too many or too deeply nested elements", "")
	}
	if t.Name.Space != "" {
		problem := fmt.Sprintf("element <%s> is in a namespace", t.Name.Local)
		return p.at.newError(problem, "write it without a prefix or xmlns")
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
		return p.at.newError("a second root element", "")
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
			return nil, p.at.newError(fmt.Sprintf("attribute %q is in a namespace", name), "write it without a prefix")
		}
		if _, duplicate := attributes[name]; duplicate {
			return nil, p.at.newError(fmt.Sprintf("duplicate attribute %q", name), "")
		}
		attributes[name] = a.Value
	}
	return attributes, nil
}

// checkText returns an error if the text is not only white space.
func (p *parser) checkText(t xml.CharData) error {
	word := bytes.TrimSpace(t)
	if len(word) == 0 {
		return nil
	}
	before := t[:len(t)-len(bytes.TrimLeft(t, " \t\r\n"))]
	at := position{p.at.file, p.at.line + bytes.Count(before, []byte("\n"))}
	return at.newError(fmt.Sprintf("unexpected text %.20q", word), "values are given as attributes")
}
