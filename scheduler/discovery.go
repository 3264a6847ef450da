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

// listMessage is a message of discovery.
type listMessage struct {
	Revision int64        `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []listMember `json:"members"`

	isCurrent bool // with it all that was told holds
}

type listMember struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Model     string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"`
}

var memberStates = map[string]honeyplank.MemberState{"up": honeyplank.Up, "draining": honeyplank.Draining, "removed": honeyplank.Removed}

// readList reads a message; entries that can't be used are left out, and told.
func readList(text []byte) (l *listMessage, skipped []string, err error) {
	l = &listMessage{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, nil, err
	}
	sound := l.Members[:0]
	for _, m := range l.Members {
		_, known := memberStates[m.Phase]
		_, err := parseIPv4(m.Address)
		switch {
		case m.ID == "":
			skipped = append(skipped, "an entry has no id")
		case !known:
			skipped = append(skipped, fmt.Sprintf("phase %q of %s is unknown", m.Phase, m.ID))
		case err != nil && m.Phase != "removed":
			skipped = append(skipped, fmt.Sprintf("host_port of %s is %q", m.ID, m.Address))
		default:
			sound = append(sound, m)
		}
	}
	l.Members = sound
	return l, skipped, nil
}

var errOldList = errors.New("discovery: the list is older than the one held")

// watchList follows the list at an address behind a revision, on a goroutine of its own, until the watch ends or its context
// does; the answer has to begin within a time. begun is called when it stands, lists go to hear, why it ended to fail.
func watchList(ctx context.Context, address string, revision int64, within time.Duration, begun func(), hear func(*listMessage, []string), fail func(error)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	fail(readMessages(ctx, client, fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", address, revision), within, begun, func(text []byte) error {
		l, skipped, err := readList(text)
		if err == nil {
			hear(l, skipped)
		}
		return err
	}))
}

// fetchList asks for the whole list once.
func fetchList(ctx context.Context, address string, within time.Duration, hear func(*listMessage, []string), fail func(error)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var lists [][]byte
	err := readMessages(ctx, client, "http://"+address+"/discovery/hosts", within, func() {}, func(text []byte) error {
		lists = append(lists, text)
		return nil
	})
	if errors.Is(err, io.EOF) && len(lists) == 1 {
		var l *listMessage
		var skipped []string
		if l, skipped, err = readList(lists[0]); err == nil {
			hear(l, skipped)
			return
		}
	}
	fail(err)
}

// readMessages reads an answer message by message; io.EOF is its end in order.
func readMessages(ctx context.Context, client *http.Client, url string, within time.Duration, begun func(), hear func(text []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	var r messageReader
	r.callStarted(0, within)
	broken := time.AfterFunc(r.deadline, func() { cancel(errWatchSilent) })
	defer broken.Stop()
	fault := func(err error) error {
		if context.Cause(ctx) == errWatchSilent {
			return errWatchSilent
		}
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return fault(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", answer.Status)
	}
	begun()
	r.headReceived(time.Since(start))
	for b := make([]byte, 16<<10); ; {
		broken.Reset(r.deadline - time.Since(start))
		n, err := answer.Body.Read(b)
		messages, wrong := r.feed(time.Since(start), b[:n])
		for _, text := range messages {
			if err := hear(text); err != nil {
				return err
			}
		}
		if wrong != nil {
			return wrong
		}
		if err != nil {
			return fault(err)
		}
	}
}

var errWatchSilent = errors.New("discovery has fallen silent")
