package etcd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
)

const (
	// revisionsPerResponse is the maximum number of revisions that one response covers.
	revisionsPerResponse = 1000
	// progressWatchID is the watch ID in responses that concern all watches of a stream.
	progressWatchID = -1
)

// watchStream is one call of Watch. One goroutine receives its requests, and one goroutine for each watch sends events.
// All of them end with the call's context, which is cancelled when Watch returns.
type watchStream struct {
	server *Server
	stream etcdserverpb.Watch_WatchServer
	ctx    context.Context
	ended  chan error // the result of the call; holds the first one only
	sendMu sync.Mutex // held while a response is sent

	// Used by the receiving goroutine only:
	watches map[int64]*watch
	nextID  int64
}

// Watch serves one watch stream until the client ends it or a fault does.
func (s *Server) Watch(stream etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ws := &watchStream{
		server:  s,
		stream:  stream,
		ctx:     ctx,
		ended:   make(chan error, 1),
		watches: map[int64]*watch{},
	}
	go ws.receive()
	return <-ws.ended
}

// end ends the stream with a result. Calls after the first have no effect.
func (ws *watchStream) end(err error) {
	select {
	case ws.ended <- err:
	default:
	}
}

func (ws *watchStream) send(r *etcdserverpb.WatchResponse) error {
	ws.sendMu.Lock()
	defer ws.sendMu.Unlock()
	return ws.stream.Send(r)
}

// receive handles the requests of the stream until the client ends the stream.
func (ws *watchStream) receive() {
	for {
		r, err := ws.stream.Recv()
		if err != nil {
			ws.end(nil)
			return
		}
		switch {
		case r.GetCreateRequest() != nil:
			ws.create(r.GetCreateRequest())
		case r.GetCancelRequest() != nil:
			ws.cancel(r.GetCancelRequest().WatchId)
		case r.GetProgressRequest() != nil && !ws.server.isSilent():
			ws.sendProgress()
		}
	}
}

func (ws *watchStream) create(r *etcdserverpb.WatchCreateRequest) {
	ctx, cancel := context.WithCancel(ws.ctx)
	w := &watch{stream: ws, id: ws.nextID, request: r, ctx: ctx, cancel: cancel}
	w.sentUpTo.Store(max(0, r.StartRevision-1))
	ws.watches[w.id] = w
	ws.nextID++
	go w.run()
}

func (ws *watchStream) cancel(id int64) {
	w := ws.watches[id]
	if w == nil {
		return
	}
	w.cancel()
	delete(ws.watches, id)
	_ = ws.send(&etcdserverpb.WatchResponse{ // if it fails, receive fails too and ends the stream
		Header:   ws.server.currentHeader(),
		WatchId:  id,
		Canceled: true,
	})
}

// sendProgress answers a progress request. As etcd guarantees, all events up to the revision in the response have been
// sent on this stream.
func (ws *watchStream) sendProgress() {
	header := ws.server.currentHeader()
	for _, w := range ws.watches {
		header.Revision = min(header.Revision, w.sentUpTo.Load())
	}
	// If sending fails, receive fails too and ends the stream.
	_ = ws.send(&etcdserverpb.WatchResponse{Header: header, WatchId: progressWatchID})
}

// watch is one watch of a stream.
type watch struct {
	stream   *watchStream
	id       int64
	request  *etcdserverpb.WatchCreateRequest
	ctx      context.Context
	cancel   context.CancelFunc
	broken   chan struct{} // closed to end the watch with an error
	sentUpTo atomic.Int64  // the revision up to which all events have been sent
}

// run sends events until the watch is cancelled or broken, or its stream ends.
func (w *watch) run() {
	next, ok := w.open()
	if !ok {
		return
	}
	for {
		batch := w.nextBatch(next)
		next = batch.next
		if !w.sendBatch(batch) {
			return
		}
		w.sentUpTo.Store(next - 1)
		if batch.more {
			continue
		}
		select {
		case <-batch.changed:
		case <-w.broken:
			w.stream.end(errUnavailable)
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// open creates the watch and returns the revision from which it sends events. It reports false if the watch was not
// created, or if its start revision is compacted.
func (w *watch) open() (next int64, ok bool) {
	s := w.stream.server
	s.mu.Lock()
	w.broken = s.broken
	faults, header, compactRevision := s.faults, s.header(), s.store.compactRevision
	s.mu.Unlock()
	if faults.unavailable {
		w.stream.end(errUnavailable)
		return 0, false
	}
	if faults.watchesWithheld {
		return 0, false
	}
	created := &etcdserverpb.WatchResponse{Header: header, WatchId: w.id, Created: true}
	if w.stream.send(created) != nil {
		return 0, false
	}
	next = w.request.StartRevision
	switch {
	case next == 0:
		next = header.Revision + 1
	case next > 0 && next < compactRevision:
		_ = w.stream.send(&etcdserverpb.WatchResponse{ // if it fails, receive fails too and ends the stream
			Header:          header,
			WatchId:         w.id,
			Canceled:        true,
			CompactRevision: compactRevision,
			CancelReason:    compactedText,
		})
		return 0, false
	}
	return next, true
}

// watchBatch holds the events that a watch sends in one response.
type watchBatch struct {
	response *etcdserverpb.WatchResponse
	next     int64         // the first revision after the batch
	more     bool          // there are events at next or later
	changed  chan struct{} // closed at the next change
	delay    time.Duration
}

// nextBatch collects the events from a revision on. A batch covers at most revisionsPerResponse revisions, so a long
// history takes several batches. The header of each has the current revision.
func (w *watch) nextBatch(from int64) watchBatch {
	s := w.stream.server
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := watchBatch{
		response: &etcdserverpb.WatchResponse{Header: s.header(), WatchId: w.id},
		next:     from,
		changed:  s.changed,
		delay:    s.faults.watchDelay,
	}
	if s.faults.silent {
		return batch
	}
	batch.next = s.store.revision + 1
	keys := keyRange{w.request.Key, w.request.RangeEnd}
	for _, e := range s.store.events[s.store.firstEvent(from):] {
		if e.Kv.ModRevision >= from+revisionsPerResponse {
			batch.next, batch.more = e.Kv.ModRevision, true
			break
		}
		if keys.contains(e.Kv.Key) {
			batch.response.Events = append(batch.response.Events, e)
		}
	}
	return batch
}

// sendBatch sends the events of a batch, if there are any, after the delay. It reports false if sending fails.
func (w *watch) sendBatch(batch watchBatch) bool {
	events := batch.response.Events
	if len(events) == 0 {
		return true
	}
	if batch.delay > 0 {
		select {
		case <-time.After(batch.delay):
		case <-w.broken:
		case <-w.ctx.Done():
		}
	}
	for _, e := range events {
		w.stream.server.notify(w.ctx, e.Kv.Key, e.Kv.Value)
	}
	return w.stream.send(batch.response) == nil
}
