package scheduler

import (
	"errors"
	"time"
)

// Times and sizes of following discovery. A change counts as told 6 s after a watch fell silent, or after discovery had
// it and could be reached: silence, one call that hangs and the gap behind it have to fit in there together.
const (
	mostMessage  = 4 << 20                 // bytes of a message
	answerWithin = time.Second             // for the head of an answer, which an agent on this machine gives at once
	turnWithin   = 2200 * time.Millisecond // the same where all ask one discovery, and calls wait in turn
	silence      = 3 * time.Second         // a watch brings an empty line every 2 s, and a message whole
	again        = 100 * time.Millisecond  // after a watch that ended
	olderWithin  = 4 * time.Second         // for as long, lists older than the one held are not believed
)

// stream takes messages out of the bytes of a watch, whatever their form: in pieces, several at once, on many lines.
// It tells until when more has to come. It does no I/O, keeps no clock and believes nothing of what it reads.
type stream struct {
	until   time.Duration // when the watch counts as broken
	message []byte        // of the message under way
	open    int           // braces and brackets
	quoted  bool
	escaped bool
}

var (
	errNoMessage = errors.New("discovery: what comes is no JSON object")
	errTooLong   = errors.New("discovery: a message is too long")
)

// begin is told that the call is made and how long an answer may take, head that the answer has begun.
func (r *stream) begin(now, within time.Duration) { r.until = now + within }
func (r *stream) head(now time.Duration)          { r.until = now + silence }

// take reads on. Bytes between messages put the end off, bytes of a message don't: one that never becomes whole is
// silence too.
func (r *stream) take(now time.Duration, b []byte) (messages [][]byte, err error) {
	under := len(r.message) > 0
	for _, c := range b {
		if r.open == 0 {
			if c == ' ' || c == '\t' || c == '\r' || c == '\n' {
				continue
			}
			if c != '{' {
				return messages, errNoMessage
			}
			under = false
		}
		if r.message = append(r.message, c); len(r.message) > mostMessage {
			return messages, errTooLong
		}
		switch {
		case r.escaped:
			r.escaped = false
		case r.quoted:
			r.escaped, r.quoted = c == '\\', c != '"'
		case c == '"':
			r.quoted = true
		case c == '{' || c == '[':
			r.open++
		case c == '}' || c == ']':
			if r.open--; r.open == 0 {
				messages, r.message, under = append(messages, r.message), nil, false
			}
		}
	}
	if !under && len(b) > 0 {
		r.until = now + silence
	}
	return messages, nil
}

// held is what is believed of lists by their revisions. A list that is older than the one held, from a discovery that
// lags behind the one before or a call that was out for long, would bring servers back that have been told gone or
// draining. It could harm where a discovery has begun to count anew: that is believed after a time.
type held struct {
	revision int64
	older    time.Duration // since when only older ones have come; 0: not so
}

// believe tells whether a list holds.
func (h *held) believe(now time.Duration, l *list) bool {
	if l.Revision < h.revision {
		if h.older == 0 {
			h.older = now
		}
		if now-h.older < olderWithin {
			return false
		}
	}
	h.revision, h.older = l.Revision, 0
	return true
}
