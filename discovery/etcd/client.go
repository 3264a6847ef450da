// Package etcd watches the list of disk servers in etcd over its published gRPC API. docs/etcd.md has the keys and
// values. The state machine of the watch (watch.go) and of the list (list.go) does no I/O; client.go owns the goroutines
// and rpc.go carries out the calls.
package etcd

import (
	"context"
	"errors"
	"sync"
	"time"

	"honeyplank"
	"honeyplank/discovery"
)

// Client is the list in etcd. Watch, Fetch and Close are called from one goroutine. Updates are passed on from other
// goroutines, one at a time and in order, and none after Close.
//
// Each Watch and each Fetch runs on a goroutine of the Client. It ends when its work is done or has failed, a watch also
// with the next call of Watch; Close waits for all of them.
type Client struct {
	endpoints []string
	userAgent string
	askWithin time.Duration
	update    func(discovery.Update)
	running   sync.WaitGroup

	mu           sync.Mutex
	cancel       context.CancelFunc // of the watch; nil: there is none
	nextEndpoint int                // counts up; the index is the remainder
	generation   int                // of the watch: results of an earlier one are dropped
	closed       bool
	list         list
}

// errReplaced: the watch or request is of an earlier generation, or the client is closed.
var errReplaced = errors.New("discovery: replaced by a later watch")

// New makes a client that asks the endpoints in turn, with userAgent as its name, for the keys with a prefix. A watch
// that was not created within askWithin, or has delivered nothing for as long, not even progress when asked for it, is
// broken; so is a call that takes longer. Of more than maxNodes servers the further ones are skipped. Updates
// go to update, which is called with a lock held and must not call the client.
func New(endpoints []string, prefix, userAgent string, askWithin time.Duration, maxNodes int, update func(discovery.Update)) *Client {
	return &Client{
		endpoints: endpoints, userAgent: userAgent, askWithin: askWithin, update: update,
		list: list{prefix: prefix, maxNodes: maxNodes, nodes: map[string]discovery.Node{}},
	}
}

// Watch ends the watch and, if on, begins another: from the revision passed on last where there is one and etcd still has
// its history, else from the complete list.
func (c *Client) Watch(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
	c.generation++
	if on && !c.closed {
		c.start(true)
	}
}

// Fetch reads the complete list once, beside the watch.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.start(false)
	}
}

// Close ends the watch and waits for all goroutines. It waits for a Fetch that is under way, askWithin a call at most.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	c.mu.Unlock()
	c.running.Wait()
}

// start begins a watch or a fetch at the next endpoint. It is called with the lock held.
func (c *Client) start(watch bool) {
	ctx, cancel := context.WithCancel(context.Background())
	if watch {
		c.cancel = cancel
	}
	s := session{Client: c, endpoint: c.endpoints[c.nextEndpoint%len(c.endpoints)], generation: c.generation}
	c.nextEndpoint++
	c.running.Go(func() {
		defer cancel()
		if err := s.run(ctx, watch); err != nil {
			s.apply(func(*list) (*discovery.Update, error) {
				return &discovery.Update{Kind: honeyplank.WatchFailed, Err: err}, nil
			})
		}
	})
}

// session is one watch or fetch at one endpoint.
type session struct {
	*Client
	endpoint   string
	generation int
}

// apply changes the list and passes on what comes of it, unless the session has been replaced: errReplaced then.
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
