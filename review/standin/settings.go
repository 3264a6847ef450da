package main

// object is a JSON object.
type object = map[string]any

// smallDeployment returns the settings of a small deployment with one room, in which a read and a write may run again.
// Its times and rules are those of the brief of ljubljana-main.
func smallDeployment(schedulers int) object {
	class := func(name string, giveUp, target, worth float64) object {
		return object{
			"name": name, "give_up_ms": giveUp, "target_ms": target, "worth": worth, "late_worth": 0.1,
			"semantics": "pure", "dedup_scope": "all", "window_ms": 5000, "streaming": false,
		}
	}
	plan := func(name string, rate, reserve, factor float64) object {
		return object{
			"name": name, "rate": rate, "reserve": reserve, "value_factor": factor, "weight": 1,
			"ceiling_rate": 0, "most_at_once": 0, "limit_slack": 0,
		}
	}
	return object{
		"caps": object{
			"cancel": true, "may_duplicate": true, "max_attempts": 3, "connect_timeout_ms": 250, "keepalive_ms": 30000,
			"streams_per_conn": 4, "probes": true, "peer_messages": false, "retry_after": false,
		},
		"classes": []object{
			class("read", 1200, 200, 2), class("write", 2000, 300, 2), class("bulk-read", 5000, 1500, 1),
		},
		"family_info": object{
			"changes_data": []bool{false, true, false}, "largest": 6, "unit_mean": 2, "young_limit": 38,
			"within_share": 0.35, "idle_worth": 0.1, "shards": diskServers,
		},
		"membership_mode": "automatic", "models": []string{"std-2c"}, "zones": []string{"room"}, "my_zone": 0,
		"plans":       []object{plan("basic", 4, 2, 0.8), plan("standard", 6, 5, 0.9), plan("priority", 12, 14, 1.5)},
		"peers_total": schedulers, "ordinal": 0, "step_ms": 2,
		"report": object{"fields": []string{}, "how": "silent"},
		"rules": object{
			"cold_from": 0.21, "cold_ms": 18000, "fall_ms": 3000, "tip_multiple": 4, "grace_to_answer_ms": 8,
			"stop_sending_within_ms": 1000, "ask_within_ms": 10000,
		},
	}
}

// diskServers is the number of disk servers of the small deployment, each with one shard.
const diskServers = 10
