package scheduler

import (
	"errors"
	"time"
)

// Times and sizes of following discovery. A change counts as told 6 s after a watch fell silent, or after discovery had
// it and could be reached: silence, one call that hangs and the gap behind it have to fit in there together.
const (
	maxMessage        = 4 << 20                 // bytes of a message
	headTimeout       = time.Second             // for the head of an answer, which an agent on this machine gives at once
	sharedHeadTimeout = 2200 * time.Millisecond // the same where all ask one discovery, and calls wait in turn
	watchSilence      = 3 * time.Second         // a watch brings an empty line every 2 s, and a message whole
	watchRetryDelay   = 100 * time.Millisecond  // after a watch that ended
	oldListTimeout    = 4 * time.Second         // for as long, lists older than the one held are not believed
)

// messageReader takes messages out of the bytes of a watch, whatever their form: in pieces, several at once, on many lines.
// It tells until when more has to come. It does no I/O, keeps no clock and believes nothing of what it reads.
type messageReader struct {
	deadline time.Duration // when the watch counts as broken
	partial  []byte        // of the message under way
	depth    int           // braces and brackets
	quoted   bool
	escaped  bool
}

var (
	errNotJSON        = errors.New("discovery: what comes is no JSON object")
	errMessageTooLong = errors.New("discovery: a message is too long")
)

// callStarted is told that the call is made and how long an answer may take, head that the answer has begun.
func (r *messageReader) callStarted(now, within time.Duration) { r.deadline = now + within }
func (r *messageReader) headReceived(now time.Duration)        { r.deadline = now + watchSilence }

// feed reads on. Bytes between messages put the end off, bytes of a message don't: one that never becomes whole is
// silence too.
func (r *messageReader) feed(now time.Duration, b []byte) (messages [][]byte, err error) {
	under := len(r.partial) > 0
	for _, c := range b {
		if r.depth == 0 {
			if c == ' ' || c == '\t' || c == '\r' || c == '\n' {
				continue
			}
			if c != '{' {
				return messages, errNotJSON
			}
			under = false
		}
		if r.partial = append(r.partial, c); len(r.partial) > maxMessage {
			return messages, errMessageTooLong
		}
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
			if r.depth--; r.depth == 0 {
				messages, r.partial, under = append(messages, r.partial), nil, false
			}
		}
	}
	if !under && len(b) > 0 {
		r.deadline = now + watchSilence
	}
	return messages, nil
}

// revisionGuard is what is believed of lists by their revisions. A list that is older than the one held, from a discovery that
// lags behind the one before or a call that was out for long, would bring servers back that have been told gone or
// draining. It could harm where a discovery has begun to count anew: that is believed after a time.
type revisionGuard struct {
	revision   int64
	olderSince time.Duration // since when only older ones have come; 0: not so
}

// accept tells whether a list holds.
func (g *revisionGuard) accept(now time.Duration, l *listMessage) bool {
	if l.Revision < g.revision {
		if g.olderSince == 0 {
			g.olderSince = now
		}
		if now-g.olderSince < oldListTimeout {
			return false
		}
	}
	g.revision, g.olderSince = l.Revision, 0
	return true
}
