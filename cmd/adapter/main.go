// Command adapter hosts instances of the decision module for the simulator. It reads the simulator's messages from
// standard input and writes the replies to standard output. The instances share no state and run on one goroutine. The
// command makes no decisions and opens neither files nor sockets.
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
		_, _ = fmt.Fprintln(os.Stderr, "adapter:", err) // a failed write can't be reported anywhere
		os.Exit(1)
	}
}
