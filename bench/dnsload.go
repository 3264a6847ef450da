package bench

import (
	"time"

	"honeyplank/discovery"
	discoverydns "honeyplank/discovery/dns"
	"honeyplank/fake/dns"
)

// Settings of the DNS clients that DNSLoad starts.
const (
	serviceName    = "_honeyplank._tcp.storage.example."
	dnsMinInterval = 100 * time.Millisecond
	dnsMaxInterval = time.Minute
	dnsTimeout     = time.Second
)

// peakWindow is the length of the windows over which the peak query rate is measured.
const peakWindow = 100 * time.Millisecond

// QueryRate is the rate of queries that a name server receives, in queries per second.
type QueryRate struct {
	Mean float64
	Peak float64 // the highest rate within a tenth of a second
}

// DNSLoad measures the rate of the queries that the DNS clients of a number of schedulers send to one name server whose
// records have the given lifetime, in seconds. All clients start at once. The measurement starts two lifetimes later,
// when their queries are spread over time, and takes length seconds.
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
		queries := server.Queries()
		rate.Peak = max(rate.Peak, float64(queries-last)/peakWindow.Seconds())
		last = queries
	}
	rate.Mean = float64(server.Queries()-first) / duration.Seconds()
	return rate
}
