package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"honeyplank"
)

// listMessage is a message of discovery with the complete endpoint list or the members that have changed.
type listMessage struct {
	Revision int64        `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []listMember `json:"members"`

	isCurrent bool // the list is up to date once this message is applied
}

// listMember is an entry of the endpoint list.
type listMember struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Model     string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"` // start of the disk server in milliseconds of Unix time
}

// memberStates maps the phase of an entry to the state of the member.
var memberStates = map[string]honeyplank.MemberState{
	"up":       honeyplank.Up,
	"draining": honeyplank.Draining,
	"removed":  honeyplank.Removed,
}

// readList parses a message. It leaves out invalid entries and returns the reason for each in skipped.
func readList(text []byte) (list *listMessage, skipped []string, err error) {
	list = &listMessage{}
	if err := json.Unmarshal(text, list); err != nil {
		return nil, nil, fmt.Errorf("unreadable list: %w", err)
	}
	usable := list.Members[:0]
	for _, m := range list.Members {
		if reason := m.skipReason(); reason != "" {
			skipped = append(skipped, reason)
		} else {
			usable = append(usable, m)
		}
	}
	list.Members = usable
	return list, skipped, nil
}

// skipReason returns the reason for which an entry is invalid, or an empty string if it is valid.
func (m listMember) skipReason() string {
	if m.ID == "" {
		return "an entry has no id"
	}
	if _, ok := memberStates[m.Phase]; !ok {
		return fmt.Sprintf("phase %q of %s is unknown", m.Phase, m.ID)
	}
	if _, err := parseIPv4(m.Address); err != nil && m.Phase != "removed" {
		return fmt.Sprintf("host_port of %s is %q", m.ID, m.Address)
	}
	return ""
}

var (
	errOldList = errors.New("discovery: the list is older than the current one")
	errNoData  = errors.New("discovery: no data before the deadline")
)

// statusError is the error of a discovery response with a status other than 200.
type statusError struct{ status string }

func (e *statusError) Error() string { return "discovery: unexpected status " + e.status }

// listCallbacks are called on the goroutine of a call to discovery.
type listCallbacks struct {
	established func()                                    // the response header was received; may be nil
	received    func(list *listMessage, skipped []string) // a message was received, without its skipped entries
	failed      func(error)                               // the call has ended; no callback follows
}

// watchList receives the changes of the list after a revision until the watch fails or ctx is done. The response header
// has to be received within timeout.
func watchList(ctx context.Context, address string, revision int64, timeout time.Duration, callbacks listCallbacks) {
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", address, revision)
	call := listCall{url: url, headerTimeout: timeout, established: callbacks.established}
	callbacks.failed(call.run(ctx, func(text []byte) error {
		list, skipped, err := readList(text)
		if err == nil {
			callbacks.received(list, skipped)
		}
		return err
	}))
}

// fetchList requests the complete list once. The response header has to be received within timeout.
func fetchList(ctx context.Context, address string, timeout time.Duration, callbacks listCallbacks) {
	call := listCall{url: "http://" + address + "/discovery/hosts", headerTimeout: timeout}
	var messages [][]byte
	err := call.run(ctx, func(text []byte) error {
		messages = append(messages, text)
		return nil
	})
	if errors.Is(err, io.EOF) && len(messages) == 1 { // otherwise the response was truncated
		var list *listMessage
		var skipped []string
		if list, skipped, err = readList(messages[0]); err == nil {
			callbacks.received(list, skipped)
			return
		}
	}
	callbacks.failed(err)
}

// listCall is one call to discovery.
type listCall struct {
	url           string
	headerTimeout time.Duration
	established   func() // may be nil

	started       time.Time
	reader        messageReader
	deadlineTimer *time.Timer // cancels the call at the reader's deadline
}

// run makes the call and passes its messages to receive one by one until the call ends. Its error is io.EOF if the
// response was complete.
func (c *listCall) run(ctx context.Context, receive func(text []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	c.started = time.Now()
	c.reader.callStarted(0, c.headerTimeout)
	c.deadlineTimer = time.AfterFunc(c.reader.deadline, func() { cancel(errNoData) })
	defer c.deadlineTimer.Stop()
	return c.receive(ctx, client, receive)
}

// cause returns errNoData if the call was cancelled at the deadline of its reader, and err otherwise.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errNoData) {
		return errNoData
	}
	return err
}

// receive sends the request and reads the response.
func (c *listCall) receive(ctx context.Context, client *http.Client, receive func(text []byte) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, or its error has been returned
	if response.StatusCode != http.StatusOK {
		return &statusError{response.Status}
	}
	if c.established != nil {
		c.established()
	}
	c.reader.headerReceived(time.Since(c.started))
	return cause(ctx, c.readBody(response.Body, receive))
}

// readBody reads the messages of a response until it ends.
func (c *listCall) readBody(body io.Reader, receive func(text []byte) error) error {
	buffer := make([]byte, readSize)
	for {
		c.deadlineTimer.Reset(c.reader.deadline - time.Since(c.started))
		n, readErr := body.Read(buffer)
		messages, err := c.reader.feed(time.Since(c.started), buffer[:n])
		for _, text := range messages {
			if err := receive(text); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
		if readErr != nil {
			return readErr
		}
	}
}
