// Package dns polls the endpoint list in DNS SRV records. docs/dns.md has the convention of the records. It passes on
// what it receives and reports what fails. It does not keep a list, and does not compare it with another source,
// which package membership does.
//
// Which name server is queried and when (resolver.go), and which records count (selection.go), is decided without
// I/O. client.go owns the goroutine, which runs from New to Close and calls the function for updates; exchange.go
// carries out the exchanges.
package dns

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	mdns "github.com/miekg/dns"

	"honeyplank"
	"honeyplank/discovery"
)

// Settings are the name servers and limits of a Client.
type Settings struct {
	Servers     []string      // addresses of the name servers, queried in turn
	Name        string        // owner of the SRV records
	MinInterval time.Duration // between queries, however short a record's lifetime
	MaxInterval time.Duration // between queries, however long a record's lifetime
	Timeout     time.Duration // of one exchange
	Seed        int64         // of the jitter
}

// Client is the endpoint list in DNS. Updates are passed on from its one goroutine, in order, and none after Close:
// Complete for an answer, also a negative one, and WatchFailed where all name servers have failed. The list from
// before a failure is for the receiver to keep.
type Client struct {
	settings Settings
	update   func(discovery.Update)
	resolver *resolver
	query    func(server, name string, recordType uint16) (*mdns.Msg, error)
	cancel   context.CancelFunc
	running  sync.WaitGroup
	Queries  int // sent so far; to be read after Close only
}

// New begins to poll. Updates go to update, on the goroutine of the Client, which runs until Close. update must not
// call the Client.
func New(settings Settings, update func(discovery.Update)) *Client {
	settings.Name = mdns.Fqdn(settings.Name)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{settings: settings, update: update, cancel: cancel}
	c.resolver = newResolver(resolverSettings{
		servers:     len(settings.Servers),
		minInterval: settings.MinInterval,
		maxInterval: settings.MaxInterval,
		seed:        settings.Seed,
	})
	c.query = func(server, name string, recordType uint16) (*mdns.Msg, error) {
		return c.exchange(ctx, server, name, recordType)
	}
	c.running.Go(func() { c.run(ctx) })
	return c
}

// Close ends the polling and waits for the goroutine; an exchange in progress is cancelled.
func (c *Client) Close() {
	c.cancel()
	c.running.Wait()
}

// run queries as the resolver decides, and passes on the outcome of each round, until the context ends.
func (c *Client) run(ctx context.Context) {
	start := time.Now()
	var failures error // of this round
	for {
		next := c.resolver.Next()
		if !waitUntil(ctx, start.Add(next.at)) {
			return
		}
		server := c.settings.Servers[next.server]
		update, ttl, err := c.readList(server)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("discovery: %s asked for %s: %w", server, c.settings.Name, err))
			if !c.resolver.Failed(time.Since(start)) {
				continue
			}
			update = discovery.Update{Kind: honeyplank.WatchFailed, Err: failures}
		} else {
			c.resolver.Answered(time.Since(start), time.Duration(ttl)*time.Second)
		}
		failures = nil
		c.update(update)
	}
}

// waitUntil waits until a time. It reports false where the context has ended before.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
