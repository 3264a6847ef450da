package scheduler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"honeyplank"
	fakeresp "honeyplank/fake/resp"
)

// idleConnsInFleet is the number of disk servers with an idle connection in newFleetTestbed.
const idleConnsInFleet = 20

// newFleetTestbed starts a scheduler with a list of n disk servers, which share one address, and n peers. It has idle
// connections to a few of the servers.
func newFleetTestbed(t *testing.T, n int) *testbed {
	t.Helper()
	bed := newTestbed(t, 1, func(config map[string]any) {
		member := section(config, "known")["members"].([]fakeresp.Member)[0]
		var members []fakeresp.Member
		var peers []string
		for i := range n {
			member.ID, member.Cell = string(serverID(i)), i
			members = append(members, member)
			peers = append(peers, fmt.Sprintf("127.0.0.1:%d", 20000+i))
		}
		config["known"] = map[string]any{"revision": 1, "complete": true, "members": members}
		config["peers"] = peers
	})
	bed.eventually("the list", func() bool { return bed.hasServer(fmt.Sprint("s-", n-1)) })
	client := bed.dialClient()
	for i := range idleConnsInFleet {
		bed.useModule(singleServerModule{honeyplank.ServerID(fmt.Sprint("s-", i))})
		id := fmt.Sprint("op-", i)
		if got := client.doRead(id, 9000); got != valueOf(id) {
			t.Fatal(got)
		}
	}
	return bed
}

// fleetStep is a recurring operation of a scheduler.
type fleetStep struct {
	run        func(s *Scheduler, n int) // n is the number of disk servers
	visited    func(s *Scheduler) int
	maxVisited int // entries that one run may visit
}

// fleetSteps are the operations whose cost must not depend on the size of the fleet.
var fleetSteps = map[string]fleetStep{
	"idle connections, none of them due for a close": {
		run:        func(s *Scheduler, _ int) { s.closeIdleServerConns() },
		visited:    func(s *Scheduler) int { return s.visited.idleConns },
		maxVisited: 1,
	},
	"a connection beyond the quota": {
		run: func(s *Scheduler, _ int) {
			open := s.serverConnCount
			s.serverConnCount = s.descriptorQuota(serverDescriptorShare)
			s.reserveDescriptor()
			s.serverConnCount = open
		},
		visited:    func(s *Scheduler) int { return s.visited.idleConns },
		maxVisited: 1,
	},
	"a message from a peer": {
		run: func(s *Scheduler, n int) {
			s.receiveGossip(netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 20000+n-1)), []byte("x"))
		},
		visited:    func(s *Scheduler) int { return s.visited.peers },
		maxVisited: 1,
	},
	"a message from an unknown sender": {
		run: func(s *Scheduler, _ int) {
			s.receiveGossip(netip.MustParseAddrPort("127.0.0.2:9"), []byte("x"))
		},
		visited: func(s *Scheduler) int { return s.visited.peers },
	},
	"a delta of one server": {
		run: func(s *Scheduler, n int) {
			member := listMember{ID: fmt.Sprint("s-", n-1), Address: s.servers["s-0"].address, Phase: "draining"}
			s.applyList(&listMessage{Revision: 2, Members: []listMember{member}}, honeyplank.Delta, s.loop.Now())
		},
		visited:    func(s *Scheduler) int { return s.visited.members },
		maxVisited: 1,
	},
}

// TestFleetCost checks that recurring operations cost the same with a small and a large fleet. Their cost grows with
// the number of entries that they name or close, not with the number of disk servers or schedulers.
func TestFleetCost(t *testing.T) {
	const small, large = 200, 3200
	fleets := map[int]*testbed{small: newFleetTestbed(t, small), large: newFleetTestbed(t, large)}
	for name, step := range fleetSteps {
		t.Run(name, func(t *testing.T) {
			visited := map[int]int{}
			for n, bed := range fleets {
				bed.onLoop(func() {
					bed.module.DecisionModule = singleServerModule{"s-0"} // excludes the cost of the decision module
					s := bed.scheduler
					before := step.visited(s)
					step.run(s, n)
					visited[n] = step.visited(s) - before
				})
			}
			if visited[small] != visited[large] || visited[large] > step.maxVisited {
				t.Errorf("visited %d entries with %d disk servers, %d with %d; expected at most %d",
					visited[small], small, visited[large], large, step.maxVisited)
			}
		})
	}
}

// TestIdleConnOrder checks that, of the idle connections to all disk servers, the one that has been idle longest is
// closed first. A connection that carries an op again must not be among them.
func TestIdleConnOrder(t *testing.T) {
	bed := newFleetTestbed(t, idleConnsInFleet)
	bed.useModule(singleServerModule{"s-0"})
	time.Sleep(2 * reuseDelay)
	id := "again"
	if got := bed.dialClient().doRead(id, 9000); got != valueOf(id) {
		t.Fatal(got)
	}
	bed.onLoop(func() {
		s := bed.scheduler
		for i := range idleConnsInFleet {
			expected := honeyplank.ServerID(fmt.Sprint("s-", (i+1)%idleConnsInFleet))
			if n := len(s.servers[expected].idle); n != 1 {
				t.Errorf("%d idle connections to %s", n, expected)
				return
			}
			if s.closeLongestIdle(time.Hour) {
				t.Error("closed a connection that has been idle for less than an hour")
				return
			}
			if !s.closeLongestIdle(0) || len(s.servers[expected].conns) != 0 {
				t.Errorf("the connection to %s is not the next to be closed", expected)
				return
			}
		}
		if s.closeLongestIdle(0) {
			t.Error("closed a connection that is not idle")
		}
	})
}
