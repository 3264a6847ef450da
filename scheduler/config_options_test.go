package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// testSettings has the form of the settings in the simulator's first message.
const testSettings = `{
"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
"peer_messages":true,"probes":true,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[
{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,
"dedup_scope":"all","window_ms":5000},
{"name":"write","give_up_ms":600,"target_ms":300,"semantics":"pure","worth":2,"late_worth":0.1,
"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false,true],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,
"idle_worth":0.1},
"membership_mode":"automatic","models":["std","slow"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],
"report":{"fields":["util","latency_ms"],"how":"piggyback"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,
"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,"tip_multiple":4},"step_ms":1}`

// testConfig returns the configuration of a scheduler with an address of discovery and the members of the cached list.
func testConfig(t *testing.T, discovery string, members []fakeresp.Member) map[string]any {
	t.Helper()
	var site map[string]any
	if err := json.Unmarshal([]byte(testSettings), &site); err != nil {
		t.Fatal(err)
	}
	return map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"settings":  site,
		"known":     map[string]any{"revision": 1, "complete": true, "members": members},
	}
}

// section returns an object of a configuration by the path of its keys.
func section(config map[string]any, path ...string) map[string]any {
	for _, key := range path {
		config = config[key].(map[string]any)
	}
	return config
}

// withSlowConnect sets a long connect timeout.
func withSlowConnect(config map[string]any) {
	section(config, "settings", "caps")["connect_timeout_ms"] = 5000
}

// withStreamsPerConn lets a connection to a disk server carry n commands at a time.
func withStreamsPerConn(n int) func(map[string]any) {
	return func(config map[string]any) { section(config, "settings", "caps")["streams_per_conn"] = n }
}

// withWatchOnRequest makes the decision module start the watch, within the given time.
func withWatchOnRequest(withinMS int) func(map[string]any) {
	return func(config map[string]any) {
		section(config, "settings")["membership_mode"] = "subscribe"
		section(config, "settings", "rules")["ask_within_ms"] = withinMS
	}
}

// withOpTimeout gives every class an op timeout.
func withOpTimeout(timeout time.Duration) func(map[string]any) {
	return func(config map[string]any) {
		for _, c := range section(config, "settings")["classes"].([]any) {
			class := c.(map[string]any)
			class["give_up_ms"] = float64(timeout.Milliseconds())
			class["target_ms"] = float64(timeout.Milliseconds()) / 2
		}
	}
}
