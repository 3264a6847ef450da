package scheduler

import (
	"context"
	"time"

	"honeyplank"
)

// setWatch starts or ends the watch of discovery.
func (s *Scheduler) setWatch(on bool) {
	if !on && s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
	if !on || s.stopWatch != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	go watchList(ctx, s.config.Discovery, s.revisionGuard.revision, s.callTimeout(), listCallbacks{
		established: s.watchEstablished(ctx),
		received:    s.listReceived(ctx, watchCall),
		failed:      s.callFailed(ctx, watchCall),
	})
}

// fetch asks discovery for the complete list, once.
func (s *Scheduler) fetch() {
	ctx := context.Background()
	go fetchList(ctx, s.config.Discovery, s.callTimeout(), listCallbacks{
		received: s.listReceived(ctx, fetchCall),
		failed:   s.callFailed(ctx, fetchCall),
	})
}

// callTimeout is how long discovery may take to begin a response. Where all instances share one discovery, calls wait in a
// queue: one that is given up before its turn has been for nothing and is repeated, which makes the queue longer.
func (s *Scheduler) callTimeout() time.Duration {
	if s.site().WatchOnRequest {
		return sharedHeadTimeout
	}
	return headTimeout
}

// callKind says what discovery was called for.
type callKind int

const (
	fetchCall callKind = iota // the complete list, once
	watchCall                 // all changes from now on
)

// watchEstablished tells a module that has asked for the watch that it has it, also where nothing has changed.
func (s *Scheduler) watchEstablished(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.site().WatchOnRequest {
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.revisionGuard.revision})
			}
		})
	}
}

// listReceived hands a message to the loop. One from a watch that has ended is dropped, and so is a fetched list that is
// older than the current one; an older one from a watch ends the watch.
func (s *Scheduler) listReceived(ctx context.Context, call callKind) func(*listMessage, []string) {
	return func(list *listMessage, skipped []string) {
		notified := s.loop.Now() // the loop may be held up before it handles the message
		s.loop.Post(func() {
			if ctx.Err() != nil || call == fetchCall && list.Revision < s.revisionGuard.revision {
				return
			}
			list.isCurrent = list.Complete || list.Revision >= s.revisionGuard.revision
			if !s.revisionGuard.accept(s.loop.Now(), list) {
				s.watchFailed(errOldList)
				return
			}
			for _, reason := range skipped {
				s.log.Warn().Str("reason", reason).Msg("entry of the endpoint list skipped")
			}
			kind := honeyplank.Delta
			if list.Complete {
				kind = honeyplank.Complete
			}
			s.applyList(list, kind, notified)
		})
	}
}

// callFailed handles the end of a call without the list that it was for.
func (s *Scheduler) callFailed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == fetchCall && s.site().WatchOnRequest: // an established watch goes on
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == watchCall && ctx.Err() == nil:
				s.watchFailed(err)
			}
		})
	}
}

// watchFailed ends the watch and has the next one begin: after watchRetryDelay where discovery runs on this machine. Where
// all instances share one discovery the module says when: calls that all repeat at once keep it from answering any.
func (s *Scheduler) watchFailed(err error) {
	s.log.Info().Err(err).Msg("watch of discovery failed")
	s.setWatch(false)
	if s.site().WatchOnRequest {
		s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	} else {
		s.loop.Schedule(s.loop.Now()+watchRetryDelay, func() { s.setWatch(!s.stopping) })
	}
}

// applyList applies a list, or a change of it, that reached the process at notified, and hands it to the module.
func (s *Scheduler) applyList(list *listMessage, kind honeyplank.ListKind, notified time.Duration) {
	event := honeyplank.List{Kind: kind, Version: list.Revision}
	// The wall clock is read first: a hold-up between the two makes starts of disk servers later, never earlier.
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
	for _, ds := range changed { // the module has been notified and dispatches nothing new to those that left
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

// toMember makes an entry of the list a member as the module knows it.
func (s *Scheduler) toMember(m listMember) honeyplank.Member {
	member := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: memberStates[m.Phase]}
	member.Model, _ = indexOf("model", s.site().Models, m.Model)
	member.Zone, _ = indexOf("zone", s.site().Zones, m.Zone)
	member.Started = s.starts.startOf(m)
	return member
}
