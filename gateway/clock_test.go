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

// notification is a member as the module was notified of it, and when.
type notification struct {
	now time.Duration
	honeyplank.Member
}

// recordingModule is a module that records the members and estimates that it is notified of.
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
		for _, x := range e.Members {
			*m.notifications = append(*m.notifications, notification{now, x})
		}
	case honeyplank.SavedEstimates:
		*m.estimates = append(*m.estimates, e.Servers...)
	}
	m.mu.Unlock()
	return m.DecisionModule.Handle(now, e)
}

// clockHarness is a harness whose gateway reads a wall clock that a test steps.
type clockHarness struct {
	*harness
	offset    atomic.Int64 // by which the wall clock is off, a time.Duration
	mu        sync.Mutex
	notified  []notification
	estimates []honeyplank.ServerEstimate
}

func (c *clockHarness) wall() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// newClockHarness replaces the gateway of a harness by one whose wall clock is off by step.
func newClockHarness(h *harness, step time.Duration, known *estimates.Record) *clockHarness {
	h.t.Helper()
	c := &clockHarness{harness: h}
	c.gateway.Kill()
	c.offset.Store(int64(step))
	module := func(seed int64, values *honeyplank.Settings) honeyplank.DecisionModule {
		return recordingModule{policy.New(seed, values), &c.mu, &c.notified, &c.estimates}
	}
	c.serve(gateway.Options{Seed: 2, Estimates: known, WallClock: c.wall, Module: module})
	c.eventually("the list", func() bool {
		return c.lastNotification(c.disks[0].Address()).now > 0 && c.lastNotification(c.disks[1].Address()).now > 0
	})
	return c
}

// notificationsOf returns all notifications of a server.
func (c *clockHarness) notificationsOf(address string) (list []notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.notified {
		if x.ID == honeyplank.ServerID(address) {
			list = append(list, x)
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

// registerStart registers a server with a start and returns the module's notification; each call must give another
// size.
func (c *clockHarness) registerStart(address string, size float64, at time.Time) notification {
	c.t.Helper()
	c.registerRecord(address, discovery.Record{State: "on", Size: size, Cell: 1, StartedMS: at.UnixMilli()})
	c.eventually("the module is notified", func() bool { return c.lastNotification(address).Size == size })
	return c.lastNotification(address)
}

// TestWallClockSteps has disk servers start while the wall clock steps: the module is notified of each start as a
// recent one, once.
func TestWallClockSteps(t *testing.T) {
	for name, x := range map[string]struct{ before, between, after time.Duration }{
		"steady":                    {},
		"an hour ahead all along":   {time.Hour, time.Hour, time.Hour},
		"5 s back before a start":   {0, -5 * time.Second, -5 * time.Second},
		"5 s ahead after a start":   {0, 0, 5 * time.Second},
		"an hour back, then right":  {0, -time.Hour, 0},
		"an hour ahead, then right": {0, time.Hour, 0},
		"back at a start":           {time.Hour, 0, -time.Hour},
		"ahead after a start":       {0, 0, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClockHarness(newHarness(t), x.before, nil)
			c.offset.Store(int64(x.between))
			at := c.wall()
			c.offset.Store(int64(x.after))
			first := c.checkFirstStart(at)
			c.checkSameStart(at, first)
			c.checkRestart(at.Add(-time.Minute), first)
		})
	}
}

// checkFirstStart registers the second server with a start: the module is notified of it as a recent one.
func (c *clockHarness) checkFirstStart(at time.Time) notification {
	c.t.Helper()
	address := c.disks[1].Address()
	first := c.registerStart(address, 2, at)
	without := c.notificationsOf(address)[0].now // when etcd listed it without this start
	if first.Started < without-time.Second || first.Started <= 0 || first.Started > first.now {
		c.t.Errorf("notified at %v: started %v, at %v it had not", first.now, first.Started, without)
	}
	return first
}

// checkSameStart registers the second server with the same start while the wall clock steps: the module's start stays.
func (c *clockHarness) checkSameStart(at time.Time, first notification) {
	c.t.Helper()
	for size := 3.0; size < 6; size++ {
		c.offset.Store(-c.offset.Load())
		if again := c.registerStart(c.disks[1].Address(), size, at); again.Started != first.Started {
			c.t.Errorf("listed again at %v: started %v, was %v", again.now, again.Started, first.Started)
		}
	}
}

// checkRestart registers the second server with another start: it is later for the module, whatever the wall clock
// says.
func (c *clockHarness) checkRestart(at time.Time, first notification) {
	c.t.Helper()
	restarted := c.registerStart(c.disks[1].Address(), 6, at)
	if restarted.Started <= first.Started || restarted.Started > restarted.now {
		c.t.Errorf("another start, notified at %v: started %v, the one before %v",
			restarted.now, restarted.Started, first.Started)
	}
}

// TestStartBeforeInstance has an instance begin with a server whose start two sources name. It can't be known how long
// ago that was, whatever the wall clock says: it is taken as recent, and once only; but not as news that the source
// which drains the server hasn't heard yet.
func TestStartBeforeInstance(t *testing.T) {
	for name, x := range map[string]struct {
		step  time.Duration
		state string
	}{
		"steady":                  {0, "on"},
		"an hour back":            {-time.Hour, "on"},
		"an hour ahead":           {time.Hour, "on"},
		"it drains":               {0, "draining"},
		"it drains, an hour back": {-time.Hour, "draining"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, names, at := newHarness(t), newNameServer(t), time.Now().Add(-time.Minute)
			address := h.disks[1].Address()
			h.registerRecord(address, discovery.Record{State: x.state, Size: 1, Cell: 1, StartedMS: at.UnixMilli()})
			names.SetRecords(1, []dns.Record{{
				Target: fmt.Sprintf("a--c1-t%d.x.", at.Unix()),
				IP:     "127.0.0.1",
				Port:   netip.MustParseAddrPort(address).Port(),
				Weight: 1,
			}})
			addDNS(h.settings, names.Address())
			c := newClockHarness(h, x.step, nil)
			c.eventually("both sources have reported it, DNS repeatedly", func() bool {
				node, ok := c.node(address)
				if ok && node.State != "never" && node.State != x.state {
					t.Fatalf("its state is %+v", node)
				}
				return ok && names.Queries() > 5 && node.DNS != "never" && node.Etcd != "never"
			})
			c.checkOneStart(address)
		})
	}
}

// checkOneStart checks that all notifications of a server have one start, and a recent one.
func (c *clockHarness) checkOneStart(address string) {
	c.t.Helper()
	first := c.notificationsOf(address)[0]
	if first.Started <= 0 || first.Started > first.now {
		c.t.Errorf("notified at %v: started %v", first.now, first.Started)
	}
	for _, again := range c.notificationsOf(address) {
		if again.Started != first.Started {
			c.t.Errorf("notified at %v: started %v, was %v", again.now, again.Started, first.Started)
		}
	}
}
