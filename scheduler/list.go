package scheduler

import (
	"context"
	"time"

	"honeyplank"
)

// setWatch starts or ends following discovery.
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
	go watchList(ctx, s.config.Discovery, s.revisionGuard.revision, s.callTimeout(), s.watchEstablished(ctx), s.listReceived(ctx, watchCall), s.callFailed(ctx, watchCall))
}

// callTimeout is how long discovery may take to begin an answer. Where calls wait in turn, one that is given up before its turn
// has been for nothing and comes again, which makes all turns longer.
func (s *Scheduler) callTimeout() time.Duration {
	if s.site().Ask {
		return sharedHeadTimeout
	}
	return headTimeout
}

// callKind tells a call for the whole list from a watch.
type callKind int

const (
	fetchCall callKind = iota
	watchCall
)

// watchEstablished tells a module that has asked for the watch that it has it, also where nothing has changed.
func (s *Scheduler) watchEstablished(ctx context.Context) func() {
	return func() {
		s.loop.Post(func() {
			if ctx.Err() == nil && s.site().Ask {
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.Delta, Version: s.revisionGuard.revision})
			}
		})
	}
}

// listReceived hands a message over to the loop; one of a watch that has ended is dropped, and one that is older than the list
// held ends its watch.
func (s *Scheduler) listReceived(ctx context.Context, call callKind) func(*listMessage, []string) {
	return func(l *listMessage, skipped []string) {
		told := s.loop.Now() // the loop may hear of it late
		s.loop.Post(func() {
			if ctx.Err() != nil || call == fetchCall && l.Revision < s.revisionGuard.revision {
				return
			}
			l.isCurrent = l.Complete || l.Revision >= s.revisionGuard.revision
			if !s.revisionGuard.accept(s.loop.Now(), l) {
				s.watchFailed(errOldList)
				return
			}
			for _, text := range skipped {
				s.log.Warn().Str("why", text).Msg("an entry of the list is passed over")
			}
			kind := honeyplank.Delta
			if l.Complete {
				kind = honeyplank.Complete
			}
			s.applyList(l, kind, told)
		})
	}
}

func (s *Scheduler) callFailed(ctx context.Context, call callKind) func(error) {
	return func(err error) {
		s.loop.Post(func() {
			switch {
			case call == fetchCall && s.site().Ask: // a watch that stands goes on
				s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
			case call == watchCall && ctx.Err() == nil:
				s.watchFailed(err)
			}
		})
	}
}

// watchFailed is told that discovery could not be followed. Where it stands on this machine the next watch follows at once;
// where all ask one discovery the module says when: calls that come again at once, from all, keep it from answering any.
func (s *Scheduler) watchFailed(err error) {
	s.log.Info().Err(err).Msg("discovery can't be followed")
	s.setWatch(false)
	if s.site().Ask {
		s.tracker.Deliver(honeyplank.List{Kind: honeyplank.WatchFailed})
	} else {
		s.loop.Schedule(s.loop.Now()+watchRetryDelay, func() { s.setWatch(!s.stopping) })
	}
}

// applyList takes over what a list that came at a time says and tells the module.
func (s *Scheduler) applyList(l *listMessage, kind honeyplank.ListKind, told time.Duration) {
	e := honeyplank.List{Kind: kind, Version: l.Revision}
	s.starts.observeClocks(s.wallClock(), s.loop.Now()) // in this order: a halt between them makes starts later, not earlier
	listed := map[honeyplank.ServerID]bool{}
	var named []*diskServer
	for _, m := range l.Members {
		s.visited.members++
		listed[honeyplank.ServerID(m.ID)] = true
		named = append(named, s.applyMember(m))
		e.Members = append(e.Members, s.toMember(m))
	}
	s.starts.listApplied(l, kind)
	if kind != honeyplank.Delta {
		for id, ds := range s.servers {
			s.visited.members++
			if !listed[id] {
				named = append(named, s.applyMember(listMember{ID: string(id), Address: ds.address, Phase: "removed"}))
			}
		}
	}
	s.tracker.Deliver(e)
	for _, ds := range named { // by now the module sends them nothing new
		ds.enforceDrainGrace(told)
	}
}

// toMember is an entry as the module knows it.
func (s *Scheduler) toMember(m listMember) honeyplank.Member {
	out := honeyplank.Member{ID: honeyplank.ServerID(m.ID), Size: m.Size, Cell: m.Cell, State: memberStates[m.Phase]}
	out.Model, _ = indexOf("model", s.site().Models, m.Model)
	out.Zone, _ = indexOf("zone", s.site().Zones, m.Zone)
	out.Started = s.starts.startOf(m)
	return out
}
