package simwire

import (
	"strings"
	"testing"
	"time"

	"honeyplank"
)

// echo answers every op with an action of each shape and panics when told to.
type echo struct{}

func (echo) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	switch e := e.(type) {
	case honeyplank.Op:
		return []honeyplank.Action{honeyplank.Dispatch{Op: e.ID, Server: "a:1", Timeout: 80 * time.Millisecond},
			honeyplank.Gossip{To: 0, Data: []byte("hi")}, honeyplank.Watch{}, honeyplank.Cancel{Op: e.ID}}
	case honeyplank.Timer:
		panic(string(e.ID))
	}
	return nil
}

func serve(lines ...string) (string, error) {
	var out strings.Builder
	start := func(int64, *honeyplank.Settings) honeyplank.DecisionModule { return echo{} }
	err := Serve(strings.NewReader(strings.Join(lines, "\n")), &out, start)
	return out.String(), err
}

const begin = `{"wall_ms":1,"round":1,"news":[{"op":"provision","scheduler_id":"s","salt":7,` +
	`"config":{"new":1,"classes":[{"target_ms":200,"semantics":"token","dedup_scope":"cell"}]}}]}`

func TestReplies(t *testing.T) {
	out, err := serve(begin,
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

// Bad input ends the adapter with one line that names the message.
func TestBadInput(t *testing.T) {
	for line, name := range map[string]string{
		`{"wall_ms":1,`:                            "batch",
		`{"news":[]}`:                              "wall_ms",
		`{"wall_ms":"x"}`:                          "batch",
		event(`"op":"nn"`):                         `unknown message "nn"`,
		event(`"op":"request","units":"two"`):      "request",
		event(`"op":"discovery","how":"sideways"`): "discovery",
		event(`"op":"response","state_code":99`):   "response",
		event(`"op":"heard","raw":"zz"`):           "heard",
		event(`"op":"provision","config":[]`):      "provision",
		`{"wall_ms":1,"news":[{"op":"lapsed"}]}`:   "lapsed",
	} {
		if _, err := serve(begin, line); err == nil || !strings.Contains(err.Error(), name) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", line, err)
		}
	}
	if _, err := serve(); err != nil {
		t.Errorf("end of input: %v", err)
	}
}

func event(fields string) string {
	return `{"wall_ms":2,"round":2,"news":[{"scheduler_id":"s",` + fields + `}]}`
}

// TestConnectTimeIsHanded: how long a connection may take reaches both the module and whoever connects.
func TestConnectTimeIsHanded(t *testing.T) {
	for raw, want := range map[string]time.Duration{`{"caps":{"connect_timeout_ms":250}}`: 250 * time.Millisecond, `{}`: 0} {
		site, err := ReadSite([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		if got := site.Settings.Dispatches.ConnectTimeout; got != want || site.ConnectTimeout != want {
			t.Errorf("%s: %v to the module, %v to the network, want %v", raw, got, site.ConnectTimeout, want)
		}
	}
}
