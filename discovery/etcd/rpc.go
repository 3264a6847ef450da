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
	// pagesOfFullList is the number of pages in which a list of the maximum length is read.
	pagesOfFullList = 20
	// keepalivePeriods is the time without traffic after which a connection is checked, as a multiple of
	// Settings.Timeout.
	keepalivePeriods = 2
	// progressChecks is the number of checks of a watch within Settings.Timeout. At the first check without a response,
	// a progress notification is requested. At the next one, the watch has failed.
	progressChecks = 2
)

// The reasons for a failure of a watch that etcd has not ended. Update.Err wraps them.
var (
	// ErrNotCreated means that etcd did not confirm the watch in time: there is no connection, or the endpoint accepted
	// the call and did not answer it.
	ErrNotCreated = errors.New("watch not created in time")
	// ErrNoProgress means that the watch received nothing, not even the progress notification that was requested.
	ErrNoProgress = errors.New("no response on the watch in time")
)

// connect runs a session on a connection to its endpoint.
func (s session) connect(ctx context.Context, run func(session, context.Context, *grpc.ClientConn) error) error {
	conn, err := grpc.NewClient("passthrough:///"+s.endpoint,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithUserAgent(s.settings.UserAgent),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepalivePeriods * s.settings.Timeout,
			Timeout: s.settings.Timeout,
		}))
	if err != nil {
		return fmt.Errorf("discovery: connection to %s: %w", s.endpoint, err)
	}
	defer conn.Close()
	return run(s, ctx, conn)
}

// follow resumes watching after the last revision passed on. If there is none, or if etcd no longer has the history
// since then, it reads the complete list first.
func (s session) follow(ctx context.Context, conn *grpc.ClientConn) error {
	if s.hasRevision() {
		if err := s.watch(ctx, conn); !errors.Is(err, errHistoryLost) {
			return err
		}
	}
	if err := s.readList(ctx, conn); err != nil {
		return err
	}
	return s.watch(ctx, conn)
}

// hasRevision reports whether there is a revision from which a watch can resume.
func (s session) hasRevision() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.revision > 0
}

// readList reads the complete list, page by page, and passes it on.
func (s session) readList(ctx context.Context, conn *grpc.ClientConn) error {
	kv, reader := etcdserverpb.NewKVClient(conn), s.list.newListReader()
	for more := true; more; {
		page, err := s.readPage(ctx, kv, reader)
		if err == nil {
			more, err = reader.addPage(page)
		}
		if err != nil {
			return fmt.Errorf("discovery: range at %s: %w", s.endpoint, err)
		}
	}
	return s.apply(func(l *list) (*discovery.Update, error) { return l.replace(reader), nil })
}

// readPage requests the next page of a complete list.
func (s session) readPage(
	ctx context.Context, kv etcdserverpb.KVClient, reader *listReader,
) (*etcdserverpb.RangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	return kv.Range(ctx, &etcdserverpb.RangeRequest{
		Key:      reader.nextKey,
		RangeEnd: prefixEnd(s.settings.Prefix),
		Limit:    int64(max(1, s.settings.MaxNodes/pagesOfFullList)),
		Revision: reader.revision,
	})
}

// watch watches the changes after the last revision passed on, until the watch fails. It returns errHistoryLost if the
// complete list must be read.
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
	from, err := s.beginWatch()
	if err != nil {
		return err
	}
	created := s.limitCreation(cancel)
	defer created()
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

// beginWatch prepares the list for a watch. It returns the revision after which the watch must begin.
func (s session) beginWatch() (from int64, err error) {
	err = s.apply(func(l *list) (*discovery.Update, error) {
		l.beginWatch()
		from = l.revision
		return nil, nil
	})
	return from, err
}

// limitCreation cancels the watch after Settings.Timeout, unless the function that it returns is called before then.
func (s session) limitCreation(cancel context.CancelCauseFunc) (created func()) {
	if s.settings.Timeout <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(s.settings.Timeout, func() {
		cancel(fmt.Errorf("%w: %v", ErrNotCreated, s.settings.Timeout))
	})
	return func() { timer.Stop() }
}

// create opens a stream and requests a watch of the changes after a revision.
func (s session) create(
	ctx context.Context, conn *grpc.ClientConn, from int64,
) (etcdserverpb.Watch_WatchClient, error) {
	stream, err := etcdserverpb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		return nil, err
	}
	request := &etcdserverpb.WatchCreateRequest{
		Key:            []byte(s.settings.Prefix),
		RangeEnd:       prefixEnd(s.settings.Prefix),
		StartRevision:  from + 1,
		ProgressNotify: true,
		Fragment:       true,
	}
	return stream, stream.Send(&etcdserverpb.WatchRequest{
		RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{CreateRequest: request},
	})
}

// handle applies a response. It sends to active if the response shows that the watch works.
func (s session) handle(response *etcdserverpb.WatchResponse, active chan<- struct{}) error {
	works := true
	err := s.apply(func(l *list) (*discovery.Update, error) {
		update, err := l.handle(response)
		// A progress notification does not show that a watch works if it is not created yet, or if fragments of a
		// response are awaited.
		works = l.state == watching || len(response.Events) > 0
		return update, err
	})
	if works {
		select {
		case active <- struct{}{}:
		default:
		}
	}
	return err
}

// checkProgress requests a progress notification if the watch receives no responses, and cancels the watch if it does
// not answer. This detects a watch that stays open and delivers nothing. Limitation: the watch of a slow etcd, which
// takes longer than Settings.Timeout, is cancelled too.
func (s session) checkProgress(
	ctx context.Context, cancel context.CancelCauseFunc, stream etcdserverpb.Watch_WatchClient, active <-chan struct{},
) {
	timeout := s.settings.Timeout
	if timeout <= 0 {
		return
	}
	for requested := false; ; {
		timer := time.NewTimer(timeout / progressChecks)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-active:
			timer.Stop()
			requested = false
		case <-timer.C:
			if requested {
				cancel(fmt.Errorf("%w: %v", ErrNoProgress, timeout))
				return
			}
			requested = true
			_ = stream.Send(progressRequest()) // receive returns the error of a stream that has failed
		}
	}
}

func progressRequest() *etcdserverpb.WatchRequest {
	return &etcdserverpb.WatchRequest{
		RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
			ProgressRequest: &etcdserverpb.WatchProgressRequest{},
		},
	}
}

// prefixEnd returns the end of the range of all keys with a prefix, by etcd's convention for ranges.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return []byte{0}
}
