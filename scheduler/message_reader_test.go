package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestMessageReader checks that messages are returned completely for any size of the pieces in which they are received,
// and that other input is an error.
func TestMessageReader(t *testing.T) {
	first, second := listJSON(41, true, manyLines), `{"revision":42,"members":[{"id":"a}]\"{\\"}]}`
	text := "\n\n" + first + "\r\n" + second + second + "\n"
	for size := 1; size <= len(text); size++ {
		var r messageReader
		got := feedPieces(t, &r, text, size)
		if want := []string{strings.TrimSpace(first), second, second}; !slices.Equal(got, want) || r.depth != 0 {
			t.Fatalf("messages in pieces of %d bytes: %q", size, got)
		}
	}
	for text, want := range map[string]error{
		"no list": errNotJSON,
		"{}]":     errNotJSON,
		"[]":      errNotJSON,
		`{"` + strings.Repeat("x", maxMessageBytes): errMessageTooLong,
	} {
		t.Run(fmt.Sprintf("%.10s", text), func(t *testing.T) {
			var r messageReader
			if _, err := r.feed(0, []byte(text)); !errors.Is(err, want) {
				t.Errorf("error is %v, expected %v", err, want)
			}
		})
	}
}

// feedPieces passes a text to a reader in pieces of the given size and returns the messages.
func feedPieces(t *testing.T, r *messageReader, text string, size int) (messages []string) {
	t.Helper()
	for text != "" {
		n := min(size, len(text))
		list, err := r.feed(0, []byte(text[:n]))
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range list {
			messages = append(messages, string(message))
		}
		text = text[n:]
	}
	return messages
}

// TestMessageReaderDeadline checks which input extends the deadline of a watch.
func TestMessageReaderDeadline(t *testing.T) {
	const s = time.Second
	for name, x := range map[string]struct {
		pieces []string // received one per second, the first after 1 s
		want   time.Duration
	}{
		"nothing":             {nil, watchIdleTimeout},
		"empty lines":         {[]string{"\n", "\n", "\n"}, 3*s + watchIdleTimeout},
		"messages":            {[]string{"{}\n", "\n", `{"a":[]}`}, 3*s + watchIdleTimeout},
		"incomplete message":  {[]string{"\n", `{"a`, "b", "c", "d"}, 2*s + watchIdleTimeout},
		"lines in a message":  {[]string{"\n", "{\n", "\n", "\n"}, 2*s + watchIdleTimeout},
		"message in pieces":   {[]string{`{"a`, `":1}`}, 2*s + watchIdleTimeout},
		"next one incomplete": {[]string{`{"a`, `":1}{"b`, "b", "b"}, 2*s + watchIdleTimeout},
		"no bytes":            {[]string{"\n", "", ""}, s + watchIdleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var r messageReader
			r.callStarted(0, headerTimeout)
			if r.deadline != headerTimeout {
				t.Errorf("deadline of the response header is %v", r.deadline)
			}
			r.headerReceived(0)
			for i, piece := range x.pieces {
				if _, err := r.feed(time.Duration(i+1)*s, []byte(piece)); err != nil {
					t.Error(err)
				}
			}
			if r.deadline != x.want {
				t.Errorf("deadline is %v, expected %v", r.deadline, x.want)
			}
		})
	}
}

// TestNotifiedWithin checks that the limits of calls to discovery leave enough time to be notified of a change.
func TestNotifiedWithin(t *testing.T) {
	// A watch without data and a call without a response, each with its retry delay, take at most 5 s. So one more call
	// fits into maxNotificationDelay.
	if watchIdleTimeout+watchRetryDelay+headerTimeout+watchRetryDelay > 5*time.Second {
		t.Error("a change is received too late after a watch without data")
	}
	// If the module decides when to retry, a call without a response, the longest backoff after it and the time in the
	// queue of the next call fit into maxNotificationDelay.
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",` +
		`"limits":{"memory_mb":64,"sockets":256},"settings":` +
		strings.Replace(testSettings, `"rules":{`, `"rules":{"ask_within_ms":60000,`, 1) + "}"
	config, err := parseConfig("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	within := config.Site.Settings.Watch.Within
	if sharedHeaderTimeout+within/4+sharedHeaderTimeout*3/4 > maxNotificationDelay {
		t.Errorf("lists are requested within %v, which is too long", within)
	}
}

// TestRevisionGuard checks that an older list is rejected, unless only older ones are received for a long time.
func TestRevisionGuard(t *testing.T) {
	guard := revisionGuard{revision: 40}
	for i, x := range []struct {
		at       time.Duration
		revision int64
		want     bool
	}{
		{1, 40, true},
		{2, 42, true},
		{3, 41, false},
		{3 + oldListTimeout - 1, 41, false},
		{4 + oldListTimeout, 43, true},
		{5 + oldListTimeout, 7, false},
		{6 + 2*oldListTimeout, 8, true},
		{7 + 2*oldListTimeout, 9, true},
	} {
		if got := guard.accept(x.at, &listMessage{Revision: x.revision}); got != x.want {
			t.Errorf("step %d: revision %d is accepted: %v", i, x.revision, got)
		}
	}
}
