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

	"golang.org/x/sys/unix"
)

// configuration writes what the platform hands a scheduler, changed by change.
func configuration(t *testing.T, file string, change func(map[string]any)) {
	t.Helper()
	const text = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"caps":{"connect_timeout_ms":250,"max_attempts":3,"streams_per_conn":4},"classes":[{"name":"read","give_up_ms":400,"target_ms":200,
"semantics":"pure","worth":2,"dedup_scope":"all"}],"family_info":{"changes_data":[false],"largest":6,"unit_mean":2},"membership_mode":"automatic",
"models":["std"],"zones":["room"],"peers_total":1,"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1}],"report":{"how":"silent"},
"rules":{"stop_sending_within_ms":1000},"step_ms":1}}`
	var c map[string]any
	err := json.Unmarshal([]byte(text), &c)
	if change != nil {
		change(c)
	}
	if err == nil {
		text, _ := json.Marshal(c)
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// schedulerProcess starts one as the platform does; lines are its log.
func schedulerProcess(t *testing.T, file string) (*exec.Cmd, chan string) {
	t.Helper()
	c := exec.Command(binary, "platform")
	c.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	return started(t, c)
}

// says waits for a line of the log.
func says(t *testing.T, lines chan string, what string) string {
	t.Helper()
	for late := time.After(5 * time.Second); ; {
		select {
		case line, ok := <-lines:
			if strings.Contains(line, what) {
				return line
			}
			if !ok {
				t.Fatalf("it has ended without %q", what)
			}
		case <-late:
			t.Fatalf("no line with %q", what)
		}
	}
}

// TestPlatformStart: a configuration that can't be used is one line with file, line, what is wrong and what would be
// right, exit 2, and nothing listens.
func TestPlatformStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for name, change := range map[string]func(map[string]any){
		`listen is "nowhere"`: func(c map[string]any) { c["listen"] = "nowhere" },
		"sockets is 3":        func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 3 },
		"settings is missing": func(c map[string]any) { delete(c, "settings") },
	} {
		configuration(t, file, change)
		out, code := run(t, "platform", file)
		if code != 2 || strings.Count(strings.TrimSpace(out), "\n") != 0 || !strings.Contains(out, name) ||
			!strings.Contains(out, file+":") || !strings.Contains(out, "expected ") {
			t.Errorf("exit %d: %s", code, out)
		}
	}
}

// TestPlatformSignals: with discovery down a scheduler is ready at once; a configuration that can't be used changes
// nothing at SIGHUP, one that can is taken over; SIGTERM ends it in order, also before it is ready and twice.
func TestPlatformSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it takes calls up and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	down := func(c map[string]any) { c["discovery"] = silent.Addr().String() }
	configuration(t, file, down)
	c, lines := schedulerProcess(t, file)
	var line struct{ Address string }
	json.Unmarshal([]byte(says(t, lines, "serving")), &line)
	ping := func() {
		t.Helper()
		k, err := net.DialTimeout("tcp", line.Address, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		k.SetDeadline(time.Now().Add(time.Second))
		k.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		if got, err := bufio.NewReader(k).ReadString('\n'); got != "+PONG\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	ping()
	configuration(t, file, func(c map[string]any) { c["discovery"] = "nowhere" })
	c.Process.Signal(syscall.SIGHUP)
	if got := says(t, lines, "stays as it was"); !strings.Contains(got, `discovery is \"nowhere\"`) {
		t.Error(got)
	}
	ping()
	configuration(t, file, nil)
	c.Process.Signal(syscall.SIGHUP)
	says(t, lines, `"discovery":"127.0.0.1:1","discovery_changed":true`)
	ping()
	c.Process.Signal(syscall.SIGTERM)
	c.Process.Signal(syscall.SIGTERM)
	says(t, lines, "graceful shutdown started")
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	// Before it is ready: whenever the signal comes it ends by itself, and not by a fault.
	configuration(t, file, down)
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		c, _ := schedulerProcess(t, file)
		time.Sleep(after)
		c.Process.Signal(syscall.SIGTERM)
		late := time.AfterFunc(5*time.Second, func() { c.Process.Kill() })
		c.Wait()
		if s := c.ProcessState.Sys().(syscall.WaitStatus); !late.Stop() || s.Exited() && s.ExitStatus() != 0 {
			t.Errorf("after %v: %v", after, c.ProcessState)
		}
	}
}

// queue makes a configuration file that is a named pipe: a read of it is what the test makes of it, when the test does.
func queue(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "queue")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// asked waits until someone reads the queue. As long as the writer is open, the read does not end.
func asked(t *testing.T, file string) (writer *os.File) {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); time.Now().Before(late); time.Sleep(time.Millisecond) {
		if f, err := os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			t.Cleanup(func() { f.Close() })
			return f
		}
	}
	t.Fatal("nobody reads the configuration")
	return nil
}

// answer ends a read of the queue with a text. The next read finds another pipe there, so that none gets two answers.
func answer(t *testing.T, writer *os.File, text []byte) {
	file := writer.Name()
	err := syscall.Mkfifo(file+".next", 0o600)
	if err == nil {
		err = os.Rename(file+".next", file)
	}
	if err == nil {
		_, err = writer.Write(text)
	}
	if err = errors.Join(err, writer.Close()); err != nil {
		t.Error(err)
	}
}

// feed answers reads of the queue until stop is called: the first with a part of the configuration, the others with
// the whole.
func feed(t *testing.T, file string, change func(map[string]any)) (stop func()) {
	t.Helper()
	whole := filepath.Join(t.TempDir(), "whole")
	configuration(t, whole, change)
	text, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	answer(t, asked(t, file), text[:len(text)/2])
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Millisecond):
			}
			if f, err := os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
				answer(t, f, text)
			}
		}
	}()
	return func() { close(end); <-ended }
}

// ends waits for a process that was told to end: by itself, in order, and not by the signal.
func ends(t *testing.T, c *exec.Cmd) {
	t.Helper()
	late := time.AfterFunc(10*time.Second, func() { c.Process.Kill() })
	if err := c.Wait(); err != nil || !late.Stop() {
		t.Errorf("it ended with %v", err)
	}
}

// TestPlatformRead has reads of the configuration fail for a moment, hang, or find it half written, at the start and at
// SIGHUP: none of it keeps a scheduler from starting, from the newest configuration, or from hearing SIGTERM.
func TestPlatformRead(t *testing.T) {
	const anew = `"message":"configuration reloaded"`
	moved := func(c map[string]any) { c["discovery"] = "127.0.0.1:2" }
	t.Run("SIGTERM while the first read hangs", func(t *testing.T) {
		file := queue(t)
		c, lines := schedulerProcess(t, file)
		asked(t, file)
		c.Process.Signal(syscall.SIGTERM)
		says(t, lines, errEnded.Error())
		ends(t, c)
	})
	t.Run("SIGHUP at any time after the start, where the shell ignores it", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "config.json")
		configuration(t, file, nil)
		for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			c, lines := started(t, exec.Command("/bin/sh", "-c", "trap '' HUP; echo ignored >&2; exec "+binary+" platform "+file))
			says(t, lines, "ignored")
			time.Sleep(after)
			c.Process.Signal(syscall.SIGHUP)
			says(t, lines, "serving")
			c.Process.Signal(syscall.SIGHUP)
			says(t, lines, anew)
			c.Process.Signal(syscall.SIGTERM)
			ends(t, c)
		}
	})
	t.Run("SIGHUP and a half file before it is ready", func(t *testing.T) {
		file := queue(t)
		c, lines := schedulerProcess(t, file)
		writer := asked(t, file)
		c.Process.Signal(syscall.SIGHUP)
		answer(t, writer, nil)
		stop := feed(t, file, nil)
		says(t, lines, "serving")
		c.Process.Signal(syscall.SIGHUP)
		says(t, lines, anew)
		stop()
		c.Process.Signal(syscall.SIGTERM)
		ends(t, c)
	})
	t.Run("a half file, and one that hangs, at SIGHUP", func(t *testing.T) {
		file := queue(t)
		c, lines := schedulerProcess(t, file)
		stop := feed(t, file, nil)
		says(t, lines, "serving")
		stop()
		c.Process.Signal(syscall.SIGHUP)
		stop = feed(t, file, moved)
		if got := says(t, lines, anew); !strings.Contains(got, `"discovery":"127.0.0.1:2","discovery_changed":true`) {
			t.Error(got)
		}
		stop()
		c.Process.Signal(syscall.SIGHUP)
		asked(t, file)
		for range 20 { // none of these takes the place of the signal to end
			c.Process.Signal(syscall.SIGHUP)
		}
		c.Process.Signal(syscall.SIGTERM)
		says(t, lines, "graceful shutdown started")
		ends(t, c)
	})
	t.Run("no descriptor for a moment, and many in quick succession", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "config.json")
		configuration(t, file, nil)
		c, lines := schedulerProcess(t, file)
		says(t, lines, "serving")
		configuration(t, file, moved)
		var usual unix.Rlimit
		err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, nil, &usual)
		if err == nil {
			err = unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Max: usual.Max}, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		c.Process.Signal(syscall.SIGHUP)
		time.Sleep(readWithin / 10)
		if err := unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil {
			t.Fatal(err)
		}
		if got := says(t, lines, anew); !strings.Contains(got, `"discovery":"127.0.0.1:2","discovery_changed":true`) {
			t.Error(got)
		}
		for n := range 30 { // written in place, so that some are read half
			configuration(t, file, func(c map[string]any) { c["discovery"] = fmt.Sprintf("127.0.0.1:%d", 10+n) })
			c.Process.Signal(syscall.SIGHUP)
		}
		says(t, lines, `"discovery":"127.0.0.1:39","discovery_changed":true`)
		c.Process.Signal(syscall.SIGTERM)
		c.Process.Signal(syscall.SIGTERM)
		ends(t, c)
	})
}
