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

// Fault is a file in a corpus that is not an input for its target, or an input on which its target fails.
type Fault struct {
	Target Target
	File   string // path, or the name of the input on which the target fails; empty if unknown
	Reason string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.Target, f.File, f.Reason)
}

// Result is the result of one operation on the corpus of one target. Fields that an operation does not set are zero.
type Result struct {
	Target       Target
	Files        int           // number of files in the corpus
	Bytes        int64         // total size of the files
	Elapsed      time.Duration // duration of the run, by Replay and Extend
	Executions   int64         // number of inputs that ran, by Extend
	Added        []string      // names of added files, by Extend
	Removed      []string      // names of removed files, by Minimise
	Upgraded     int           // number of rewritten files, by Extend and Minimise
	SeedCoverage float64       // share of the package's statements that the seeds in the source reach
	Coverage     float64       // share of the statements that the seeds and the corpus reach together
	Crash        string        // file name of a new finding, by Extend; empty if there is none
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
