package scheduler

import (
	"net"
	"strings"
	"testing"
	"time"

	"honeyplank/resp"
)

// TestUnreadInputStaysBounded guards against the failure that the kernel takes megabytes of each client that sends
// without end, which count towards the memory of the process.
func TestUnreadInputStaysBounded(t *testing.T) {
	bed := newTestbed(t, 1)
	conn, err := net.Dial("tcp", bed.scheduler.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const senderBuffer = 64 << 10
	if err := conn.(*net.TCPConn).SetWriteBuffer(senderBuffer); err != nil {
		t.Fatal(err)
	}
	bed.onLoop(func() { // nothing is read while the loop is held up
		if err := conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			t.Error(err)
		}
		command := resp.AppendCommand(nil, []byte("PING"), []byte(strings.Repeat("x", 1000)))
		sent := 0
		for {
			n, err := conn.Write(command)
			if sent += n; err != nil {
				break
			}
		}
		if most := maxClientBuffer + 4*senderBuffer; sent > most {
			t.Errorf("%d bytes were taken of a client that is not read, want at most %d", sent, most)
		}
	})
}
