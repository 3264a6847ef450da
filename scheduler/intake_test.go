package scheduler

import (
	"testing"
	"time"
)

// TestIntakeWithoutOverload checks that nobody is limited while the loop is in time, whatever a client sends.
func TestIntakeWithoutOverload(t *testing.T) {
	var i intake
	var use loopUse
	var rate opRate
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		i.observeRound(now, overloadedRound)
		if pause := i.charge(&use, now, time.Millisecond, 10); pause > 0 {
			t.Fatalf("a client was not read for %v without an overload", pause)
		}
		if !i.accepts(&rate, now, backlog{unanswered: 30, queued: 1000, servers: 1, clients: 2}) {
			t.Fatal("an op was rejected without an overload")
		}
	}
}

// TestIntakeShares guards against the failure that one client, or many that send at full speed, use the whole time of
// the loop, so that the ops of others are handled late.
func TestIntakeShares(t *testing.T) {
	const clients, turn, span = 100, turnTime, 10 * time.Second
	var i intake
	uses := make([]loopUse, clients)
	readAgain := make([]time.Duration, clients)
	spent := time.Duration(0)
	var ordinary loopUse
	nextOrdinary := time.Duration(0)
	for now := time.Duration(0); now < span; now += 100 * time.Microsecond {
		round := now
		for n := range clients {
			if now < readAgain[n] {
				continue
			}
			now += turn
			spent += turn
			i.observeRound(now, now-round)
			readAgain[n] = now + i.charge(&uses[n], now, turn, clients+1)
		}
		if now >= nextOrdinary { // ten ops a second
			nextOrdinary = now + 100*time.Millisecond
			if pause := i.charge(&ordinary, now, 100*time.Microsecond, clients+1); pause > 0 {
				t.Fatalf("a client that sends little was not read for %v", pause)
			}
		}
	}
	if share := spent.Seconds() / span.Seconds(); share > opShare+0.1 {
		t.Errorf("clients that send at full speed use %.2f of the loop's time, want %.2f", share, opShare)
	}
	if !i.overloaded(span) || i.pauses == 0 {
		t.Error("the overload ended while clients still used more than their share")
	}
}

// TestIntakeAccepts guards against the failure that the ops of clients that send much fill the queues in an overload,
// so that those of others wait behind them.
func TestIntakeAccepts(t *testing.T) {
	full := backlog{queued: 20, servers: 10, clients: 2}
	unanswered := full
	unanswered.unanswered = heavyUnanswered
	for name, x := range map[string]struct {
		perTick int // ops of the client in 10 ms, beside 10 of another one
		b       backlog
		want    bool
	}{
		"sends much":                     {10, full, false},
		"sends much, the queue is short": {10, backlog{queued: 5, servers: 10, clients: 2}, true},
		"sends little":                   {0, full, true},
		"has many unanswered":            {0, unanswered, false},
	} {
		t.Run(name, func(t *testing.T) {
			var i intake
			var client, other opRate
			now := time.Duration(0)
			for ; now < 2*time.Second; now += 10 * time.Millisecond {
				for range x.perTick {
					i.accepts(&client, now, backlog{clients: 2})
				}
				for range 10 {
					i.accepts(&other, now, backlog{clients: 2})
				}
			}
			i.observeRound(now, 2*overloadedRound)
			if got := i.accepts(&client, now, x.b); got != x.want {
				t.Errorf("accepted: %v, want %v", got, x.want)
			}
			if i.rejections > 0 == x.want {
				t.Errorf("%d rejections counted", i.rejections)
			}
		})
	}
}
