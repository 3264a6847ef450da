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

// killDelay is how long a command whose context is done may take to end.
const killDelay = 5 * time.Second

// What the go command prints when it fuzzes.
var (
	findingFile    = regexp.MustCompile(`Failing input written to (\S+)`)
	executionCount = regexp.MustCompile(`execs: (\d+)`)
)

// runCommand runs a program in a directory and returns its output, both streams together.
func runCommand(ctx context.Context, directory, program string, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.Dir = directory
	command.WaitDelay = killDelay
	output, err := command.CombinedOutput()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return string(output), err
}

// buildTests compiles the test binary of a target's package into a directory and returns its path.
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

// executions returns how many inputs the go command has tried; 0 where it printed no count.
func executions(output string) int64 {
	counts := executionCount.FindAllStringSubmatch(output, -1)
	if len(counts) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(counts[len(counts)-1][1], 10, 64) // digits, as the pattern says
	return n
}

// writtenFinding returns the path, below the package, of the input that the go command has found to fail; ok is false
// if there is none.
func writtenFinding(output string) (path string, ok bool) {
	match := findingFile.FindStringSubmatch(output)
	if match == nil {
		return "", false
	}
	return filepath.FromSlash(match[1]), true
}

// failedInput returns the input that the output of a target's test names as failed; empty: it names none.
func failedInput(target, output string) string {
	match := regexp.MustCompile(`--- FAIL: ` + target + `/(\S+)`).FindStringSubmatch(output)
	if match == nil {
		return ""
	}
	return match[1]
}
