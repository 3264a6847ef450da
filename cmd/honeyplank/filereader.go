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

// How long a read is retried, from the first attempt on.
const (
	readTimeout     = 3 * time.Second        // while the system can't read the file
	replaceTimeout  = 500 * time.Millisecond // while its content is wrong: it may be half written
	minReadAttempts = 5                      // even if the process was suspended in between
)

var readBackoff = estimates.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// fileReader reads a file and retries where that fails for a moment.
type fileReader[T any] struct {
	read func() (T, error)
	// retryFor is how long after the first attempt an error is retried; 0: not at all.
	retryFor func(error) time.Duration
	log      zerolog.Logger
}

// load reads until an attempt succeeds, the error is not to be retried any more, or ctx is done. A signal on reload
// starts over: what has been read since may be older than the change that the signal stands for.
func (r fileReader[T]) load(ctx context.Context, reload <-chan os.Signal) (T, error) {
	began, failed := time.Now(), 0
	for {
		content, err := r.read()
		if err == nil {
			if failed > 0 {
				r.log.Info().Int("attempts", failed+1).Msg("file read after retries")
			}
			return content, nil
		}
		failed++
		wait := readBackoff.Wait(failed)
		timeout := r.retryFor(err)
		if timeout == 0 || failed >= minReadAttempts && time.Since(began)+wait > timeout {
			return content, err
		}
		select {
		case <-ctx.Done():
			return content, ctx.Err()
		case <-reload:
			began, failed = time.Now(), 0
		case <-time.After(wait):
		}
	}
}

// follow loads the file at each signal on reload and passes it to apply, until ctx is done. If a load fails, what was
// applied before stays.
func (r fileReader[T]) follow(ctx context.Context, reload <-chan os.Signal, apply func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		content, err := r.load(ctx, reload)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			r.log.Error().Err(err).Msg("configuration not reloaded")
		default:
			apply(content)
		}
	}
}

// readWithRetry reads a file and retries while the system can't read it. Any other error is returned at once.
func readWithRetry[T any](log zerolog.Logger, file string, read func(string) (T, error)) (T, error) {
	r := fileReader[T]{func() (T, error) { return read(file) }, retrySystemError, log}
	return r.load(context.Background(), nil)
}

// retrySystemError is how long an error is retried that the system gives for a moment.
func retrySystemError(err error) time.Duration {
	for _, kind := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, kind) {
			return readTimeout
		}
	}
	return 0
}

// retryConfigError is how long an error of a scheduler's configuration is retried. Content that is wrong may be half
// written; without a line the file could not be read.
func retryConfigError(err error) time.Duration {
	var fault *scheduler.ConfigError
	if errors.As(err, &fault) && fault.Line > 0 {
		return replaceTimeout
	}
	return readTimeout
}
