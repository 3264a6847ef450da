package estimates

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// fileSystem has the calls of the file system that a write uses. Tests replace it to make calls fail.
type fileSystem interface {
	// Lock acquires the lock of a folder without waiting. It returns errLocked if the lock is held. The lock is
	// released when its holder ends, however that happens.
	Lock(folder string) (unlock func(), err error)
	List(folder string) ([]fs.DirEntry, error)
	Create(folder, pattern string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the renames in a folder durable, also across a power failure.
	SyncFolder(folder string) error
}

// file is a file that is being written.
type file interface {
	Name() string
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

// Lock acquires the advisory lock of a folder, which the kernel releases when the process ends.
func (osFileSystem) Lock(folder string) (func(), error) {
	f, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // opened read-only: no data can be lost
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = errLocked
		}
		return nil, err
	}
	return func() { _ = f.Close() }, nil // the lock ends with the descriptor, even if Close fails
}

func (osFileSystem) List(folder string) ([]fs.DirEntry, error) { return os.ReadDir(folder) }

func (osFileSystem) Create(folder, pattern string) (file, error) {
	return os.CreateTemp(folder, pattern)
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncFolder syncs the folder. A folder that may be written but not read cannot be synced, and some file systems cannot
// sync folders. In these cases SyncFolder returns nil, and the rename is as durable as the file system makes it.
func (osFileSystem) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close())
	}
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}

// unlockedFileSystem is a file system without locks.
type unlockedFileSystem struct{ fileSystem }

func (unlockedFileSystem) Lock(string) (func(), error) { return nil, syscall.ENOLCK }
