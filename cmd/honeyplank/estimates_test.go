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

// encodedEstimates returns a file with the estimates of one disk server, saved at the given time.
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

// TestEstimatesFile checks that a daemon reads its file of estimates when it starts, that it starts even if the file is
// damaged, and that it writes the file when it stops. The old name of the flag must have the same effect.
func TestEstimatesFile(t *testing.T) {
	now := time.Now().UTC()
	for _, flag := range []string{"--estimates", "--learnt"} {
		for _, c := range []struct {
			name, before string
			servers      int // in the file after the stop; the endpoint list is empty
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

// checkEstimatesFile starts and stops a daemon with a file, and checks the number of servers in the saved file.
func checkEstimatesFile(t *testing.T, flag, before string, servers int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "estimates")
	if before != "" {
		writeFile(t, file, before)
	}
	// The cleanup of the subtest stops the daemon.
	t.Run("serve", func(t *testing.T) { startDaemon(t, exampleSettings(t), 1, flag, file) })
	r, err := estimates.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Servers) != servers {
		t.Errorf("%d servers in the file, want %d", len(r.Servers), servers)
	}
}

// TestEstimatesFaults stops a daemon while it can't open files, temporarily or permanently, or while the folder of its
// file is missing. The daemon must shut down gracefully and in time, log each error once, and save the estimates if the
// fault is temporary.
func TestEstimatesFaults(t *testing.T) {
	const retrying, notSaved, saved = "saving estimates failed, retrying", "estimates not saved", "estimates saved"
	for _, c := range []estimatesFault{
		{"temporarily no files", false, true, []string{retrying, saved}},
		{"permanently no files", false, false, []string{retrying, notSaved}},
		{"missing folder", true, false, []string{notSaved}},
	} {
		t.Run(c.name, c.check)
	}
}

// estimatesFault is a fault while a daemon saves its estimates, with the messages that the daemon must log.
type estimatesFault struct {
	name          string
	missingFolder bool // otherwise the process can't open files
	temporary     bool // the fault ends once it has been logged
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
		allow = forbidOpeningFiles(t, d)
	}
	started := time.Now()
	sendSignal(t, d, syscall.SIGTERM)
	messages := c.collectMessages(t, lines, func() {
		if err := allow(); err != nil && d.ProcessState != nil {
			t.Fatal(err)
		}
	})
	if err := d.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	const busyMachine = 5 * time.Second
	if took := time.Since(started); took > stopTimeout+saveReturnGrace+busyMachine {
		t.Errorf("the shutdown took too long: %v", took)
	}
	if !slices.Equal(messages, c.messages) {
		t.Errorf("logged %q, want %q", messages, c.messages)
	}
	if _, err := estimates.Read(file); (err == nil) != c.temporary {
		t.Errorf("reading the saved file: %v", err)
	}
}

// collectMessages reads a log to its end and returns the messages about the file of estimates. After the first of them,
// it calls end if the fault is temporary.
func (c estimatesFault) collectMessages(t *testing.T, lines chan string, end func()) []string {
	t.Helper()
	var messages []string
	for line := range lines {
		if message := estimatesMessage(t, line); message != "" {
			messages = append(messages, message)
		}
		if c.temporary && len(messages) == 1 {
			end()
		}
	}
	return messages
}

// estimatesMessage returns the message of a log line about the file of estimates, followed by the error if that is
// errSaveHangs. It returns an empty string for any other line.
func estimatesMessage(t *testing.T, line string) string {
	t.Helper()
	var l struct{ Message, Error string }
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		t.Errorf("%v in log line %s", err, line)
	}
	switch {
	case !strings.Contains(l.Message, "estimates"):
		return ""
	case l.Error == errSaveHangs.Error():
		return fmt.Sprintf("%s: %s", l.Message, l.Error)
	}
	return l.Message
}
