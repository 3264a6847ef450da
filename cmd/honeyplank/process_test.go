package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"honeyplank/settings"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// runTests builds the program and runs the tests.
func runTests(m *testing.M) (code int, err error) {
	dir, err := os.MkdirTemp("", "honeyplank")
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	binary = filepath.Join(dir, "honeyplank")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	return m.Run(), nil
}

// run runs the program until it ends and returns its output and exit code.
func run(t *testing.T, arguments ...string) (out string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, binary, arguments...)
	b, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(b), c.ProcessState.ExitCode()
}

// start starts a command and returns the lines that it writes to the standard error.
func start(t *testing.T, c *exec.Cmd) (*exec.Cmd, chan string) {
	t.Helper()
	log, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kill(t, c) })
	lines := make(chan string, 1024)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(log); s.Scan(); {
			lines <- s.Text()
		}
	}()
	return c, lines
}

func kill(t *testing.T, c *exec.Cmd) {
	t.Helper()
	sendSignal(t, c, os.Kill)
}

// sendSignal sends a signal to a process. It is no error if the process has ended.
func sendSignal(t *testing.T, c *exec.Cmd, s os.Signal) {
	t.Helper()
	if err := c.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("sending signal %v: %v", s, err)
	}
}

// waitForLine waits for a log line that contains a text, and returns the line.
func waitForLine(t *testing.T, lines chan string, text string) string {
	t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case line, ok := <-lines:
			if strings.Contains(line, text) {
				return line
			}
			if !ok {
				t.Fatalf("the log ended without a line with %q", text)
			}
		case <-timeout:
			t.Fatalf("timeout: no log line with %q", text)
		}
	}
}

// waitForExit waits for a process that was sent a signal to terminate. The process must exit in time with code 0, and
// must not be killed by the signal.
func waitForExit(t *testing.T, c *exec.Cmd) {
	t.Helper()
	timeout := time.AfterFunc(10*time.Second, func() { kill(t, c) })
	if err := c.Wait(); err != nil || !timeout.Stop() {
		t.Errorf("the process ended with %v", err)
	}
}

// forbidOpeningFiles sets the limit of open files of a process to 0; allow restores the limit.
func forbidOpeningFiles(t *testing.T, c *exec.Cmd) (allow func() error) {
	t.Helper()
	var usual unix.Rlimit
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
		t.Fatal(err)
	}
	noFiles := &unix.Rlimit{Cur: 0, Max: usual.Max}
	if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, noFiles, nil); err != nil {
		t.Fatal(err)
	}
	return func() error { return unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &usual, nil) }
}

// startServe runs the serve command and returns the address on which it listens. The channel lines gets the log lines
// after the one with the address.
func startServe(
	t *testing.T, s *settings.Gateway, seed int, flags ...string,
) (c *exec.Cmd, lines chan string, address string) {
	t.Helper()
	text, err := s.XML()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "gateway.xml")
	writeFile(t, file, string(text))
	arguments := append([]string{"serve", "--seed", fmt.Sprint(seed), file}, flags...)
	c, lines = start(t, exec.Command(binary, arguments...))
	for text := range lines {
		var line struct{ Address string }
		if json.Unmarshal([]byte(text), &line) != nil || line.Address == "" {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", line.Address); err == nil {
			return c, lines, line.Address
		}
	}
	t.Fatal("the daemon did not log the address on which it listens")
	return nil, nil, ""
}

// startDaemon runs the serve command and returns the address on which it listens. The end of the test stops the daemon
// gracefully.
func startDaemon(t *testing.T, s *settings.Gateway, seed int, flags ...string) string {
	t.Helper()
	c, lines, address := startServe(t, s, seed, flags...)
	t.Cleanup(func() {
		sendSignal(t, c, syscall.SIGTERM)
		for range lines {
		}
		if err := c.Wait(); err != nil {
			t.Errorf("the daemon ended with %v", err)
		}
	})
	return address
}

const exampleFile = "../../settings/examples/gateway.xml"

func readFile(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// exampleSettings returns the settings of a gateway that discovers no disk server.
func exampleSettings(t *testing.T) *settings.Gateway {
	t.Helper()
	text := strings.Replace(readFile(t, exampleFile), "127.0.0.1:4420", "127.0.0.1:0", 1)
	s, err := settings.Parse("example", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
