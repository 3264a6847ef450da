package fuzzcorpus

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestMutationsApply checks that the text that each mutation replaces occurs exactly once in its file. A mutation is
// out of date if a change of the source has removed or repeated this text.
func TestMutationsApply(t *testing.T) {
	for _, m := range Mutations {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(m.File)))
		if n := strings.Count(string(text), m.Old); err != nil || n != 1 {
			t.Errorf("%s: %q occurs %d times, expected once; error %v", m.File, m.Old, n, err)
		}
	}
}

// TestCorpusFindsMutations checks that the corpora find one mutation of each of the packages nvme, target and
// initiator.
func TestCorpusFindsMutations(t *testing.T) {
	descriptions := []string{
		"a PDU one byte too short is accepted",
		"a command id that is in use is accepted",
		"success of a Read before its data is accepted",
	}
	var mutations []Mutation
	for _, m := range Mutations {
		if slices.Contains(descriptions, m.Description) {
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
	if err != nil || found != len(descriptions) {
		t.Errorf("the corpora found %d of %d mutations, error %v", found, len(mutations), err)
	}
}
