package scheduler

import (
	"errors"
	"time"
)

// Limits of calls to discovery. An instance counts as notified of a change maxNotificationDelay after discovery has
// that change and is reachable. The timeouts of one watch without data and of one call without a response, each
// followed by a retry delay, have to fit into that time.
const (
	maxMessageBytes = 4 << 20  // size of one message
	readSize        = 16 << 10 // bytes read at a time

	headerTimeout       = time.Second             // for the response header if discovery runs on this machine
	sharedHeaderTimeout = 2200 * time.Millisecond // the same if all instances share one discovery and calls queue there

	// watchIdleTimeout is the maximum time without data on a watch, and for the rest of an incomplete message.
	// Discovery sends an empty line every 2 s.
	watchIdleTimeout = 3 * time.Second
	watchRetryDelay  = 100 * time.Millisecond // after a watch has failed
	oldListTimeout   = 4 * time.Second        // time for which lists older than the current one are rejected
)

// messageReader splits the bytes of a discovery response into messages, each of which is a JSON object. A message may
// be received in pieces, together with others, or on several lines. The reader computes the deadline for the next
// bytes. It does no I/O, reads no clock and is safe for untrusted input.
type messageReader struct {
	deadline time.Duration // when the call counts as failed
	partial  []byte        // the incomplete message
	depth    int           // nesting depth of braces and brackets
	quoted   bool          // within a string
	escaped  bool          // after a backslash in a string
}

var (
	errNotJSON        = errors.New("discovery: not a JSON object")
	errMessageTooLong = errors.New("discovery: a message is too long")
)

// callStarted sets the deadline for the response header, timeout after now.
func (r *messageReader) callStarted(now, timeout time.Duration) { r.deadline = now + timeout }

// headerReceived sets the deadline for the first bytes of the response body.
func (r *messageReader) headerReceived(now time.Duration) { r.deadline = now + watchIdleTimeout }

// feed processes the next bytes and returns the messages that they complete. Bytes between messages and complete
// messages extend the deadline. Parts of a message do not, since its rest may never be received.
func (r *messageReader) feed(now time.Duration, b []byte) (messages [][]byte, err error) {
	stalled := len(r.partial) > 0 // the message that was incomplete before b is still incomplete
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

// scan updates the nesting depth of the message for its next byte.
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

// revisionGuard rejects lists that are older than the current one. Such a list comes from a slow call, or from a
// discovery whose data is older than that of the one used before. It would make removed or draining servers available
// again. Without an exception, the lists of a discovery that restarts its revisions would be rejected forever. So an
// older list is accepted if no other than older lists have been received for oldListTimeout.
type revisionGuard struct {
	revision   int64         // of the current list
	olderSince time.Duration // when the first of the consecutive older lists came; 0 if the last one was not older
}

// accept reports whether a list received at now is to be applied. If so, the list becomes the current one.
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
