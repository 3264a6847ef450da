package gateway_test

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/fake/dns"
	"honeyplank/gateway"
	"honeyplank/policy"
)

// notification is a member of a List event that the module has handled.
type notification struct {
	now time.Duration // clock time of the event
	honeyplank.Member
}

// recordingModule is a module that records the members and estimates in its events.
type recordingModule struct {
	honeyplank.DecisionModule
	mu            *sync.Mutex
	notifications *[]notification
	estimates     *[]honeyplank.ServerEstimate
}

func (m recordingModule) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	m.mu.Lock()
	switch e := e.(type) {
	case honeyplank.List:
		for _, member := range e.Members {
			*m.notifications = append(*m.notifications, notification{now, member})
		}
	case honeyplank.SavedEstimates:
		*m.estimates = append(*m.estimates, e.Servers...)
	}
	m.mu.Unlock()
	return m.DecisionModule.Handle(now, e)
}

// clockHarness is a harness whose gateway reads a wall clock that the test can step.
type clockHarness struct {
	*harness
	offset    atomic.Int64 // offset of the wall clock from the real time, as a time.Duration
	mu        sync.Mutex
	notified  []notification
	estimates []honeyplank.ServerEstimate
}

func (c *clockHarness) wall() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// newClockHarness replaces the gateway of a harness by one whose wall clock has the offset step.
func newClockHarness(h *harness, step time.Duration, known *estimates.Record) *clockHarness {
	h.t.Helper()
	c := &clockHarness{harness: h}
	c.gateway.Kill()
	c.offset.Store(int64(step))
	module := func(seed int64, values *honeyplank.Settings) honeyplank.DecisionModule {
		return recordingModule{policy.New(seed, values), &c.mu, &c.notified, &c.estimates}
	}
	c.serve(gateway.Options{Seed: 2, Estimates: known, WallClock: c.wall, Module: module})
	c.eventually("the module is notified of both disk servers", func() bool {
		return c.lastNotification(c.disks[0].Address()).now > 0 && c.lastNotification(c.disks[1].Address()).now > 0
	})
	return c
}

// notificationsOf returns all notifications about a server.
func (c *clockHarness) notificationsOf(address string) (list []notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range c.notified {
		if entry.ID == honeyplank.ServerID(address) {
			list = append(list, entry)
		}
	}
	return list
}

func (c *clockHarness) lastNotification(address string) (x notification) {
	if list := c.notificationsOf(address); len(list) > 0 {
		x = list[len(list)-1]
	}
	return x
}

// registerStart registers a server with a start time and returns the resulting notification of the module. Each call
// must use another size, by which the notification is recognised.
func (c *clockHarness) registerStart(address string, size float64, at time.Time) notification {
	c.t.Helper()
	c.registerRecord(address, discovery.Record{State: "on", Size: size, Cell: 1, StartedMS: at.UnixMilli()})
	c.eventually("the module is notified", func() bool { return c.lastNotification(address).Size == size })
	return c.lastNotification(address)
}

// TestWallClockSteps has a disk server start while the wall clock steps: the module must be notified of the start as a
// recent one, and the start time must not change when the server is listed again.
func TestWallClockSteps(t *testing.T) {
	for name, test := range map[string]struct{ before, between, after time.Duration }{
		"steady":                    {},
		"an hour ahead throughout":  {time.Hour, time.Hour, time.Hour},
		"5 s back before a start":   {0, -5 * time.Second, -5 * time.Second},
		"5 s ahead after a start":   {0, 0, 5 * time.Second},
		"an hour back, then right":  {0, -time.Hour, 0},
		"an hour ahead, then right": {0, time.Hour, 0},
		"back at a start":           {time.Hour, 0, -time.Hour},
		"ahead after a start":       {0, 0, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClockHarness(newHarness(t), test.before, nil)
			c.offset.Store(int64(test.between))
			at := c.wall()
			c.offset.Store(int64(test.after))
			first := c.checkFirstStart(at)
			c.checkSameStart(at, first)
			c.checkRestart(at.Add(-time.Minute), first)
		})
	}
}

// checkFirstStart registers the second server with a start time and checks that the module is notified of a recent
// start.
func (c *clockHarness) checkFirstStart(at time.Time) notification {
	c.t.Helper()
	address := c.disks[1].Address()
	first := c.registerStart(address, 2, at)
	without := c.notificationsOf(address)[0].now // time at which etcd listed it without this start
	if first.Started < without-time.Second || first.Started <= 0 || first.Started > first.now {
		c.t.Errorf("notified at %v of a start at %v, want one after %v, when the server was listed without a start",
			first.now, first.Started, without)
	}
	return first
}

// checkSameStart registers the second server with the same start time while the wall clock steps: the start time that
// the module is notified of must not change.
func (c *clockHarness) checkSameStart(at time.Time, first notification) {
	c.t.Helper()
	for size := 3.0; size < 6; size++ {
		c.offset.Store(-c.offset.Load())
		if again := c.registerStart(c.disks[1].Address(), size, at); again.Started != first.Started {
			c.t.Errorf("listed again at %v with a start at %v, want %v as before",
				again.now, again.Started, first.Started)
		}
	}
}

// checkRestart registers the second server with another start time: the module must be notified of a later start,
// independently of the wall clock.
func (c *clockHarness) checkRestart(at time.Time, first notification) {
	c.t.Helper()
	restarted := c.registerStart(c.disks[1].Address(), 6, at)
	if restarted.Started <= first.Started || restarted.Started > restarted.now {
		c.t.Errorf("notified at %v of a restart at %v, want one after the first start at %v",
			restarted.now, restarted.Started, first.Started)
	}
}

// TestStartBeforeInstance starts an instance with a server whose start time both sources report. Since the wall clock
// may have stepped, the age of that start is unknown: the module must be notified of one recent start, independently of
// the wall clock. The start must not count as newer than the state of the source that drains the server.
func TestStartBeforeInstance(t *testing.T) {
	for name, test := range map[string]struct {
		step  time.Duration
		state string
	}{
		"steady":                 {0, "on"},
		"an hour back":           {-time.Hour, "on"},
		"an hour ahead":          {time.Hour, "on"},
		"draining":               {0, "draining"},
		"draining, an hour back": {-time.Hour, "draining"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, nameServer, at := newHarness(t), newNameServer(t), time.Now().Add(-time.Minute)
			address := h.disks[1].Address()
			h.registerRecord(address, discovery.Record{State: test.state, Size: 1, Cell: 1, StartedMS: at.UnixMilli()})
			nameServer.SetRecords(1, []dns.Record{{
				Target: fmt.Sprintf("a--c1-t%d.x.", at.Unix()),
				IP:     "127.0.0.1",
				Port:   netip.MustParseAddrPort(address).Port(),
				Weight: 1,
			}})
			addDNS(h.settings, nameServer.Address())
			c := newClockHarness(h, test.step, nil)
			c.eventually("both sources have reported the server, DNS repeatedly", func() bool {
				node, ok := c.node(address)
				if ok && node.State != "never" && node.State != test.state {
					t.Fatalf("node is %+v, want the state of the subtest", node)
				}
				return ok && nameServer.Queries() > 5 && node.DNS != "never" && node.Etcd != "never"
			})
			c.checkOneStart(address)
		})
	}
}

// checkOneStart checks that all notifications about a server have the same, recent start time.
func (c *clockHarness) checkOneStart(address string) {
	c.t.Helper()
	first := c.notificationsOf(address)[0]
	if first.Started <= 0 || first.Started > first.now {
		c.t.Errorf("notified at %v of a start at %v, want one after 0 and not after the notification",
			first.now, first.Started)
	}
	for _, again := range c.notificationsOf(address) {
		if again.Started != first.Started {
			c.t.Errorf("notified at %v of a start at %v, want %v as before", again.now, again.Started, first.Started)
		}
	}
}
