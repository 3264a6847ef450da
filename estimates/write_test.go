package estimates

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const writerEnv = "LEARNT_TEST_WRITER"

// TestMain writes a file again and again where the environment names one.
func TestMain(m *testing.M) {
	file := os.Getenv(writerEnv)
	if file == "" {
		os.Exit(m.Run())
	}
	for n := 0; ; n++ {
		if err := versions()[n%2].Write(file); err == nil {
			fmt.Println("written")
		} else if !errors.Is(err, errLocked) {
			fmt.Println(err)
			os.Exit(1)
		}
	}
}

// versions are two records of several pages each, so that a part of one is not the whole.
func versions() [2]*Record {
	var list [2]*Record
	for i := range list {
		list[i] = &Record{Unit: 16 << 10, TypicalLatency: float64(i + 1)}
		for n := range 100 {
			list[i].Servers = append(list[i].Servers, Server{fmt.Sprintf("127.0.0.1:%d", 5000+n), time.UnixMilli(1_000_000).UTC(), 0.002, float64(i+1) / 64})
		}
	}
	return list
}

var encoded = sync.OnceValue(func() (list [2][]byte) {
	for i, version := range versions() {
		list[i], _ = version.Encode()
	}
	return list
})

// readVersion reads a file, which must be one of the versions, and returns which.
func readVersion(t *testing.T, file string) int {
	t.Helper()
	b, err := os.ReadFile(file)
	for i, version := range encoded() {
		if bytes.Equal(b, version) {
			return i
		}
	}
	t.Fatalf("the file is neither version whole: %d bytes, %v", len(b), err)
	return -1
}

// otherFiles lists the files in the folder of a file beside it.
func otherFiles(t *testing.T, file string) (names []string) {
	t.Helper()
	list, err := os.ReadDir(filepath.Dir(file))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		if entry.Name() != filepath.Base(file) {
			names = append(names, entry.Name())
		}
	}
	return names
}

// faultSystem is the system's file system with faults. fault returns the error of each call; done: the call is carried out
// all the same, a write by half.
type faultSystem struct {
	disk
	calls []string
	fault func(call string) (err error, done bool)
}

func (f *faultSystem) do(call string, do func() error) error {
	f.calls = append(f.calls, call)
	err, done := f.fault(call)
	if err == nil {
		return do()
	}
	if done {
		do()
	}
	return err
}

func (f *faultSystem) Lock(folder string) (unlock func(), err error) {
	err = f.do("lock", func() (err error) { unlock, err = f.disk.Lock(folder); return err })
	if err != nil && unlock != nil {
		unlock() // as the kernel does for one that was killed
	}
	return unlock, err
}

func (f *faultSystem) List(folder string) (list []fs.DirEntry, err error) {
	err = f.do("list", func() (err error) { list, err = f.disk.List(folder); return err })
	return list, err
}

func (f *faultSystem) Create(folder, pattern string) (made file, err error) {
	err = f.do("create", func() (err error) { made, err = f.disk.Create(folder, pattern); return err })
	return faultFile{made, f}, err
}

func (f *faultSystem) Rename(from, to string) error {
	return f.do("rename", func() error { return f.disk.Rename(from, to) })
}

func (f *faultSystem) Remove(name string) error {
	return f.do("remove", func() error { return f.disk.Remove(name) })
}

func (f *faultSystem) SyncFolder(folder string) error {
	return f.do("sync folder", func() error { return nil }) // no power is cut here, and the tests are sooner done
}

type faultFile struct {
	file
	system *faultSystem
}

func (f faultFile) Write(b []byte) (int, error) {
	f.system.calls = append(f.system.calls, "write")
	if err, done := f.system.fault("write"); err != nil {
		n := 0
		if done {
			n, _ = f.file.Write(b[:len(b)/2])
		}
		return n, err
	}
	return f.file.Write(b)
}

func (f faultFile) Sync() error { return f.system.do("sync", func() error { return nil }) }

func (f faultFile) Close() error { return f.system.do("close", f.file.Close) }

// folder makes a folder with the first version, temporary files of killed writers, and others.
func folder(t *testing.T) (name string, others []string) {
	t.Helper()
	dir := t.TempDir()
	name = filepath.Join(dir, "learnt")
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	others = []string{".learnt-77", ".learnt-backup", "x.learnt-1.tmp"} // .learnt-77 may have a writer that takes no lock
	for _, other := range append([]string{".learnt-5.tmp", ".learnt-6"}, others...) {
		if err := os.WriteFile(filepath.Join(dir, other), []byte(magic), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Chtimes(filepath.Join(dir, ".learnt-6"), time.Time{}, time.Now().Add(-2*unlockedWriterAge)); err != nil {
		t.Fatal(err)
	}
	return name, others
}

// withoutWaits makes the waits between attempts as short as can be.
func withoutWaits(t *testing.T) {
	t.Helper()
	before := writeBackoff
	writeBackoff = Backoff{Initial: time.Microsecond, Max: time.Microsecond}
	t.Cleanup(func() { writeBackoff = before })
}

// TestFaults has each call fail in each way, once and in runs, before and after it was carried out: at every call the
// file is the old or the new one as a whole; in the end it is the new one, alone but for what is no temporary file.
func TestFaults(t *testing.T) {
	withoutWaits(t)
	for _, call := range []string{"lock", "list", "create", "write", "sync", "close", "rename", "remove", "sync folder"} {
		kinds := []error{syscall.ENOSPC, syscall.EIO, syscall.EMFILE}
		if call == "lock" {
			kinds = []error{errLocked}
		}
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			for _, kind := range kinds {
				for _, run := range []int{1, 2, 7} {
					for _, done := range []bool{false, true} {
						name, others := folder(t)
						left, reported := run, 0
						system := &faultSystem{fault: func(at string) (error, bool) {
							readVersion(t, name)
							if at != call || left == 0 {
								return nil, false
							}
							left--
							return kind, done
						}}
						err := versions()[1].retryWrite(t.Context(), system, name, func(error) { reported++ })
						if err != nil || left != 0 && (call != "remove" || !done) || reported > 1 || reported == 0 && call != "list" && call != "remove" {
							t.Errorf("%s fails with %v, %d times, done %v: %v, %d not met, reported %d times", call, kind, run, done, err, left, reported)
						}
						if n, names := readVersion(t, name), otherFiles(t, name); n != 1 || !slices.Equal(names, others) {
							t.Errorf("%s fails with %v, %d times, done %v: version %d, beside it %v", call, kind, run, done, n, names)
						}
					}
				}
			}
		})
	}
}

// TestKilledBetween ends a writer before each call of a write, and half through it: the file is whole, and the next
// write leaves nothing of it.
func TestKilledBetween(t *testing.T) {
	killed := errors.New("killed")
	seen := [2]int{}
	for last := 0; ; last++ {
		for _, done := range []bool{false, true} {
			name, others := folder(t)
			n := 0
			system := &faultSystem{fault: func(string) (error, bool) {
				if n++; n <= last {
					return nil, false
				}
				return killed, done && n == last+1
			}}
			if err := replace(system, name, nil); last == 0 && err == nil {
				t.Fatal("no call at all")
			}
			if n <= last { // it was not killed
				if seen[0] == 0 || seen[1] == 0 {
					t.Errorf("killed with the old file %d times, with the new one %d", seen[0], seen[1])
				}
				return
			}
			if b, err := os.ReadFile(name); err != nil || len(b) > 0 {
				readVersion(t, name)
				seen[0]++
			} else {
				seen[1]++ // the new one is empty here
			}
			if err := versions()[1].Write(name); err != nil {
				t.Fatal(err)
			}
			if n, names := readVersion(t, name), otherFiles(t, name); n != 1 || !slices.Equal(names, others) {
				t.Errorf("killed at call %d, done %v: version %d, beside it %v", last, done, n, names)
			}
		}
	}
}

// TestOrder checks the order of the calls: the content is synced before it takes the file's place, the folder after.
func TestOrder(t *testing.T) {
	system := &faultSystem{fault: func(string) (error, bool) { return nil, false }}
	if err := replace(system, filepath.Join(t.TempDir(), "learnt"), []byte(magic)); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Join(system.calls, ", "), "lock, list, create, write, sync, close, rename, sync folder, list"; got != want {
		t.Errorf("%s; want %s", got, want)
	}
}

// TestPermanentError checks that an error that waiting does not mend ends the attempts at once, any other one with the
// context.
func TestPermanentError(t *testing.T) {
	withoutWaits(t)
	name, _ := folder(t)
	taken := filepath.Join(filepath.Dir(name), "directory")
	if err := os.MkdirAll(filepath.Join(taken, "inside"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{filepath.Join(name, "learnt"), filepath.Join(taken, "missing", "learnt"), taken} {
		reported := 0
		if err := record().WriteWithRetry(context.Background(), bad, func(error) { reported++ }); err == nil || reported > 0 {
			t.Errorf("%s: %v, reported %d times", bad, err, reported)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	tried, reported := 0, 0
	system := &faultSystem{fault: func(call string) (error, bool) {
		if call == "create" {
			if tried++; tried == 9 {
				cancel()
			}
			return syscall.ENOSPC, false
		}
		return nil, false
	}}
	if err := record().retryWrite(ctx, system, name, func(error) { reported++ }); !errors.Is(err, syscall.ENOSPC) || tried < 9 || reported != 1 {
		t.Errorf("%v after %d attempts, reported %d times", err, tried, reported)
	}
	readVersion(t, name)
}

// TestConcurrentWriter checks that a temporary file stays while another writer may hold the lock, or without locks.
func TestConcurrentWriter(t *testing.T) {
	name, others := folder(t)
	all := otherFiles(t, name)
	unlock, err := disk{}.Lock(filepath.Dir(name))
	if err != nil {
		t.Fatal(err)
	}
	if err := versions()[1].Write(name); !errors.Is(err, errLocked) || readVersion(t, name) != 0 || !slices.Equal(otherFiles(t, name), all) {
		t.Errorf("beside another writer: %v, %v", err, otherFiles(t, name))
	}
	withoutWaits(t)
	if err := versions()[1].WriteWithRetry(t.Context(), name, func(error) {}); err != nil || readVersion(t, name) != 1 || !slices.Equal(otherFiles(t, name), all) {
		t.Errorf("beside a writer that never ends: %v, %v", err, otherFiles(t, name))
	}
	unlock()
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	system := &faultSystem{fault: func(call string) (error, bool) {
		if call == "lock" {
			return syscall.ENOLCK, false
		}
		return nil, false
	}}
	if err := versions()[1].retryWrite(t.Context(), system, name, nil); err != nil || readVersion(t, name) != 1 || !slices.Equal(otherFiles(t, name), all) {
		t.Errorf("without locks: %v, %v", err, otherFiles(t, name))
	}
	if err := versions()[0].Write(name); err != nil || readVersion(t, name) != 0 || !slices.Equal(otherFiles(t, name), others) {
		t.Errorf("alone: %v, %v", err, otherFiles(t, name))
	}
	// A file that is named as a temporary one is not removed as one.
	own := filepath.Join(t.TempDir(), ".learnt-9.tmp")
	for n := range 2 {
		if err := versions()[n].Write(own); err != nil || readVersion(t, own) != n {
			t.Errorf("%s: %v", own, err)
		}
	}
}

func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 50 * time.Millisecond, Max: time.Second}
	for failed, want := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 5: 800, 6: 1000, 1 << 40: 1000} {
		if got := b.Wait(failed); got != want*time.Millisecond {
			t.Errorf("after %d: %v, want %v ms", failed, got, int(want))
		}
	}
}

// TestKill kills writers that are processes, two at a time, at any moment: the file is whole each time, and a write
// after them leaves nothing of theirs.
func TestKill(t *testing.T) {
	const rounds = 15
	name := filepath.Join(t.TempDir(), "learnt")
	if err := versions()[0].Write(name); err != nil {
		t.Fatal(err)
	}
	random, interrupted := rand.New(rand.NewSource(1)), 0
	for range rounds {
		var writers [2]*exec.Cmd
		for i := range writers {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), writerEnv+"="+name)
			out, err := c.StdoutPipe()
			if err == nil {
				err = c.Start()
			}
			if err != nil {
				t.Fatal(err)
			}
			defer c.Process.Kill()
			if output := make([]byte, 7); i == 0 {
				if n, _ := out.Read(output); string(output[:n]) != "written" {
					t.Errorf("a writer prints %q", output[:n])
				}
			}
			go func() {
				b := make([]byte, 4096)
				for n, err := out.Read(b); err == nil; n, err = out.Read(b) {
					if printed := strings.Trim(strings.ReplaceAll(string(b[:n]), "written", ""), "\n"); printed != "" && !strings.HasPrefix("written", printed) && !strings.HasSuffix("written", printed) {
						t.Errorf("a writer fails: %s", printed)
					}
				}
			}()
			writers[i] = c
		}
		time.Sleep(time.Duration(random.Int63n(int64(8 * time.Millisecond))))
		for _, c := range writers {
			c.Process.Kill()
		}
		for _, c := range writers {
			if c.Wait(); c.ProcessState.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Errorf("a writer ended by itself: %v", c.ProcessState)
			}
		}
		readVersion(t, name)
		if left := otherFiles(t, name); len(left) > 0 {
			interrupted++
		}
	}
	t.Logf("%d of %d rounds left a temporary file", interrupted, rounds)
	if err := versions()[1].Write(name); err != nil {
		t.Fatal(err)
	}
	if left := otherFiles(t, name); readVersion(t, name) != 1 || len(left) > 0 {
		t.Errorf("left: %v", left)
	}
}
