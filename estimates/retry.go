package estimates

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"slices"
	"syscall"
	"time"
)

// maxLockedAttempts is the number of attempts after which a write continues without the lock. The holder of the lock
// may be another program, or a writer that the kernel does not let end. Limitation: if the holder is a live writer, it
// may remove the temporary file. The rename then fails, and the write is retried.
const maxLockedAttempts = 8

// writeBackoff defines the waits between the attempts of a write.
var writeBackoff = Backoff{Initial: 50 * time.Millisecond, Max: time.Second}

// Backoff defines the waits between attempts: Initial after the first failed attempt, then twice the previous wait, up
// to Max.
type Backoff struct{ Initial, Max time.Duration }

// Wait returns the wait after the given number of failed attempts.
func (b Backoff) Wait(failed int) time.Duration {
	wait := b.Initial
	for ; failed > 1 && wait < b.Max; failed-- {
		wait *= 2
	}
	return min(wait, b.Max)
}

// WriteWithRetry writes a record as Write does. It retries with an exponential backoff until the write succeeds, the
// context ends or the error is permanent. If the first error is not permanent, it calls onFirstError with it. A system
// call may block past the end of the context: a caller that cannot wait for that calls WriteWithRetry on another
// goroutine.
func (r *Record) WriteWithRetry(ctx context.Context, file string, onFirstError func(error)) error {
	return r.retryWrite(ctx, osFileSystem{}, file, onFirstError)
}

// retryWrite implements WriteWithRetry on a file system.
func (r *Record) retryWrite(ctx context.Context, system fileSystem, file string, onFirstError func(error)) error {
	content, err := r.Encode()
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		err := replaceFile(system, file, content)
		if err == nil || isPermanent(err) {
			return err
		}
		if attempt == 1 {
			onFirstError(err)
		}
		if attempt == maxLockedAttempts && errors.Is(err, errLocked) {
			system = unlockedFileSystem{system}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(writeBackoff.Wait(attempt)):
		}
	}
}

// isPermanent reports whether a retry cannot succeed: a folder is missing or may not be written, or a directory has the
// name of the file. A temporary file that was removed before its rename is no such error.
func isPermanent(err error) bool {
	var renamed *os.LinkError
	if errors.As(err, &renamed) && errors.Is(err, fs.ErrNotExist) {
		return false
	}
	return slices.ContainsFunc(permanentErrors, func(permanent error) bool { return errors.Is(err, permanent) })
}

var permanentErrors = []error{
	fs.ErrNotExist,
	fs.ErrPermission,
	fs.ErrExist,
	syscall.ENOTDIR,
	syscall.EISDIR,
	syscall.EROFS,
	syscall.ENAMETOOLONG,
}
