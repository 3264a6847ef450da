package fuzzcorpus

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestMutationsApply checks that every mutation still fits the text of its file.
func TestMutationsApply(t *testing.T) {
	for _, m := range Mutations {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(m.File)))
		if n := strings.Count(string(text), m.Old); err != nil || n != 1 {
			t.Errorf("%s: %q stands %d times, %v", m.File, m.Old, n, err)
		}
	}
}

// TestSabotage checks that the corpora find one mutation of each side of the protocol.
func TestSabotage(t *testing.T) {
	kinds := []string{"a PDU one byte short is read", "an id that is in use is taken again", "success before the data"}
	var mutations []Mutation
	for _, m := range Mutations {
		if slices.Contains(kinds, m.Description) {
			mutations = append(mutations, m)
		}
	}
	found := 0
	err := Mutate(context.Background(), "..", mutations, 1, func(r MutationResult) {
		if r.FoundByCorpus && r.Replayed > 0 {
			found++
		} else {
			t.Logf("%+v", r)
		}
	})
	if err != nil || found != len(kinds) {
		t.Errorf("%d of %d found, %v", found, len(mutations), err)
	}
}
