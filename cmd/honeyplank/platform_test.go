package main

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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

// scheduler starts one as the platform does; lines are its log.
func scheduler(t *testing.T, file string) (*exec.Cmd, chan string) {
	t.Helper()
	c := exec.Command(binary, "platform")
	c.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	log, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	lines := make(chan string, 1024)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(log); s.Scan(); {
			lines <- s.Text()
		}
	}()
	return c, lines
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
	c, lines := scheduler(t, file)
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
	says(t, lines, `"discovery":"127.0.0.1:1","moved":true`)
	ping()
	c.Process.Signal(syscall.SIGTERM)
	c.Process.Signal(syscall.SIGTERM)
	says(t, lines, "ending")
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	// Before it is ready: whenever the signal comes it ends by itself, and not by a fault.
	configuration(t, file, down)
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		c, _ := scheduler(t, file)
		time.Sleep(after)
		c.Process.Signal(syscall.SIGTERM)
		late := time.AfterFunc(5*time.Second, func() { c.Process.Kill() })
		c.Wait()
		if s := c.ProcessState.Sys().(syscall.WaitStatus); !late.Stop() || s.Exited() && s.ExitStatus() != 0 {
			t.Errorf("after %v: %v", after, c.ProcessState)
		}
	}
}
