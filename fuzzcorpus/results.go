package fuzzcorpus

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Permissions of the files and directories of a corpus.
const (
	filePermissions      = 0o644
	directoryPermissions = 0o755
)

// Fault is an input that is none for its target, or on which its target fails.
type Fault struct {
	Target Target
	File   string
	Reason string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.Target, f.File, f.Reason)
}

// Result is the result for one target.
type Result struct {
	Target       Target
	Files        int
	Bytes        int64
	Took         time.Duration
	Executions   int64    // inputs, by Grow
	Added        []string // files, by Grow
	Removed      []string // files, by Minimise
	Upgraded     int      // files, by Grow and Minimise
	SeedCoverage float64  // share of the package's statements that the seeds in the source reach
	Coverage     float64  // share that they reach together with the corpus
	Crash        string   // the file of a new finding; empty: there is none
	Faults       []Fault
}

// countFiles adds the number and size of the target's inputs.
func (r *Result) countFiles(root string) error {
	names, err := r.Target.Files(root)
	for _, name := range names {
		info, err := os.Stat(filepath.Join(r.Target.Directory(root), name))
		if err != nil {
			return err
		}
		r.Files++
		r.Bytes += info.Size()
	}
	return err
}
