package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/estimates"
	"honeyplank/fake/dns"
	"honeyplank/gateway"
	"honeyplank/policy"
)

// told is a server as a module was told of it, and when.
type told struct {
	now time.Duration
	honeyplank.Member
}

// tap is a module that notes what it is told of servers, and of what was learnt.
type tap struct {
	gateway.Module
	mu     *sync.Mutex
	told   *[]told
	learnt *[]honeyplank.ServerEstimate
}

func (m tap) Handle(now time.Duration, e honeyplank.Event) []honeyplank.Action {
	m.mu.Lock()
	switch e := e.(type) {
	case honeyplank.List:
		for _, x := range e.Members {
			*m.told = append(*m.told, told{now, x})
		}
	case honeyplank.SavedEstimates:
		*m.learnt = append(*m.learnt, e.Servers...)
	}
	m.mu.Unlock()
	return m.Module.Handle(now, e)
}

// clocked is a world whose gateway reads a wall clock that a test steps.
type clocked struct {
	*world
	step   atomic.Int64 // by which the wall clock is off, a time.Duration
	mu     sync.Mutex
	told   []told
	learnt []honeyplank.ServerEstimate
}

func (c *clocked) wall() time.Time { return time.Now().Add(time.Duration(c.step.Load())) }

// clock puts such a gateway in the place of the one of a world.
func clock(w *world, step time.Duration, known *estimates.Record) *clocked {
	w.t.Helper()
	c := &clocked{world: w}
	c.g.Kill()
	c.step.Store(int64(step))
	var err error
	if c.g, err = gateway.New(gateway.Options{Settings: c.s, Seed: 2, Learnt: known, Log: zerolog.Nop(), Wall: c.wall,
		Module: func(seed int64, v *honeyplank.Settings) gateway.Module {
			return tap{policy.New(seed, v), &c.mu, &c.told, &c.learnt}
		}}); err != nil {
		w.t.Fatal(err)
	}
	go c.g.Serve(context.Background())
	c.eventually("the list", func() bool { return c.last(c.disks[0].Address()).now > 0 && c.last(c.disks[1].Address()).now > 0 })
	return c
}

// of is all that the module was told of a server.
func (c *clocked) of(address string) (list []told) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.told {
		if x.ID == honeyplank.ServerID(address) {
			list = append(list, x)
		}
	}
	return list
}

func (c *clocked) last(address string) (x told) {
	if list := c.of(address); len(list) > 0 {
		x = list[len(list)-1]
	}
	return x
}

// started lists a server and returns what the module is told of it; each call gives it another size.
func (c *clocked) started(address string, size float64, at time.Time) told {
	c.t.Helper()
	value, _ := json.Marshal(discovery.Record{State: "on", Size: size, Cell: 1, StartedMS: at.UnixMilli()})
	c.etcd.Set("/honeyplank/nodes/"+address, value)
	c.eventually("the module is told", func() bool { return c.last(address).Size == size })
	return c.last(address)
}

// TestWallClockSteps has disk servers start while the wall clock steps: each start is told as a recent one, once.
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
			c := clock(start(t), x.before, nil)
			address := c.disks[1].Address()
			c.step.Store(int64(x.between))
			at := c.wall()
			c.step.Store(int64(x.after))
			first := c.started(address, 2, at)
			without := c.of(address)[0].now // when etcd told of it without this start
			if first.Started < without-time.Second || first.Started <= 0 || first.Started > first.now {
				t.Errorf("told at %v: started %v, at %v it had not", first.now, first.Started, without)
			}
			for size := 3.0; size < 6; size++ {
				c.step.Store(-c.step.Load())
				if again := c.started(address, size, at); again.Started != first.Started {
					t.Errorf("mentioned again at %v: started %v, was %v", again.now, again.Started, first.Started)
				}
			}
			if anew := c.started(address, 6, at.Add(-time.Minute)); anew.Started <= first.Started || anew.Started > anew.now {
				t.Errorf("another start, told at %v: started %v, the one before %v", anew.now, anew.Started, first.Started)
			}
		})
	}
}

// TestStartBeforeInstance has an instance begin with a server whose start two sources name. It can't be told how long
// ago that was, whatever the wall clock says: it is taken as recent, and once only; but not as news that the source
// which drains the server hasn't heard yet.
func TestStartBeforeInstance(t *testing.T) {
	for name, x := range map[string]struct {
		step  time.Duration
		state string
	}{"steady": {0, "on"}, "an hour back": {-time.Hour, "on"}, "an hour ahead": {time.Hour, "on"}, "it drains": {0, "draining"}, "it drains, an hour back": {-time.Hour, "draining"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			names, err := dns.New("_h._tcp.x.")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(names.Close)
			w, at := start(t), time.Now().Add(-time.Minute)
			value, _ := json.Marshal(discovery.Record{State: x.state, Size: 1, Cell: 1, StartedMS: at.UnixMilli()})
			address := w.disks[1].Address()
			w.etcd.Set("/honeyplank/nodes/"+address, value)
			port := netip.MustParseAddrPort(address).Port()
			names.Set(1, []dns.Record{{Target: fmt.Sprintf("a--c1-t%d.x.", at.Unix()), IP: "127.0.0.1", Port: port, Weight: 1}})
			asksDNS(w.s, names.Address())
			c := clock(w, x.step, nil)
			c.eventually("both sources have told of it, DNS again and again", func() bool {
				nodes, _ := c.g.Nodes()
				i := slices.IndexFunc(nodes, func(n gateway.Node) bool { return n.OSD == address })
				if i >= 0 && nodes[i].Believed != "never" && nodes[i].Believed != x.state {
					t.Fatalf("believed to be %+v", nodes[i])
				}
				return i >= 0 && names.Queries() > 5 && nodes[i].DNS != "never" && nodes[i].Etcd != "never"
			})
			first := c.of(address)[0]
			if first.Started <= 0 || first.Started > first.now {
				t.Errorf("told at %v: started %v", first.now, first.Started)
			}
			for _, again := range c.of(address) {
				if again.Started != first.Started {
					t.Errorf("told at %v: started %v, was %v", again.now, again.Started, first.Started)
				}
			}
		})
	}
}
