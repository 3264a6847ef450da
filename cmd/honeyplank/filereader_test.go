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
	errUnreadable = &scheduler.ConfigError{
		File: "config.json", Problem: "open config.json: too many open files",
		Expected: "the configuration that the platform writes",
	}
)

// fileContent is the content that a successful read returns.
const fileContent = 7

// failingReader returns a reader that fails the given number of times and then returns fileContent.
func failingReader(err error, failures int) fileReader[int] {
	read := func() (int, error) {
		if failures > 0 {
			failures--
			return 0, err
		}
		return fileContent, nil
	}
	return fileReader[int]{read, retryConfigError, zerolog.Nop()}
}

// loadCase is a load whose first reads fail with an error.
type loadCase struct {
	err         error
	failures    int
	minDuration time.Duration // of the load; the maximum is one wait longer
	succeeds    bool
}

// TestLoad checks that load retries until a temporary error has ended, and that it returns a permanent error unchanged
// and in bounded time.
func TestLoad(t *testing.T) {
	const always = 1 << 30
	for _, c := range []loadCase{
		{nil, 0, 0, true},
		{errUnreadable, 1, 20 * time.Millisecond, true},
		{errUnreadable, 6, 1100 * time.Millisecond, true},
		{errUnreadable, always, readTimeout - readBackoff.Max, false},
		{syscall.EIO, 3, 140 * time.Millisecond, true},
		{errContent, 4, 300 * time.Millisecond, true},
		{errContent, always, 300 * time.Millisecond, false},
	} {
		t.Run(fmt.Sprintf("%v, %d times", c.err, c.failures), func(t *testing.T) {
			synctest.Test(t, c.check)
		})
	}
}

func (c loadCase) check(t *testing.T) {
	started := time.Now()
	got, err := failingReader(c.err, c.failures).load(t.Context(), nil)
	if took := time.Since(started); took < c.minDuration || took > c.minDuration+readBackoff.Max {
		t.Errorf("unexpected duration of load: %v", took)
	}
	wantErr := c.err
	if c.succeeds {
		wantErr = nil
	}
	if (got == fileContent) != c.succeeds || err != wantErr {
		t.Errorf("load returned %d, error %v", got, err)
	}
}

// followedFile is a file whose content changes and may be invalid, and the follow call that reads it.
type followedFile struct {
	reload  chan os.Signal
	valid   atomic.Bool
	newest  atomic.Int64
	applied []int64
	cancel  context.CancelFunc
	ended   chan struct{}
}

func follow(t *testing.T) *followedFile {
	t.Helper()
	f := &followedFile{reload: make(chan os.Signal, 1), ended: make(chan struct{})}
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

func (f *followedFile) read() (int64, error) {
	if !f.valid.Load() {
		return 0, errContent
	}
	return f.newest.Load(), nil
}

// signal sends a signal on the channel. Like signal.Notify, it drops the signal if one is pending.
func (f *followedFile) signal() {
	select {
	case f.reload <- syscall.SIGHUP:
	default:
	}
}

// stop cancels follow, which must return at once.
func (f *followedFile) stop(t *testing.T) {
	t.Helper()
	f.cancel()
	started := time.Now()
	<-f.ended
	if time.Since(started) > 0 {
		t.Errorf("follow returned %v after it was cancelled, want at once", time.Since(started))
	}
}

func (f *followedFile) checkApplied(t *testing.T, want ...int64) {
	t.Helper()
	synctest.Wait()
	if !slices.Equal(f.applied, want) {
		t.Errorf("applied contents %v, want %v", f.applied, want)
	}
}

// TestFollow checks that a signal during retries starts them over, that the newest content is applied after several
// signals, that a failed load applies nothing, and that follow returns as soon as its context is cancelled.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t)
		for range 4 { // each arrives before the retries of the previous one end; together they exceed replaceTimeout
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
			t.Errorf("applied contents %v, want 9 last", f.applied)
		}
		before := slices.Clone(f.applied)
		f.valid.Store(false)
		f.signal()
		time.Sleep(2 * replaceTimeout) // the retries end; the next signal starts a new load
		f.valid.Store(true)
		f.signal()
		f.checkApplied(t, append(before, 9)...)
		f.valid.Store(false)
		f.signal()
		synctest.Wait()
		f.stop(t)
	})
}

// succeedingAttempt is the number of the attempt at which the reads of TestReadWithRetry succeed.
const succeedingAttempt = 3

// retryCase is a read that fails with an error before succeedingAttempt.
type retryCase struct {
	err      error
	attempts int // expected number
}

// TestReadWithRetry checks that temporary system errors are retried and that any other error is returned at once.
func TestReadWithRetry(t *testing.T) {
	for _, c := range []retryCase{
		{&os.PathError{Op: "open", Path: "x", Err: syscall.EMFILE}, succeedingAttempt},
		{&os.PathError{Op: "read", Path: "x", Err: syscall.EIO}, succeedingAttempt},
		{usageError{os.ErrNotExist}, 1},
		{&settings.Error{}, 1},
		{errors.New("wrong checksum"), 1},
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
		t.Errorf("unexpected error %v after %d attempts", err, attempts)
	}
}
