// Package audit checks whether gateways keep their seven rules. It uses the bytes that crossed the sockets of clients
// and disk servers, and the notices that the sources of the endpoint list sent to gateways.
//
// It shares no code with the gateway or the decision module: it decodes the bytes with the codec of package nvme and
// keeps its own records. It sends nothing and changes nothing. An op is identified by its volume, block and opcode; the
// load generator never uses the same three twice.
//
// Package faulttest writes the Log from its event loop and from goroutines of the fakes, and calls Check at the end.
package audit

import (
	"sync"
	"time"

	"honeyplank/nvme"
)

// Log records the ops, dispatches, notices and restarts of a test. Any goroutine may call its methods. All its times
// are relative to its start.
type Log struct {
	mu           sync.Mutex
	start        time.Time
	ops          map[opKey]*opRecord
	order        []*opRecord // all ops in the order in which clients sent them
	dispatches   []*dispatchRecord
	notices      []noticeRecord
	kills        map[int][]time.Duration  // by gateway
	clientCloses map[int][]time.Duration  // by gateway
	starts       map[string][]startRecord // by disk server
	locations    map[string]Location      // by disk server
}

// opKey identifies an op.
type opKey struct {
	nsid   uint32
	lba    uint64
	opcode uint8
}

// opRecord is one op as its client sent it.
type opRecord struct {
	opKey
	gateway       int
	bytes         int
	clientTimeout time.Duration // in the command; 0: none
	sent          time.Duration
	answers       []answerRecord
	closed        time.Duration // the time at which its connection ended; 0: still open
	corrupted     bool          // its connection was damaged before an answer
	duplicated    bool          // the damage repeated its command
	dispatches    []*dispatchRecord
}

// answerRecord is the answer to an op or to a dispatch.
type answerRecord struct {
	at     time.Duration
	status nvme.Status
}

// dispatchRecord is one dispatch as a disk server received it.
type dispatchRecord struct {
	op      *opRecord // nil: sent by no client
	gateway int       // unknownGateway: none of the test
	server  string
	at      time.Duration
	answer  answerRecord  // its at is 0 if there was none
	closed  time.Duration // the time at which its connection ended without an answer; 0: it did not
}

// unknownGateway is the number recorded for a sender that is no gateway of the test.
const unknownGateway = -1

// The states of a disk server in a notice.
const (
	stateOn       = "on"
	stateDraining = "draining"
	stateGone     = "gone"
)

// noticeRecord is one report of a source of the endpoint list to a gateway about a disk server.
type noticeRecord struct {
	gateway int
	source  string
	server  string
	at      time.Duration
	state   string
	started time.Duration // the last start of the disk server; 0: none given
}

// startRecord is one start of a disk server.
type startRecord struct {
	at       time.Duration
	capacity func(age time.Duration) float64 // units per second
}

// Location is the zone and the cell of a disk server. Ops can be deduplicated within a zone or within a cell.
type Location struct{ Zone, Cell int }

// NewLog returns an empty log. Its times count from this call.
func NewLog() *Log {
	return &Log{
		start:        time.Now(),
		ops:          map[opKey]*opRecord{},
		kills:        map[int][]time.Duration{},
		clientCloses: map[int][]time.Duration{},
		starts:       map[string][]startRecord{},
		locations:    map[string]Location{},
	}
}

func (l *Log) now() time.Duration { return time.Since(l.start) }

// Notified records that a source reported a disk server to a gateway. The state is "on", "draining" or "gone". started
// is the last start of the disk server, or the zero time if the source gave none.
func (l *Log) Notified(gateway int, source, server, state string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice := noticeRecord{gateway: gateway, source: source, server: server, at: l.now(), state: state}
	if !started.IsZero() {
		notice.started = started.Sub(l.start)
	}
	l.notices = append(l.notices, notice)
}

// GatewayKilled records that a gateway was killed. Its ops end with it.
func (l *Log) GatewayKilled(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[gateway] = append(l.kills[gateway], l.now())
}

// ClientClosed records that a client of a gateway is about to close its connection, so that the ops on it need no
// answer. If the gateway closes a connection instead, the ops on it count as unanswered.
func (l *Log) ClientClosed(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientCloses[gateway] = append(l.clientCloses[gateway], l.now())
}

// AddServer records the location of a disk server, which is named by its address.
func (l *Log) AddServer(server string, location Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.locations[server] = location
}

// ServerStarted records that a disk server has just started. capacity returns its capacity in units per second at an
// age, the time since the start.
func (l *Log) ServerStarted(server string, capacity func(age time.Duration) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[server] = append(l.starts[server], startRecord{l.now(), capacity})
}

// finalAnswer returns the first answer to an op; ok is false if there was none.
func (op *opRecord) finalAnswer() (answer answerRecord, ok bool) {
	if len(op.answers) == 0 {
		return answerRecord{}, false
	}
	return op.answers[0], true
}

// neverRan reports whether the disk server rejected a dispatch, so that it has certainly not run.
func (d *dispatchRecord) neverRan() bool {
	return d.answer.at > 0 && d.answer.status.Code() == nvme.Rejected
}

// endedAt returns the time at which a dispatch had its outcome, as observed at the disk server, or 0 if it had none.
func (d *dispatchRecord) endedAt() time.Duration {
	if d.answer.at > 0 {
		return d.answer.at
	}
	return d.closed
}

// abandonedAt returns the time at which a dispatch without an answer ended for its gateway: when its op was answered or
// its connection ended, whichever came first. It returns 0 if the dispatch was answered or has not ended.
func (d *dispatchRecord) abandonedAt() time.Duration {
	if d.answer.at > 0 {
		return 0
	}
	if answer, ok := d.op.finalAnswer(); ok && (d.closed == 0 || answer.at < d.closed) {
		return answer.at
	}
	return d.closed
}
