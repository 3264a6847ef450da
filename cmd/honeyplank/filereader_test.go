package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/scheduler"
	"honeyplank/settings"
)

var (
	errContent = &scheduler.ConfigError{
		File: "config.json", Line: 3, Problem: "unexpected end of JSON input", Expected: "one JSON object",
	}
	errUnread = &scheduler.ConfigError{
		File: "config.json", Problem: "open config.json: too many open files",
		Expected: "the configuration that the platform writes",
	}
)

// fileContent is what a reader that succeeds reads.
const fileContent = 7

// failingReader fails so many times, and then reads fileContent.
func failingReader(err error, times int) fileReader[int] {
	read := func() (int, error) {
		if times > 0 {
			times--
			return 0, err
		}
		return fileContent, nil
	}
	return fileReader[int]{read, retryConfigError, zerolog.Nop()}
}

// loadCase is a read that fails so many times with an error.
type loadCase struct {
	err      error
	times    int
	least    time.Duration // the time it takes; at most one wait more
	succeeds bool
}

// TestLoad: an error that passes is waited for, one that lasts is returned as it is and in bounded time.
func TestLoad(t *testing.T) {
	const always = 1 << 30
	for _, c := range []loadCase{
		{nil, 0, 0, true},
		{errUnread, 1, 20 * time.Millisecond, true},
		{errUnread, 6, 1100 * time.Millisecond, true},
		{errUnread, always, readTimeout - readBackoff.Max, false},
		{syscall.EIO, 3, 140 * time.Millisecond, true},
		{errContent, 4, 300 * time.Millisecond, true},
		{errContent, always, 300 * time.Millisecond, false},
	} {
		t.Run(fmt.Sprintf("%v, %d times", c.err, c.times), func(t *testing.T) {
			synctest.Test(t, c.check)
		})
	}
}

func (c loadCase) check(t *testing.T) {
	began := time.Now()
	got, err := failingReader(c.err, c.times).load(t.Context(), nil)
	if took := time.Since(began); took < c.least || took > c.least+readBackoff.Max {
		t.Errorf("it took %v", took)
	}
	wantErr := c.err
	if c.succeeds {
		wantErr = nil
	}
	if (got == fileContent) != c.succeeds || err != wantErr {
		t.Errorf("%d, %v", got, err)
	}
}

// followed is a file that changes, and its follower. Its content is valid or not.
type followed struct {
	reload  chan os.Signal
	valid   atomic.Bool
	newest  atomic.Int64
	applied []int64
	cancel  context.CancelFunc
	ended   chan struct{}
}

func follow(t *testing.T) *followed {
	t.Helper()
	f := &followed{reload: make(chan os.Signal, 1), ended: make(chan struct{})}
	f.newest.Store(1)
	r := fileReader[int64]{f.read, retryConfigError, zerolog.Nop()}
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	go func() {
		defer close(f.ended)
		r.follow(ctx, f.reload, func(n int64) { f.applied = append(f.applied, n) })
	}()
	return f
}

func (f *followed) read() (int64, error) {
	if !f.valid.Load() {
		return 0, errContent
	}
	return f.newest.Load(), nil
}

// signal sends a signal, which is dropped where one waits, as signal.Notify does.
func (f *followed) signal() {
	select {
	case f.reload <- syscall.SIGHUP:
	default:
	}
}

// stop ends the follower, which must end at once.
func (f *followed) stop(t *testing.T) {
	t.Helper()
	f.cancel()
	began := time.Now()
	<-f.ended
	if time.Since(began) > 0 {
		t.Errorf("it ended only after %v", time.Since(began))
	}
}

func (f *followed) checkApplied(t *testing.T, want ...int64) {
	t.Helper()
	synctest.Wait()
	if !slices.Equal(f.applied, want) {
		t.Errorf("applied: %v, want %v", f.applied, want)
	}
}

// TestFollow: a signal while the read is retried starts over, several end with the newest file, and a load that fails
// keeps what was applied before; the end of the context is heard at any time.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t)
		for range 4 { // each before the time of the one before is up; four are more than the time of one
			f.signal()
			time.Sleep(replaceTimeout / 2)
		}
		f.valid.Store(true)
		time.Sleep(replaceTimeout)
		f.checkApplied(t, 1)
		for n := range int64(8) {
			f.newest.Store(2 + n)
			f.signal()
		}
		synctest.Wait()
		if n := len(f.applied); n == 0 || f.applied[n-1] != 9 {
			t.Errorf("applied: %v", f.applied)
		}
		before := slices.Clone(f.applied)
		f.valid.Store(false)
		f.signal()
		time.Sleep(2 * replaceTimeout) // given up; the next signal is heard
		f.valid.Store(true)
		f.signal()
		f.checkApplied(t, append(before, 9)...)
		f.valid.Store(false)
		f.signal()
		synctest.Wait()
		f.stop(t)
	})
}

// succeedingAttempt is the attempt at which the reads of TestReadWithRetry succeed.
const succeedingAttempt = 3

// retryCase is a read that fails with an error until its third attempt.
type retryCase struct {
	err      error
	attempts int // that are made
}

// TestReadWithRetry: settings that can't be read for a moment are read again; any other error is returned at once.
func TestReadWithRetry(t *testing.T) {
	for _, c := range []retryCase{
		{&os.PathError{Op: "open", Path: "x", Err: syscall.EMFILE}, succeedingAttempt},
		{&os.PathError{Op: "read", Path: "x", Err: syscall.EIO}, succeedingAttempt},
		{usageError{os.ErrNotExist}, 1},
		{&settings.Error{}, 1},
		{errors.New("its checksum is wrong"), 1},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			synctest.Test(t, c.check)
		})
	}
}

func (c retryCase) check(t *testing.T) {
	attempts := 0
	_, err := readWithRetry(zerolog.Nop(), "x", func(string) (int, error) {
		if attempts++; attempts == succeedingAttempt {
			return 0, nil
		}
		return 0, c.err
	})
	if attempts != c.attempts || (err == nil) != (c.attempts == succeedingAttempt) {
		t.Errorf("%v after %d attempts", err, attempts)
	}
}
