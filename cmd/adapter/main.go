// Command adapter hosts instances of the decision module, one a scheduler,
// between the simulator's wire on standard input and output. The instances
// share nothing.
package main

import (
	"fmt"
	"honeyplank"
	"os"

	"honeyplank/internal/simwire"
	"honeyplank/policy"
)

func main() {
	start := func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule {
		return policy.New(seed, settings)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
