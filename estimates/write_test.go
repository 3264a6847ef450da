package estimates

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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

const writerEnv = "ESTIMATES_TEST_WRITER"

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

// versions are two records of several pages each, so that a part of one is not valid.
func versions() [2]*Record {
	var list [2]*Record
	for i := range list {
		list[i] = &Record{Unit: 16 << 10, TypicalLatency: float64(i + 1)}
		for n := range 100 {
			list[i].Servers = append(list[i].Servers, Server{
				ID:          fmt.Sprintf("127.0.0.1:%d", 5000+n),
				At:          time.UnixMilli(1_000_000).UTC(),
				BestPerUnit: 0.002,
				Latency:     float64(i+1) / 64,
			})
		}
	}
	return list
}

var encoded = sync.OnceValue(func() (list [2][]byte) {
	for i, version := range versions() {
		b, err := version.Encode()
		if err != nil {
			panic(err)
		}
		list[i] = b
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
	t.Fatalf("the file is neither complete version: %d bytes, %v", len(b), err)
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

// faultyFileSystem is the system's file system with faults. fault returns the error of each call; done: the call is
// carried out all the same, a write by half.
type faultyFileSystem struct {
	osFileSystem
	calls []string
	fault func(call string) (err error, done bool)
}

func (f *faultyFileSystem) do(call string, do func() error) error {
	f.calls = append(f.calls, call)
	err, done := f.fault(call)
	if err == nil {
		return do()
	}
	if done {
		_ = do() // the call reports its fault, whatever else happened
	}
	return err
}

func (f *faultyFileSystem) Lock(folder string) (unlock func(), err error) {
	err = f.do("lock", func() (err error) { unlock, err = f.osFileSystem.Lock(folder); return err })
	if err != nil && unlock != nil {
		unlock() // as the kernel does for one that was killed
	}
	return unlock, err
}

func (f *faultyFileSystem) List(folder string) (list []fs.DirEntry, err error) {
	err = f.do("list", func() (err error) { list, err = f.osFileSystem.List(folder); return err })
	return list, err
}

func (f *faultyFileSystem) Create(folder, pattern string) (made file, err error) {
	err = f.do("create", func() (err error) { made, err = f.osFileSystem.Create(folder, pattern); return err })
	return faultyFile{made, f}, err
}

func (f *faultyFileSystem) Rename(from, to string) error {
	return f.do("rename", func() error { return f.osFileSystem.Rename(from, to) })
}

func (f *faultyFileSystem) Remove(name string) error {
	return f.do("remove", func() error { return f.osFileSystem.Remove(name) })
}

func (f *faultyFileSystem) SyncFolder(string) error {
	return f.do("sync folder", func() error { return nil }) // no power is cut here, and the tests are faster
}

type faultyFile struct {
	file
	system *faultyFileSystem
}

func (f faultyFile) Write(b []byte) (int, error) {
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

func (f faultyFile) Sync() error { return f.system.do("sync", func() error { return nil }) }

func (f faultyFile) Close() error { return f.system.do("close", f.file.Close) }

// newFolder makes a newFolder with the first version, temporary files of killed writers, and others.
func newFolder(t *testing.T) (name string, others []string) {
	t.Helper()
	dir := t.TempDir()
	name = filepath.Join(dir, "estimates")
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	// .learnt-77 may have a writer that takes no lock; the others have names of no temporary file.
	others = []string{".learnt-77", ".learnt-backup", "x.learnt-1.tmp"}
	for _, other := range append([]string{".learnt-5.tmp", ".learnt-6"}, others...) {
		if err := os.WriteFile(filepath.Join(dir, other), []byte(magic), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	old := time.Now().Add(-2 * unlockedWriterAge)
	if err := os.Chtimes(filepath.Join(dir, ".learnt-6"), time.Time{}, old); err != nil {
		t.Fatal(err)
	}
	return name, others
}

// shortenBackoff makes the waits between attempts as short as can be.
func shortenBackoff(t *testing.T) {
	t.Helper()
	before := writeBackoff
	writeBackoff = Backoff{Initial: time.Microsecond, Max: time.Microsecond}
	t.Cleanup(func() { writeBackoff = before })
}

// TestFaults has each call fail in each way, once and in runs, before and after it was carried out: at every call the
// file is the complete old or new one; in the end it is the new one, and no temporary file is beside it.
func TestFaults(t *testing.T) {
	shortenBackoff(t)
	calls := []string{"lock", "list", "create", "write", "sync", "close", "rename", "remove", "sync folder"}
	for _, call := range calls {
		kinds := []error{syscall.ENOSPC, syscall.EIO, syscall.EMFILE}
		if call == "lock" {
			kinds = []error{errLocked}
		}
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			for _, kind := range kinds {
				for _, times := range []int{1, 2, 7} {
					faultCase{call, kind, times, false}.check(t)
					faultCase{call, kind, times, true}.check(t)
				}
			}
		})
	}
}

// faultCase is a call that fails so many times with an error, before or, with done, after it was carried out.
type faultCase struct {
	call  string
	kind  error
	times int
	done  bool
}

// check writes the second version over the first.
func (c faultCase) check(t *testing.T) {
	t.Helper()
	name, others := newFolder(t)
	left, reported := c.times, 0
	system := &faultyFileSystem{fault: func(call string) (error, bool) {
		readVersion(t, name)
		if call != c.call || left == 0 {
			return nil, false
		}
		left--
		return c.kind, c.done
	}}
	err := versions()[1].retryWrite(t.Context(), system, name, func(error) { reported++ })
	if err != nil {
		t.Errorf("%+v: %v", c, err)
	}
	if left != 0 && (c.call != "remove" || !c.done) {
		t.Errorf("%+v: %d faults not met", c, left)
	}
	if reported > 1 || reported == 0 && c.call != "list" && c.call != "remove" {
		t.Errorf("%+v: reported %d times", c, reported)
	}
	checkSecondVersionAlone(t, name, others)
}

// checkSecondVersionAlone checks that a file is the second version and that there are just the others beside it.
func checkSecondVersionAlone(t *testing.T, name string, others []string) {
	t.Helper()
	if n, names := readVersion(t, name), otherFiles(t, name); n != 1 || !slices.Equal(names, others) {
		t.Errorf("version %d, beside it %v", n, names)
	}
}

// TestKilledBetweenCalls ends a writer before each call of a write, and halfway through it: the file is complete, and the
// next write leaves nothing of it.
func TestKilledBetweenCalls(t *testing.T) {
	seen := map[killOutcome]int{}
	for completed := 0; seen[notKilled] == 0; completed++ {
		for _, half := range []bool{false, true} {
			name, others := newFolder(t)
			outcome := killedWriter{completed, half}.write(t, name)
			seen[outcome]++
			if outcome == notKilled {
				break
			}
			if err := versions()[1].Write(name); err != nil {
				t.Fatal(err)
			}
			checkSecondVersionAlone(t, name, others)
		}
	}
	if seen[oldFile] == 0 || seen[newFile] == 0 {
		t.Errorf("killed with the old file %d times, with the new one %d", seen[oldFile], seen[newFile])
	}
}

// killOutcome is what a writer has left.
type killOutcome int

const (
	notKilled killOutcome = iota // the write has fewer calls
	oldFile
	newFile
)

// killedWriter is a writer that is killed after so many calls, with half halfway through the next one.
type killedWriter struct {
	completed int
	half      bool
}

// write replaces the first version by an empty file, until it is killed.
func (w killedWriter) write(t *testing.T, name string) killOutcome {
	t.Helper()
	killed := errors.New("killed")
	calls := 0
	system := &faultyFileSystem{fault: func(string) (error, bool) {
		if calls++; calls <= w.completed {
			return nil, false
		}
		return killed, w.half && calls == w.completed+1
	}}
	if err := replaceFile(system, name, nil); w.completed == 0 && err == nil {
		t.Fatal("no call at all")
	}
	if calls <= w.completed {
		return notKilled
	}
	if b, err := os.ReadFile(name); err == nil && len(b) == 0 {
		return newFile
	}
	readVersion(t, name)
	return oldFile
}

// TestCallOrder checks the order of the calls: the content is synced before it takes the file's place, the folder after.
func TestCallOrder(t *testing.T) {
	system := &faultyFileSystem{fault: func(string) (error, bool) { return nil, false }}
	if err := replaceFile(system, filepath.Join(t.TempDir(), "estimates"), []byte(magic)); err != nil {
		t.Fatal(err)
	}
	want := []string{"lock", "list", "create", "write", "sync", "close", "rename", "sync folder", "list"}
	if !slices.Equal(system.calls, want) {
		t.Errorf("%q; want %q", system.calls, want)
	}
}

// TestPermanentError checks that an error that waiting does not mend ends the attempts at once, any other one with the
// context.
func TestPermanentError(t *testing.T) {
	shortenBackoff(t)
	name, _ := newFolder(t)
	taken := filepath.Join(filepath.Dir(name), "directory")
	if err := os.MkdirAll(filepath.Join(taken, "inside"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{filepath.Join(name, "inside"), filepath.Join(taken, "missing", "inside"), taken} {
		reported := 0
		err := record().WriteWithRetry(context.Background(), bad, func(error) { reported++ })
		if err == nil || reported > 0 {
			t.Errorf("%s: %v, reported %d times", bad, err, reported)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempts, reported := 0, 0
	system := &faultyFileSystem{fault: func(call string) (error, bool) {
		if call == "create" {
			if attempts++; attempts == 9 {
				cancel()
			}
			return syscall.ENOSPC, false
		}
		return nil, false
	}}
	err := record().retryWrite(ctx, system, name, func(error) { reported++ })
	if !errors.Is(err, syscall.ENOSPC) || attempts < 9 || reported != 1 {
		t.Errorf("%v after %d attempts, reported %d times", err, attempts, reported)
	}
	readVersion(t, name)
}

// TestConcurrentWriter checks that a temporary file stays while another writer may hold the lock, or without locks.
func TestConcurrentWriter(t *testing.T) {
	shortenBackoff(t)
	name, others := newFolder(t)
	all := otherFiles(t, name)
	check := func(what string, version int, beside []string) {
		t.Helper()
		if n, names := readVersion(t, name), otherFiles(t, name); n != version || !slices.Equal(names, beside) {
			t.Errorf("%s: version %d, beside it %v", what, n, names)
		}
	}
	unlock, err := osFileSystem{}.Lock(filepath.Dir(name))
	if err != nil {
		t.Fatal(err)
	}
	if err := versions()[1].Write(name); !errors.Is(err, errLocked) {
		t.Errorf("beside another writer: %v", err)
	}
	check("beside another writer", 0, all)
	if err := versions()[1].WriteWithRetry(t.Context(), name, func(error) {}); err != nil {
		t.Errorf("beside a writer that never ends: %v", err)
	}
	check("beside a writer that never ends", 1, all)
	unlock()
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := versions()[1].retryWrite(t.Context(), newSystemWithoutLocks(), name, nil); err != nil {
		t.Errorf("without locks: %v", err)
	}
	check("without locks", 1, all)
	if err := versions()[0].Write(name); err != nil {
		t.Errorf("alone: %v", err)
	}
	check("alone", 0, others)
}

// newSystemWithoutLocks is a file system that has no locks.
func newSystemWithoutLocks() *faultyFileSystem {
	return &faultyFileSystem{fault: func(call string) (error, bool) {
		if call == "lock" {
			return syscall.ENOLCK, false
		}
		return nil, false
	}}
}

// TestTemporaryName writes a file that is named as a temporary one: it is not removed as one.
func TestTemporaryName(t *testing.T) {
	own := filepath.Join(t.TempDir(), ".learnt-9.tmp")
	for n := range 2 {
		if err := versions()[n].Write(own); err != nil || readVersion(t, own) != n {
			t.Errorf("%s: %v", own, err)
		}
	}
}

// TestBackoff checks the waits, whose unit is a millisecond here.
func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 50 * time.Millisecond, Max: time.Second}
	for failed, want := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 5: 800, 6: 1000, 1 << 40: 1000} {
		if got := b.Wait(failed); got != want*time.Millisecond {
			t.Errorf("after %d: %v, want %v ms", failed, got, int(want))
		}
	}
}

// TestKill kills writers that are processes, two at a time, at any moment: the file is complete each time, and a write
// after them leaves nothing of theirs.
func TestKill(t *testing.T) {
	const rounds = 15
	name := filepath.Join(t.TempDir(), "estimates")
	if err := versions()[0].Write(name); err != nil {
		t.Fatal(err)
	}
	random, interrupted := rand.New(rand.NewSource(1)), 0
	for range rounds {
		writers := [2]*writer{startWriter(t, name), startWriter(t, name)}
		writers[0].awaitWrite(t)
		time.Sleep(time.Duration(random.Int63n(int64(8 * time.Millisecond))))
		for _, w := range writers {
			w.kill(t)
		}
		for _, w := range writers {
			w.wait(t)
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
	checkSecondVersionAlone(t, name, nil)
}

// writer is a process that writes a file again and again, see TestMain. It prints a line for each write.
type writer struct {
	command *exec.Cmd
	written chan struct{} // closed after the first write
	ended   chan error    // nil, or a line that is no report of a write
}

// startWriter starts a writer, which is killed at the end of the test at the latest.
func startWriter(t *testing.T, file string) *writer {
	t.Helper()
	w := &writer{command: exec.Command(os.Args[0]), written: make(chan struct{}), ended: make(chan error, 1)}
	w.command.Env = append(os.Environ(), writerEnv+"="+file)
	out, err := w.command.StdoutPipe()
	if err == nil {
		err = w.command.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.command.Process.Kill() }) // it is dead already where the test has passed
	go func() { w.ended <- w.readOutput(out) }()
	return w
}

// readOutput reads what the writer prints until its end. The error is a line that is no report of a write; the last
// line may be cut off.
func (w *writer) readOutput(out io.Reader) error {
	lines := bufio.NewReader(out)
	for first := true; ; first = false {
		line, err := lines.ReadString('\n')
		if err != nil && strings.HasPrefix("written\n", line) {
			return nil
		}
		if line != "written\n" {
			return fmt.Errorf("a writer fails: %q", line)
		}
		if first {
			close(w.written)
		}
	}
}

// awaitWrite waits until the writer has written the file.
func (w *writer) awaitWrite(t *testing.T) {
	t.Helper()
	select {
	case <-w.written:
	case err := <-w.ended:
		t.Fatalf("a writer has ended before its first write: %v", err)
	}
}

func (w *writer) kill(t *testing.T) {
	t.Helper()
	if err := w.command.Process.Kill(); err != nil {
		t.Errorf("a writer can't be killed: %v", err)
	}
}

// wait waits for the end of the writer, which must be by the signal and after reports of writes alone.
func (w *writer) wait(t *testing.T) {
	t.Helper()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	err := w.command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Errorf("a writer ended by itself: %v", err)
	}
}
