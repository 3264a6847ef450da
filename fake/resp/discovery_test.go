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

// get sends a GET request, which is cancelled at the end of the test or after testTimeout.
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
	t.Cleanup(func() { _ = r.Body.Close() }) // the request is cancelled in any case
	return r
}

// watch starts a watch after the revision in index.
func watch(t *testing.T, d *Discovery, index string) *lines {
	t.Helper()
	r := get(t, d, discoveryPath+"?stream=1&index="+index)
	return &lines{t, bufio.NewScanner(r.Body)}
}

// lines reads the lines of a watch and skips empty ones.
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
			l.Fatalf("received line %s, want %s", got, want)
		}
	}
	l.Fatalf("the watch ended (error %v), want line %s", l.scanner.Err(), want)
}

// messageLine returns the line of a message whose members have the IDs a, b, ... and the given phases.
func messageLine(revision int, complete bool, phases ...string) string {
	var members []string
	for i, phase := range phases {
		members = append(members, fmt.Sprintf(`{"id":"%c","host_port":"","locality":"","flavor":"","cell":0,`+
			`"phase":"%s","size":0,"up_since_ms":0}`, 'a'+i, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// TestList checks that a request is answered with the complete list, including all changes.
func TestList(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"}, Member{ID: "b", Phase: "up"})
	d.Change(Member{ID: "b", Phase: "draining"}, Member{ID: "c", Phase: "up"})
	r := get(t, d, discoveryPath)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.TrimSpace(string(body)), messageLine(2, true, "up", "draining", "up"); got != want {
		t.Errorf("list is %s, want %s", got, want)
	}
	if n := d.Watches(); n != 0 {
		t.Errorf("%d watches were counted, want 0", n)
	}
}

// TestWatch checks that a watch without an index sends the complete list, then each change and each line.
func TestWatch(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	w := watch(t, d, "")
	w.expect(messageLine(1, true, "up"))
	d.Change(Member{ID: "a", Phase: "draining"})
	w.expect(messageLine(2, false, "draining"))
	d.SendLine("anything")
	w.expect("anything")
	if n := d.Watches(); n != 1 {
		t.Errorf("%d watches were counted, want 1", n)
	}
}

// TestWatchFromRevision checks that a watch with a known index starts with the changes after that revision, and a watch
// with an unknown index starts with the complete list.
func TestWatchFromRevision(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	d.Change(Member{ID: "a", Phase: "draining"})
	d.Change(Member{ID: "a", Phase: "removed"})
	known := watch(t, d, "1")
	known.expect(messageLine(2, false, "draining"))
	known.expect(messageLine(3, false, "removed"))
	for _, index := range []string{"0", "4", "x"} {
		watch(t, d, index).expect(messageLine(3, true, "removed"))
	}
}

// TestStop checks that Stop ends watches and that later requests fail.
func TestStop(t *testing.T) {
	d := startDiscovery(t, Member{ID: "a", Phase: "up"})
	w := watch(t, d, "")
	w.expect(messageLine(1, true, "up"))
	d.Stop()
	for w.scanner.Scan() {
		if text := w.scanner.Text(); text != "" {
			t.Errorf("a watch sent %s after Stop", text)
		}
	}
	if r, err := http.Get("http://" + d.Address() + discoveryPath); err == nil {
		_ = r.Body.Close()
		t.Error("a request was answered after Stop")
	}
}

// TestUnknownPath checks that a request for an unknown path is answered with 404.
func TestUnknownPath(t *testing.T) {
	d := startDiscovery(t)
	if r := get(t, d, "/"); r.StatusCode != http.StatusNotFound {
		t.Errorf("status is %d, want 404", r.StatusCode)
	}
}
