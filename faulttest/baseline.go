package faulttest

import (
	"time"

	"honeyplank"
)

const (
	// baselineWatchRetry is the time after which the baseline retries a failed watch.
	baselineWatchRetry = time.Second

	baselineWatchTimer honeyplank.TimerID = "watch"
)

// NewBaseline returns a decision module that serves as a baseline for measurements. It dispatches every op at once, in
// order of arrival and regardless of the state of the disk server, and never retries. It keeps no rule but the first.
// The parameters are those of Options.Module and are ignored.
func NewBaseline(int64, *honeyplank.Settings) honeyplank.DecisionModule {
	return &baseline{serverOfCell: map[int]honeyplank.ServerID{}}
}

type baseline struct {
	serverOfCell   map[int]honeyplank.ServerID
	watchRequested bool
}

// Handle implements honeyplank.DecisionModule.
func (b *baseline) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	var actions []honeyplank.Action
	if !b.watchRequested {
		b.watchRequested = true
		actions = append(actions, honeyplank.Watch{Enabled: true})
	}
	switch event := event.(type) {
	case honeyplank.List:
		if event.Kind == honeyplank.WatchFailed {
			return append(actions, honeyplank.SetTimer{At: now + baselineWatchRetry, ID: baselineWatchTimer})
		}
		b.applyMembers(event.Members)
	case honeyplank.Timer:
		actions = append(actions, honeyplank.Watch{Enabled: true})
	case honeyplank.Op:
		if server, ok := b.serverOfCell[event.Cell]; ok {
			return append(actions, honeyplank.Dispatch{Op: event.ID, Server: server})
		}
		return append(actions, honeyplank.Fail{Op: event.ID})
	case honeyplank.Outcome:
		if !event.Answered {
			return append(actions, honeyplank.Fail{Op: event.Op})
		}
	}
	return actions
}

func (b *baseline) applyMembers(members []honeyplank.Member) {
	for _, m := range members {
		if m.State == honeyplank.Up {
			b.serverOfCell[m.Cell] = m.ID
		} else if b.serverOfCell[m.Cell] == m.ID {
			delete(b.serverOfCell, m.Cell)
		}
	}
}
