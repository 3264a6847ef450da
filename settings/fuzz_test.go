package settings

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"testing"

	"honeyplank/internal/heap"
)

// FuzzParse parses any text. Parse must not panic and must allocate little. Settings that it accepts must be the same
// after XML has encoded them and Parse has read them back.
func FuzzParse(f *testing.F) {
	for _, file := range []string{exampleFile, "../faulttest/badday.xml", "../faulttest/sources.xml"} {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var g *Gateway
		var err error
		if n := heap.Bytes(func() { g, err = Parse("x.xml", text) }); n > uint64(1<<20+1000*len(text)) {
			t.Fatalf("Parse allocated %d bytes for a file of %d bytes", n, len(text))
		}
		if err != nil {
			return
		}
		g.ModuleSettings()
		checkRoundTrip(t, g)
	})
}

// attributeValues are values that FuzzEdit gives to attributes: at the bounds of the types and beyond them.
var attributeValues = []string{
	"", "0", "1", "-1", "1.5", "1e3", "NaN", "1000000", "1000001", "99999999999999999999",
	"250", "250ms", "1h", "-1s", "4KiB", "4kib", "true", "on",
	"read", "replayable", "127.0.0.1:1", "127.0.0.1:99999", "nqn.2026-12.x:y", "/a/", "a b", "0 1",
	"\u00e9", " 1 ", "+1", "01", "1.", "all", "x.example.",
}

// Limits of an edited file: the number of edits of one input, and the number of elements after them.
const (
	maxEdits       = 8
	maxEditedNodes = 5000
)

// FuzzEdit edits elements and attributes of the example file and compares the schema check of this package with that of
// xmllint, an independent implementation. Both must accept a file, or both must reject it.
func FuzzEdit(f *testing.F) {
	xmllint := lookUpXMLLint(f)
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	s, err := loadSchema()
	if err != nil {
		f.Fatal(err)
	}
	for i := range 10 {
		f.Add([]byte{byte(i), byte(3 * i), byte(5 * i)})
	}
	f.Add([]byte{7, 2, 8, 7, 2, 9, 3, 4, 1})
	f.Fuzz(func(t *testing.T, script []byte) {
		root, err := parseDocument("x.xml", text)
		if err != nil {
			t.Fatal(err)
		}
		if !editAll(root, script) {
			return
		}
		var b bytes.Buffer
		if err := writeNode(&b, root); err != nil {
			t.Fatal(err)
		}
		compareWithXMLLint(t, s, xmllint, b.Bytes())
	})
}

// editAll applies the edits of an input to a file. It reports whether the file has at most maxEditedNodes elements.
func editAll(root *node, script []byte) bool {
	for edits := 0; len(script) >= 3 && edits < maxEdits; edits++ {
		if !editNode(root, script[0], int(script[1]), int(script[2])) {
			break
		}
		script = script[3:]
		if countNodes(root, 0) > maxEditedNodes {
			return false
		}
	}
	return true
}

func lookUpXMLLint(f *testing.F) string {
	f.Helper()
	xmllint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			f.Fatal("xmllint is missing; .ci/run installs it")
		}
		f.Skip("xmllint is not installed")
	}
	return xmllint
}

func compareWithXMLLint(t *testing.T, s *schema, xmllint string, text []byte) {
	t.Helper()
	root, err := parseDocument("x.xml", text)
	if err == nil {
		err = s.check(root)
	}
	lint := exec.Command(xmllint, "--nonet", "--noout", "--schema", "honeyplank.xsd", "-")
	lint.Stdin = bytes.NewReader(text)
	out, lintErr := lint.CombinedOutput()
	if (err == nil) != (lintErr == nil) {
		t.Fatalf("schema check: %v\nxmllint: %v\n%s\n%s", err, lintErr, out, text)
	}
}

// childNode is a node below the root with its parent.
type childNode struct{ node, parent *node }

func descendants(n *node) []childNode {
	var all []childNode
	for _, c := range n.children {
		all = append(all, childNode{c, n})
		all = append(all, descendants(c)...)
	}
	return all
}

// The kinds of edit. A byte of an input chooses one of them. The kinds with Again are the same as those without; they
// make these kinds more frequent.
const (
	editDelete = iota
	editRepeat
	editSwap
	editValue
	editValueAgain
	editDropAttribute
	editAddAttribute
	editCopyInto
	editRepeatAgain
	editKinds
)

// editNode edits one node below the root and reports whether there was one. Bytes of an input choose the kind, the node
// and the details of the edit.
func editNode(root *node, kind byte, at, n int) bool {
	all := descendants(root)
	if len(all) == 0 {
		return false
	}
	e, parent := all[at%len(all)].node, all[at%len(all)].parent
	index := slices.Index(parent.children, e)
	names := slices.Sorted(maps.Keys(e.attributes))
	switch kind % editKinds {
	case editDelete:
		parent.children = slices.Delete(parent.children, index, index+1)
	case editRepeat, editRepeatAgain:
		for range 1 + n%9 {
			parent.children = slices.Insert(parent.children, index, e)
		}
	case editSwap:
		other := (index + 1) % len(parent.children)
		parent.children[index], parent.children[other] = parent.children[other], parent.children[index]
	case editValue, editValueAgain:
		if len(names) > 0 {
			e.attributes[names[n%len(names)]] = attributeValues[(n*7+at)%len(attributeValues)]
		}
	case editDropAttribute:
		if len(names) > 0 {
			delete(e.attributes, names[n%len(names)])
		}
	case editAddAttribute:
		e.attributes["x"] = "1"
	case editCopyInto:
		if o := all[n%len(all)].node; o != e && len(e.children) == 0 {
			o.children = append(o.children, e)
		}
	}
	return true
}

// countNodes returns the number of elements. If an element contains itself, it stops and returns a number above every
// limit.
func countNodes(n *node, depth int) int {
	if depth > maxDepth {
		return 1 << 20
	}
	sum := 1
	for _, c := range n.children {
		sum += countNodes(c, depth+1)
		if sum > 1<<20 {
			break
		}
	}
	return sum
}

// writeNode writes a node as XML to a buffer. Writes to a buffer do not fail.
func writeNode(b *bytes.Buffer, n *node) error {
	fmt.Fprintf(b, "<%s", n.name)
	for _, k := range slices.Sorted(maps.Keys(n.attributes)) {
		fmt.Fprintf(b, " %s=\"", k)
		if err := xml.EscapeText(b, []byte(n.attributes[k])); err != nil {
			return err
		}
		b.WriteByte('"')
	}
	b.WriteByte('>')
	for _, c := range n.children {
		if err := writeNode(b, c); err != nil {
			return err
		}
	}
	fmt.Fprintf(b, "</%s>", n.name)
	return nil
}
