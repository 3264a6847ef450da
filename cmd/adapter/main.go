// Command adapter hosts instances of the decision module in the simulator, whose messages it reads from standard input
// and answers on standard output. The instances share nothing and run on one goroutine. The command decides nothing and
// opens neither files nor sockets.
package main

import (
	"fmt"
	"os"

	"honeyplank"
	"honeyplank/internal/simwire"
	"honeyplank/policy"
)

func main() {
	newModule := func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule {
		return policy.New(seed, settings)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, newModule); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "adapter:", err) // there is nowhere else to report to
		os.Exit(1)
	}
}
