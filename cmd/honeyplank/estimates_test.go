package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"honeyplank/estimates"
)

// encodedEstimates is a file of one disk server's estimates, saved at a time.
func encodedEstimates(t *testing.T, savedAt time.Time) string {
	t.Helper()
	server := estimates.Server{ID: "127.0.0.1:9", At: savedAt, BestPerUnit: 0.001, Latency: 0.01}
	record := &estimates.Record{Unit: 16 << 10, TypicalLatency: 0.01, Servers: []estimates.Server{server}}
	text, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestEstimatesFile stops and starts a daemon that saves its estimates: a stop writes the file, a start reads it, and a
// damaged one keeps no daemon from serving. The flag's old name does the same.
func TestEstimatesFile(t *testing.T) {
	now := time.Now().UTC()
	for _, flag := range []string{"--estimates", "--learnt"} {
		for _, c := range []struct {
			name, before string
			servers      int // in the file after the stop; no server is listed
		}{
			{"no file", "", 0},
			{"damaged", "damaged", 0},
			{"valid", encodedEstimates(t, now), 1},
			{"stale", encodedEstimates(t, now.Add(-48*time.Hour)), 0},
		} {
			t.Run(flag+" "+c.name, func(t *testing.T) { checkEstimatesFile(t, flag, c.before, c.servers) })
		}
	}
}

// checkEstimatesFile starts and stops a daemon with a file, and counts the servers in what it has saved.
func checkEstimatesFile(t *testing.T, flag, before string, servers int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "estimates")
	if before != "" {
		writeFile(t, file, before)
	}
	t.Run("serve", func(t *testing.T) { startDaemon(t, exampleSettings(t), 1, flag, file) }) // its end is the stop
	r, err := estimates.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Servers) != servers {
		t.Errorf("%d servers, want %d", len(r.Servers), servers)
	}
}

// TestEstimatesFaults stops a daemon while it can open no file, for a moment or for good, and one whose folder is
// missing: it ends gracefully and within its time, logs the fault once, and saves what it can.
func TestEstimatesFaults(t *testing.T) {
	const retrying, notSaved, saved = "saving estimates failed, retrying", "estimates not saved", "estimates saved"
	for _, c := range []estimatesFault{
		{"for a moment", false, true, []string{retrying, saved}},
		{"for good", false, false, []string{retrying, notSaved}},
		{"no folder", true, false, []string{notSaved}},
	} {
		t.Run(c.name, c.check)
	}
}

// estimatesFault is what keeps a daemon from saving its estimates, and what it logs of that.
type estimatesFault struct {
	name          string
	missingFolder bool // in place of a process that can open no file
	passes        bool // the fault, once it has been logged
	messages      []string
}

func (c estimatesFault) check(t *testing.T) {
	const stopTimeout = 2 * time.Second
	folder := t.TempDir()
	if c.missingFolder {
		folder = filepath.Join(folder, "missing")
	}
	file := filepath.Join(folder, "estimates")
	d, lines, _ := startServe(t, exampleSettings(t), 1, "--stop", stopTimeout.String(), "--estimates", file)
	allow := func() error { return nil }
	if !c.missingFolder {
		allow = forbidFiles(t, d)
	}
	began := time.Now()
	sendSignal(t, d, syscall.SIGTERM)
	messages := c.follow(t, lines, func() {
		if err := allow(); err != nil && d.ProcessState != nil {
			t.Fatal(err)
		}
	})
	if err := d.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	const busyMachine = 5 * time.Second
	if took := time.Since(began); took > stopTimeout+saveReturnGrace+busyMachine {
		t.Errorf("its stop took %v", took)
	}
	if !slices.Equal(messages, c.messages) {
		t.Errorf("it logged %q, want %q", messages, c.messages)
	}
	if _, err := estimates.Read(file); (err == nil) != c.passes {
		t.Errorf("its file: %v", err)
	}
}

// follow reads a log to its end and returns the messages about the file of estimates. A fault that passes is ended
// once the first of them has come.
func (c estimatesFault) follow(t *testing.T, lines chan string, end func()) []string {
	t.Helper()
	var messages []string
	for line := range lines {
		if message := estimatesMessage(t, line); message != "" {
			messages = append(messages, message)
		}
		if c.passes && len(messages) == 1 {
			end()
		}
	}
	return messages
}

// estimatesMessage is the message of a log line about the file of estimates, with the error that stands for a write
// that hangs; of another line it is empty.
func estimatesMessage(t *testing.T, line string) string {
	t.Helper()
	var l struct{ Message, Error string }
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		t.Errorf("%v in %s", err, line)
	}
	switch {
	case !strings.Contains(l.Message, "estimates"):
		return ""
	case l.Error == errSaveHangs.Error():
		return fmt.Sprintf("%s: %s", l.Message, l.Error)
	}
	return l.Message
}
