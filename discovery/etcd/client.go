// Package etcd watches the endpoint list in etcd over its published gRPC API. docs/etcd.md has the keys and values.
// It passes on what it receives and reports what fails. It does not compare the list with another source, which package
// membership does, and it does not retry by itself: the decision module asks for each watch and each complete list.
//
// The state machines of the watch (watch.go) and of the list (list.go) do no I/O. client.go owns the goroutines and
// rpc.go carries out the calls. One goroutine calls a Client's methods; updates come from the goroutines of the Client.
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

// Settings say which list a Client watches, and where.
type Settings struct {
	Endpoints []string // used in turn
	UserAgent string   // by which the client names itself to etcd
	Prefix    string   // of the keys of the list
	MaxNodes  int      // nodes beyond this number are skipped
	// Timeout is the time within which a call must be answered and a watch created. A watch on which nothing arrives
	// for as long, not even a progress notification on request, has failed. 0: no limit for a watch.
	Timeout time.Duration
}

// Client is the endpoint list in etcd. Watch, StopWatch, Fetch and Close are called from one goroutine. Updates are
// passed on from other goroutines, one at a time and in order, and none after Close.
//
// Each Watch and each Fetch runs on a goroutine of the Client. It ends when its work is done or has failed, a watch
// also with the next call of Watch or StopWatch; Close waits for all of them.
type Client struct {
	settings Settings
	update   func(discovery.Update)
	running  sync.WaitGroup

	mu           sync.Mutex
	cancelWatch  context.CancelFunc // nil: there is no watch
	nextEndpoint int                // counts up; the index is the remainder
	generation   int                // of the watch: results of an earlier one are dropped
	closed       bool
	list         list
}

// errReplaced: the session is of an earlier generation, or the client is closed.
var errReplaced = errors.New("discovery: replaced by a later watch")

// New makes a client, which does nothing before Watch or Fetch. Updates go to update, which is called with a lock held
// and must not call the client.
func New(settings Settings, update func(discovery.Update)) *Client {
	return &Client{
		settings: settings,
		update:   update,
		list:     list{prefix: settings.Prefix, maxNodes: settings.MaxNodes, nodes: map[string]discovery.Node{}},
	}
}

// Watch replaces the watch, if any, by a new one at the next endpoint: from the last revision passed on where there is
// one and etcd still has its history, else from the complete list.
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

// endWatch ends the watch and has its late results dropped. It is called with the lock held.
func (c *Client) endWatch() {
	if c.cancelWatch != nil {
		c.cancelWatch()
		c.cancelWatch = nil
	}
	c.generation++
}

// Fetch reads the complete list once, beside the watch.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.start(session.readList)
	}
}

// Close ends the watch and waits for all goroutines. It waits for a Fetch in progress, Settings.Timeout a call at most.
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
// ends the session early. It is called with the lock held.
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

// apply changes the list and passes on the resulting update, unless the session has been replaced: errReplaced then.
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

// reportFailure passes on that the session has failed.
func (s session) reportFailure(failure error) {
	_ = s.apply(func(*list) (*discovery.Update, error) { // its only error: nobody waits for a replaced session
		return &discovery.Update{Kind: honeyplank.WatchFailed, Err: failure}, nil
	})
}
