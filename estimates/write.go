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
	// unlockedWriterAge is the age above which a temporary file of a version without locking counts as having no
	// writer.
	unlockedWriterAge = time.Hour
)

var (
	// temporaryName matches the names that os.CreateTemp makes of temporaryPattern.
	temporaryName = regexp.MustCompile(`^\.learnt-[0-9]+\.tmp$`)
	// unlockedTemporaryName matches the names of the temporary files of versions without locking.
	unlockedTemporaryName = regexp.MustCompile(`^\.learnt-[0-9]+$`)
)

// errLocked is the error of a write while another writer holds the folder's lock.
var errLocked = errors.New("estimates: another writer holds the folder's lock")

// Write replaces a file completely or leaves it unchanged, and removes the temporary files of killed writers. It fails
// at once if another writer holds the lock of the folder.
func (r *Record) Write(file string) error {
	content, err := r.Encode()
	if err != nil {
		return err
	}
	return replaceFile(osFileSystem{}, file, content)
}

// replaceFile replaces a file atomically. If a call fails, the process is killed or the power fails, the file is still
// complete, with either the old or the new content. After success no temporary file is left. After an error the content
// may be the old or the new one.
func replaceFile(system fileSystem, name string, content []byte) error {
	folder := filepath.Dir(name)
	unlock, err := system.Lock(folder)
	if errors.Is(err, errLocked) {
		return err
	}
	// Without the lock, a temporary file may have a live writer, so none is removed.
	locked := err == nil
	if locked {
		defer unlock()
		_ = removeTemporary(system, name) // they may fill the disk; the call after the write retries failures
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
		_ = system.Remove(f.Name()) // if that fails too, the next write removes it
	}
	return err
}

// removeTemporary removes the temporary files of killed writers from the folder of a file, but not the file itself.
// Only the holder of the folder's lock may call it, since no temporary file has a writer then. It does not change other
// files.
func removeTemporary(system fileSystem, name string) error {
	folder, baseName := filepath.Split(filepath.Clean(name))
	list, err := system.List(filepath.Dir(name))
	for _, entry := range list {
		if entry.Name() == baseName || !entry.Type().IsRegular() || !isTemporary(entry) {
			continue
		}
		if e := system.Remove(folder + entry.Name()); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return err
}

// isTemporary reports whether a file is a temporary one without a writer. The caller must hold the folder's lock.
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
