package overload

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// mixedPart is the mean length of one abuse in a mixed run.
const mixedPart = 4 * time.Second

// Select returns the abuses with the given names, or all of them if there are no names.
func Select(names []string) ([]Abuse, error) {
	if len(names) == 0 {
		return Abuses, nil
	}
	var selected []Abuse
	for _, name := range names {
		i := slices.IndexFunc(Abuses, func(x Abuse) bool { return x.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no abuse %q, expected one of %q", name, allNames())
		}
		selected = append(selected, Abuses[i])
	}
	return selected, nil
}

func allNames() (names []string) {
	for _, x := range Abuses {
		names = append(names, x.Name)
	}
	return names
}

// OneByOne returns one run for each abuse.
func OneByOne(abuses []Abuse) (runs [][]Abuse) {
	for _, x := range abuses {
		runs = append(runs, []Abuse{x})
	}
	return runs
}

// Mix returns the abuses of a mixed run of the given length: all of them, again and again, in an order that follows
// from the seed.
func Mix(abuses []Abuse, length time.Duration, seed int64) (mixed []Abuse) {
	rng := rand.New(rand.NewSource(seed))
	for parts := max(int(length/mixedPart), 1); len(mixed) < parts; {
		for _, i := range rng.Perm(len(abuses)) {
			mixed = append(mixed, abuses[i])
		}
	}
	return mixed[:max(int(length/mixedPart), 1)]
}
