package resp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

func startDiscovery(t *testing.T, members ...Member) *Discovery {
	t.Helper()
	d, err := NewDiscovery(members...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// get calls discovery until the test ends.
func get(t *testing.T, d *Discovery, path string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Body.Close() }) // the call is cancelled either way
	return r
}

// watch begins a watch behind a revision.
func watch(t *testing.T, d *Discovery, index string) *lines {
	t.Helper()
	r := get(t, d, discoveryPath+"?stream=1&index="+index)
	return &lines{t, bufio.NewScanner(r.Body)}
}

// lines reads the lines of a watch that are not empty.
type lines struct {
	*testing.T
	scanner *bufio.Scanner
}

func (l *lines) expect(want string) {
	l.Helper()
	for l.scanner.Scan() {
		if got := l.scanner.Text(); got == want {
			return
		} else if got != "" {
			l.Fatalf("%s, want %s", got, want)
		}
	}
	l.Fatalf("the watch has ended (%v), want %s", l.scanner.Err(), want)
}

// line is a message with one member of a phase for each id.
func line(revision int, complete bool, phases ...string) string {
	var members []string
	for i, phase := range phases {
		members = append(members, fmt.Sprintf(`{"id":"%c","host_port":"","locality":"","flavor":"","cell":0,`+
			`"phase":"%s","size":0,"up_since_ms":0}`, 'a'+i, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// TestList has the complete list with all changes.
func TestList(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"}, Member{ID: "b", Phase: "up"})
	d.Change(Member{ID: "b", Phase: "draining"}, Member{ID: "c", Phase: "up"})
	r := get(t, d, discoveryPath)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.TrimSpace(string(body)), line(2, true, "up", "draining", "up"); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if n := d.Watches(); n != 0 {
		t.Errorf("%d watches", n)
	}
}

// TestWatch has a watch without an index begin with the complete list, then each change and each line.
func TestWatch(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	w := watch(t, d, "")
	w.expect(line(1, true, "up"))
	d.Change(Member{ID: "a", Phase: "draining"})
	w.expect(line(2, false, "draining"))
	d.SendLine("anything")
	w.expect("anything")
	if n := d.Watches(); n != 1 {
		t.Errorf("%d watches", n)
	}
}

// TestWatchFromRevision has a watch with a known index begin with the changes behind it, and one with an unknown index
// with the complete list.
func TestWatchFromRevision(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	d.Change(Member{ID: "a", Phase: "draining"})
	d.Change(Member{ID: "a", Phase: "removed"})
	known := watch(t, d, "1")
	known.expect(line(2, false, "draining"))
	known.expect(line(3, false, "removed"))
	for _, index := range []string{"0", "4", "x"} {
		watch(t, d, index).expect(line(3, true, "removed"))
	}
}

// TestStop ends watches and refuses calls.
func TestStop(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	w := watch(t, d, "")
	w.expect(line(1, true, "up"))
	d.Stop()
	for w.scanner.Scan() {
		if text := w.scanner.Text(); text != "" {
			t.Errorf("after Stop: %s", text)
		}
	}
	if r, err := http.Get("http://" + d.Address() + discoveryPath); err == nil {
		_ = r.Body.Close()
		t.Error("a call is answered after Stop")
	}
}

// TestOtherPath is not found.
func TestOtherPath(t *testing.T) {
	d := startDiscovery(t)
	if r := get(t, d, "/"); r.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", r.StatusCode)
	}
}
