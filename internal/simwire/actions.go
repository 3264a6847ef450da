package simwire

import (
	"encoding/hex"
	"fmt"

	"honeyplank"
)

// actionMessage is the wire form of an action. An absent field has the same meaning as zero.
type actionMessage struct {
	Op         string   `json:"op"`
	Instance   string   `json:"scheduler_id"`
	OpID       string   `json:"job,omitempty"`
	Server     string   `json:"server,omitempty"`
	Timeout    float64  `json:"give_up_after_ms,omitempty"`
	RetryAfter float64  `json:"backoff_ms,omitempty"`
	Dispatch   *int     `json:"leg,omitempty"`
	Peer       any      `json:"addressee,omitempty"` // ordinal of an instance, or allPeers
	Data       *string  `json:"raw,omitempty"`       // hexadecimal
	Text       string   `json:"body_text,omitempty"`
	Enabled    *bool    `json:"enable,omitempty"`
	At         *float64 `json:"due_at_ms,omitempty"`
	Timer      string   `json:"ref,omitempty"`
}

// allPeers is the actionMessage.Peer that addresses all other instances.
const allPeers = "*"

// panicMessage reports that an instance has failed.
type panicMessage struct {
	Text     string `json:"body_text"`
	Op       string `json:"op"`
	Instance string `json:"scheduler_id"`
}

func newPanicMessage(instance string, value any) panicMessage {
	return panicMessage{Text: fmt.Sprint("panic: ", value), Op: "bug", Instance: instance}
}

// encode converts an action of an instance to its wire form.
func encode(instance string, action honeyplank.Action) actionMessage {
	message := actionMessage{Instance: instance}
	switch action := action.(type) {
	case honeyplank.Dispatch:
		message.Op, message.OpID, message.Server = "assign", string(action.Op), string(action.Server)
		message.Timeout = toMillis(action.Timeout)
	case honeyplank.Reject:
		message.Op, message.OpID, message.RetryAfter = "push_back", string(action.Op), toMillis(action.RetryAfter)
	case honeyplank.Fail:
		message.Op, message.OpID = "respond_error", string(action.Op)
	case honeyplank.Cancel:
		message.Op, message.OpID, message.Dispatch = "call_off", string(action.Op), &action.Dispatch
	case honeyplank.HealthCheck:
		message.Op, message.Server = "test", string(action.Server)
	case honeyplank.CloseIdle:
		message.Op, message.Server = "release", string(action.Server)
	case honeyplank.Gossip:
		message.Op = "say"
		message.setGossip(action)
	case honeyplank.LogHealth:
		message.Op = "print"
		message.Text = fmt.Sprintf("server %s: %s, was %s", action.Server, action.Health, action.Previous)
	case honeyplank.LogEstimateIgnored:
		message.Op = "print"
		message.Text = fmt.Sprintf("server %s: saved estimate ignored: %s", action.Server, action.Reason)
	case honeyplank.LogRecordsDropped:
		message.Op = "print"
		message.Text = fmt.Sprintf("records dropped: %d volumes, %d queues", action.Volumes, action.Queues)
	case honeyplank.Watch:
		message.Op, message.Enabled = "track", &action.Enabled
	case honeyplank.Fetch:
		message.Op = "read_list"
	case honeyplank.SetTimer:
		at := toMillis(action.At)
		message.Op, message.At, message.Timer = "sleep", &at, string(action.ID)
	}
	return message
}

// setGossip sets the receiver and the data of a gossip message.
func (m *actionMessage) setGossip(gossip honeyplank.Gossip) {
	data := hex.EncodeToString(gossip.Data)
	m.Data, m.Peer = &data, gossip.To
	if gossip.To == honeyplank.AllPeers {
		m.Peer = allPeers
	}
}
