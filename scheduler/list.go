package scheduler

import (
	"context"
	"time"

	"honeyplank"
)

// startWatch starts the watch of the endpoint list, unless one is running. A separate goroutine receives the messages
// and posts them to the loop until stopWatch ends it.
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

// stopWatch stops the watch if one is running.
func (s *Scheduler) stopWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// fetch requests the complete list from discovery once. The call cannot be cancelled, but its timeouts end it.
func (s *Scheduler) fetch() {
	ctx := context.Background()
	go fetchList(ctx, s.config.Discovery, s.callTimeout(), listCallbacks{
		received: s.listReceived(ctx, fetchCall),
		failed:   s.callFailed(ctx, fetchCall),
	})
}

// callTimeout returns the timeout for the response header of discovery. It is longer if all instances share one
// discovery, where calls queue: a call that is cancelled before its turn is retried, which makes the queue longer.
func (s *Scheduler) callTimeout() time.Duration {
	if s.site().WatchOnRequest {
		return sharedHeaderTimeout
	}
	return headerTimeout
}

// callKind is the purpose of a call to discovery.
type callKind int

const (
	fetchCall callKind = iota // requests the complete list once
	watchCall                 // receives all changes from now on
)

// watchEstablished returns a callback that notifies the module that the watch is established, even if the list has not
// changed. It does so only if the module has requested the watch.
func (s *Scheduler) watchEstablished(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.site().WatchOnRequest {
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.revisionGuard.revision})
			}
		})
	}
}

// listReceived returns a callback that passes a message to the loop. The loop drops the message if its watch has ended
// or if it is a fetched list that is older than the current one.
func (s *Scheduler) listReceived(ctx context.Context, call callKind) func(*listMessage, []string) {
	return func(list *listMessage, skipped []string) {
		notified := s.loop.Now() // read here, since the loop may handle the message after a process pause
		s.loop.Post(func() {
			if ctx.Err() == nil && (call == watchCall || list.Revision >= s.revisionGuard.revision) {
				s.handleList(list, skipped, notified)
			}
		})
	}
}

// handleList applies a message; notified is the time at which the process received it. If the message is older than the
// current list, the watch ends.
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

// callFailed returns a callback that handles the end of a watch, or of a fetch that received no list.
func (s *Scheduler) callFailed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == fetchCall && s.site().WatchOnRequest: // an established watch continues
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == watchCall && ctx.Err() == nil:
				s.watchFailed(err)
			}
		})
	}
}

// watchFailed ends the watch. If discovery runs on this machine, the next watch starts after watchRetryDelay. If all
// instances share one discovery, the module decides when to retry, since simultaneous retries would overload discovery.
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

// applyList applies a list, or a change of the list, and then passes it to the module; notified is the time at which
// the process received it.
func (s *Scheduler) applyList(list *listMessage, kind honeyplank.ListKind, notified time.Duration) {
	event := honeyplank.List{Kind: kind, Version: list.Revision}
	// The wall clock is read first: a process pause between the two readings makes starts of disk servers appear later,
	// never earlier.
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
	for _, ds := range changed { // after Deliver: the module no longer dispatches to removed servers
		ds.enforceDrainGrace(notified)
	}
}

// removeUnlisted removes the disk servers that are missing in a complete list, and returns them.
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

// toMember converts an entry of the list to a member for the module. An unknown model or zone becomes the first one.
func (s *Scheduler) toMember(m listMember) honeyplank.Member {
	member := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: memberStates[m.Phase]}
	member.Model, _ = indexOf("model", s.site().Models, m.Model)
	member.Zone, _ = indexOf("zone", s.site().Zones, m.Zone)
	member.Started = s.starts.startOf(m)
	return member
}
