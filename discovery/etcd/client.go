// Package etcd follows the list of disk servers in etcd, over its published gRPC API. docs/etcd.md has the keys and values.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"honeyplank"
	"honeyplank/discovery"
)

// Client is the list in etcd. Watch and Fetch may be called from one goroutine; news comes on another, in
// order, and none after Close.
type Client struct {
	endpoints []string
	agent     string
	tell      func(discovery.Update)
	mu        sync.Mutex
	cancel    context.CancelFunc
	next      int
	running   sync.WaitGroup
	closed    bool
	serial    int
	quiet     time.Duration
	list      list
}

// New makes a source that asks the endpoints in turn, under the name agent. A watch that has said nothing for
// quiet, not even that it has nothing to say, counts as broken, and so does a call that takes as long. At most most
// nodes are kept.
func New(endpoints []string, prefix, agent string, quiet time.Duration, most int, tell func(discovery.Update)) *Client {
	return &Client{endpoints: endpoints, agent: agent, quiet: quiet, tell: tell, list: list{prefix: prefix, most: most, known: map[string]discovery.Node{}}}
}

// Watch follows the list, or stops: from the revision last told where there is one and its history is still
// kept, else from the whole list.
func (e *Client) Watch(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
	e.serial++
	if on && !e.closed {
		e.start(true)
	}
}

// Fetch reads the whole list once.
func (e *Client) Fetch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.start(false)
	}
}

func (e *Client) start(watch bool) {
	ctx, cancel := context.WithCancel(context.Background())
	if watch {
		e.cancel = cancel
	}
	endpoint, serial := e.endpoints[e.next%len(e.endpoints)], e.serial
	e.next++
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer cancel()
		if err := e.run(ctx, endpoint, watch, serial); err != nil {
			e.locked(serial, func() (*discovery.Update, error) {
				return &discovery.Update{Kind: honeyplank.WatchFailed, Err: err}, nil
			})
		}
	}()
}

// errReplaced tells that a watch is no longer the one that counts.
var errReplaced = errors.New("members: replaced")

// locked changes the list and tells what comes of it, unless the watch it is of has been replaced.
func (e *Client) locked(serial int, change func() (*discovery.Update, error)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if serial != e.serial || e.closed {
		return errReplaced
	}
	news, err := change()
	if news != nil {
		e.tell(*news)
	}
	return err
}

// Close ends the watch and waits for what runs.
func (e *Client) Close() {
	e.mu.Lock()
	e.closed = true
	if e.cancel != nil {
		e.cancel()
	}
	e.mu.Unlock()
	e.running.Wait()
}

func (e *Client) run(ctx context.Context, endpoint string, watch bool, serial int) error {
	c, err := grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithUserAgent(e.agent),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 2 * e.quiet, Timeout: e.quiet}))
	if err != nil {
		return err
	}
	defer c.Close()
	e.mu.Lock()
	told := e.list.revision > 0
	e.mu.Unlock()
	if watch && told {
		if err := e.follow(ctx, c, endpoint, serial); !errors.Is(err, errHistory) {
			return err
		}
	}
	if err := e.whole(ctx, c, endpoint, serial); err != nil || !watch {
		return err
	}
	return e.follow(ctx, c, endpoint, serial)
}

// pages is into how many answers a list of the most nodes is cut.
const pages = 20

// whole reads the list, in pages.
func (e *Client) whole(ctx context.Context, c *grpc.ClientConn, endpoint string, serial int) error {
	kv, end, r := etcdserverpb.NewKVClient(c), prefixEnd(e.list.prefix), e.list.read()
	for more := true; more; {
		call, cancel := context.WithTimeout(ctx, e.quiet)
		page, err := kv.Range(call, &etcdserverpb.RangeRequest{Key: r.from, RangeEnd: end, Limit: int64(max(1, e.list.most/pages)), Revision: r.revision})
		cancel()
		if err == nil {
			more, err = r.page(page)
		}
		if err != nil {
			return fmt.Errorf("members: range at %s: %w", endpoint, err)
		}
	}
	return e.locked(serial, func() (*discovery.Update, error) { return e.list.whole(r), nil })
}

// follow watches from after the revision told until the watch breaks.
func (e *Client) follow(ctx context.Context, c *grpc.ClientConn, endpoint string, serial int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wrap := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return fmt.Errorf("members: watch at %s: %w", endpoint, err)
	}
	from, created := int64(0), func() {}
	if err := e.locked(serial, func() (*discovery.Update, error) { e.list.watch(); from = e.list.revision; return nil, nil }); err != nil {
		return err
	}
	if e.quiet > 0 {
		// Neither a connection that is not made nor a watch that is not created has said anything.
		begun := time.AfterFunc(e.quiet, func() { cancel(fmt.Errorf("no watch was created within %v", e.quiet)) })
		defer begun.Stop()
		created = func() { begun.Stop() }
	}
	stream, err := etcdserverpb.NewWatchClient(c).Watch(ctx)
	if err != nil {
		return wrap(err)
	}
	err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(e.list.prefix), RangeEnd: prefixEnd(e.list.prefix), StartRevision: from + 1, ProgressNotify: true, Fragment: true}}})
	if err != nil {
		return wrap(err)
	}
	heard := make(chan struct{}, 1)
	go e.nudge(ctx, cancel, stream, heard)
	for {
		r, err := stream.Recv()
		if err != nil {
			return wrap(err)
		}
		awaiting := false // progress keeps up a watch that stands, not one of which more is awaited
		err = e.locked(serial, func() (*discovery.Update, error) {
			news, err := e.list.hear(r)
			awaiting = e.list.state != stands && len(r.Events) == 0
			return news, err
		})
		if r.Created {
			created()
		}
		if !awaiting {
			select {
			case heard <- struct{}{}:
			default:
			}
		}
		if errors.Is(err, errHistory) || errors.Is(err, errReplaced) {
			return err
		} else if err != nil {
			return wrap(err)
		}
	}
}

// nudge asks a quiet watch for its progress, and ends one that does not answer. It guards against a watch that
// stays open and delivers nothing; it could harm where quiet is shorter than a slow etcd takes.
func (e *Client) nudge(ctx context.Context, cancel context.CancelCauseFunc, stream etcdserverpb.Watch_WatchClient, heard chan struct{}) {
	if e.quiet <= 0 {
		return
	}
	for asked := false; ; {
		wait := time.NewTimer(e.quiet / 2)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-heard:
			wait.Stop()
			asked = false
		case <-wait.C:
			if asked {
				cancel(fmt.Errorf("nothing came for %v", e.quiet))
				return
			}
			asked = true
			stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{ProgressRequest: &etcdserverpb.WatchProgressRequest{}}})
		}
	}
}

// prefixEnd is the key after all that begin with the prefix (etcd's range convention).
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return []byte{0}
}
