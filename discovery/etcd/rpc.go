package etcd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"honeyplank/discovery"
)

const (
	// pagesOfFullList is into how many pages a list of the maximum length is cut.
	pagesOfFullList = 20
	// keepalivePeriods is after how many times askWithin without traffic the connection is checked.
	keepalivePeriods = 2
	// progressChecks is how often within askWithin a watch without responses is looked at: the first time it is asked for
	// its progress, the next it is broken.
	progressChecks = 2
)

// Why a watch is broken that etcd has not ended. Update.Err wraps them.
var (
	// ErrNotCreated means that the watch was not created in time: neither a connection that isn't made nor an endpoint that
	// takes a call and leaves it there has reported anything.
	ErrNotCreated = errors.New("the watch was not created in time")
	// ErrSilent means that nothing came on the watch, not even the progress that was asked for.
	ErrSilent = errors.New("nothing came on the watch in time")
)

// run carries out a watch, or a fetch, until it ends.
func (s session) run(ctx context.Context, watch bool) error {
	conn, err := grpc.NewClient("passthrough:///"+s.endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithUserAgent(s.userAgent),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriods * s.askWithin, Timeout: s.askWithin}))
	if err != nil {
		return err
	}
	defer conn.Close()
	if watch && s.hasRevision() {
		if err := s.watch(ctx, conn); !errors.Is(err, errHistoryLost) {
			return err
		}
	}
	if err := s.readList(ctx, conn); err != nil || !watch {
		return err
	}
	return s.watch(ctx, conn)
}

// hasRevision reports whether there is a revision from which a watch can go on.
func (s session) hasRevision() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.revision > 0
}

// readList reads the complete list, page by page.
func (s session) readList(ctx context.Context, conn *grpc.ClientConn) error {
	kv, end, read := etcdserverpb.NewKVClient(conn), prefixEnd(s.list.prefix), s.list.newRead()
	pageSize := int64(max(1, s.list.maxNodes/pagesOfFullList))
	for more := true; more; {
		callCtx, cancel := context.WithTimeout(ctx, s.askWithin)
		page, err := kv.Range(callCtx, &etcdserverpb.RangeRequest{Key: read.nextKey, RangeEnd: end, Limit: pageSize, Revision: read.revision})
		cancel()
		if err == nil {
			more, err = read.addPage(page)
		}
		if err != nil {
			return fmt.Errorf("discovery: range at %s: %w", s.endpoint, err)
		}
	}
	return s.apply(func(l *list) (*discovery.Update, error) { return l.replace(read), nil })
}

// watch watches from after the revision passed on last until the watch breaks. It returns errHistoryLost where the
// complete list is needed.
func (s session) watch(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := s.receive(ctx, cancel, conn)
	if errors.Is(err, errHistoryLost) || errors.Is(err, errReplaced) {
		return err
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("discovery: watch at %s: %w", s.endpoint, err)
}

// receive creates a watch and applies its responses until there is an error, which it returns.
func (s session) receive(ctx context.Context, cancel context.CancelCauseFunc, conn *grpc.ClientConn) error {
	from := int64(0)
	if err := s.apply(func(l *list) (*discovery.Update, error) { l.beginWatch(); from = l.revision; return nil, nil }); err != nil {
		return err
	}
	created := func() {}
	if s.askWithin > 0 {
		timer := time.AfterFunc(s.askWithin, func() { cancel(fmt.Errorf("%w: %v", ErrNotCreated, s.askWithin)) })
		defer timer.Stop()
		created = func() { timer.Stop() }
	}
	stream, err := s.create(ctx, conn, from)
	if err != nil {
		return err
	}
	active := make(chan struct{}, 1)
	s.running.Go(func() { s.checkProgress(ctx, cancel, stream, active) }) // ends with ctx, which ends with watch
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		err = s.handle(response, active)
		if response.Created {
			created()
		}
		if err != nil {
			return err
		}
	}
}

// create asks for a watch from after a revision.
func (s session) create(ctx context.Context, conn *grpc.ClientConn, from int64) (etcdserverpb.Watch_WatchClient, error) {
	stream, err := etcdserverpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		return nil, err
	}
	request := &etcdserverpb.WatchCreateRequest{Key: []byte(s.list.prefix), RangeEnd: prefixEnd(s.list.prefix), StartRevision: from + 1, ProgressNotify: true, Fragment: true}
	return stream, stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{CreateRequest: request}})
}

// handle applies a response, and reports on active one that keeps up the watch.
func (s session) handle(response *etcdserverpb.WatchResponse, active chan<- struct{}) error {
	keepsUp := true
	err := s.apply(func(l *list) (*discovery.Update, error) {
		update, err := l.handle(response)
		// A progress response keeps up a complete watch, not one of which a fragment or its creation is awaited.
		keepsUp = l.state == watching || len(response.Events) > 0
		return update, err
	})
	if keepsUp {
		select {
		case active <- struct{}{}:
		default:
		}
	}
	return err
}

// checkProgress asks a watch without responses for its progress and ends one that does not answer. It guards against a
// watch that stays open and delivers nothing; it could harm where askWithin is shorter than a slow etcd takes.
func (s session) checkProgress(ctx context.Context, cancel context.CancelCauseFunc, stream etcdserverpb.Watch_WatchClient, active <-chan struct{}) {
	if s.askWithin <= 0 {
		return
	}
	progress := &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{ProgressRequest: &etcdserverpb.WatchProgressRequest{}}}
	for asked := false; ; {
		timer := time.NewTimer(s.askWithin / progressChecks)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-active:
			timer.Stop()
			asked = false
		case <-timer.C:
			if asked {
				cancel(fmt.Errorf("%w: %v", ErrSilent, s.askWithin))
				return
			}
			asked = true
			stream.Send(progress) // an error shows in Recv
		}
	}
}

// prefixEnd is the key after all that begin with a prefix, by etcd's convention for ranges.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return []byte{0}
}
