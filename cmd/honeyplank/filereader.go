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

// Limits of the retries of a read. Times are counted from the first attempt.
const (
	readTimeout     = 3 * time.Second        // if the system can't read the file
	replaceTimeout  = 500 * time.Millisecond // if the content is wrong, since it may be partly written
	minReadAttempts = 5                      // made even if a process pause takes longer than the times above
)

var readBackoff = estimates.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// fileReader reads a file and retries errors that may be temporary.
type fileReader[T any] struct {
	read func() (T, error)
	// retryFor returns the time after the first attempt during which an error is retried. 0 means that the error is not
	// retried.
	retryFor func(error) time.Duration
	log      zerolog.Logger
}

// load reads until an attempt succeeds, the retries of the error are used up, or ctx is done. A signal on reload starts
// the retries over, since the attempts so far may have read the file before the change that the signal announces.
func (r fileReader[T]) load(ctx context.Context, reload <-chan os.Signal) (T, error) {
	started, failed := time.Now(), 0
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
		if timeout == 0 || failed >= minReadAttempts && time.Since(started)+wait > timeout {
			return content, err
		}
		select {
		case <-ctx.Done():
			return content, ctx.Err()
		case <-reload:
			started, failed = time.Now(), 0
		case <-time.After(wait):
		}
	}
}

// follow loads the file at each signal on reload and passes the content to apply, until ctx is done. If a load fails,
// it doesn't call apply, and the previous content stays in use.
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

// readWithRetry reads a file. It retries temporary system errors and returns any other error at once.
func readWithRetry[T any](log zerolog.Logger, file string, read func(string) (T, error)) (T, error) {
	r := fileReader[T]{func() (T, error) { return read(file) }, retrySystemError, log}
	return r.load(context.Background(), nil)
}

// retrySystemError returns the time for which an error is retried: readTimeout for system errors that may be temporary,
// and 0 for all others.
func retrySystemError(err error) time.Duration {
	for _, kind := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, kind) {
			return readTimeout
		}
	}
	return 0
}

// retryConfigError returns the time for which an error of a scheduler's configuration is retried. An error with a line
// is in the content, which may be partly written. An error without a line means that the file could not be read.
func retryConfigError(err error) time.Duration {
	var configError *scheduler.ConfigError
	if errors.As(err, &configError) && configError.Line > 0 {
		return replaceTimeout
	}
	return readTimeout
}
