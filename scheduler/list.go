package scheduler

import (
	"context"
	"time"

	"honeyplank"
)

// startWatch starts the watch of the endpoint list, unless there is one. A goroutine of its own receives the messages
// and posts them to the loop; stopWatch ends it.
func (s *Scheduler) startWatch() {
	if s.cancelWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelWatch = cancel
	go watchList(ctx, s.config.Discovery, s.revisionGuard.revision, s.callTimeout(), listCallbacks{
		established: s.watchEstablished(ctx),
		received:    s.listReceived(ctx, watchCall),
		failed:      s.callFailed(ctx, watchCall),
	})
}

// stopWatch stops the watch, if there is one.
func (s *Scheduler) stopWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// fetch requests the complete list from discovery, once. The call ends by its timeouts.
func (s *Scheduler) fetch() {
	ctx := context.Background()
	go fetchList(ctx, s.config.Discovery, s.callTimeout(), listCallbacks{
		received: s.listReceived(ctx, fetchCall),
		failed:   s.callFailed(ctx, fetchCall),
	})
}

// callTimeout is how long discovery may take to begin a response. If all instances share one discovery, calls queue
// there: one that is cancelled before its turn is retried, which makes the queue longer.
func (s *Scheduler) callTimeout() time.Duration {
	if s.site().WatchOnRequest {
		return sharedHeaderTimeout
	}
	return headerTimeout
}

// callKind is the purpose of a call to discovery.
type callKind int

const (
	fetchCall callKind = iota // the complete list, once
	watchCall                 // all changes from now on
)

// watchEstablished notifies a module that has asked for the watch that it is established, even if nothing has changed.
func (s *Scheduler) watchEstablished(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.site().WatchOnRequest {
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.revisionGuard.revision})
			}
		})
	}
}

// listReceived hands a message to the loop. One of a watch that has ended is dropped, and so is a fetched list that is
// older than the current one.
func (s *Scheduler) listReceived(ctx context.Context, call callKind) func(*listMessage, []string) {
	return func(list *listMessage, skipped []string) {
		notified := s.loop.Now() // the loop may be held up before it handles the message
		s.loop.Post(func() {
			if ctx.Err() == nil && (call == watchCall || list.Revision >= s.revisionGuard.revision) {
				s.handleList(list, skipped, notified)
			}
		})
	}
}

// handleList applies a message that reached the process at notified. One that is older than the current list ends the
// watch.
func (s *Scheduler) handleList(list *listMessage, skipped []string, notified time.Duration) {
	list.isCurrent = list.Complete || list.Revision >= s.revisionGuard.revision
	if !s.revisionGuard.accept(s.loop.Now(), list) {
		s.watchFailed(errOldList)
		return
	}
	for _, reason := range skipped {
		s.log.Warn().Str("reason", reason).Msg("endpoint list entry skipped")
	}
	kind := honeyplank.Delta
	if list.Complete {
		kind = honeyplank.Complete
	}
	s.applyList(list, kind, notified)
}

// callFailed handles the end of a watch, or of a fetch that brought no list.
func (s *Scheduler) callFailed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == fetchCall && s.site().WatchOnRequest: // without effect on an established watch
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == watchCall && ctx.Err() == nil:
				s.watchFailed(err)
			}
		})
	}
}

// watchFailed ends the watch and schedules the next one: after watchRetryDelay if discovery runs on this machine. If
// all instances share one discovery the module decides when, since simultaneous retries of all would overload it.
func (s *Scheduler) watchFailed(err error) {
	s.log.Info().Err(err).Msg("endpoint list watch failed")
	s.stopWatch()
	if s.site().WatchOnRequest {
		s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
		return
	}
	s.loop.Schedule(s.loop.Now()+watchRetryDelay, func() {
		if s.stopping {
			s.stopWatch()
		} else {
			s.startWatch()
		}
	})
}

// applyList applies a list, or a change of it, that reached the process at notified, and hands it to the module.
func (s *Scheduler) applyList(list *listMessage, kind honeyplank.ListKind, notified time.Duration) {
	event := honeyplank.List{Kind: kind, Version: list.Revision}
	// The wall clock is read first: a hold-up between the two makes starts of disk servers appear later, never earlier.
	s.starts.observeClocks(s.wallClock(), s.loop.Now())
	var changed []*diskServer
	for _, m := range list.Members {
		s.visited.members++
		changed = append(changed, s.applyMember(m))
		event.Members = append(event.Members, s.toMember(m))
	}
	s.starts.listApplied(list, kind)
	if kind != honeyplank.Delta {
		changed = append(changed, s.removeUnlisted(list)...)
	}
	s.tracker.Deliver(event)
	for _, ds := range changed { // the module is notified: it dispatches nothing new to removed servers
		ds.enforceDrainGrace(notified)
	}
}

// removeUnlisted removes the disk servers that a complete list does not name, and returns them.
func (s *Scheduler) removeUnlisted(list *listMessage) (removed []*diskServer) {
	listed := make(map[honeyplank.ServerID]bool, len(list.Members))
	for _, m := range list.Members {
		listed[honeyplank.ServerID(m.ID)] = true
	}
	for id, ds := range s.servers {
		s.visited.members++
		if !listed[id] {
			removed = append(removed, s.applyMember(listMember{ID: string(id), Address: ds.address, Phase: "removed"}))
		}
	}
	return removed
}

// toMember converts an entry of the list to a member of the module's list. Unknown models and zones count as the first.
func (s *Scheduler) toMember(m listMember) honeyplank.Member {
	member := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: memberStates[m.Phase]}
	member.Model, _ = indexOf("model", s.site().Models, m.Model)
	member.Zone, _ = indexOf("zone", s.site().Zones, m.Zone)
	member.Started = s.starts.startOf(m)
	return member
}
