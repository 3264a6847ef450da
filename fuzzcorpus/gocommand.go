package fuzzcorpus

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// commandWaitDelay bounds the time from the end of a command's context until its output pipes are closed.
const commandWaitDelay = 5 * time.Second

// Patterns for the output of the go command when it fuzzes.
var (
	failingInputPattern = regexp.MustCompile(`Failing input written to (\S+)`)
	executionsPattern   = regexp.MustCompile(`execs: (\d+)`)
)

// runCommand runs a program in a directory and returns its standard output and standard error, combined.
func runCommand(ctx context.Context, directory, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = directory
	command.WaitDelay = commandWaitDelay
	output, err := command.CombinedOutput()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return string(output), err
}

// buildTests builds the test binary of a target's package, writes it to the directory into and returns its path.
func buildTests(ctx context.Context, root string, t Target, into string, flags ...string) (string, error) {
	binary := filepath.Join(into, strings.ReplaceAll(t.Package, "/", "-")+".test")
	arguments := append([]string{"test", "-c", "-o", binary}, flags...)
	arguments = append(arguments, "./"+t.Package)
	output, err := runCommand(ctx, root, "go", arguments...)
	if err != nil {
		return "", fmt.Errorf("fuzzcorpus: building the tests of %s: %w\n%s", t.Package, err, output)
	}
	return binary, nil
}

// executions returns the number of executions that the go command has printed last, or 0 if it printed none.
func executions(output string) int64 {
	counts := executionsPattern.FindAllStringSubmatch(output, -1)
	if len(counts) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(counts[len(counts)-1][1], 10, 64) // the pattern matches only digits
	return n
}

// failingInputPath returns the path, relative to the package, of the failing input that the go command has written. ok
// is false if there is none.
func failingInputPath(output string) (path string, ok bool) {
	match := failingInputPattern.FindStringSubmatch(output)
	if match == nil {
		return "", false
	}
	return filepath.FromSlash(match[1]), true
}

// failedInput returns the name of the input that failed according to the output of a target's test, or "" if there is
// none.
func failedInput(target, output string) string {
	match := regexp.MustCompile(`--- FAIL: ` + target + `/(\S+)`).FindStringSubmatch(output)
	if match == nil {
		return ""
	}
	return match[1]
}
