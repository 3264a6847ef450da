// Package audit judges the seven rules of a gateway from what crossed the sockets of clients and disk servers, and
// from what the sources of the endpoint list notified whom of.
//
// It shares no code with the gateway or the decision module: it reads the bytes by the codec of package nvme and
// keeps its own records. It sends nothing and changes nothing. An op is known by its volume, block and opcode, which
// the load never uses twice.
//
// Package faulttest writes the Log from its event loop and from goroutines of the fakes, and judges it at the end.
package audit

import (
	"sync"
	"time"

	"honeyplank/nvme"
)

// Log is what was seen. It may be written from any goroutine.
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
	places       map[string]Location         // by disk server
}

// opKey tells ops apart.
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
	clientTimeout time.Duration // that the command states; 0: none
	sent          time.Duration
	answers       []answerRecord
	closed        time.Duration // when its connection ended; 0: it has not
	corrupted     bool          // the wire damaged its connection while it was open, or before
	duplicated    bool          // the wire repeated its command
	dispatches    []*dispatchRecord
}

// answerRecord is the answer to an op or to a dispatch.
type answerRecord struct {
	at     time.Duration
	status nvme.Status
}

// dispatchRecord is one dispatch as a disk server received it.
type dispatchRecord struct {
	op      *opRecord // nil: no client sent it
	gateway int       // unknownGateway: no gateway of the test
	server  string
	at      time.Duration
	answer  answerRecord  // at 0: none
	closed  time.Duration // when its connection ended before an answer; 0: it did not
}

// unknownGateway is the number of a gateway that is not of the test.
const unknownGateway = -1

// The states of a disk server in a notice.
const (
	stateOn       = "on"
	stateDraining = "draining"
	stateGone     = "gone"
)

// noticeRecord is what a source of the endpoint list reported to a gateway about a disk server.
type noticeRecord struct {
	gateway int
	source  string
	server  string
	at      time.Duration
	state   string
	started time.Duration // when the disk server last started; 0: long ago
}

// startRecord is a start of a disk server.
type startRecord struct {
	at       time.Duration
	capacity func(age time.Duration) float64 // units a second, by the time since the start
}

// Location is where a disk server stands, for the groups that drop repeats.
type Location struct{ Zone, Cell int }

// NewLog begins to record now.
func NewLog() *Log {
	return &Log{
		start:        time.Now(),
		ops:          map[opKey]*opRecord{},
		kills:        map[int][]time.Duration{},
		clientCloses: map[int][]time.Duration{},
		starts:       map[string][]startRecord{},
		places:       map[string]Location{},
	}
}

func (l *Log) now() time.Duration { return time.Since(l.start) }

// Notified records what a source reported to a gateway about a disk server: that it is on, draining or gone. started
// is when it last started, zero if long ago.
func (l *Log) Notified(gateway int, source, server, state string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice := noticeRecord{gateway: gateway, source: source, server: server, at: l.now(), state: state}
	if !started.IsZero() {
		notice.started = started.Sub(l.start)
	}
	l.notices = append(l.notices, notice)
}

// GatewayKilled records the death of a gateway, with all its ops.
func (l *Log) GatewayKilled(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[gateway] = append(l.kills[gateway], l.now())
}

// ClientClosed records that a client of a gateway is about to close its connection. Only then is nothing owed for its
// ops: a gateway that closes one has not answered.
func (l *Log) ClientClosed(gateway int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientCloses[gateway] = append(l.clientCloses[gateway], l.now())
}

// AddServer records where a disk server stands.
func (l *Log) AddServer(server string, place Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places[server] = place
}

// ServerStarted records that a disk server has just started, and its capacity at an age, in units a second.
func (l *Log) ServerStarted(server string, capacity func(age time.Duration) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[server] = append(l.starts[server], startRecord{l.now(), capacity})
}

// final is the final answer of an op; ok is false where there was none.
func (op *opRecord) final() (answer answerRecord, ok bool) {
	if len(op.answers) == 0 {
		return answerRecord{}, false
	}
	return op.answers[0], true
}

// neverRan reports whether a dispatch is known not to have run.
func (d *dispatchRecord) neverRan() bool {
	return d.answer.at > 0 && d.answer.status.Code() == nvme.Rejected
}

// ended is when a dispatch had its outcome, at the end of the disk server; 0: never.
func (d *dispatchRecord) ended() time.Duration {
	if d.answer.at > 0 {
		return d.answer.at
	}
	return d.closed
}

// abandoned is when a dispatch without an answer ended for its gateway: with its connection, or with its op. It is 0
// where it had an answer or has not ended.
func (d *dispatchRecord) abandoned() time.Duration {
	if d.answer.at > 0 {
		return 0
	}
	if answer, ok := d.op.final(); ok && (d.closed == 0 || answer.at < d.closed) {
		return answer.at
	}
	return d.closed
}
