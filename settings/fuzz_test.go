package settings

import (
	"os"
	"testing"
)

// FuzzParse reads any text: no panic; what is taken can be shown, and what is shown reads back as the same.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"examples/gateway.xml", "../rehearse/badday.xml", "../rehearse/sources.xml"} {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		g, err := Parse("x.xml", text)
		if err != nil {
			return
		}
		g.Values()
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
