package main

import (
	"bufio"
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
)

// schedulerConfig is a configuration as the platform hands it to a scheduler.
const schedulerConfig = `{
  "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
  "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
  "settings": {
    "caps": {"connect_timeout_ms": 250, "max_attempts": 3, "streams_per_conn": 4},
    "classes": [{"name": "read", "give_up_ms": 400, "target_ms": 200, "semantics": "pure", "worth": 2,
      "dedup_scope": "all"}],
    "family_info": {"changes_data": [false], "largest": 6, "unit_mean": 2},
    "membership_mode": "automatic", "models": ["std"], "zones": ["room"], "peers_total": 1,
    "plans": [{"name": "gold", "rate": 1000, "reserve": 1000, "weight": 1}], "report": {"how": "silent"},
    "rules": {"stop_sending_within_ms": 1000}, "step_ms": 1
  }
}`

// configChange changes a configuration; nil: nothing.
type configChange func(map[string]any)

func discoveryAt(address string) configChange {
	return func(c map[string]any) { c["discovery"] = address }
}

func configText(t *testing.T, change configChange) string {
	t.Helper()
	var c map[string]any
	if err := json.Unmarshal([]byte(schedulerConfig), &c); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(c)
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// writeConfig writes a configuration in place.
func writeConfig(t *testing.T, file string, change configChange) {
	t.Helper()
	writeFile(t, file, configText(t, change))
}

// configFile is the path of a file with a configuration.
func configFile(t *testing.T, change configChange) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, change)
	return file
}

// startScheduling starts a scheduler as the platform does; lines are its log.
func startScheduling(t *testing.T, file string) (*exec.Cmd, chan string) {
	t.Helper()
	c := exec.Command(binary, "platform")
	c.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	return start(t, c)
}

// TestPlatformStart: a configuration that can't be used is one line with file, line, what is wrong and what would be
// right, exit 2, and nothing listens.
func TestPlatformStart(t *testing.T) {
	for problem, change := range map[string]configChange{
		`listen is "nowhere"`: func(c map[string]any) { c["listen"] = "nowhere" },
		"sockets is 3":        func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 3 },
		"settings is missing": func(c map[string]any) { delete(c, "settings") },
	} {
		t.Run(problem, func(t *testing.T) {
			file := configFile(t, change)
			out, code := run(t, "platform", file)
			if code != 2 || strings.Count(strings.TrimSpace(out), "\n") != 0 {
				t.Errorf("exit %d: %s", code, out)
			}
			for _, part := range []string{problem, file + ":", "expected "} {
				if !strings.Contains(out, part) {
					t.Errorf("no %q in %s", part, out)
				}
			}
		})
	}
}

// silentDiscovery is the address of a server that accepts connections and never answers.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// ping checks that a scheduler answers at an address.
func ping(t *testing.T, address string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	err = conn.SetDeadline(time.Now().Add(time.Second))
	if err == nil {
		_, err = conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	}
	if err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(conn).ReadString('\n'); got != "+PONG\r\n" {
		t.Fatalf("%q, %v", got, err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// addressOf reads the address from the log line that a scheduler serves.
func addressOf(t *testing.T, serving string) string {
	t.Helper()
	var line struct{ Address string }
	if err := json.Unmarshal([]byte(serving), &line); err != nil {
		t.Fatal(err)
	}
	return line.Address
}

// TestPlatformSignals: with discovery down a scheduler is ready at once; a configuration that can't be used changes
// nothing at SIGHUP, one that can is applied; SIGTERM ends it gracefully, also twice.
func TestPlatformSignals(t *testing.T) {
	file := configFile(t, discoveryAt(silentDiscovery(t)))
	c, lines := startScheduling(t, file)
	address := addressOf(t, waitForLine(t, lines, "serving"))
	ping(t, address)
	writeConfig(t, file, discoveryAt("nowhere"))
	sendSignal(t, c, syscall.SIGHUP)
	if got := waitForLine(t, lines, "configuration not reloaded"); !strings.Contains(got, `discovery is \"nowhere\"`) {
		t.Error(got)
	}
	ping(t, address)
	writeConfig(t, file, nil)
	sendSignal(t, c, syscall.SIGHUP)
	waitForLine(t, lines, movedTo("127.0.0.1:1"))
	ping(t, address)
	sendSignal(t, c, syscall.SIGTERM)
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, shuttingDown)
	sendSignal(t, c, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}

// TestPlatformEarlySignal: whenever SIGTERM comes before a scheduler is ready it ends by itself, and without an error.
func TestPlatformEarlySignal(t *testing.T) {
	file := configFile(t, discoveryAt(silentDiscovery(t)))
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			c, _ := startScheduling(t, file)
			time.Sleep(after)
			sendSignal(t, c, syscall.SIGTERM)
			timeout := time.AfterFunc(5*time.Second, func() { kill(t, c) })
			err := c.Wait() // an error where the signal came before the program had begun
			status := c.ProcessState.Sys().(syscall.WaitStatus)
			if !timeout.Stop() || status.Exited() && status.ExitStatus() != 0 {
				t.Errorf("%v, %v", c.ProcessState, err)
			}
		})
	}
}

// pipeFile makes a configuration file that is a named pipe: a read of it is what the test makes of it, when the test
// does.
func pipeFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func openPipe(file string) (*os.File, error) {
	return os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
}

// waitForReader waits until someone reads the pipe. As long as the writer is open, the read does not end.
func waitForReader(t *testing.T, file string) (writer *os.File) {
	t.Helper()
	for timeout := time.Now().Add(10 * time.Second); time.Now().Before(timeout); time.Sleep(time.Millisecond) {
		writer, err := openPipe(file)
		if err != nil {
			continue
		}
		t.Cleanup(func() {
			if err := writer.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
				t.Error(err)
			}
		})
		return writer
	}
	t.Fatal("nobody reads the configuration")
	return nil
}

// answerRead ends a read of the pipe with a text. The next read finds another pipe there, so that none gets two
// answers.
func answerRead(t *testing.T, writer *os.File, text string) {
	t.Helper()
	file := writer.Name()
	err := syscall.Mkfifo(file+".next", 0o600)
	if err == nil {
		err = os.Rename(file+".next", file)
	}
	if err == nil {
		_, err = writer.WriteString(text)
	}
	if err = errors.Join(err, writer.Close()); err != nil {
		t.Error(err)
	}
}

// answerReads answers reads of the pipe until stop is called: the first with a part of the configuration, the others
// with the whole.
func answerReads(t *testing.T, file string, change configChange) (stop func()) {
	t.Helper()
	text := configText(t, change)
	answerRead(t, waitForReader(t, file), text[:len(text)/2])
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Millisecond):
			}
			if writer, err := openPipe(file); err == nil {
				answerRead(t, writer, text)
			}
		}
	}()
	return func() { close(end); <-ended }
}

// What schedulers log of reloads and shutdowns.
const (
	reloaded     = `"message":"configuration reloaded"`
	shuttingDown = `"message":"graceful shutdown started"`
)

// movedTo is what the log line of a reload has where discovery's address has changed.
func movedTo(discovery string) string {
	return fmt.Sprintf(`"discovery":%q,"discovery_changed":true`, discovery)
}

// waitForMove waits for a reload that has changed discovery's address.
func waitForMove(t *testing.T, lines chan string, discovery string) {
	t.Helper()
	if got := waitForLine(t, lines, reloaded); !strings.Contains(got, movedTo(discovery)) {
		t.Error(got)
	}
}

const newDiscovery = "127.0.0.1:2"

// TestPlatformRead has reads of the configuration fail for a moment, hang, or find it half written, at the start and at
// SIGHUP: none of it keeps a scheduler from starting, from the newest configuration, or from hearing SIGTERM.
func TestPlatformRead(t *testing.T) {
	t.Run("SIGTERM while the first read hangs", testTerminateHangingRead)
	t.Run("SIGHUP at any time after the start, where the shell ignores it", testReloadIgnoredByShell)
	t.Run("SIGHUP and a half file before it is ready", testReloadBeforeReady)
	t.Run("a half file, and one that hangs, at SIGHUP", testReloadHalfAndHanging)
	t.Run("no descriptor for a moment, and many in quick succession", testReloadWithoutDescriptors)
}

func testTerminateHangingRead(t *testing.T) {
	file := pipeFile(t)
	c, lines := startScheduling(t, file)
	waitForReader(t, file)
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, errTerminated.Error())
	waitForExit(t, c)
}

func testReloadIgnoredByShell(t *testing.T) {
	file := configFile(t, nil)
	script := "trap '' HUP; echo ignored >&2; exec " + binary + " platform " + file
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
		c, lines := start(t, exec.Command("/bin/sh", "-c", script))
		waitForLine(t, lines, "ignored")
		time.Sleep(after)
		sendSignal(t, c, syscall.SIGHUP)
		waitForLine(t, lines, "serving")
		sendSignal(t, c, syscall.SIGHUP)
		waitForLine(t, lines, reloaded)
		sendSignal(t, c, syscall.SIGTERM)
		waitForExit(t, c)
	}
}

func testReloadBeforeReady(t *testing.T) {
	file := pipeFile(t)
	c, lines := startScheduling(t, file)
	writer := waitForReader(t, file)
	sendSignal(t, c, syscall.SIGHUP)
	answerRead(t, writer, "")
	stop := answerReads(t, file, nil)
	waitForLine(t, lines, "serving")
	sendSignal(t, c, syscall.SIGHUP)
	waitForLine(t, lines, reloaded)
	stop()
	sendSignal(t, c, syscall.SIGTERM)
	waitForExit(t, c)
}

func testReloadHalfAndHanging(t *testing.T) {
	file := pipeFile(t)
	c, lines := startScheduling(t, file)
	stop := answerReads(t, file, nil)
	waitForLine(t, lines, "serving")
	stop()
	sendSignal(t, c, syscall.SIGHUP)
	stop = answerReads(t, file, discoveryAt(newDiscovery))
	waitForMove(t, lines, newDiscovery)
	stop()
	sendSignal(t, c, syscall.SIGHUP)
	waitForReader(t, file)
	for range 20 { // none of these takes the place of the signal to end
		sendSignal(t, c, syscall.SIGHUP)
	}
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, shuttingDown)
	waitForExit(t, c)
}

func testReloadWithoutDescriptors(t *testing.T) {
	file := configFile(t, nil)
	c, lines := startScheduling(t, file)
	waitForLine(t, lines, "serving")
	writeConfig(t, file, discoveryAt(newDiscovery))
	allow := forbidFiles(t, c)
	sendSignal(t, c, syscall.SIGHUP)
	time.Sleep(readTimeout / 10)
	if err := allow(); err != nil {
		t.Fatal(err)
	}
	waitForMove(t, lines, newDiscovery)
	for n := range 30 { // written in place, so that some are read half
		writeConfig(t, file, discoveryAt(fmt.Sprintf("127.0.0.1:%d", 10+n)))
		sendSignal(t, c, syscall.SIGHUP)
	}
	waitForLine(t, lines, movedTo("127.0.0.1:39"))
	sendSignal(t, c, syscall.SIGTERM)
	sendSignal(t, c, syscall.SIGTERM)
	waitForExit(t, c)
}
