package scheduler

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// TestQuitBehindOthers checks that commands before QUIT get their replies first, that the connection closes after the
// reply to QUIT, and that commands after QUIT are not read.
func TestQuitBehindOthers(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 50 * time.Millisecond})
	c := bed.dialClient()
	var all []byte
	for _, args := range [][]string{readCommand("a", 390), {"QUIT"}, readCommand("b", 390)} {
		all = append(all, encodeCommand(args...)...)
	}
	c.sendBytes(all)
	for _, want := range []string{valueOf("a"), "OK", "closed"} {
		if got := c.readReply(time.Second); got != want {
			t.Errorf("reply is %q, expected %q", got, want)
		}
	}
	bed.checkReceived("[a]")
}

// TestCommandForwarding checks that a command reaches the disk server of its cell unchanged except for its timeout, and
// that the client receives the value of its own op.
func TestCommandForwarding(t *testing.T) {
	bed := newTestbed(t, 2)
	c := bed.dialClient()
	if got := c.do("PING"); got != "PONG" {
		t.Fatal(got)
	}
	for i, cell := range []int{0, 1, 1, 0} {
		id := fmt.Sprintf("read%d", i)
		if got, want := c.do("BLK.READ", objectKey, id, opOptions("read", 390, cell)), valueOf(id); got != want {
			t.Fatalf("reply is %q, expected %q", got, want)
		}
	}
	body := strings.Repeat("\r\n*\x00", 16<<10)
	if got := c.do("BLK.WRITE", objectKey, "write", opOptions("write", 600, -1), body); got != valueOf("write") {
		t.Fatal(got)
	}
	all := append(bed.disks[0].Commands(), bed.disks[1].Commands()...)
	if len(all) != 5 || len(bed.disks[0].Commands()) < 2 || len(bed.disks[1].Commands()) < 2 {
		t.Fatalf("%d commands have reached the disk servers, expected 5, at least 2 on each", len(all))
	}
	for _, command := range all {
		if command.Name == "BLK.WRITE" {
			checkForwarded(t, command, "write", 600)
			if string(command.Body) != body {
				t.Error("the body was changed on its way to the disk server")
			}
		} else {
			checkForwarded(t, command, "read", 390)
		}
	}
}

// checkForwarded checks that a command has reached a disk server unchanged except for its timeout, which may be
// shorter.
func checkForwarded(t *testing.T, command fakeresp.Command, class string, timeoutMS int) {
	t.Helper()
	timeout := regexp.MustCompile(`,d=(\d+),`)
	ms, err := strconv.Atoi(timeout.FindStringSubmatch(command.Attributes)[1])
	if err != nil || ms > timeoutMS || ms < timeoutMS-200 || command.Piece != objectKey {
		t.Errorf("unexpected key or timeout in command %+v", command)
	}
	cell := command.Attributes[strings.Index(command.Attributes, "shard="):]
	want := "c=" + class + ",t=gold,d=9,volume=00000003b4d60021,units=2," + cell
	if !strings.HasPrefix(timeout.ReplaceAllString(command.Attributes, ",d=9,"), want) {
		t.Errorf("unexpected options %s", command.Attributes)
	}
}

// TestOtherCommands checks the replies to commands that are not ops.
func TestOtherCommands(t *testing.T) {
	c := newTestbed(t, 1).dialClient()
	for _, x := range []struct{ command, want string }{
		{"CLIENT SETINFO LIB-NAME x", "OK"},
		{"SELECT 0", "OK"},
		{"HELLO 3", `-ERR unknown command "HELLO"`},
		{"INFO load", `-ERR unknown command "INFO"`},
		{"ping", "PONG"},
		{"PING x", "x"},
		{"blk.read a b c", `-ERR unknown command "blk.read"`},
		{"QUIT", "OK"},
		{"PING", "closed"},
	} {
		t.Run(x.command, func(t *testing.T) {
			if got := c.do(strings.Fields(x.command)...); got != x.want {
				t.Errorf("reply is %q, expected %q", got, x.want)
			}
		})
	}
}

// TestCommandErrors checks that a malformed command gets an error and reaches no disk server, and that the connection
// stays usable.
func TestCommandErrors(t *testing.T) {
	bed := newTestbed(t, 1)
	c := bed.dialClient()
	good := opOptions("read", 300, 0)
	withOption := func(option, replacement string) []string {
		return []string{"BLK.READ", objectKey, "a", strings.Replace(good, option, replacement, 1)}
	}
	for _, x := range []struct {
		args []string
		want string
	}{
		{withOption("c=read", "c=scan"), `class "scan" is unknown`},
		{withOption("t=gold", "t=lead"), `plan "lead" is unknown`},
		{withOption("d=300", "d=soon"), `d is "soon"`},
		{withOption("d=300", "d=-1"), `d is "-1"`},
		{withOption("d=300", "d=1e3"), `d is "1e3"`},
		{withOption("d=300", "d=NaN"), `d is "NaN"`},
		{withOption("d=300", "d=99999999999"), `d is "99999999999"`},
		{withOption(",d=300", ""), "d is missing"},
		{[]string{"BLK.READ", objectKey, "a", good + ",d=5"}, "stands twice"},
		{withOption("units=2", "units=0"), `units is "0"`},
		{withOption("shard=0", "shard=-2"), `shard is "-2"`},
		{withOption("hosts=1", "hosts=x"), `hosts is "x"`},
		{withOption("volume=0", "volume="), "volume is"},
		{[]string{"BLK.READ", objectKey, "a", ""}, "no name and value"},
		{[]string{"BLK.READ", objectKey, "", good}, "no id"},
		{[]string{"BLK.READ", "xyz", "a", good}, "the piece of data"},
		{[]string{"BLK.READ", objectKey, "a"}, "wrong number of arguments"},
		{[]string{"BLK.READ", objectKey, "a", good, "body"}, "wrong number of arguments"},
		{[]string{"BLK.WRITE", objectKey, "a", opOptions("write", 300, 0)}, "wrong number of arguments"},
	} {
		t.Run(x.want, func(t *testing.T) {
			if got := c.do(x.args...); !strings.HasPrefix(got, "-ERR ") || !strings.Contains(got, x.want) {
				t.Errorf("reply to %q is %q, expected an error with %q", x.args, got, x.want)
			}
		})
	}
	if got := c.do("BLK.READ", objectKey, "a", good); got != valueOf("a") {
		t.Error(got)
	}
	if n := len(bed.disks[0].Commands()); n != 1 {
		t.Errorf("%d commands have reached the disk server, expected 1", n)
	}
}

// TestDuplicateID checks that an op with the id of an unanswered op is rejected on any connection, and that the first
// op is served.
func TestDuplicateID(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 50 * time.Millisecond})
	one, other := bed.dialClient(), bed.dialClient()
	one.sendRead("same", 390)
	bed.eventually("the arrival of the command", func() bool { return len(bed.disks[0].Commands()) == 1 })
	if got := other.doRead("same", 390); got != "-ERR the id is that of an open request" {
		t.Error(got)
	}
	if got := one.readReply(time.Second); got != valueOf("same") {
		t.Error(got)
	}
}

// TestProtocolErrors checks that a connection with input that violates the protocol gets an error and is closed
// immediately, and that a connection with an incomplete command, or with none, is closed after a timeout.
func TestProtocolErrors(t *testing.T) {
	bed := newTestbed(t, 1)
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		strings.Repeat("x", 100000),
		"*" + strings.Repeat("9", 100000),
		"*4\r\n$-5\r\n",
		"*99999999\r\n",
		"*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n" + objectKey + "\r\n$1\r\na\r\n$1\r\nx\r\n" +
			"$60000000\r\n" + strings.Repeat("x", 1<<20),
		"*1\r\n$4\r\nPINGPONG\r\n",
		"\x00\x01\x02",
	} {
		c := bed.dialClient()
		start := time.Now()
		_, _ = c.Write([]byte(text)) // the scheduler may close before it has read all
		got := c.readReply(3 * time.Second)
		if got != "closed" && !strings.HasPrefix(got, "-ERR Protocol error") {
			t.Errorf("reply to %.40q is %q, expected a protocol error", text, got)
		}
		if got != "closed" && c.readReply(3*time.Second) != "closed" || time.Since(start) > time.Second {
			t.Errorf("the connection with input %.40q was open for %v", text, time.Since(start))
		}
	}
	for _, text := range []string{"", "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a"} {
		c := bed.dialClient()
		start := time.Now()
		_, _ = c.Write([]byte(text)) // the scheduler may close before it has read all
		for c.readReply(4*time.Second) != "closed" {
		}
		if took := time.Since(start); took > 2800*time.Millisecond {
			t.Errorf("the connection with input %q was closed after %v", text, took)
		}
	}
	if len(bed.disks[0].Commands()) != 0 {
		t.Error("a command has reached the disk server")
	}
}

// TestRepliesBeforeProtocolError checks that commands before input that violates the protocol get their replies in
// order, followed by the error.
func TestRepliesBeforeProtocolError(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.disks[0].SetFaults(fakeresp.Faults{Delay: 40 * time.Millisecond})
	c := bed.dialClient()
	c.sendRead("a", 390)
	c.send("PING")
	c.sendBytes([]byte("rubbish\r\n"))
	for _, want := range []string{valueOf("a"), "PONG", "-ERR Protocol error: expected '*', got 'r'", "closed"} {
		if got := c.readReply(2 * time.Second); got != want {
			t.Errorf("reply is %q, expected %q", got, want)
		}
	}
}
