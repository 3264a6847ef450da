package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"honeyplank"
)

// decoder decodes an event. loadFields are the names of the values in a load report.
type decoder func(raw []byte, loadFields []string) (honeyplank.Event, error)

// decoders maps the op of a message to its decoder.
var decoders = map[string]decoder{
	"discovery":   decode[listMessage],
	"request":     decode[opMessage],
	"response":    decode[outcomeMessage],
	"begun":       decode[responseStartedMessage],
	"wakeup":      decode[timerMessage],
	"status_back": decode[healthCheckMessage],
	"heard":       decode[peerMessage],
	"lapsed":      decode[clientGoneMessage],
}

// eventMessage is the wire form of an event.
type eventMessage interface {
	event(loadFields []string) (honeyplank.Event, error)
}

// decode is a decoder for messages of type M.
func decode[M eventMessage](raw []byte, loadFields []string) (honeyplank.Event, error) {
	var message M
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	return message.event(loadFields)
}

var listKinds = map[string]honeyplank.ListKind{
	"changes":    honeyplank.Delta,
	"all":        honeyplank.Complete,
	"remembered": honeyplank.Cached,
	"refused":    honeyplank.WatchFailed,
}

var memberStates = map[string]honeyplank.MemberState{
	"on":     honeyplank.Up,
	"fading": honeyplank.Draining,
	"off":    honeyplank.Removed,
}

// listMessage is the wire form of honeyplank.List.
type listMessage struct {
	Kind    string          `json:"how"`
	Version int64           `json:"epoch"`
	Members []memberMessage `json:"nodes_list"`
}

// memberMessage is the wire form of honeyplank.Member.
type memberMessage struct {
	Server  string  `json:"server"`
	Started float64 `json:"last_start_ms"`
	Size    float64 `json:"capacity_hint"`
	Model   int     `json:"kind"`
	State   string  `json:"readiness"`
	Zone    int     `json:"az"`
	Cell    int     `json:"cell"`
}

func (m listMessage) event([]string) (honeyplank.Event, error) {
	kind, ok := listKinds[m.Kind]
	if !ok {
		return nil, fmt.Errorf("how %q is unknown", m.Kind)
	}
	list := honeyplank.List{Kind: kind, Version: m.Version}
	for _, entry := range m.Members {
		member, err := entry.member()
		if err != nil {
			return nil, err
		}
		list.Members = append(list.Members, member)
	}
	return list, nil
}

func (m memberMessage) member() (honeyplank.Member, error) {
	state, ok := memberStates[m.State]
	if !ok {
		return honeyplank.Member{}, fmt.Errorf("readiness %q is unknown", m.State)
	}
	return honeyplank.Member{
		ID:      honeyplank.ServerID(m.Server),
		Started: fromMillis(m.Started),
		Size:    m.Size,
		Model:   m.Model,
		Zone:    m.Zone,
		Cell:    m.Cell,
		State:   state,
	}, nil
}

// opMessage is the wire form of honeyplank.Op.
type opMessage struct {
	ID             string   `json:"job"`
	Units          float64  `json:"units"`
	DeadlineMillis float64  `json:"deadline_ms"`
	Plan           int      `json:"tier"`
	Key            *int64   `json:"chunk"`
	Write          bool     `json:"is_write"`
	Type           int      `json:"priority"`
	Instances      float64  `json:"set_size"`
	Retry          bool     `json:"retry"`
	Volume         int64    `json:"share_id"`
	Cell           *float64 `json:"placement"`
}

func (m opMessage) event([]string) (honeyplank.Event, error) {
	op := honeyplank.Op{
		ID:        honeyplank.OpID(m.ID),
		Units:     m.Units,
		Deadline:  fromMillis(m.DeadlineMillis),
		Plan:      m.Plan,
		Type:      m.Type,
		HasKey:    m.Key != nil,
		Write:     m.Write,
		Instances: int(m.Instances),
		Retry:     m.Retry,
		Volume:    m.Volume,
	}
	if m.Key != nil {
		op.Key = *m.Key
	}
	if m.Cell != nil {
		op.Cell = int(*m.Cell)
	}
	return op, nil
}

// outcomeMessage is the wire form of honeyplank.Outcome.
type outcomeMessage struct {
	Op              string    `json:"job"`
	Dispatch        int       `json:"leg"`
	Server          string    `json:"server"`
	Code            int       `json:"state_code"`
	Elapsed         float64   `json:"elapsed_ms"`
	Answered        bool      `json:"done_flag"`
	QuotaUsed       int       `json:"use_pct"`
	ServedElsewhere float64   `json:"foreign_units"`
	Load            []float64 `json:"feedback"`
}

func (m outcomeMessage) event(loadFields []string) (honeyplank.Event, error) {
	code, err := outcomeCode(m.Code)
	if err != nil {
		return nil, err
	}
	return honeyplank.Outcome{
		Op:              honeyplank.OpID(m.Op),
		Dispatch:        m.Dispatch,
		Server:          honeyplank.ServerID(m.Server),
		Code:            code,
		Elapsed:         fromMillis(m.Elapsed),
		Answered:        m.Answered,
		QuotaUsed:       m.QuotaUsed,
		ServedElsewhere: m.ServedElsewhere,
		Load:            loadReport(m.Load, loadFields),
	}, nil
}

// responseStartedMessage is the wire form of honeyplank.ResponseStarted.
type responseStartedMessage struct {
	Op       string  `json:"job"`
	Dispatch int     `json:"leg"`
	Server   string  `json:"server"`
	Elapsed  float64 `json:"elapsed_ms"`
}

func (m responseStartedMessage) event([]string) (honeyplank.Event, error) {
	return honeyplank.ResponseStarted{
		Op:       honeyplank.OpID(m.Op),
		Dispatch: m.Dispatch,
		Server:   honeyplank.ServerID(m.Server),
		Elapsed:  fromMillis(m.Elapsed),
	}, nil
}

// timerMessage is the wire form of honeyplank.Timer.
type timerMessage struct {
	ID string `json:"ref"`
}

func (m timerMessage) event([]string) (honeyplank.Event, error) {
	return honeyplank.Timer{ID: honeyplank.TimerID(m.ID)}, nil
}

// healthCheckMessage is the wire form of honeyplank.HealthCheckResult.
type healthCheckMessage struct {
	Server  string    `json:"server"`
	Code    int       `json:"state_code"`
	Elapsed float64   `json:"elapsed_ms"`
	Load    []float64 `json:"feedback"`
}

func (m healthCheckMessage) event(loadFields []string) (honeyplank.Event, error) {
	code, err := outcomeCode(m.Code)
	if err != nil {
		return nil, err
	}
	return honeyplank.HealthCheckResult{
		Server:  honeyplank.ServerID(m.Server),
		Code:    code,
		Elapsed: fromMillis(m.Elapsed),
		Load:    loadReport(m.Load, loadFields),
	}, nil
}

// peerMessage is the wire form of honeyplank.PeerMessage.
type peerMessage struct {
	From int    `json:"origin_peer"`
	Data string `json:"raw"` // hexadecimal
}

func (m peerMessage) event([]string) (honeyplank.Event, error) {
	data, err := hex.DecodeString(m.Data)
	if err != nil {
		return nil, fmt.Errorf("raw: %w", err)
	}
	return honeyplank.PeerMessage{From: m.From, Data: data}, nil
}

// clientGoneMessage is the wire form of honeyplank.ClientGone.
type clientGoneMessage struct {
	Op string `json:"job"`
}

func (m clientGoneMessage) event([]string) (honeyplank.Event, error) {
	return honeyplank.ClientGone{Op: honeyplank.OpID(m.Op)}, nil
}

// outcomeCode converts the number of an outcome on the wire, which has the same value as its honeyplank.Code.
func outcomeCode(number int) (honeyplank.Code, error) {
	if number < int(honeyplank.Succeeded) || number > int(honeyplank.NotSent) {
		return 0, fmt.Errorf("state_code %d is unknown", number)
	}
	return honeyplank.Code(number), nil
}

// LoadFieldName returns the module's name of a value in a load report: its name on the wire without the unit "_ms".
func LoadFieldName(field string) string { return strings.TrimSuffix(field, "_ms") }

// loadReport returns the values of a load report by the module's names, or nil if it is empty. Values without a name
// are dropped.
func loadReport(values []float64, fields []string) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	report := map[string]float64{}
	for i, field := range fields {
		if i < len(values) {
			report[LoadFieldName(field)] = values[i]
		}
	}
	return report
}
