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

// TestMain writes a file repeatedly if the environment names one.
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

// versions returns two records that are several pages long, so that a part of one is not valid.
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

// readVersion reads a file, which must have the content of one of the versions, and returns the index of that version.
func readVersion(t *testing.T, file string) int {
	t.Helper()
	b, err := os.ReadFile(file)
	for i, version := range encoded() {
		if bytes.Equal(b, version) {
			return i
		}
	}
	t.Fatalf("the file is neither complete version: %d bytes, error %v", len(b), err)
	return -1
}

// otherFiles lists the other files in the folder of a file.
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

// faultyFileSystem is the file system of the operating system with injected faults. fault returns the error of each
// call. If done is true, the call is executed despite its error; a write then writes half of its bytes.
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
		_ = do() // the call returns its fault in any case
	}
	return err
}

func (f *faultyFileSystem) Lock(folder string) (unlock func(), err error) {
	err = f.do("lock", func() (err error) { unlock, err = f.osFileSystem.Lock(folder); return err })
	if err != nil && unlock != nil {
		unlock() // as the kernel does for a killed process
	}
	return unlock, err
}

func (f *faultyFileSystem) List(folder string) (list []fs.DirEntry, err error) {
	err = f.do("list", func() (err error) { list, err = f.osFileSystem.List(folder); return err })
	return list, err
}

func (f *faultyFileSystem) Create(folder, pattern string) (created file, err error) {
	err = f.do("create", func() (err error) { created, err = f.osFileSystem.Create(folder, pattern); return err })
	return faultyFile{created, f}, err
}

func (f *faultyFileSystem) Rename(from, to string) error {
	return f.do("rename", func() error { return f.osFileSystem.Rename(from, to) })
}

func (f *faultyFileSystem) Remove(name string) error {
	return f.do("remove", func() error { return f.osFileSystem.Remove(name) })
}

func (f *faultyFileSystem) SyncFolder(string) error {
	return f.do("sync folder", func() error { return nil }) // power does not fail here, and the tests are faster
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

// newFolder creates a folder with the first version of the file, temporary files of killed writers, and other files.
func newFolder(t *testing.T) (name string, others []string) {
	t.Helper()
	dir := t.TempDir()
	name = filepath.Join(dir, "estimates")
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	// A writer without locking may still use .learnt-77. The other names are not those of temporary files.
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

// shortenBackoff makes the waits between attempts as short as possible.
func shortenBackoff(t *testing.T) {
	t.Helper()
	before := writeBackoff
	writeBackoff = Backoff{Initial: time.Microsecond, Max: time.Microsecond}
	t.Cleanup(func() { writeBackoff = before })
}

// TestFaults checks a write in which each call fails in each way, once or several times in a row, before or after its
// execution. At every call the file is the complete old or new version. At the end it is the new version, and no
// temporary file is left.
func TestFaults(t *testing.T) {
	shortenBackoff(t)
	calls := []string{"lock", "list", "create", "write", "sync", "close", "rename", "remove", "sync folder"}
	for _, call := range calls {
		faults := []error{syscall.ENOSPC, syscall.EIO, syscall.EMFILE}
		if call == "lock" {
			faults = []error{errLocked}
		}
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			for _, fault := range faults {
				for _, times := range []int{1, 2, 7} {
					faultCase{call, fault, times, false}.check(t)
					faultCase{call, fault, times, true}.check(t)
				}
			}
		})
	}
}

// faultCase is a call that fails the given number of times with an error: before its execution or, if done is true,
// after it.
type faultCase struct {
	call    string
	failure error
	times   int
	done    bool
}

// check writes the second version over the first.
func (c faultCase) check(t *testing.T) {
	t.Helper()
	name, others := newFolder(t)
	remaining, reported := c.times, 0
	system := &faultyFileSystem{fault: func(call string) (error, bool) {
		readVersion(t, name)
		if call != c.call || remaining == 0 {
			return nil, false
		}
		remaining--
		return c.failure, c.done
	}}
	err := versions()[1].retryWrite(t.Context(), system, name, func(error) { reported++ })
	if err != nil {
		t.Errorf("%+v: %v", c, err)
	}
	if remaining != 0 && (c.call != "remove" || !c.done) {
		t.Errorf("%+v: %d faults were not injected", c, remaining)
	}
	if reported > 1 || reported == 0 && c.call != "list" && c.call != "remove" {
		t.Errorf("%+v: reported %d times", c, reported)
	}
	checkSecondVersionAlone(t, name, others)
}

// checkSecondVersionAlone checks that a file is the second version and that the folder contains only the given other
// files.
func checkSecondVersionAlone(t *testing.T, name string, others []string) {
	t.Helper()
	if n, names := readVersion(t, name), otherFiles(t, name); n != 1 || !slices.Equal(names, others) {
		t.Errorf("version %d, other files %v", n, names)
	}
}

// TestKilledBetweenCalls kills a writer before each call of a write, and halfway through it. The file must be complete,
// and the next write must remove the temporary files of the killed writer.
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
		t.Errorf("killed with the old file %d times, with the new one %d times", seen[oldFile], seen[newFile])
	}
}

// killOutcome is the state of the file after a writer was killed.
type killOutcome int

const (
	notKilled killOutcome = iota // the write has fewer calls and was completed
	oldFile
	newFile
)

// killedWriter is a writer that is killed after the given number of calls or, if half is true, halfway through the next
// call.
type killedWriter struct {
	completed int
	half      bool
}

// write replaces the first version by an empty file until the writer is killed.
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
		t.Fatal("the write made no call")
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

// TestCallOrder checks the order of the calls: the content is synced before the rename, and the folder is synced after
// it.
func TestCallOrder(t *testing.T) {
	system := &faultyFileSystem{fault: func(string) (error, bool) { return nil, false }}
	if err := replaceFile(system, filepath.Join(t.TempDir(), "estimates"), []byte(magic)); err != nil {
		t.Fatal(err)
	}
	want := []string{"lock", "list", "create", "write", "sync", "close", "rename", "sync folder", "list"}
	if !slices.Equal(system.calls, want) {
		t.Errorf("calls %q; want %q", system.calls, want)
	}
}

// TestPermanentError checks that a permanent error ends the attempts at once, and that any other error is retried until
// the context ends.
func TestPermanentError(t *testing.T) {
	shortenBackoff(t)
	name, _ := newFolder(t)
	dir := filepath.Join(filepath.Dir(name), "directory")
	if err := os.MkdirAll(filepath.Join(dir, "inside"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{filepath.Join(name, "inside"), filepath.Join(dir, "missing", "inside"), dir} {
		reported := 0
		err := testRecord().WriteWithRetry(context.Background(), path, func(error) { reported++ })
		if err == nil || reported > 0 {
			t.Errorf("%s: error %v, reported %d times", path, err, reported)
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
	err := testRecord().retryWrite(ctx, system, name, func(error) { reported++ })
	if !errors.Is(err, syscall.ENOSPC) || attempts < 9 || reported != 1 {
		t.Errorf("error %v after %d attempts, reported %d times", err, attempts, reported)
	}
	readVersion(t, name)
}

// TestConcurrentWriter checks that no temporary file is removed while another writer may hold the lock, or without
// locks.
func TestConcurrentWriter(t *testing.T) {
	shortenBackoff(t)
	name, others := newFolder(t)
	all := otherFiles(t, name)
	check := func(what string, version int, expected []string) {
		t.Helper()
		if n, names := readVersion(t, name), otherFiles(t, name); n != version || !slices.Equal(names, expected) {
			t.Errorf("%s: version %d, other files %v", what, n, names)
		}
	}
	unlock, err := osFileSystem{}.Lock(filepath.Dir(name))
	if err != nil {
		t.Fatal(err)
	}
	if err := versions()[1].Write(name); !errors.Is(err, errLocked) {
		t.Errorf("with another writer: error %v", err)
	}
	check("with another writer", 0, all)
	if err := versions()[1].WriteWithRetry(t.Context(), name, func(error) {}); err != nil {
		t.Errorf("with a writer that never ends: error %v", err)
	}
	check("with a writer that never ends", 1, all)
	unlock()
	if err := os.WriteFile(name, encoded()[0], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := versions()[1].retryWrite(t.Context(), newSystemWithoutLocks(), name, nil); err != nil {
		t.Errorf("without locks: error %v", err)
	}
	check("without locks", 1, all)
	if err := versions()[0].Write(name); err != nil {
		t.Errorf("without another writer: error %v", err)
	}
	check("without another writer", 0, others)
}

// newSystemWithoutLocks returns a file system that has no locks.
func newSystemWithoutLocks() *faultyFileSystem {
	return &faultyFileSystem{fault: func(call string) (error, bool) {
		if call == "lock" {
			return syscall.ENOLCK, false
		}
		return nil, false
	}}
}

// TestTemporaryName checks that a write does not remove its own file if the file has the name of a temporary file.
func TestTemporaryName(t *testing.T) {
	own := filepath.Join(t.TempDir(), ".learnt-9.tmp")
	for n := range 2 {
		if err := versions()[n].Write(own); err != nil || readVersion(t, own) != n {
			t.Errorf("%s: error %v", own, err)
		}
	}
}

// TestBackoff checks the waits. They are given in milliseconds.
func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 50 * time.Millisecond, Max: time.Second}
	for failed, want := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 5: 800, 6: 1000, 1 << 40: 1000} {
		if got := b.Wait(failed); got != want*time.Millisecond {
			t.Errorf("after %d failed attempts: %v, want %v ms", failed, got, int(want))
		}
	}
}

// TestKill kills two writer processes at a random time, several times. The file must be complete each time, and a later
// write must remove all their temporary files.
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

// writer is a process that writes a file repeatedly, see TestMain. It prints a line for each write.
type writer struct {
	command *exec.Cmd
	written chan struct{} // closed after the first write
	ended   chan error    // nil, or an error for a line that does not report a write
}

// startWriter starts a writer, which is killed at the latest at the end of the test.
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
	t.Cleanup(func() { _ = w.command.Process.Kill() }) // the process has already ended if the test has passed
	go func() { w.ended <- w.readOutput(out) }()
	return w
}

// readOutput reads the writer's output until the writer ends. It returns an error for any line that does not report a
// write. The last line may be truncated.
func (w *writer) readOutput(out io.Reader) error {
	lines := bufio.NewReader(out)
	for first := true; ; first = false {
		line, err := lines.ReadString('\n')
		if err != nil && strings.HasPrefix("written\n", line) {
			return nil
		}
		if line != "written\n" {
			return fmt.Errorf("unexpected output of a writer: %q", line)
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
		t.Fatalf("a writer ended before its first write: %v", err)
	}
}

func (w *writer) kill(t *testing.T) {
	t.Helper()
	if err := w.command.Process.Kill(); err != nil {
		t.Errorf("cannot kill a writer: %v", err)
	}
}

// wait waits for the end of the writer, which must be caused by the signal. All output must be reports of writes.
func (w *writer) wait(t *testing.T) {
	t.Helper()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	err := w.command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Errorf("a writer was not ended by SIGKILL: %v", err)
	}
}
