package scheduler

import (
	"errors"
	"time"
)

// Times and sizes of calls to discovery. An instance counts as notified of a change notifiedWithin after discovery has it
// and could be reached: a silence, one call that hangs and the pauses behind each have to fit into that time together.
const (
	maxMessageBytes   = 4 << 20                 // of one message
	readSize          = 16 << 10                // bytes read at a time
	headTimeout       = time.Second             // for the head of a response, which an agent on this machine gives at once
	sharedHeadTimeout = 2200 * time.Millisecond // the same where all instances share one discovery, and calls queue there
	watchSilence      = 3 * time.Second         // without a byte; a watch brings an empty line every 2 s. Also for the rest of a message
	watchRetryDelay   = 100 * time.Millisecond  // after a watch that failed
	oldListTimeout    = 4 * time.Second         // for which lists older than the current one are rejected
)

// messageReader splits the bytes of a response of discovery into messages, whatever their form: in pieces, several at once,
// on many lines. It says until when more has to come. It does no I/O, reads no clock and trusts nothing of what it reads.
type messageReader struct {
	deadline time.Duration // when the call counts as broken
	partial  []byte        // first part of an unfinished message
	depth    int           // of braces and brackets
	quoted   bool          // within a string
	escaped  bool          // behind a backslash in a string
}

var (
	errNotJSON        = errors.New("discovery: what comes is no JSON object")
	errMessageTooLong = errors.New("discovery: a message is too long")
)

// callStarted sets the deadline for the head of the response, timeout after now.
func (r *messageReader) callStarted(now, timeout time.Duration) { r.deadline = now + timeout }

// headReceived sets the deadline for the first bytes of the body.
func (r *messageReader) headReceived(now time.Duration) { r.deadline = now + watchSilence }

// feed takes the next bytes and returns the messages that are complete with them. Bytes between messages and complete
// messages put the deadline off; parts of a message do not: one that never becomes whole is as bad as silence.
func (r *messageReader) feed(now time.Duration, b []byte) (messages [][]byte, err error) {
	unfinished := len(r.partial) > 0 // the message that was begun before b still is
	for _, c := range b {
		if r.depth == 0 {
			if c == ' ' || c == '\t' || c == '\r' || c == '\n' {
				continue
			}
			if c != '{' {
				return messages, errNotJSON
			}
			unfinished = false
		}
		if r.partial = append(r.partial, c); len(r.partial) > maxMessageBytes {
			return messages, errMessageTooLong
		}
		if r.scan(c); r.depth == 0 {
			messages, r.partial, unfinished = append(messages, r.partial), nil, false
		}
	}
	if !unfinished && len(b) > 0 {
		r.deadline = now + watchSilence
	}
	return messages, nil
}

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

// revisionGuard rejects lists that are older than the current one. Such a list, from a discovery that lags behind the former
// one or from a call that took long, would bring back servers that are removed or draining. It could harm where a discovery
// has begun to count anew, so that older revisions are accepted once nothing newer has come for oldListTimeout.
type revisionGuard struct {
	revision   int64         // of the current list
	olderSince time.Duration // since when only older lists have come; 0: the last one was not older
}

// accept reports whether a list is to be applied, and makes it the current one then.
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
