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

// maxLockedAttempts is the number of attempts after which a write goes on without the lock. Its holder may be another
// program, or a writer that the system doesn't let go. It could harm where the holder is a writer that is alive and
// removes the temporary file: the rename fails then, and the write is retried.
const maxLockedAttempts = 8

// writeBackoff has the waits between the attempts of a write.
var writeBackoff = Backoff{Initial: 50 * time.Millisecond, Max: time.Second}

// Backoff has the waits between attempts: Initial after the first that failed, then twice as long each, up to Max.
type Backoff struct{ Initial, Max time.Duration }

// Wait returns the wait after so many attempts have failed.
func (b Backoff) Wait(failed int) time.Duration {
	wait := b.Initial
	for ; failed > 1 && wait < b.Max; failed-- {
		wait *= 2
	}
	return min(wait, b.Max)
}

// WriteWithRetry writes a record as Write does, and again with growing waits until it has succeeded, the context is
// over, or the error is one that waiting does not mend. failed is called with the first error only. A call of the
// system may block past the context's end: a caller that can't wait for that runs it on a goroutine.
func (r *Record) WriteWithRetry(ctx context.Context, file string, failed func(error)) error {
	return r.retryWrite(ctx, osFileSystem{}, file, failed)
}

// retryWrite is WriteWithRetry on a file system.
func (r *Record) retryWrite(ctx context.Context, system fileSystem, file string, failed func(error)) error {
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
			failed(err)
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

// isPermanent reports whether an error is one that waiting does not mend: a folder that is missing or may not be
// written, a directory in the place of the file. A temporary file that was removed before it was renamed is not.
func isPermanent(err error) bool {
	var renamed *os.LinkError
	if errors.As(err, &renamed) && errors.Is(err, fs.ErrNotExist) {
		return false
	}
	return slices.ContainsFunc(permanentErrors, func(kind error) bool { return errors.Is(err, kind) })
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
