package estimates

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// fileSystem is what a write asks of the system. A folder's lock is free again once its holder has ended, however it did.
type fileSystem interface {
	Lock(folder string) (unlock func(), err error)
	List(folder string) ([]fs.DirEntry, error)
	Create(folder, pattern string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder(folder string) error
}

type file interface {
	Name() string
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

const temporary = ".learnt-*.tmp"

var (
	ours = regexp.MustCompile(`^\.learnt-[0-9]+\.tmp$`)
	// formerly is what versions that took no lock named theirs: one that is this old has no writer any more.
	formerly    = regexp.MustCompile(`^\.learnt-[0-9]+$`)
	formerlyAge = time.Hour
)

// errLocked tells that another writer is at work in the folder.
var errLocked = errors.New("learnt: another writer holds the folder's lock")

// patience is how many attempts a write leaves to who holds the lock. That may be a program that knows nothing of it, or
// a writer that the system doesn't let go; the write is carried out without the lock then. It could harm where the holder
// is a living writer that removes the temporary file: the rename fails, and the write is tried again.
const patience = 8

// unlocked is a file system without locks.
type unlocked struct{ fileSystem }

func (unlocked) Lock(string) (func(), error) { return nil, syscall.ENOLCK }

// replace puts a file in the place of another: whatever fails and wherever the process is killed, the former or the new
// one is there as a whole, also after a loss of power. Once it has succeeded, no temporary file is left. After an error
// the file may be the former or the new one.
func replace(system fileSystem, name string, content []byte) error {
	folder := filepath.Dir(name)
	unlock, err := system.Lock(folder)
	if errors.Is(err, errLocked) {
		return err
	}
	// Where there is no lock, a temporary file may have a living writer: all are left alone then.
	locked := err == nil
	if locked {
		defer unlock()
		sweep(system, name) // before, as they may fill the disk; what fails here is tried again after
	}
	if err := create(system, name, content); err != nil {
		return err
	}
	if err := system.SyncFolder(folder); err != nil || !locked {
		return err
	}
	return sweep(system, name)
}

// create writes a temporary file and renames it.
func create(system fileSystem, name string, content []byte) error {
	f, err := system.Create(filepath.Dir(name), temporary)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = system.Rename(f.Name(), name)
	}
	if err != nil {
		system.Remove(f.Name()) // where that fails too, the next write removes it
	}
	return err
}

// sweep removes the temporary files of killed writers from a file's folder. It is for the holder of the folder's lock:
// any that are there have no writer. What else is in the folder, it does not touch.
func sweep(system fileSystem, name string) error {
	folder, kept := filepath.Split(filepath.Clean(name))
	list, err := system.List(filepath.Dir(name))
	for _, entry := range list {
		if entry.Name() == kept || !entry.Type().IsRegular() || !ours.MatchString(entry.Name()) && !abandoned(entry) {
			continue
		}
		if e := system.Remove(folder + entry.Name()); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return err
}

// abandoned tells whether a file is a temporary one of a version that took no lock, and too old to have a writer.
func abandoned(entry fs.DirEntry) bool {
	if !formerly.MatchString(entry.Name()) {
		return false
	}
	info, err := entry.Info()
	return err == nil && time.Since(info.ModTime()) > formerlyAge
}

// Backoff is how long to wait between attempts: First after the first that failed, then twice as long each, up to Most.
type Backoff struct{ Initial, Max time.Duration }

// Wait is how long to wait after so many attempts have failed.
func (b Backoff) Wait(failed int) time.Duration {
	wait := b.Initial
	for ; failed > 1 && wait < b.Max; failed-- {
		wait *= 2
	}
	return min(wait, b.Max)
}

// writing is how soon a write that failed is tried again.
var writing = Backoff{Initial: 50 * time.Millisecond, Max: time.Second}

// Keep writes a record as Write does, and again with growing waits until it has worked, the context is over, or the
// error is one that lasts. failed hears of the first failure only. It may stay longer than its context where the system
// does: who can't wait for that runs it on a goroutine.
func (r *Record) WriteWithRetry(ctx context.Context, file string, failed func(error)) error {
	return r.keep(ctx, disk{}, file, failed)
}

func (r *Record) keep(ctx context.Context, system fileSystem, file string, failed func(error)) error {
	content, err := r.Encode()
	if err != nil {
		return err
	}
	for n := 1; ; n++ {
		err := replace(system, file, content)
		if err == nil || lasts(err) {
			return err
		}
		if n == 1 {
			failed(err)
		}
		if n == patience && errors.Is(err, errLocked) {
			system = unlocked{system}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(writing.Wait(n)):
		}
	}
}

// lasts tells errors that no wait mends: a folder that is missing or not to be written, a directory in the file's place.
// A temporary file that was gone when it was to be renamed is none.
func lasts(err error) bool {
	var renamed *os.LinkError
	if errors.As(err, &renamed) && errors.Is(err, fs.ErrNotExist) {
		return false
	}
	for _, kind := range []error{fs.ErrNotExist, fs.ErrPermission, fs.ErrExist, syscall.ENOTDIR, syscall.EISDIR, syscall.EROFS, syscall.ENAMETOOLONG} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}

// disk is the system's own file system.
type disk struct{}

// Lock takes the advisory lock of a folder, and does not wait for it. The kernel gives it back when a process ends.
func (disk) Lock(folder string) (func(), error) {
	f, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = errLocked
		}
		return nil, err
	}
	return func() { f.Close() }, nil
}

func (disk) List(folder string) ([]fs.DirEntry, error) { return os.ReadDir(folder) }

func (disk) Create(folder, pattern string) (file, error) { return os.CreateTemp(folder, pattern) }

func (disk) Rename(from, to string) error { return os.Rename(from, to) }

func (disk) Remove(name string) error { return os.Remove(name) }

// SyncFolder makes a rename last through a loss of power. A folder that may be written but not read, and a file system
// that syncs no folders, have no such call: the rename stands as it does there.
func (disk) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close())
	}
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}
