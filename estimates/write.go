package estimates

import (
	"errors"
	"io/fs"
	"path/filepath"
	"regexp"
	"time"
)

const (
	// temporaryPattern is the pattern of the names of temporary files, for os.CreateTemp.
	temporaryPattern = ".learnt-*.tmp"
	// unlockedWriterAge is the age from which on a temporary file of a version that took no lock has no writer any
	// more.
	unlockedWriterAge = time.Hour
)

var (
	// temporaryName matches the names that os.CreateTemp makes of temporaryPattern.
	temporaryName = regexp.MustCompile(`^\.learnt-[0-9]+\.tmp$`)
	// unlockedTemporaryName matches the names of the temporary files of versions that took no lock.
	unlockedTemporaryName = regexp.MustCompile(`^\.learnt-[0-9]+$`)
)

// errLocked: another writer holds the folder's lock.
var errLocked = errors.New("estimates: another writer holds the folder's lock")

// Write replaces a file completely or leaves it as it was, and removes the temporary files of killed writers. It
// fails at once where another writer is at work in the folder.
func (r *Record) Write(file string) error {
	content, err := r.Encode()
	if err != nil {
		return err
	}
	return replaceFile(osFileSystem{}, file, content)
}

// replaceFile puts a file in the place of another: whatever fails and wherever the process is killed, the old or the new
// file is there, complete, also after a loss of power. After success no temporary file is left. After an error the
// file may be the old or the new one.
func replaceFile(system fileSystem, name string, content []byte) error {
	folder := filepath.Dir(name)
	unlock, err := system.Lock(folder)
	if errors.Is(err, errLocked) {
		return err
	}
	// Without the lock a temporary file may have a writer that is alive: none is removed then.
	locked := err == nil
	if locked {
		defer unlock()
		_ = removeTemporary(system, name) // they may fill the disk; what fails here is retried after the write
	}
	if err := writeAndRename(system, name, content); err != nil {
		return err
	}
	if err := system.SyncFolder(folder); err != nil || !locked {
		return err
	}
	return removeTemporary(system, name)
}

// writeAndRename writes a temporary file and renames it to the name.
func writeAndRename(system fileSystem, name string, content []byte) error {
	f, err := system.Create(filepath.Dir(name), temporaryPattern)
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
		_ = system.Remove(f.Name()) // where that fails too, the next write removes it
	}
	return err
}

// removeTemporary removes the temporary files of killed writers from the folder of a file, but not the file itself.
// Only the holder of the folder's lock may call it: no temporary file has a writer then. Other files are not touched.
func removeTemporary(system fileSystem, name string) error {
	folder, own := filepath.Split(filepath.Clean(name))
	list, err := system.List(filepath.Dir(name))
	for _, entry := range list {
		if entry.Name() == own || !entry.Type().IsRegular() || !isTemporary(entry) {
			continue
		}
		if e := system.Remove(folder + entry.Name()); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return err
}

// isTemporary reports whether a file is a temporary one without a writer, provided that the folder's lock is held.
func isTemporary(entry fs.DirEntry) bool {
	if temporaryName.MatchString(entry.Name()) {
		return true
	}
	if !unlockedTemporaryName.MatchString(entry.Name()) {
		return false
	}
	info, err := entry.Info()
	return err == nil && time.Since(info.ModTime()) > unlockedWriterAge
}
