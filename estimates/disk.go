package estimates

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// fileSystem is what a write needs of the system. Tests replace it to have calls fail.
type fileSystem interface {
	// Lock takes the lock of a folder without waiting: errLocked where it is held. The lock is free again once its
	// holder has ended, however it did.
	Lock(folder string) (unlock func(), err error)
	List(folder string) ([]fs.DirEntry, error)
	Create(folder, pattern string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the renames in a folder last through a loss of power.
	SyncFolder(folder string) error
}

// file is a file that is being written.
type file interface {
	Name() string
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// osFileSystem is the system's own file system.
type osFileSystem struct{}

// Lock takes the advisory lock of a folder, which the kernel releases when the process ends.
func (osFileSystem) Lock(folder string) (func(), error) {
	f, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // opened for reading only: nothing is lost
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = errLocked
		}
		return nil, err
	}
	return func() { _ = f.Close() }, nil // the lock ends with the descriptor, also where Close fails
}

func (osFileSystem) List(folder string) ([]fs.DirEntry, error) { return os.ReadDir(folder) }

func (osFileSystem) Create(folder, pattern string) (file, error) {
	return os.CreateTemp(folder, pattern)
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncFolder syncs the folder. One that may be written but not read, and a file system that syncs no folders, have no
// such call: the rename is as durable as it is there.
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
