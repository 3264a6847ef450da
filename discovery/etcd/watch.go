package etcd

import (
	"errors"
	"fmt"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"honeyplank"
	"honeyplank/discovery"
)

// errHistoryLost means that a watch cannot resume after its last revision, so that the complete list must be read.
var errHistoryLost = errors.New("discovery: the history since the last revision is compacted or inconsistent")

// errCancelled means that etcd has cancelled the watch for a reason other than compaction.
var errCancelled = errors.New("cancelled by etcd")

// watchState is the state of a watch.
type watchState int

const (
	awaitingCreated    watchState = iota // the response that confirms the watch is awaited
	watching                             // the watch is created, and no response is incomplete
	receivingFragments                   // fragments of a response are pending, and more are awaited
	ended                                // responses are no longer accepted
)

// watchInput is the kind of a response.
type watchInput int

const (
	inputCreated   watchInput = iota
	inputCompacted            // cancelled, since the revision after which the watch resumes is compacted
	inputCancelled            // cancelled for another reason
	inputFragment             // events; more fragments of the same response follow
	inputEvents               // events: a complete response, or its last fragment
	inputProgress             // no events
	inputMalformed            // no header, an event without a pair, or revisions that decrease within a response
)

// transition has the next state of a watch and the action on an input.
type transition struct {
	next   watchState
	action func(*list, *etcdserverpb.WatchResponse) (*discovery.Update, error)
}

// transitions is the state machine of a watch. An input that is not in the table is out of order: the watch ends, and
// the next one begins with the complete list.
var transitions = map[watchState]map[watchInput]transition{
	awaitingCreated: {
		inputCreated:   {watching, (*list).created},
		inputCompacted: {ended, (*list).failHistoryLost},
		inputCancelled: {ended, (*list).cancelled},
		inputProgress:  {awaitingCreated, ignore}, // belongs to another watch on the stream
	},
	watching: {
		inputFragment:  {receivingFragments, (*list).collect},
		inputEvents:    {watching, (*list).commit},
		inputProgress:  {watching, (*list).progress},
		inputCompacted: {ended, (*list).failHistoryLost},
		inputCancelled: {ended, (*list).cancelled},
	},
	receivingFragments: {
		inputFragment:  {receivingFragments, (*list).collect},
		inputEvents:    {watching, (*list).commit},
		inputProgress:  {receivingFragments, ignore}, // does not cover the events in fragments
		inputCompacted: {ended, (*list).failHistoryLost},
		inputCancelled: {ended, (*list).cancelled},
	},
}

// beginWatch drops the pending changes of the previous watch and awaits a new one, which begins after the last revision
// passed on.
func (l *list) beginWatch() {
	l.state, l.lastRevision = awaitingCreated, l.revision
	l.dropPending()
}

// handle applies a response. The update is nil if there is nothing to pass on. After an error the watch has ended;
// after errHistoryLost the complete list must be read.
func (l *list) handle(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	t, ok := transitions[l.state][l.classify(r)]
	if !ok {
		t = transition{ended, (*list).failHistoryLost}
	}
	l.state = t.next
	update, err := t.action(l, r)
	if err != nil {
		l.state = ended
		l.dropPending()
	}
	return update, err
}

// classify returns the input that a response is for the state machine.
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
		return inputEvents // the last fragment may be empty; a requested progress notification has no watch ID
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

// created handles the confirmation of the watch. If etcd's revision is below the last one passed on, etcd has a
// different history, and the complete list must be read.
func (l *list) created(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	if r.Header.Revision < l.revision {
		return nil, errHistoryLost
	}
	// An update without nodes, since the first event may arrive much later.
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}

func (l *list) failHistoryLost(*etcdserverpb.WatchResponse) (*discovery.Update, error) {
	return nil, errHistoryLost
}

func (l *list) cancelled(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	return nil, fmt.Errorf("%w: %.200s", errCancelled, r.CancelReason)
}

// progress handles the notification that all events up to a revision have been sent. A response with events does not
// mean that: etcd sends a long history in several responses, each with the current revision in its header.
func (l *list) progress(r *etcdserverpb.WatchResponse) (*discovery.Update, error) {
	l.revision = max(l.revision, r.Header.Revision)
	l.lastRevision = max(l.lastRevision, l.revision)
	return &discovery.Update{Kind: honeyplank.Delta, Current: r.Header.Revision == l.revision}, nil
}
