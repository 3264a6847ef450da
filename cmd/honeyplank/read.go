package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/estimates"
	"honeyplank/scheduler"
)

// How long reading is tried again, from the first attempt on, and how soon.
const (
	readWithin    = 3 * time.Second        // while the system can't read the file
	replaceWithin = 500 * time.Millisecond // while its content is wrong: it may be half written
	leastReads    = 5                      // also where the process was held up in between
)

var reading = estimates.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// reader reads a file, again where that fails for a moment.
type reader[T any] struct {
	read func() (T, error)
	// within tells how long after the first attempt an error is still taken for one that passes; 0: it lasts.
	within func(error) time.Duration
	log    zerolog.Logger
}

// load reads until it has worked, the last error lasts, or the context is over. A signal on anew starts over: what has
// been read since may be older than what the signal tells of.
func (r reader[T]) load(ctx context.Context, anew <-chan os.Signal) (T, error) {
	began, failed := time.Now(), 0
	for {
		what, err := r.read()
		if err == nil {
			if failed > 0 {
				r.log.Info().Int("attempts", failed+1).Msg("read after it had failed")
			}
			return what, nil
		}
		failed++
		wait := reading.Wait(failed)
		within := r.within(err)
		if within == 0 || failed >= leastReads && time.Since(began)+wait > within {
			return what, err
		}
		select {
		case <-ctx.Done():
			return what, ctx.Err()
		case <-anew:
			began, failed = time.Now(), 0
		case <-time.After(wait):
		}
	}
}

// follow loads the file at each signal on anew and hands it to take, until the context is over. Where that fails, what
// was taken before stays.
func (r reader[T]) follow(ctx context.Context, anew <-chan os.Signal, take func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-anew:
		}
		what, err := r.load(ctx, anew)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			r.log.Error().Err(err).Msg("the configuration stays as it was")
		default:
			take(what)
		}
	}
}

// patiently reads a file, again where the system can't read it for a moment. Any other error is told at once.
func patiently[T any](log zerolog.Logger, file string, read func(string) (T, error)) (T, error) {
	r := reader[T]{func() (T, error) { return read(file) }, momentary, log}
	return r.load(context.Background(), nil)
}

// momentary gives the system's errors that pass readWithin.
func momentary(err error) time.Duration {
	for _, kind := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, kind) {
			return readWithin
		}
	}
	return 0
}

// unread tells a file that could not be read, line 0, from one with a wrong content, which may be half written.
func unread(err error) time.Duration {
	var fault *scheduler.ConfigError
	if errors.As(err, &fault) && fault.Line > 0 {
		return replaceWithin
	}
	return readWithin
}

// errEnded tells that a signal to end came first.
var errEnded = errors.New("ended before it served")

// before does what may take a while, unless a signal to end comes first. What it had begun ends with the process then.
func before[T any](end <-chan os.Signal, do func() (T, error)) (T, error) {
	type result struct {
		what T
		err  error
	}
	done := make(chan result, 1)
	go func() {
		what, err := do()
		done <- result{what, err}
	}()
	select {
	case r := <-done:
		return r.what, r.err
	case <-end:
		var none T
		return none, errEnded
	}
}
