// Package etcd watches the endpoint list in etcd over its published gRPC API. docs/etcd.md has the keys and values.
// The package passes on the changes that it receives and reports failures. It does not compare the list with another
// source, which is done by package membership. It does not retry by itself: the decision module requests each watch and
// each complete list.
//
// The state machines of the watch (watch.go) and of the list (list.go) do no I/O. client.go owns the goroutines, and
// rpc.go makes the calls. The methods of a Client must be called from one goroutine; updates come from the goroutines
// of the Client.
package etcd

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"honeyplank"
	"honeyplank/discovery"
)

// Settings has the endpoints, the key prefix and the limits of a Client.
type Settings struct {
	Endpoints []string // used in turn
	UserAgent string   // sent to etcd with each call
	Prefix    string   // of the keys of the list
	MaxNodes  int      // further nodes are skipped
	// Timeout is the time within which a call must be answered and a watch created. A watch has failed if it receives
	// nothing for this time, not even a requested progress notification. 0: no limit for a watch.
	Timeout time.Duration
}

// Client watches the endpoint list in etcd. Watch, StopWatch, Fetch and Close must be called from one goroutine.
// Updates are passed on from other goroutines, one at a time and in order, and none after Close.
//
// Each Watch and each Fetch runs on a goroutine of the Client. The goroutine ends when its work is done or has failed;
// a watch also ends at the next call of Watch or StopWatch. Close waits for all goroutines.
type Client struct {
	settings Settings
	update   func(discovery.Update)
	running  sync.WaitGroup

	mu           sync.Mutex
	cancelWatch  context.CancelFunc // nil: no watch
	nextEndpoint int                // number of sessions started; modulo the number of endpoints, the next index
	generation   int                // of the watch: results of an earlier generation are dropped
	closed       bool
	list         list
}

// errReplaced means that the session is of an earlier generation, or that the Client is closed.
var errReplaced = errors.New("discovery: replaced by a later watch")

// New makes a Client, which does nothing before Watch or Fetch. It calls update for each update, with a lock held;
// update must not call the Client.
func New(settings Settings, update func(discovery.Update)) *Client {
	return &Client{
		settings: settings,
		update:   update,
		list:     list{prefix: settings.Prefix, maxNodes: settings.MaxNodes, nodes: map[string]discovery.Node{}},
	}
}

// Watch replaces the watch, if any, by a new one at the next endpoint. The new watch resumes after the last revision
// passed on, if there is one and etcd still has the history since; otherwise it begins with the complete list.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWatch()
	if !c.closed {
		c.cancelWatch = c.start(session.follow)
	}
}

// StopWatch ends the watch, if any.
func (c *Client) StopWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWatch()
}

// endWatch ends the watch; its late results are dropped. The caller holds mu.
func (c *Client) endWatch() {
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
	c.generation++
}

// Fetch reads the complete list once, in parallel to the watch.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.start(session.readList)
	}
}

// Close ends the watch and waits for all goroutines. It does not cancel a Fetch in progress, whose calls take at most
// Settings.Timeout each.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	c.mu.Unlock()
	c.running.Wait()
}

// start runs a session at the next endpoint, on a goroutine that ends with the session. The function that it returns
// cancels the session. The caller holds mu.
func (c *Client) start(run func(session, context.Context, *grpc.ClientConn) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	endpoint := c.settings.Endpoints[c.nextEndpoint%len(c.settings.Endpoints)]
	s := session{Client: c, endpoint: endpoint, generation: c.generation}
	c.nextEndpoint++
	c.running.Go(func() {
		defer cancel()
		if err := s.connect(ctx, run); err != nil {
			s.reportFailure(err)
		}
	})
	return cancel
}

// session is one watch or fetch at one endpoint.
type session struct {
	*Client
	endpoint   string
	generation int
}

// apply changes the list and passes on the resulting update. It returns errReplaced, without a change, if the session
// has been replaced or the Client is closed.
func (s session) apply(change func(*list) (*discovery.Update, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation != s.Client.generation || s.closed {
		return errReplaced
	}
	update, err := change(&s.list)
	if update != nil {
		s.update(*update)
	}
	return err
}

// reportFailure passes on an update for the failure of the session.
func (s session) reportFailure(failure error) {
	_ = s.apply(func(*list) (*discovery.Update, error) { // the only error is errReplaced, which needs no report
		return &discovery.Update{Kind: honeyplank.WatchFailed, Err: failure}, nil
	})
}
