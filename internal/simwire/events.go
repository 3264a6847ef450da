package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"honeyplank"
)

type decoder func(raw []byte, fields []string) (honeyplank.Event, error)

var decoders = map[string]decoder{
	"discovery":   decodeList,
	"request":     decodeOp,
	"response":    decodeOutcome,
	"begun":       decodeBegan,
	"wakeup":      decodeTimer,
	"status_back": decodeProbed,
	"heard":       decodePeer,
	"lapsed":      decodeLapsed,
}

var listKinds = map[string]honeyplank.ListKind{
	"changes": honeyplank.Delta, "all": honeyplank.Complete,
	"remembered": honeyplank.Cached, "refused": honeyplank.WatchFailed,
}

var memberStates = map[string]honeyplank.MemberState{
	"on": honeyplank.Up, "fading": honeyplank.Draining, "off": honeyplank.Removed,
}

func decodeList(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		How   string `json:"how"`
		Epoch int64  `json:"epoch"`
		Nodes []struct {
			Server    string  `json:"server"`
			StartMS   float64 `json:"last_start_ms"`
			Capacity  float64 `json:"capacity_hint"`
			Kind      int     `json:"kind"`
			Readiness string  `json:"readiness"`
			AZ        int     `json:"az"`
			Cell      int     `json:"cell"`
		} `json:"nodes_list"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	kind, ok := listKinds[m.How]
	if !ok {
		return nil, fmt.Errorf("how %q is unknown", m.How)
	}
	l := honeyplank.List{Kind: kind, Version: m.Epoch}
	for _, n := range m.Nodes {
		state, ok := memberStates[n.Readiness]
		if !ok {
			return nil, fmt.Errorf("readiness %q is unknown", n.Readiness)
		}
		l.Members = append(l.Members, honeyplank.Member{
			ID: honeyplank.ServerID(n.Server), Started: span(n.StartMS), Size: n.Capacity,
			Model: n.Kind, Zone: n.AZ, Cell: n.Cell, State: state,
		})
	}
	return l, nil
}

func decodeOp(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		Job      string   `json:"job"`
		Units    float64  `json:"units"`
		Deadline float64  `json:"deadline_ms"`
		Tier     int      `json:"tier"`
		Chunk    *int64   `json:"chunk"`
		IsWrite  bool     `json:"is_write"`
		Priority int      `json:"priority"`
		SetSize  float64  `json:"set_size"`
		Retry    bool     `json:"retry"`
		Share    int64    `json:"share_id"`
		Place    *float64 `json:"placement"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	op := honeyplank.Op{
		ID: honeyplank.OpID(m.Job), Units: m.Units, Timeout: span(m.Deadline), Plan: m.Tier,
		Type: m.Priority, HasKey: m.Chunk != nil, Write: m.IsWrite, Instances: int(m.SetSize),
		Retry: m.Retry, Volume: m.Share,
	}
	if m.Chunk != nil {
		op.Key = *m.Chunk
	}
	if m.Place != nil {
		op.Cell = int(*m.Place)
	}
	return op, nil
}

func decodeOutcome(raw []byte, fields []string) (honeyplank.Event, error) {
	var m struct {
		Job     string    `json:"job"`
		Leg     int       `json:"leg"`
		Server  string    `json:"server"`
		Code    int       `json:"state_code"`
		Elapsed float64   `json:"elapsed_ms"`
		Done    bool      `json:"done_flag"`
		Use     int       `json:"use_pct"`
		Foreign float64   `json:"foreign_units"`
		Load    []float64 `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	code, err := outcomeCode(m.Code)
	if err != nil {
		return nil, err
	}
	return honeyplank.Outcome{
		Op: honeyplank.OpID(m.Job), Dispatch: m.Leg, Server: honeyplank.ServerID(m.Server), Code: code,
		Elapsed: span(m.Elapsed), Answered: m.Done, QuotaUsed: m.Use, ServedElsewhere: m.Foreign,
		Load: report(m.Load, fields),
	}, nil
}

func outcomeCode(code int) (honeyplank.Code, error) {
	if code < int(honeyplank.Succeeded) || code > int(honeyplank.NotSent) {
		return 0, fmt.Errorf("state_code %d is unknown", code)
	}
	return honeyplank.Code(code), nil
}

// LoadFieldName is the module's name of a value of a load report: the simulator's less its unit.
func LoadFieldName(f string) string { return strings.TrimSuffix(f, "_ms") }

// report names the values of a load report.
func report(values []float64, fields []string) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	named := map[string]float64{}
	for i, f := range fields {
		if i < len(values) {
			named[LoadFieldName(f)] = values[i]
		}
	}
	return named
}

func decodeBegan(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		Job     string  `json:"job"`
		Leg     int     `json:"leg"`
		Server  string  `json:"server"`
		Elapsed float64 `json:"elapsed_ms"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	return honeyplank.ResponseStarted{Op: honeyplank.OpID(m.Job), Dispatch: m.Leg,
		Server: honeyplank.ServerID(m.Server), Elapsed: span(m.Elapsed)}, nil
}

func decodeTimer(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		Ref string `json:"ref"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	return honeyplank.Timer{ID: honeyplank.TimerID(m.Ref)}, nil
}

func decodeProbed(raw []byte, fields []string) (honeyplank.Event, error) {
	var m struct {
		Server  string    `json:"server"`
		Code    int       `json:"state_code"`
		Elapsed float64   `json:"elapsed_ms"`
		Load    []float64 `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	code, err := outcomeCode(m.Code)
	if err != nil {
		return nil, err
	}
	return honeyplank.HealthCheckResult{Server: honeyplank.ServerID(m.Server), Code: code,
		Elapsed: span(m.Elapsed), Load: report(m.Load, fields)}, nil
}

func decodePeer(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		From int    `json:"origin_peer"`
		Raw  string `json:"raw"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	data, err := hex.DecodeString(m.Raw)
	if err != nil {
		return nil, fmt.Errorf("raw: %w", err)
	}
	return honeyplank.PeerMessage{From: m.From, Data: data}, nil
}

func decodeLapsed(raw []byte, _ []string) (honeyplank.Event, error) {
	var m struct {
		Job string `json:"job"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	return honeyplank.ClientGone{Op: honeyplank.OpID(m.Job)}, nil
}
