// Package simwire converts between the JSON messages of the simulator, which include the platform's settings, and the
// types of package honeyplank. No other package uses the names of this wire format.
//
// It makes no decisions, reads no clock and opens no sockets: Serve uses the reader and the writer that it is given.
// cmd/adapter calls Serve on its only goroutine, and every instance runs there. Package scheduler calls ReadSite and
// LoadFieldName, which keep no state, on any goroutine.
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

// NewModule creates the decision module of an instance from its seed and settings.
type NewModule func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule

// bufferSize is the size of the input and output buffers, in bytes.
const bufferSize = 1 << 20

// batchMessage holds the events of one point in time.
type batchMessage struct {
	Now    *float64          `json:"wall_ms"`
	Round  json.Number       `json:"round"`
	Events []json.RawMessage `json:"news"`
}

// replyMessage holds the actions that result from a batch.
type replyMessage struct {
	Round    json.Number `json:"round"`
	Messages []any       `json:"outbox"` // of type actionMessage or panicMessage
}

// envelope holds the fields that all messages to an instance have.
type envelope struct {
	Op       string `json:"op"`
	Instance string `json:"scheduler_id"`
}

// The ops of the messages that start and end an instance.
const (
	opStart = "provision"
	opStop  = "power_off"
)

// startMessage starts an instance.
type startMessage struct {
	Seed int64       `json:"salt"`
	Site siteMessage `json:"config"`
}

// simulation hosts the instances of one simulator.
type simulation struct {
	newModule NewModule
	instances map[string]*instance
}

// instance is a decision module and the state that the conversion of its messages needs.
type instance struct {
	id         string
	module     honeyplank.DecisionModule
	loadFields []string // names of the values in a load report
	failed     bool     // whether the module has panicked
}

// Serve reads batches from in, one per line, and writes a reply line to out for each, until the input ends. It returns
// an error if a batch is invalid, or if reading or writing fails.
func Serve(in io.Reader, out io.Writer, newModule NewModule) error {
	sim := &simulation{newModule: newModule, instances: map[string]*instance{}}
	reader, writer := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	for {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("read a batch: %w", readErr)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			if err := sim.serveLine(line, encoder, writer); err != nil {
				return err
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// serveLine writes the reply to the batch on a line. The encoder must write to writer, which serveLine flushes.
func (sim *simulation) serveLine(line []byte, encoder *json.Encoder, writer *bufio.Writer) error {
	reply, err := sim.answer(line)
	if err != nil {
		return err
	}
	if err := encoder.Encode(reply); err != nil {
		return fmt.Errorf("write a reply: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write a reply: %w", err)
	}
	return nil
}

// answer handles a batch and returns the reply.
func (sim *simulation) answer(line []byte) (*replyMessage, error) {
	var batch batchMessage
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if batch.Now == nil {
		return nil, errors.New("batch: wall_ms is missing")
	}
	reply := &replyMessage{Round: batch.Round, Messages: []any{}}
	if reply.Round == "" {
		reply.Round = "0"
	}
	for _, raw := range batch.Events {
		messages, err := sim.handle(fromMillis(*batch.Now), raw)
		if err != nil {
			return nil, err
		}
		reply.Messages = append(reply.Messages, messages...)
	}
	return reply, nil
}

// handle passes a message to its instance and returns the resulting messages.
func (sim *simulation) handle(now time.Duration, raw json.RawMessage) ([]any, error) {
	var head envelope
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	if head.Instance == "" {
		return nil, fmt.Errorf("%q: scheduler_id is missing", head.Op)
	}
	switch head.Op {
	case opStart:
		return sim.start(head.Instance, raw)
	case opStop:
		delete(sim.instances, head.Instance)
		return nil, nil
	}
	return sim.handleEvent(now, head, raw)
}

// start starts an instance. It replaces an instance with the same ID.
func (sim *simulation) start(id string, raw json.RawMessage) ([]any, error) {
	var message startMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, fmt.Errorf("provision: %w", err)
	}
	settings, err := message.Site.settings()
	if err != nil {
		return nil, fmt.Errorf("provision: %w", err)
	}
	started := &instance{id: id, loadFields: message.Site.LoadReport.Fields}
	sim.instances[id] = started
	return started.guard(func() []honeyplank.Action {
		started.module = sim.newModule(message.Seed, settings)
		return nil
	}), nil
}

// handleEvent decodes an event and passes it to its instance. Events of unknown and failed instances are checked for
// errors and dropped.
func (sim *simulation) handleEvent(now time.Duration, head envelope, raw json.RawMessage) ([]any, error) {
	decodeEvent, ok := decoders[head.Op]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", head.Op)
	}
	receiver := sim.instances[head.Instance]
	var loadFields []string
	if receiver != nil {
		loadFields = receiver.loadFields
	}
	event, err := decodeEvent(raw, loadFields)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", head.Op, err)
	}
	if receiver == nil || receiver.failed {
		return nil, nil
	}
	return receiver.guard(func() []honeyplank.Action { return receiver.module.Handle(now, event) }), nil
}

// guard runs a call of the module and encodes the actions. If the module panics, only this instance fails.
func (i *instance) guard(run func() []honeyplank.Action) (messages []any) {
	defer func() {
		if value := recover(); value != nil {
			i.failed = true
			messages = []any{newPanicMessage(i.id, value)}
		}
	}()
	for _, action := range run() {
		messages = append(messages, encode(i.id, action))
	}
	return messages
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

func toMillis(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
