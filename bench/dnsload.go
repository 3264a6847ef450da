package bench

import (
	"time"

	"honeyplank/discovery"
	discoverydns "honeyplank/discovery/dns"
	"honeyplank/fake/dns"
)

// Settings of the DNS clients.
const (
	serviceName    = "_honeyplank._tcp.storage.example."
	dnsMinInterval = 100 * time.Millisecond
	dnsMaxInterval = time.Minute
	dnsTimeout     = time.Second
)

// peakWindow is the time over which the peak of queries counts.
const peakWindow = 100 * time.Millisecond

// QueryRate is how many queries a name server gets, in queries a second.
type QueryRate struct {
	Mean float64
	Peak float64 // within any tenth of a second
}

// DNSLoad has many schedulers follow one name server whose records have a lifetime in seconds, for some seconds. All
// begin at once; what is measured begins two lifetimes later, when they have spread out.
func DNSLoad(schedulers int, lifetime uint32, length float64) (QueryRate, error) {
	server, err := dns.New(serviceName)
	if err != nil {
		return QueryRate{}, err
	}
	defer server.Close()
	server.SetRecords(lifetime, []dns.Record{
		{Target: "a--c0.storage.example.", IP: "127.0.0.1", Port: 7000, Weight: 1},
	})
	for i := range schedulers {
		client := discoverydns.New(discoverydns.Settings{
			Servers:     []string{server.Address()},
			Name:        serviceName,
			MinInterval: dnsMinInterval,
			MaxInterval: dnsMaxInterval,
			Timeout:     dnsTimeout,
			Seed:        int64(i),
		}, func(discovery.Update) {})
		defer client.Close()
	}
	time.Sleep(time.Duration(2*lifetime) * time.Second)
	return measureQueries(server, seconds(length)), nil
}

func measureQueries(server *dns.Server, duration time.Duration) QueryRate {
	var rate QueryRate
	first := server.Queries()
	last := first
	for began := time.Now(); time.Since(began) < duration; {
		time.Sleep(peakWindow)
		now := server.Queries()
		rate.Peak = max(rate.Peak, float64(now-last)/peakWindow.Seconds())
		last = now
	}
	rate.Mean = float64(server.Queries()-first) / duration.Seconds()
	return rate
}
