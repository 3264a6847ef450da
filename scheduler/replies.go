package scheduler

import (
	"errors"
	"strconv"
	"strings"

	"honeyplank"
	"honeyplank/eventloop"
	"honeyplank/inflight"
	"honeyplank/internal/simwire"
	"honeyplank/resp"
)

const (
	maxReplyLine     = 4096     // bytes of a line, which is an error or the header of a value
	maxItems         = 8        // values of an array: data, quota usage and load report, with room for future ones
	maxDepth         = 3        // nesting depth of arrays
	maxValueBytes    = 64 << 10 // bytes of a value
	maxReportedValue = 1e12     // a number of a load report or quota usage that is not below this is ignored
	maxQuotaUsed     = 1e9      // larger quota usage is reduced to this
)

// replyLimits are the limits for an answer of a disk server.
var replyLimits = resp.Limits{
	Line:       maxReplyLine,
	BulkString: maxValueBytes,
	Items:      maxItems,
	Depth:      maxDepth,
	Total:      maxValueBytes + 2*maxReplyLine,
}

var errMalformedReply = errors.New("malformed reply")

// serverReply is a parsed answer of a disk server.
type serverReply struct {
	code     honeyplank.Code
	data     []byte
	feedback inflight.Feedback
}

// Input handles the answers in b and returns the number of bytes that it has used.
func (sc *serverConn) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		if len(sc.inFlight) == 0 {
			sc.failWith(errUnexpectedData)
			return len(b)
		}
		frame, err := sc.reader.Next(b[used:])
		used += frame.Used
		if err == nil && !frame.Complete {
			continue
		}
		var reply serverReply
		if err == nil {
			reply, err = sc.inFlight[0].parseReply(&frame.Value)
		}
		if err != nil {
			sc.failMalformed(err)
			return len(b)
		}
		if sc.handleReply(reply, len(b)-used); sc.conn == nil {
			return len(b)
		}
	}
	return used
}

// handleReply reports the outcome of the first attempt in flight. remaining is the number of bytes after the answer.
func (sc *serverConn) handleReply(reply serverReply, remaining int) {
	a := sc.inFlight[0]
	sc.inFlight = sc.inFlight[1:]
	switch {
	case len(sc.inFlight) > 0:
		sc.closeIfAbandoned()
	case remaining > 0: // data that answers no command: the connection must not be reused
		sc.close()
	default:
		sc.release()
	}
	a.finish(reply.code, reply.data, reply.feedback)
}

// parseReply parses the answer to an attempt.
func (a *attempt) parseReply(value *resp.Value) (serverReply, error) {
	switch {
	case value.Kind == resp.Error:
		return a.parseError(string(value.Text)), nil
	case a.dispatch == nil:
		return a.parseHealthReply(value)
	}
	return a.parseDispatchReply(value)
}

// parseError parses an error reply. Its last word may be a load report.
func (a *attempt) parseError(text string) serverReply {
	s := a.server.scheduler
	feedback := inflight.Feedback{Load: parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:], s.site().LoadFields)}
	if text == "BUSY" || strings.HasPrefix(text, "BUSY ") {
		return serverReply{code: honeyplank.Rejected, feedback: feedback}
	}
	if !strings.HasPrefix(text, "ERR") {
		s.log.Warn().
			Str("server", string(a.server.id)).
			Str("answer", text).
			Msg("disk server rejected a command as malformed")
	}
	return serverReply{code: honeyplank.Failed, feedback: feedback}
}

// parseHealthReply parses the answer to a health check, which is a load report.
func (a *attempt) parseHealthReply(value *resp.Value) (serverReply, error) {
	if value.Kind != resp.BulkString || value.Null {
		return serverReply{}, errMalformedReply
	}
	load := parseLoadReport(string(value.Text), a.server.scheduler.site().LoadFields)
	return serverReply{code: honeyplank.Succeeded, feedback: inflight.Feedback{Load: load}}, nil
}

// parseDispatchReply parses the answer to a dispatch, an array of the op's data, the quota usage and a load report.
// Only the data is required.
func (a *attempt) parseDispatchReply(value *resp.Value) (serverReply, error) {
	if value.Kind != resp.Array || len(value.List) == 0 || value.List[0].Kind != resp.BulkString || value.List[0].Null {
		return serverReply{}, errMalformedReply
	}
	reply := serverReply{code: honeyplank.Succeeded, data: value.List[0].Text}
	if len(value.List) > 1 && value.List[1].Kind == resp.BulkString {
		reply.feedback.QuotaUsed, reply.feedback.ServedElsewhere = parseUsage(string(value.List[1].Text))
	}
	if len(value.List) > 2 && value.List[2].Kind == resp.BulkString {
		reply.feedback.Load = parseLoadReport(string(value.List[2].Text), a.server.scheduler.site().LoadFields)
	}
	return reply, nil
}

// parsePairs parses names and values, for example util=0.61,latency_ms=12. It skips malformed pairs.
func parsePairs(text string) map[string]float64 {
	pairs := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x < maxReportedValue {
			pairs[strings.TrimSpace(name)] = x
		}
	}
	return pairs
}

// parseLoadReport parses a load report and converts its names to those of the decision module. It returns nil if one of
// the fields is missing.
func parseLoadReport(text string, fields []string) map[string]float64 {
	pairs, load := parsePairs(text), map[string]float64{}
	for _, field := range fields {
		x, ok := pairs[field]
		if !ok {
			return nil
		}
		load[simwire.LoadFieldName(field)] = x
	}
	return load
}

// parseUsage parses the quota usage of a volume, in the units of inflight.Feedback. Missing values are 0.
func parseUsage(text string) (quotaUsed int, servedElsewhere float64) {
	pairs := parsePairs(text)
	return int(min(pairs["used"], maxQuotaUsed)), pairs["cost"]
}
