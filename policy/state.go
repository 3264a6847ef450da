package policy

import (
	"hash/fnv"
	"sort"
	"strconv"
	"time"

	"honeyplank"
)

// This file holds records and queues. Nothing here decides.

// osd is the one record of a disk server.
type osd struct {
	honeyplank.Member
	listed  bool // named by the list now held
	health  health
	since   time.Duration // start of the present health state
	rest    time.Duration // how long it is left alone once down
	window  float64       // ops of this host that may be out here
	out     int           // ops of this host that are out here
	oldest  time.Duration // since when something has been out without any answer
	latency float64       // recent answer time, in seconds
	perUnit float64       // recent answer time for each unit of size, in seconds
	best    float64       // the best of perUnit, slowly forgotten
	answers float64       // answers since the window last grew
	spell   bool          // latency stays past twice its best
	credit  float64       // further dispatches earned by answers
	failing float64       // recent share of answers that were errors
	log     []sent        // units sent within the window of the cold rule
	queues  []*queue      // in ring order
	served  *queue
	turn    turn
	until   time.Duration // end of the served volume's slice
	waits   time.Duration // end of the wait for its next op
	round   int
	lastKey int64 // key of the last op sent, to keep runs together
}

type sent struct {
	at    time.Duration
	units float64
}

// queue is a volume at a node.
type queue struct {
	volume   *volume
	await    average // completion gaps
	thinkt   average // arrival gaps
	ended    time.Duration
	arrived  time.Duration
	held     []*op
	round    int // the round in which it was last served
	lastSeen time.Duration
}

// volume counts what is due to a volume through this host.
type volume struct {
	id       int64
	plan     int
	hosts    int
	reserve  float64 // units of the reserve left
	limit    float64 // units of this host's part of the limit left
	filled   time.Duration
	others   float64 // units a second that other hosts serve for it
	own      float64 // units a second that this host serves for it
	ownAt    time.Duration
	lastSeen time.Duration
}

// op is an op that this scheduler owes an answer.
type op struct {
	honeyplank.Op
	aim   time.Duration // clock time at which its target latency is over
	sends []send
	begun bool
	over  bool   // answered or gone, kept while a dispatch has no outcome
	osd   *osd   // where it is held or was last sent
	queue *queue // where it is held; nil while it is out
	key   *key
	early bool // it comes before others of its volume: a further dispatch
}

type send struct {
	osd   *osd
	at    time.Duration
	done  bool
	maybe bool // it may have run
}

// key keeps ops of ordered types apart.
type key struct {
	ops    []*op // in the order taken
	out    int   // dispatches without an outcome
	rest   time.Duration
	restBy honeyplank.OpID
}

// average is the paper's decayed mean: (total+c)/sum.
type average struct{ total, sum float64 }

func (m *average) add(gap time.Duration, a, b float64) {
	m.total = a*m.total + b*float64(gap)/float64(time.Millisecond)
	m.sum = a*m.sum + b
}

// get returns a setting by its name, or the type's zero value.
func get[T any](settings map[string]any, name string) T {
	v, _ := settings[name].(T)
	return v
}

// pick returns the i-th value of a setting that is a list.
func pick[T any](settings map[string]any, name string, i int) (v T) {
	if list := get[[]T](settings, name); i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// rank is the rendezvous hash of a volume and a disk server.
func rank(volume int64, id honeyplank.OSDID) uint64 {
	h := fnv.New64a()
	h.Write(strconv.AppendInt(nil, volume, 10))
	h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ranked returns the disk servers in the volume's order.
func ranked(osds []*osd, volume int64) []*osd {
	list := append([]*osd(nil), osds...)
	sort.SliceStable(list, func(i, j int) bool {
		return rank(volume, list[i].OSD) > rank(volume, list[j].OSD)
	})
	return list
}

// queueOf returns the volume's queue at a node, made when it is missing.
func (o *osd) queueOf(v *volume) *queue {
	for _, q := range o.queues {
		if q.volume == v {
			return q
		}
	}
	q := &queue{volume: v, round: -1, arrived: -1, ended: -1}
	o.queues = append(o.queues, q)
	return q
}

// holding counts the ops held for a node.
func (o *osd) holding() (n int) {
	for _, q := range o.queues {
		n += len(q.held)
	}
	return n
}

func (q *queue) drop(p *op) {
	q.held = without(q.held, p)
}

func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// recent drops what lies before a time from a log kept in order.
func recent(log []time.Duration, from time.Duration) []time.Duration {
	i := sort.Search(len(log), func(i int) bool { return log[i] >= from })
	return log[i:]
}
