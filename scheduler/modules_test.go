package scheduler

import (
	"time"

	"honeyplank"
)

// recordingModule calls onEvent with each event before the module handles it. It is used on the loop.
type recordingModule struct {
	honeyplank.DecisionModule
	onEvent func(honeyplank.Event)
}

func (m *recordingModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	m.onEvent(event)
	return m.DecisionModule.Handle(now, event)
}

// singleServerModule is a module that dispatches every op to one disk server at once, and fails it if that does not
// succeed.
type singleServerModule struct{ server honeyplank.ServerID }

func (m singleServerModule) Handle(_ time.Duration, event honeyplank.Event) []honeyplank.Action {
	switch event := event.(type) {
	case honeyplank.Op:
		return []honeyplank.Action{honeyplank.Dispatch{Op: event.ID, Server: m.server}}
	case honeyplank.Outcome:
		if !event.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: event.Op}}
		}
	}
	return nil
}

// doubleDispatchModule is a module that dispatches every op to one disk server twice, and fails it at the first
// unsuccessful outcome.
type doubleDispatchModule struct{ server honeyplank.ServerID }

func (m doubleDispatchModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	actions := singleServerModule(m).Handle(now, event)
	if op, ok := event.(honeyplank.Op); ok {
		actions = append(actions, honeyplank.Dispatch{Op: op.ID, Server: m.server})
	}
	return actions
}

// delayedModule is a module that dispatches each op to the first disk server after a delay, and fails it if that does
// not succeed.
type delayedModule struct {
	delay  time.Duration
	lastOp honeyplank.OpID
}

func (m *delayedModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	switch event := event.(type) {
	case honeyplank.Op:
		if m.delay == 0 {
			return []honeyplank.Action{honeyplank.Dispatch{Op: event.ID, Server: "s-0"}}
		}
		m.lastOp = event.ID
		return []honeyplank.Action{honeyplank.SetTimer{ID: "dispatch", At: now + m.delay}}
	case honeyplank.Timer:
		return []honeyplank.Action{honeyplank.Dispatch{Op: m.lastOp, Server: "s-0"}}
	case honeyplank.Outcome:
		if !event.Answered {
			return []honeyplank.Action{honeyplank.Fail{Op: event.Op}}
		}
	}
	return nil
}

// cancellingModule is a module that cancels an op when its client is gone.
type cancellingModule struct{}

func (cancellingModule) Handle(now time.Duration, event honeyplank.Event) []honeyplank.Action {
	if gone, ok := event.(honeyplank.ClientGone); ok {
		return []honeyplank.Action{honeyplank.Cancel{Op: gone.Op}}
	}
	return singleServerModule{"s-0"}.Handle(now, event)
}

// twoServersModule is a module that dispatches every op to two disk servers at once.
type twoServersModule [2]honeyplank.ServerID

func (m twoServersModule) Handle(_ time.Duration, event honeyplank.Event) []honeyplank.Action {
	op, ok := event.(honeyplank.Op)
	if !ok {
		return nil
	}
	return []honeyplank.Action{
		honeyplank.Dispatch{Op: op.ID, Server: m[0]},
		honeyplank.Dispatch{Op: op.ID, Server: m[1]},
	}
}
