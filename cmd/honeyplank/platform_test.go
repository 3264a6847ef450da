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

// schedulerConfig is a configuration in the form in which the platform passes it to a scheduler.
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

// configChange changes a configuration; nil means no change.
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

// writeConfig overwrites a file with a configuration.
func writeConfig(t *testing.T, file string, change configChange) {
	t.Helper()
	writeFile(t, file, configText(t, change))
}

// configFile writes a configuration to a new file and returns its path.
func configFile(t *testing.T, change configChange) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, change)
	return file
}

// startPlatform starts a scheduler as the platform does and returns its log lines.
func startPlatform(t *testing.T, file string) (*exec.Cmd, chan string) {
	t.Helper()
	c := exec.Command(binary, "platform")
	c.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	return start(t, c)
}

// TestPlatformStart checks that an invalid configuration gives exit code 2 and one line of output with the file, the
// line, the problem and what is expected, and that the scheduler does not listen.
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
				t.Errorf("exit code %d, want 2 and one line of output: %s", code, out)
			}
			for _, part := range []string{problem, file + ":", "expected "} {
				if !strings.Contains(out, part) {
					t.Errorf("no %q in %s", part, out)
				}
			}
		})
	}
}

// startSilentDiscovery starts a server that accepts connections and never answers, and returns its address.
func startSilentDiscovery(t *testing.T) string {
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

// checkPing checks that a scheduler answers at an address.
func checkPing(t *testing.T, address string) {
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
		t.Fatalf("answer to PING: %q, %v", got, err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// servingAddress returns the address in the log line "serving" of a scheduler.
func servingAddress(t *testing.T, serving string) string {
	t.Helper()
	var line struct{ Address string }
	if err := json.Unmarshal([]byte(serving), &line); err != nil {
		t.Fatal(err)
	}
	return line.Address
}

// TestPlatformSignals checks that a scheduler is ready at once even if discovery does not answer, that SIGHUP applies a
// valid configuration and ignores an invalid one, and that one or several SIGTERM shut it down gracefully.
func TestPlatformSignals(t *testing.T) {
	file := configFile(t, discoveryAt(startSilentDiscovery(t)))
	c, lines := startPlatform(t, file)
	address := servingAddress(t, waitForLine(t, lines, "serving"))
	checkPing(t, address)
	writeConfig(t, file, discoveryAt("nowhere"))
	sendSignal(t, c, syscall.SIGHUP)
	if got := waitForLine(t, lines, "configuration not reloaded"); !strings.Contains(got, `discovery is \"nowhere\"`) {
		t.Error(got)
	}
	checkPing(t, address)
	writeConfig(t, file, nil)
	sendSignal(t, c, syscall.SIGHUP)
	waitForLine(t, lines, discoveryChangedTo("127.0.0.1:1"))
	checkPing(t, address)
	sendSignal(t, c, syscall.SIGTERM)
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, shutdownStarted)
	sendSignal(t, c, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}

// TestPlatformEarlySignal checks that a scheduler that gets SIGTERM before it is ready exits without an error. The
// signal may kill the process if it arrives before the program has started.
func TestPlatformEarlySignal(t *testing.T) {
	file := configFile(t, discoveryAt(startSilentDiscovery(t)))
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			c, _ := startPlatform(t, file)
			time.Sleep(after)
			sendSignal(t, c, syscall.SIGTERM)
			timeout := time.AfterFunc(5*time.Second, func() { kill(t, c) })
			err := c.Wait() // an error if the signal arrived before the program had started
			status := c.ProcessState.Sys().(syscall.WaitStatus)
			if !timeout.Stop() || status.Exited() && status.ExitStatus() != 0 {
				t.Errorf("process state %v, error %v", c.ProcessState, err)
			}
		})
	}
}

// pipeFile creates a configuration file that is a named pipe, so that the test decides when and how a read ends.
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

// waitForReader waits until a process opens the pipe for reading. The read does not end while writer is open.
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
	t.Fatal("timeout: the configuration is not read")
	return nil
}

// answerRead ends a read of the pipe with a text. It first replaces the pipe with a new one for the next read, so that
// no read gets two texts.
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

// answerReads answers reads of the pipe until stop is called. The first read gets the first half of the configuration,
// the others get all of it.
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

// The messages that schedulers log at a reload and at the start of a shutdown.
const (
	reloaded        = `"message":"configuration reloaded"`
	shutdownStarted = `"message":"graceful shutdown started"`
)

// discoveryChangedTo returns the fields in the log line of a reload that has changed the address of discovery.
func discoveryChangedTo(discovery string) string {
	return fmt.Sprintf(`"discovery":%q,"discovery_changed":true`, discovery)
}

// waitForDiscoveryChange waits for a reload, which must have changed the address of discovery.
func waitForDiscoveryChange(t *testing.T, lines chan string, discovery string) {
	t.Helper()
	if got := waitForLine(t, lines, reloaded); !strings.Contains(got, discoveryChangedTo(discovery)) {
		t.Error(got)
	}
}

const newDiscovery = "127.0.0.1:2"

// TestPlatformRead checks that a scheduler starts, applies the newest configuration and handles SIGTERM even if reads
// of the configuration fail temporarily, hang, or find the file partly written, at the start or at SIGHUP.
func TestPlatformRead(t *testing.T) {
	t.Run("SIGTERM while the first read hangs", testTerminateHangingRead)
	t.Run("SIGHUP at any time after the start, inherited as ignored", testReloadIgnoredByShell)
	t.Run("SIGHUP and a partly written file before the scheduler is ready", testReloadBeforeReady)
	t.Run("partly written file and hanging read at SIGHUP", testReloadPartialAndHanging)
	t.Run("temporarily no descriptors, then many SIGHUP in quick succession", testReloadWithoutDescriptors)
}

func testTerminateHangingRead(t *testing.T) {
	file := pipeFile(t)
	c, lines := startPlatform(t, file)
	waitForReader(t, file)
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, errTerminated.Error())
	waitForExit(t, c)
}

// testReloadIgnoredByShell starts schedulers from a shell that ignores SIGHUP, as nohup does. The process inherits that
// the signal is ignored, and must still reload at SIGHUP.
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
	c, lines := startPlatform(t, file)
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

func testReloadPartialAndHanging(t *testing.T) {
	file := pipeFile(t)
	c, lines := startPlatform(t, file)
	stop := answerReads(t, file, nil)
	waitForLine(t, lines, "serving")
	stop()
	sendSignal(t, c, syscall.SIGHUP)
	stop = answerReads(t, file, discoveryAt(newDiscovery))
	waitForDiscoveryChange(t, lines, newDiscovery)
	stop()
	sendSignal(t, c, syscall.SIGHUP)
	waitForReader(t, file)
	for range 20 { // pending SIGHUP must not displace SIGTERM
		sendSignal(t, c, syscall.SIGHUP)
	}
	sendSignal(t, c, syscall.SIGTERM)
	waitForLine(t, lines, shutdownStarted)
	waitForExit(t, c)
}

func testReloadWithoutDescriptors(t *testing.T) {
	file := configFile(t, nil)
	c, lines := startPlatform(t, file)
	waitForLine(t, lines, "serving")
	writeConfig(t, file, discoveryAt(newDiscovery))
	allow := forbidOpeningFiles(t, c)
	sendSignal(t, c, syscall.SIGHUP)
	time.Sleep(readTimeout / 10)
	if err := allow(); err != nil {
		t.Fatal(err)
	}
	waitForDiscoveryChange(t, lines, newDiscovery)
	for n := range 30 { // overwritten in place, so that some reads find the file partly written
		writeConfig(t, file, discoveryAt(fmt.Sprintf("127.0.0.1:%d", 10+n)))
		sendSignal(t, c, syscall.SIGHUP)
	}
	waitForLine(t, lines, discoveryChangedTo("127.0.0.1:39"))
	sendSignal(t, c, syscall.SIGTERM)
	sendSignal(t, c, syscall.SIGTERM)
	waitForExit(t, c)
}
