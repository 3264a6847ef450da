package simwire

import (
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// echoModule is a decision module that returns the same four actions for every op and panics on every timer.
type echoModule struct{}

func (echoModule) Handle(_ time.Duration, event honeyplank.Event) []honeyplank.Action {
	switch event := event.(type) {
	case honeyplank.Op:
		return []honeyplank.Action{
			honeyplank.Dispatch{Op: event.ID, Server: "a:1", Timeout: 80 * time.Millisecond},
			honeyplank.Gossip{To: 0, Data: []byte("hi")},
			honeyplank.Watch{},
			honeyplank.Cancel{Op: event.ID},
		}
	case honeyplank.Timer:
		panic(string(event.ID))
	}
	return nil
}

// serveLines returns the output of Serve for some input lines, with echoModules as decision modules.
func serveLines(lines ...string) (string, error) {
	var out strings.Builder
	newModule := func(int64, *honeyplank.Settings) honeyplank.DecisionModule { return echoModule{} }
	err := Serve(strings.NewReader(strings.Join(lines, "\n")), &out, newModule)
	return out.String(), err
}

// startBatch is a batch that starts the instance s.
const startBatch = `{"wall_ms":1,"round":1,"news":[{"op":"provision","scheduler_id":"s","salt":7,` +
	`"config":{"new":1,"classes":[{"target_ms":200,"semantics":"token","dedup_scope":"cell"}]}}]}`

// TestReplies checks the wire form of actions, that unknown fields and unknown instances are ignored, and that a panic
// is reported once and disables the instance.
func TestReplies(t *testing.T) {
	out, err := serveLines(startBatch,
		`{"wall_ms":2,"round":2,"news":[{"op":"request","scheduler_id":"s","job":"c:1","units":2,"extra":[1]},`+
			`{"op":"wakeup","scheduler_id":"s","ref":"boom"},{"op":"wakeup","scheduler_id":"s","ref":"again"},`+
			`{"op":"lapsed","scheduler_id":"unknown","job":"c:1"}]}`)
	want := `{"round":1,"outbox":[]}
{"round":2,"outbox":[` +
		`{"op":"assign","scheduler_id":"s","job":"c:1","server":"a:1","give_up_after_ms":80},` +
		`{"op":"say","scheduler_id":"s","addressee":0,"raw":"6869"},` +
		`{"op":"track","scheduler_id":"s","enable":false},` +
		`{"op":"call_off","scheduler_id":"s","job":"c:1","leg":0},` +
		`{"body_text":"panic: boom","op":"bug","scheduler_id":"s"}]}
`
	if err != nil || out != want {
		t.Errorf("%v\n%s\nwant\n%s", err, out, want)
	}
}

// TestBadInput checks that Serve ends at bad input with a one-line error that names the message.
func TestBadInput(t *testing.T) {
	for line, name := range map[string]string{
		`{"wall_ms":1,`:                              "batch",
		`{"news":[]}`:                                "wall_ms",
		`{"wall_ms":"x"}`:                            "batch",
		batchOf(`"op":"nn"`):                         `unknown message "nn"`,
		batchOf(`"op":"request","units":"two"`):      "request",
		batchOf(`"op":"discovery","how":"sideways"`): "discovery",
		batchOf(`"op":"response","state_code":99`):   "response",
		batchOf(`"op":"heard","raw":"zz"`):           "heard",
		batchOf(`"op":"provision","config":[]`):      "provision",
		`{"wall_ms":1,"news":[{"op":"lapsed"}]}`:     "lapsed",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serveLines(startBatch, line)
			if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error %v, want one line that names the message", line, err)
			}
		})
	}
}

// TestEndOfInput checks that Serve returns no error at the end of the input.
func TestEndOfInput(t *testing.T) {
	if _, err := serveLines(); err != nil {
		t.Errorf("error at the end of the input: %v", err)
	}
}

// batchOf returns a batch with one message to the instance s that has the given fields.
func batchOf(fields string) string {
	return `{"wall_ms":2,"round":2,"news":[{"scheduler_id":"s",` + fields + `}]}`
}

// TestConnectTimeout checks that the connect timeout is set both for the module and for the code that connects.
func TestConnectTimeout(t *testing.T) {
	for raw, want := range map[string]time.Duration{
		`{"caps":{"connect_timeout_ms":250}}`: 250 * time.Millisecond,
		`{}`:                                  0,
	} {
		t.Run(raw, func(t *testing.T) {
			site, err := ReadSite([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			if got := site.Settings.Dispatches.ConnectTimeout; got != want || site.ConnectTimeout != want {
				t.Errorf("connect timeout of the module %v, of the site %v, want %v", got, site.ConnectTimeout, want)
			}
		})
	}
}
