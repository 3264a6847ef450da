package scheduler

import (
	"errors"
	"time"
)

// Limits of calls to discovery. An instance counts as notified of a change notifiedWithin after discovery has it and is
// reachable: one watch without data, one call without a response and the retry delay behind each have to fit into that
// time together.
const (
	maxMessageBytes = 4 << 20  // of one message
	readSize        = 16 << 10 // bytes read at a time

	headerTimeout       = time.Second             // for the head of a response of an agent on this machine
	sharedHeaderTimeout = 2200 * time.Millisecond // the same if all instances share one discovery, and calls queue there

	// watchIdleTimeout is how long a watch may bring no data, or a message stay unfinished. Discovery sends an empty line
	// every 2 s.
	watchIdleTimeout = 3 * time.Second
	watchRetryDelay  = 100 * time.Millisecond // after a watch that failed
	oldListTimeout   = 4 * time.Second        // for which lists older than the current one are rejected
)

// messageReader splits the bytes of a response of discovery into messages, which may come in pieces, several at once or
// on several lines. It sets the deadline for the next bytes. It does no I/O, reads no clock and treats its input as
// hostile.
type messageReader struct {
	deadline time.Duration // when the call counts as failed
	partial  []byte        // the unfinished message
	depth    int           // of braces and brackets
	quoted   bool          // within a string
	escaped  bool          // behind a backslash in a string
}

var (
	errNotJSON        = errors.New("discovery: not a JSON object")
	errMessageTooLong = errors.New("discovery: a message is too long")
)

// callStarted sets the deadline for the head of the response, timeout after now.
func (r *messageReader) callStarted(now, timeout time.Duration) { r.deadline = now + timeout }

// headerReceived sets the deadline for the first bytes of the body.
func (r *messageReader) headerReceived(now time.Duration) { r.deadline = now + watchIdleTimeout }

// feed takes the next bytes and returns the messages that they complete. Bytes between messages and complete messages
// extend the deadline; parts of a message do not, since it may never be finished.
func (r *messageReader) feed(now time.Duration, b []byte) (messages [][]byte, err error) {
	stalled := len(r.partial) > 0 // the message that was unfinished before b still is
	for _, c := range b {
		if r.depth == 0 {
			if isJSONSpace(c) {
				continue
			}
			if c != '{' {
				return messages, errNotJSON
			}
			stalled = false
		}
		if r.partial = append(r.partial, c); len(r.partial) > maxMessageBytes {
			return messages, errMessageTooLong
		}
		if r.scan(c); r.depth == 0 {
			messages, r.partial, stalled = append(messages, r.partial), nil, false
		}
	}
	if !stalled && len(b) > 0 {
		r.deadline = now + watchIdleTimeout
	}
	return messages, nil
}

// isJSONSpace reports whether a byte is white space between JSON values.
func isJSONSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// scan follows the nesting of a message byte by byte.
func (r *messageReader) scan(c byte) {
	switch {
	case r.escaped:
		r.escaped = false
	case r.quoted:
		r.escaped, r.quoted = c == '\\', c != '"'
	case c == '"':
		r.quoted = true
	case c == '{' || c == '[':
		r.depth++
	case c == '}' || c == ']':
		r.depth--
	}
}

// revisionGuard rejects lists that are older than the current one. Such a list, from a discovery that lags behind its
// predecessor or from a slow call, would bring back servers that are removed or draining. A discovery that has
// restarted its count would be locked out, so older revisions are accepted once nothing newer has come for
// oldListTimeout.
type revisionGuard struct {
	revision   int64         // of the current list
	olderSince time.Duration // when the first of the consecutive older lists came; 0: the last one was not older
}

// accept reports whether a list is to be applied; if so, it becomes the current one.
func (g *revisionGuard) accept(now time.Duration, list *listMessage) bool {
	if list.Revision < g.revision {
		if g.olderSince == 0 {
			g.olderSince = now
		}
		if now-g.olderSince < oldListTimeout {
			return false
		}
	}
	g.revision, g.olderSince = list.Revision, 0
	return true
}
