package overload

import (
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestSocketMemory checks that input that a process has not read counts as memory of its sockets.
func TestSocketMemory(t *testing.T) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	before, err := processMemory(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	const unread = 50 << 10
	if _, err := client.Write(make([]byte, unread)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	after, err := processMemory(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if grown := after.Sockets - before.Sockets; grown < unread || before.Resident < 1<<20 {
		t.Errorf("%d bytes more in sockets with %d bytes unread; %d bytes resident", grown, unread, before.Resident)
	}
	if _, err := processMemory(1 << 30); err == nil {
		t.Error("no error for a process that does not exist")
	}
}

// TestMix checks that the order of a mixed run follows from its seed, and that all abuses are played.
func TestMix(t *testing.T) {
	names := func(seed int64) (names []string) {
		for _, x := range Mix(Abuses, time.Duration(len(Abuses))*mixedPart, seed) {
			names = append(names, x.Name)
		}
		return names
	}
	if first := names(1); !reflect.DeepEqual(first, names(1)) || reflect.DeepEqual(first, names(2)) {
		t.Error("the order does not follow from the seed")
	}
	played := map[string]bool{}
	for _, name := range names(1) {
		played[name] = true
	}
	if len(played) != len(Abuses) {
		t.Errorf("%d of %d abuses are played", len(played), len(Abuses))
	}
	if _, err := Select([]string{"nothing"}); err == nil || !strings.Contains(err.Error(), Abuses[0].Name) {
		t.Errorf("error for an unknown name: %v", err)
	}
}
