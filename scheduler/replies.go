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
	// What an answer may have: the longest value of the protocol, and lines.
	maxReplyLine = 4096
	maxValue     = 64 << 10
)

var replyBounds = resp.Limits{Line: maxReplyLine, Bulk: maxValue, Items: 8, Depth: 3, Total: maxValue + 2*maxReplyLine}

func (sc *serverConn) Input(_ *eventloop.Conn, b []byte) (used int) {
	for used < len(b) {
		if len(sc.inFlight) == 0 { // nothing is asked: it is no answer
			sc.failWith(errUnexpectedData)
			return len(b)
		}
		n, v, whole, err := sc.reader.Next(b[used:])
		used += n
		if err != nil {
			sc.failMalformed(err)
			return len(b)
		}
		if !whole {
			continue
		}
		a := sc.inFlight[0]
		sc.inFlight = sc.inFlight[1:]
		code, data, told, err := a.parseReply(&v)
		if err != nil {
			sc.inFlight = append([]*attempt{a}, sc.inFlight...)
			sc.failMalformed(err)
			return len(b)
		}
		if len(sc.inFlight) == 0 && used < len(b) {
			// A good answer with more behind it: the connection is of no further use.
			sc.close()
			a.finish(code, data, told)
			return len(b)
		}
		if len(sc.inFlight) > 0 {
			sc.closeIfAbandoned()
		} else if sc.inFlight = nil; sc.retiring {
			sc.close()
		} else {
			sc.markIdle()
		}
		a.finish(code, data, told)
		if sc.conn == nil {
			return len(b)
		}
	}
	return used
}

// parseReply tells what an answer means.
func (a *attempt) parseReply(v *resp.Value) (code honeyplank.Code, data []byte, told inflight.Feedback, err error) {
	fields := a.server.scheduler.site().Fields
	if v.Kind == resp.Error {
		text := string(v.Text)
		told.Load = parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:], fields)
		if text == "BUSY" || strings.HasPrefix(text, "BUSY ") {
			return honeyplank.Rejected, nil, told, nil
		}
		if !strings.HasPrefix(text, "ERR") {
			a.server.scheduler.log.Warn().Str("osd", string(a.server.id)).Str("answer", text).Msg("turned down")
		}
		return honeyplank.Failed, nil, told, nil
	}
	if a.dispatch == nil {
		if v.Kind != resp.Bulk || v.Null {
			return 0, nil, told, errMalformedReply
		}
		told.Load = parseLoadReport(string(v.Text), fields)
		return honeyplank.Succeeded, nil, told, nil
	}
	if v.Kind != resp.Array || len(v.List) == 0 || v.List[0].Kind != resp.Bulk || v.List[0].Null {
		return 0, nil, told, errMalformedReply
	}
	if len(v.List) > 1 && v.List[1].Kind == resp.Bulk {
		told.QuotaUsed, told.ServedElsewhere = parseUsage(string(v.List[1].Text))
	}
	if len(v.List) > 2 && v.List[2].Kind == resp.Bulk {
		told.Load = parseLoadReport(string(v.List[2].Text), fields)
	}
	return honeyplank.Succeeded, v.List[0].Text, told, nil
}

var errMalformedReply = errors.New("it is no answer to what was asked")

// parsePairs reads names and values, as util=0.61,latency_ms=12; what can't be read is left out.
func parsePairs(text string) map[string]float64 {
	found := map[string]float64{}
	for _, p := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(p, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x < 1e12 {
			found[strings.TrimSpace(name)] = x
		}
	}
	return found
}

// parseLoadReport reads a load report; one that lacks what the settings name is none.
func parseLoadReport(text string, fields []string) map[string]float64 {
	found, named := parsePairs(text), map[string]float64{}
	for _, f := range fields {
		x, ok := found[f]
		if !ok {
			return nil
		}
		named[simwire.FieldName(f)] = x
	}
	return named
}

// parseUsage reads the figures on use.
func parseUsage(text string) (used int, elsewhere float64) {
	found := parsePairs(text)
	return int(min(found["used"], 1e9)), found["cost"]
}
