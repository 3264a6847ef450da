package etcd

import (
	"errors"
	"fmt"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"honeyplank"
	"honeyplank/discovery"
)

// errHistoryLost: a watch can't resume from where it was, and the complete list is needed.
var errHistoryLost = errors.New("discovery: the history since the last revision is compacted or inconsistent")

// errCancelled: etcd has cancelled the watch for a reason other than compaction.
var errCancelled = errors.New("cancelled")

// watchState is the state of a watch.
type watchState int

const (
	awaitingCreated    watchState = iota // the response that the watch is created is awaited
	watching                             // the watch is created and no response is incomplete
	receivingFragments                   // fragments of a response are pending, and more are awaited
	ended                                // no response is taken
)

// watchInput is the kind of a response.
type watchInput int

const (
	inputCreated   watchInput = iota
	inputCompacted            // cancelled, since the revision to resume from is compacted
	inputCancelled            // cancelled for another reason
	inputFragment             // events, and more fragments of the same response follow
	inputEvents               // events: a complete response, or its last fragment
	inputProgress             // no events
	inputMalformed            // no header, an event without its pair, or revisions that decrease within a response
)

// transition is what a watch does on an input.
type transition struct {
	next   watchState
	action func(*list, *etcdserverpb.WatchResponse) (*discovery.Update, error)
}

// transitions has the actions of a watch. An input that is not in the table is out of order: the watch ends, and the
// next one begins with the complete list.
var transitions = map[watchState]map[watchInput]transition{
	awaitingCreated: {
		inputCreated:   {watching, (*list).created},
		inputCompacted: {ended, (*list).loseHistory},
		inputCancelled: {ended, (*list).cancelled},
		inputProgress:  {awaitingCreated, ignore}, // of another watch on the stream
	},
	watching: {
		inputFragment:  {receivingFragments, (*list).collect},
		inputEvents:    {watching, (*list).commit},
		inputProgress:  {watching, (*list).progress},
		inputCompacted: {ended, (*list).loseHistory},
		inputCancelled: {ended, (*list).cancelled},
	},
	receivingFragments: {
		inputFragment:  {receivingFragments, (*list).collect},
		inputEvents:    {watching, (*list).commit},
		inputProgress:  {receivingFragments, ignore}, // says nothing of the events in fragments
		inputCompacted: {ended, (*list).loseHistory},
		inputCancelled: {ended, (*list).cancelled},
	},
}

// beginWatch drops what is pending of the watch before and awaits a new one, from after the last revision passed on.
func (l *list) beginWatch() {
	l.state, l.lastRevision = awaitingCreated, l.revision
	l.dropPending()
}

// handle applies a response. The update is nil where there is nothing to pass on. After an error the watch has ended;
// errHistoryLost asks for the complete list.
func (l *list) handle(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	t, ok := transitions[l.state][l.classify(r)]
	if !ok {
		t = transition{ended, (*list).loseHistory}
	}
	l.state = t.next
	update, err := t.action(l, r)
	if err != nil {
		l.state = ended
		l.dropPending()
	}
	return update, err
}

// classify returns the kind of input that a response is.
func (l *list) classify(r *etcdserverpb.WatchResponse) watchInput {
	switch {
	case r.GetHeader() == nil:
		return inputMalformed
	case r.Canceled && r.CompactRevision > 0:
		return inputCompacted
	case r.Canceled:
		return inputCancelled
	case r.Created:
		return inputCreated
	case len(r.Events) == 0 && !r.Fragment && l.state == receivingFragments && r.WatchId >= 0:
		return inputEvents // the last fragment may be empty; requested progress has no watch id
	case len(r.Events) == 0 && !r.Fragment:
		return inputProgress
	}
	before := int64(0)
	for _, e := range r.Events {
		if e.GetKv() == nil || e.Kv.ModRevision < before {
			return inputMalformed
		}
		before = e.Kv.ModRevision
	}
	if r.Fragment {
		return inputFragment
	}
	return inputEvents
}

// ignore does nothing.
func ignore(*list, *etcdserverpb.WatchResponse) (*discovery.Update, error) { return nil, nil }

// created handles the confirmation of the watch. Where etcd's revision is below the last one passed on, etcd has
// another history, and the complete list is needed.
func (l *list) created(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if r.Header.Revision < l.revision {
		return nil, errHistoryLost
	}
	// An update without nodes, since it may take long until an event comes.
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}

func (l *list) loseHistory(*etcdserverpb.WatchResponse) (*discovery.Update, error) {
	return nil, errHistoryLost
}

func (l *list) cancelled(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	return nil, fmt.Errorf("%w: %.200s", errCancelled, r.CancelReason)
}

// progress handles the notification that no event up to a revision is missing. A response with events does not mean
// that: etcd sends a long history in several, each with the current revision in its header.
func (l *list) progress(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	l.revision = max(l.revision, r.Header.Revision)
	l.lastRevision = max(l.lastRevision, l.revision)
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}
