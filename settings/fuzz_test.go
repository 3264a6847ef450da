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

// FuzzParse reads any text: no panic; what is taken can be shown, and what is shown reads back as the same.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"examples/gateway.xml", "../faulttest/badday.xml", "../faulttest/sources.xml"} {
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
		shown, err := g.XML()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("shown.xml", shown)
		if err != nil {
			t.Fatalf("what is shown is refused: %v\n%s", err, shown)
		}
		if twice, _ := again.XML(); string(twice) != string(shown) {
			t.Fatalf("shown\n%s\nthen\n%s", shown, twice)
		}
	})
}

// values are what an attribute is set to: at the edges of types and past them.
var values = []string{"", "0", "1", "-1", "1.5", "1e3", "NaN", "1000000", "1000001", "99999999999999999999", "250", "250ms", "1h", "-1s", "4KiB", "4kib", "true", "on",
	"read", "replayable", "127.0.0.1:1", "127.0.0.1:99999", "nqn.2026-12.x:y", "/a/", "a b", "0 1", "\u00e9", " 1 ", "+1", "01", "1.", "all", "x.example."}

// FuzzEdit edits the example's elements and attributes and holds the program's reading of the schema against
// xmllint's, which knows nothing of it: both must take a file, or both refuse it.
func FuzzEdit(f *testing.F) {
	xmllint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			f.Fatal("xmllint is missing; .ci/run installs it")
		}
		f.Skip("no xmllint")
	}
	text, err := os.ReadFile("examples/gateway.xml")
	if err != nil {
		f.Fatal(err)
	}
	s, err := load()
	if err != nil {
		f.Fatal(err)
	}
	for i := range 10 {
		f.Add([]byte{byte(i), byte(3 * i), byte(5 * i)})
	}
	f.Add([]byte{7, 2, 8, 7, 2, 9, 3, 4, 1})
	f.Fuzz(func(t *testing.T, script []byte) {
		root, err := parse("x.xml", text)
		if err != nil {
			t.Fatal(err)
		}
		for edits := 0; len(script) >= 3 && edits < 8; edits++ {
			what, at, n := script[0]%9, int(script[1]), int(script[2])
			script = script[3:]
			var parents, all []*node
			var walk func(*node)
			walk = func(p *node) {
				for _, c := range p.children {
					parents, all = append(parents, p), append(all, c)
					walk(c)
				}
			}
			walk(root)
			if len(all) == 0 {
				break
			}
			e, p := all[at%len(all)], parents[at%len(all)]
			place := slices.Index(p.children, e)
			names := slices.Sorted(maps.Keys(e.attributes))
			switch what {
			case 0:
				p.children = slices.Delete(p.children, place, place+1)
			case 1, 8:
				for range 1 + n%9 {
					p.children = slices.Insert(p.children, place, e)
				}
			case 2:
				other := (place + 1) % len(p.children)
				p.children[place], p.children[other] = p.children[other], p.children[place]
			case 3, 4:
				if len(names) > 0 {
					e.attributes[names[n%len(names)]] = values[(n*7+at)%len(values)]
				}
			case 5:
				if len(names) > 0 {
					delete(e.attributes, names[n%len(names)])
				}
			case 6:
				e.attributes["x"] = "1"
			case 7:
				if o := all[n%len(all)]; o != e && len(e.children) == 0 {
					o.children = append(o.children, e)
				}
			}
			if size(root, 0) > 5000 {
				return
			}
		}
		var b bytes.Buffer
		write(&b, root)
		read, err := parse("x.xml", b.Bytes())
		if err == nil {
			err = s.check("x.xml", read)
		}
		lint := exec.Command(xmllint, "--nonet", "--noout", "--schema", "honeyplank.xsd", "-")
		lint.Stdin = bytes.NewReader(b.Bytes())
		out, other := lint.CombinedOutput()
		if (err == nil) != (other == nil) {
			t.Fatalf("the program: %v\nxmllint: %v\n%s\n%s", err, other, out, b.Bytes())
		}
	})
}

// size is how many elements there are; an element within itself ends it.
func size(n *node, depth int) int {
	if depth > depthMost {
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

func write(b *bytes.Buffer, n *node) {
	fmt.Fprintf(b, "<%s", n.name)
	for _, k := range slices.Sorted(maps.Keys(n.attributes)) {
		fmt.Fprintf(b, " %s=\"", k)
		xml.EscapeText(b, []byte(n.attributes[k]))
		b.WriteByte('"')
	}
	b.WriteByte('>')
	for _, c := range n.children {
		write(b, c)
	}
	fmt.Fprintf(b, "</%s>", n.name)
}
