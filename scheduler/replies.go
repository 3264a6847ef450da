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
	maxReplyLine = 4096     // bytes of a line: an error, or the head of a value
	maxItems     = 8        // of an array: data, figures on quota, load report, and some that are not known yet
	maxDepth     = 3        // of arrays in arrays
	maxValue     = 64 << 10 // bytes of the longest value of the protocol
	maxFigure    = 1e12     // of a load report; a larger one makes no sense
	maxQuotaUsed = 1e9
)

var replyLimits = resp.Limits{
	Line:  maxReplyLine,
	Bulk:  maxValue,
	Items: maxItems,
	Depth: maxDepth,
	Total: maxValue + 2*maxReplyLine,
}

var errMalformedReply = errors.New("it is no answer to what was asked")

// serverReply is what an answer of a disk server says.
type serverReply struct {
	code     honeyplank.Code
	data     []byte
	feedback inflight.Feedback
}

// Input handles the answers in b and returns how many bytes it has used.
func (sc *serverConn) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		if len(sc.inFlight) == 0 { // nothing was asked
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
		if sc.handleReply(reply, used < len(b)); sc.conn == nil {
			return len(b)
		}
	}
	return used
}

// handleReply reports the outcome of the first attempt in flight. hasMore says that more has come behind the answer.
func (sc *serverConn) handleReply(reply serverReply, hasMore bool) {
	a := sc.inFlight[0]
	sc.inFlight = sc.inFlight[1:]
	switch {
	case len(sc.inFlight) > 0:
		sc.closeIfAbandoned()
	case hasMore: // nothing else was asked: the connection cannot be trusted with another command
		sc.close()
	default:
		sc.release()
	}
	a.finish(reply.code, reply.data, reply.feedback)
}

// parseReply reads the answer to an attempt.
func (a *attempt) parseReply(value *resp.Value) (serverReply, error) {
	switch {
	case value.Kind == resp.Error:
		return a.parseError(string(value.Text)), nil
	case a.dispatch == nil:
		return a.parseProbeReply(value)
	}
	return a.parseDispatchReply(value)
}

// parseError reads an error, the last word of which may be a load report.
func (a *attempt) parseError(text string) serverReply {
	s := a.server.scheduler
	feedback := inflight.Feedback{Load: parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:], s.site().LoadFields)}
	if text == "BUSY" || strings.HasPrefix(text, "BUSY ") {
		return serverReply{code: honeyplank.Rejected, feedback: feedback}
	}
	if !strings.HasPrefix(text, "ERR") {
		s.log.Warn().Str("osd", string(a.server.id)).Str("answer", text).Msg("command refused by disk server")
	}
	return serverReply{code: honeyplank.Failed, feedback: feedback}
}

// parseProbeReply reads a load report.
func (a *attempt) parseProbeReply(value *resp.Value) (serverReply, error) {
	if value.Kind != resp.Bulk || value.Null {
		return serverReply{}, errMalformedReply
	}
	load := parseLoadReport(string(value.Text), a.server.scheduler.site().LoadFields)
	return serverReply{code: honeyplank.Succeeded, feedback: inflight.Feedback{Load: load}}, nil
}

// parseDispatchReply reads an array of the op's data, figures on its quota and a load report. The data has to be there.
func (a *attempt) parseDispatchReply(value *resp.Value) (serverReply, error) {
	if value.Kind != resp.Array || len(value.List) == 0 || value.List[0].Kind != resp.Bulk || value.List[0].Null {
		return serverReply{}, errMalformedReply
	}
	reply := serverReply{code: honeyplank.Succeeded, data: value.List[0].Text}
	if len(value.List) > 1 && value.List[1].Kind == resp.Bulk {
		reply.feedback.QuotaUsed, reply.feedback.ServedElsewhere = parseUsage(string(value.List[1].Text))
	}
	if len(value.List) > 2 && value.List[2].Kind == resp.Bulk {
		reply.feedback.Load = parseLoadReport(string(value.List[2].Text), a.server.scheduler.site().LoadFields)
	}
	return reply, nil
}

// parsePairs reads names and values, as util=0.61,latency_ms=12; what cannot be read is left out.
func parsePairs(text string) map[string]float64 {
	pairs := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x < maxFigure {
			pairs[strings.TrimSpace(name)] = x
		}
	}
	return pairs
}

// parseLoadReport reads a load report by the module's names; nil: it lacks one of the fields that the settings name.
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

// parseUsage reads the figures on a volume's quota, in the units of inflight.Feedback; figures that are missing are 0.
func parseUsage(text string) (quotaUsed int, servedElsewhere float64) {
	pairs := parsePairs(text)
	return int(min(pairs["used"], maxQuotaUsed)), pairs["cost"]
}
