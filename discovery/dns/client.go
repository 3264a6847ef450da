// Package dns polls the endpoint list in DNS SRV records. docs/dns.md has the convention of the records. The package
// passes on the lists that it receives and reports failures. It does not keep a list, and does not compare it with
// another source, which is done by package membership.
//
// resolver.go decides which name server is queried and when; selection.go decides which records are used. Neither does
// I/O. client.go owns the goroutine, which runs from New to Close and calls the function for updates. exchange.go
// performs the exchanges with the name servers.
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

// Settings has the name servers and limits of a Client.
type Settings struct {
	Servers     []string      // addresses of the name servers, queried in turn
	Name        string        // owner name of the SRV records
	MinInterval time.Duration // between rounds of queries, before jitter, even if the TTL of a record is shorter
	MaxInterval time.Duration // between rounds of queries, before jitter, even if the TTL of a record is longer
	Timeout     time.Duration // of one exchange
	Seed        int64         // of the jitter
}

// Client polls the endpoint list in DNS. It passes on updates from its only goroutine, in order, and none after Close:
// Complete for an answer, including a negative one, and WatchFailed if all name servers have failed. After a failure
// the receiver must keep the previous list.
type Client struct {
	settings Settings
	update   func(discovery.Update)
	resolver *resolver
	query    func(server, name string, recordType uint16) (*mdns.Msg, error)
	cancel   context.CancelFunc
	running  sync.WaitGroup
	Queries  int // number of queries sent; may be read only after Close
}

// New starts polling. It calls update for each update, on the goroutine of the Client, which runs until Close. update
// must not call the Client.
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

// Close cancels an exchange in progress, stops polling and waits until the goroutine has ended.
func (c *Client) Close() {
	c.cancel()
	c.running.Wait()
}

// run sends the queries that the resolver decides on, and passes on the result of each round, until ctx is cancelled.
func (c *Client) run(ctx context.Context) {
	start := time.Now()
	var failures error // of the current round
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
			failures = errors.Join(failures, fmt.Errorf("discovery: query %s for %s: %w", server, c.settings.Name, err))
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

// waitUntil waits until a time. It returns false if ctx is cancelled before.
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
