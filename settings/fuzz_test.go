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

// FuzzParse reads any text: no panic; what is accepted can be shown, and what is shown reads back as the same.
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
			t.Fatalf("%d bytes are allocated for a file of %d", n, len(text))
		}
		if err != nil {
			return
		}
		g.ModuleSettings()
		checkRoundTrip(t, g)
	})
}

// values are what an attribute is set to: at the edges of types and past them.
var values = []string{
	"", "0", "1", "-1", "1.5", "1e3", "NaN", "1000000", "1000001", "99999999999999999999",
	"250", "250ms", "1h", "-1s", "4KiB", "4kib", "true", "on",
	"read", "replayable", "127.0.0.1:1", "127.0.0.1:99999", "nqn.2026-12.x:y", "/a/", "a b", "0 1",
	"\u00e9", " 1 ", "+1", "01", "1.", "all", "x.example.",
}

// Bounds of an edited file: edits of one input, and elements after them.
const (
	maxEdits       = 8
	maxEditedNodes = 5000
)

// FuzzEdit edits the example's elements and attributes and holds the program's reading of the schema against
// xmllint's, which knows nothing of it: both must accept a file, or both reject it.
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
		if err := write(&b, root); err != nil {
			t.Fatal(err)
		}
		compareWithXMLLint(t, s, xmllint, b.Bytes())
	})
}

// editAll edits a file as an input says; it tells whether the file has stayed within its bound.
func editAll(root *node, script []byte) bool {
	for edits := 0; len(script) >= 3 && edits < maxEdits; edits++ {
		if !edit(root, script[0], int(script[1]), int(script[2])) {
			break
		}
		script = script[3:]
		if size(root, 0) > maxEditedNodes {
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
		f.Skip("no xmllint")
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
		t.Fatalf("the program: %v\nxmllint: %v\n%s\n%s", err, lintErr, out, text)
	}
}

// placed is a node below the root, with its parent.
type placed struct{ node, parent *node }

func descendants(n *node) []placed {
	var all []placed
	for _, c := range n.children {
		all = append(all, placed{c, n})
		all = append(all, descendants(c)...)
	}
	return all
}

// The kinds of edit, as an input's byte names them.
const (
	editDelete = iota
	editRepeat
	editSwap
	editValue
	editOtherValue
	editDropAttribute
	editAddAttribute
	editCopyInto
	editRepeatMore
	editKinds
)

// edit changes one node below the root; it tells whether there was one. The kind, the node and what is done with it
// are chosen by an input's bytes.
func edit(root *node, kind byte, at, n int) bool {
	all := descendants(root)
	if len(all) == 0 {
		return false
	}
	e, parent := all[at%len(all)].node, all[at%len(all)].parent
	place := slices.Index(parent.children, e)
	names := slices.Sorted(maps.Keys(e.attributes))
	switch kind % editKinds {
	case editDelete:
		parent.children = slices.Delete(parent.children, place, place+1)
	case editRepeat, editRepeatMore:
		for range 1 + n%9 {
			parent.children = slices.Insert(parent.children, place, e)
		}
	case editSwap:
		other := (place + 1) % len(parent.children)
		parent.children[place], parent.children[other] = parent.children[other], parent.children[place]
	case editValue, editOtherValue:
		if len(names) > 0 {
			e.attributes[names[n%len(names)]] = values[(n*7+at)%len(values)]
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

// size is how many elements there are; an element within itself ends the count.
func size(n *node, depth int) int {
	if depth > maxDepth {
		return 1 << 20
	}
	sum := 1
	for _, c := range n.children {
		sum += size(c, depth+1)
		if sum > 1<<20 {
			break
		}
	}
	return sum
}

// write puts the text of a node into a buffer, whose writes do not fail.
func write(b *bytes.Buffer, n *node) error {
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
		if err := write(b, c); err != nil {
			return err
		}
	}
	fmt.Fprintf(b, "</%s>", n.name)
	return nil
}
