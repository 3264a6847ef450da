// Package review runs the cases of the review, which stay out of the default run, as benchmarks. review/build.sh and
// the build of the deploy file come first.
package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// notRun is the exit code of a script whose case could not run.
const notRun = 2

// runScript runs the script of a case once and fails if the rule was broken.
func runScript(b *testing.B, script string) {
	b.Helper()
	command := exec.Command("bash", script)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == notRun:
		b.Skip("the case could not run")
	default:
		b.Fatal(err)
	}
}

func BenchmarkReviewCase1(b *testing.B) { runScript(b, "1/run.sh") }

func BenchmarkReviewCase2(b *testing.B) { runScript(b, "2/run.sh") }

func BenchmarkReviewCase3(b *testing.B) { runScript(b, "3/run.sh") }

// BenchmarkReviewOverload is a play of part two that is no case.
func BenchmarkReviewOverload(b *testing.B) { runScript(b, "overload.sh") }

// BenchmarkReviewLateCopy is a play of part one that is no case.
func BenchmarkReviewLateCopy(b *testing.B) { runScript(b, "late.sh") }
