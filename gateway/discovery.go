package gateway

import (
	"honeyplank/discovery"
	"honeyplank/discovery/dns"
	"honeyplank/discovery/etcd"
	"honeyplank/membership"
	"honeyplank/settings"
)

// membershipSettings returns the settings of the membership ledger. If none are configured, each removal by a source
// takes effect at once.
func membershipSettings(config *settings.Gateway) membership.Settings {
	trust := config.EndpointList.SourceTrust
	if trust == nil {
		return membership.Settings{MaxRemovedShare: 1}
	}
	return membership.Settings{
		MaxRemovedShare: trust.MaxRemovedShare,
		ConfirmAfter:    trust.ConfirmAfter.Duration(),
		FlapWindow:      trust.FlapWindow.Duration(),
		FlapThreshold:   trust.FlapThreshold,
		FlapHold:        trust.FlapHold.Duration(),
	}
}

// configureDiscovery creates the etcd client and prepares the DNS client, which Serve starts.
func (g *Instance) configureDiscovery() {
	if len(g.settings.EndpointList.Etcd) > 0 {
		g.etcd = etcd.New(etcdSettings(g.settings), g.updateHandler(membership.Etcd))
	}
	if g.settings.EndpointList.DNS != nil {
		config := dnsSettings(g.settings.EndpointList.DNS, g.options.Seed)
		g.startDNS = func() { g.dns = dns.New(config, g.updateHandler(membership.DNS)) }
	}
}

func etcdSettings(config *settings.Gateway) etcd.Settings {
	list := &config.EndpointList
	source := etcd.Settings{
		UserAgent: config.Listen.Host,
		Prefix:    list.Prefix,
		MaxNodes:  list.MaxServers,
		Timeout:   list.WatchWithin.Duration(),
	}
	for _, e := range list.Etcd {
		source.Endpoints = append(source.Endpoints, e.Endpoint)
	}
	return source
}

func dnsSettings(config *settings.DNSSource, seed int64) dns.Settings {
	source := dns.Settings{
		Name:        config.Name,
		MinInterval: config.MinInterval.Duration(),
		MaxInterval: config.MaxInterval.Duration(),
		Timeout:     config.Timeout.Duration(),
		Seed:        seed,
	}
	for _, server := range config.Servers {
		source.Servers = append(source.Servers, server.Address)
	}
	return source
}

// updateHandler returns the function that passes a source's updates to the event loop. The source's goroutine calls it.
func (g *Instance) updateHandler(source membership.Source) func(discovery.Update) {
	return func(update discovery.Update) {
		g.loop.Post(func() { g.handleUpdate(source, update) })
	}
}
