package simwire

import (
	"encoding/hex"
	"fmt"

	"honeyplank"
)

// message is an action on the wire; absent fields mean the same as zero.
type message struct {
	Op        string   `json:"op"`
	Inst      string   `json:"scheduler_id"`
	Job       string   `json:"job,omitempty"`
	Server    string   `json:"server,omitempty"`
	GiveUp    float64  `json:"give_up_after_ms,omitempty"`
	Backoff   float64  `json:"backoff_ms,omitempty"`
	Leg       *int     `json:"leg,omitempty"`
	Addressee any      `json:"addressee,omitempty"`
	Raw       *string  `json:"raw,omitempty"`
	Text      string   `json:"body_text,omitempty"`
	Enable    *bool    `json:"enable,omitempty"`
	DueAt     *float64 `json:"due_at_ms,omitempty"`
	Ref       string   `json:"ref,omitempty"`
}

func encode(inst string, action honeyplank.Action) message {
	m := message{Inst: inst}
	switch a := action.(type) {
	case honeyplank.Dispatch:
		m.Op, m.Job, m.Server, m.GiveUp = "assign", string(a.Op), string(a.Server), millis(a.Timeout)
	case honeyplank.Reject:
		m.Op, m.Job, m.Backoff = "push_back", string(a.Op), millis(a.RetryAfter)
	case honeyplank.Fail:
		m.Op, m.Job = "respond_error", string(a.Op)
	case honeyplank.Cancel:
		m.Op, m.Job, m.Leg = "call_off", string(a.Op), &a.Dispatch
	case honeyplank.HealthCheck:
		m.Op, m.Server = "test", string(a.Server)
	case honeyplank.CloseIdle:
		m.Op, m.Server = "release", string(a.Server)
	case honeyplank.Gossip:
		raw := hex.EncodeToString(a.Data)
		m.Op, m.Addressee, m.Raw = "say", a.To, &raw
		if a.To == honeyplank.AllPeers {
			m.Addressee = "*"
		}
	case honeyplank.LogHealth:
		m.Op, m.Text = "print", fmt.Sprintf("server %s: %s, was %s", a.Server, a.Health, a.Previous)
	case honeyplank.LogEstimateIgnored:
		m.Op, m.Text = "print", fmt.Sprintf("server %s: saved estimate ignored: %s", a.Server, a.Reason)
	case honeyplank.Watch:
		m.Op, m.Enable = "track", &a.Enabled
	case honeyplank.Fetch:
		m.Op = "read_list"
	case honeyplank.SetTimer:
		at := millis(a.At)
		m.Op, m.DueAt, m.Ref = "sleep", &at, string(a.ID)
	}
	return m
}
