// Package simwire speaks the simulator's JSON dialect and translates it to the
// interface of package honeyplank. Wire names end here.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"honeyplank"
)

// Start makes an instance from its seed and settings.
type Start func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule

type batch struct {
	WallMS *float64          `json:"wall_ms"`
	Round  json.Number       `json:"round"`
	News   []json.RawMessage `json:"news"`
}

type reply struct {
	Round  json.Number `json:"round"`
	Outbox []any       `json:"outbox"`
}

type host struct {
	start     Start
	instances map[string]*instance
}

// instance is one scheduler with what is needed to translate for it.
type instance struct {
	name   string
	module honeyplank.DecisionModule
	fields []string // names of the values of a load report
	failed bool
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer, start Start) error {
	h := &host{start: start, instances: map[string]*instance{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(bytes.TrimSpace(line)) > 0 {
			rep, err := h.answer(line)
			if err != nil {
				return err
			}
			if err := enc.Encode(rep); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if err != nil {
			return nil
		}
	}
}

func (h *host) answer(line []byte) (*reply, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.WallMS == nil {
		return nil, errors.New("batch: wall_ms is missing")
	}
	now := span(*b.WallMS)
	rep := &reply{Round: b.Round, Outbox: []any{}}
	if rep.Round == "" {
		rep.Round = "0"
	}
	for _, raw := range b.News {
		out, err := h.one(now, raw)
		if err != nil {
			return nil, err
		}
		rep.Outbox = append(rep.Outbox, out...)
	}
	return rep, nil
}

// one carries a single event to its instance and returns the actions.
func (h *host) one(now time.Duration, raw json.RawMessage) ([]any, error) {
	var head struct {
		Op   string `json:"op"`
		Inst string `json:"scheduler_id"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	if head.Inst == "" {
		return nil, fmt.Errorf("%q: scheduler_id is missing", head.Op)
	}
	in := h.instances[head.Inst]
	switch head.Op {
	case "provision":
		var p provision
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, fmt.Errorf("provision: %w", err)
		}
		values, err := p.Config.settings()
		if err != nil {
			return nil, fmt.Errorf("provision: %w", err)
		}
		in = &instance{name: head.Inst, fields: p.Config.Report.Fields}
		h.instances[head.Inst] = in
		return in.guard(func() []honeyplank.Action {
			in.module = h.start(p.Salt, values)
			return nil
		}), nil
	case "power_off":
		delete(h.instances, head.Inst)
		return nil, nil
	}
	decode, ok := decoders[head.Op]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", head.Op)
	}
	var fields []string
	if in != nil {
		fields = in.fields
	}
	event, err := decode(raw, fields)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", head.Op, err)
	}
	if in == nil || in.failed {
		return nil, nil
	}
	return in.guard(func() []honeyplank.Action { return in.module.Handle(now, event) }), nil
}

// guard runs the module and turns a panic into the instance's own fault.
func (in *instance) guard(run func() []honeyplank.Action) (out []any) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			out = []any{map[string]any{
				"op": "bug", "scheduler_id": in.name, "body_text": fmt.Sprint("panic: ", p)}}
		}
	}()
	for _, a := range run() {
		out = append(out, encode(in.name, a))
	}
	return out
}

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
