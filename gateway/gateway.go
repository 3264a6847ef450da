// Package gateway is honeyplank as a library. An Instance admits Reads and Writes from NVMe/TCP clients and
// dispatches them to disk servers: call New, then Serve, then Shutdown. It delivers events to the decision module and
// executes the actions that the module returns; it takes no decisions itself. Instances share no state other than
// what the caller hands to several of them.
package gateway

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"honeyplank"
	"honeyplank/discovery"
	"honeyplank/discovery/dns"
	"honeyplank/discovery/etcd"
	"honeyplank/estimates"
	"honeyplank/eventloop"
	"honeyplank/incarnation"
	"honeyplank/inflight"
	"honeyplank/membership"
	"honeyplank/peerlimit"
	"honeyplank/policy"
	"honeyplank/settings"
	"honeyplank/target"
)

// Options configure an instance. Settings is required.
type Options struct {
	Settings *settings.Gateway
	Seed     int64
	// Module makes the decision module; nil: policy.New.
	Module func(seed int64, settings *honeyplank.Settings) honeyplank.DecisionModule
	// Estimates holds the estimates of the disk servers that an earlier instance saved; nil: none.
	Estimates *estimates.Record
	// Wall reads the wall clock; nil: time.Now. It may step at any time: no wait, window or deadline depends on it.
	Wall func() time.Time
	Log  zerolog.Logger
}

// Instance is one running gateway. All its state belongs to the goroutine that runs the event loop in Serve; other
// goroutines reach it through loop.Post.
type Instance struct {
	options      Options
	settings     *settings.Gateway
	loop         *eventloop.Loop
	module       honeyplank.DecisionModule
	server       *target.Server
	etcd         *etcd.Client // nil: not a source
	dns          *dns.Client  // nil: not a source, or not started yet
	startDNS     func()       // starts polling DNS; nil: not a source
	ledger       *membership.Ledger
	incarnations [2]incarnation.Tracker // by membership.Source
	ledgerTimer  *eventloop.Timer       // for what changes in the ledger by the passing of time alone
	log          zerolog.Logger

	tracker     *inflight.Tracker
	lastOpID    uint64
	diskServers map[honeyplank.ServerID]*diskServer
	volumes     map[uint32]*volume // by namespace ID
	retryDelays []time.Duration    // what CRDT1 to CRDT3 stand for, ascending
	draining    bool               // no more ops are admitted
	onDrained   func()             // called once no op is owed an answer; nil: not draining, or called already
	done        chan struct{}      // closed when Serve returns
}

// volume is what the settings say of one namespace.
type volume struct {
	plan, hosts int
	cells       []int
}

// clockStart is the time of the loop's clock at New. It is not 0, which stands for never or long ago.
const clockStart = time.Second

// queuesPerController is the largest number of I/O queues that a client may create.
const queuesPerController = 64

// New makes an instance and listens on the address in the settings. Nothing is served before Serve. It fails if there
// are no settings, the event loop can't be made or the address can't be listened on.
func New(options Options) (*Instance, error) {
	if options.Settings == nil {
		return nil, errors.New("gateway: no settings")
	}
	if options.Module == nil {
		options.Module = func(seed int64, values *honeyplank.Settings) honeyplank.DecisionModule {
			return policy.New(seed, values)
		}
	}
	if options.Wall == nil {
		options.Wall = time.Now
	}
	loop, err := eventloop.New(clockStart)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	config := options.Settings
	g := &Instance{
		options:     options,
		settings:    config,
		loop:        loop,
		log:         options.Log,
		module:      options.Module(options.Seed, config.ModuleSettings()),
		diskServers: map[honeyplank.ServerID]*diskServer{},
		volumes:     makeVolumes(config),
		done:        make(chan struct{}),
	}
	g.tracker = inflight.New(loop, g.module, sender{g})
	g.tracker.OnAction = g.execute
	g.tracker.OnIdle = g.checkDrained
	g.retryDelays = possibleRetryDelays(config)
	if err := g.listen(); err != nil {
		loop.Stop()
		loop.Run()
		return nil, err
	}
	g.ledger = membership.New(membershipSettings(config))
	for i := range g.incarnations {
		g.incarnations[i].MaxRemoved = config.EndpointList.MaxServers
	}
	g.configureDiscovery()
	return g, nil
}

// makeVolumes returns the volumes of the settings by namespace ID.
func makeVolumes(config *settings.Gateway) map[uint32]*volume {
	volumes := map[uint32]*volume{}
	for i := range config.Volumes.List {
		v := &config.Volumes.List[i]
		volumes[v.NSID] = &volume{plan: config.PlanIndex(v.Plan), hosts: v.Instances, cells: v.CellList()}
	}
	return volumes
}

// listen makes the NVMe/TCP target and listens.
func (g *Instance) listen() error {
	server, err := target.Listen(g.loop, g.settings.Listen.Address, g.targetSettings(), g)
	if err != nil {
		return fmt.Errorf("gateway: %s: %w", g.settings.Listen.Address, err)
	}
	g.server = server
	if p := g.settings.Limits.Client; p != nil {
		server.Guard = peerlimit.New(peerlimit.Settings{
			MaxConnections:  p.MaxConnections,
			MaxHandshakes:   p.MaxHandshakes,
			MaxCommands:     p.MaxCommands,
			MaxBytes:        int(p.MaxBufferedBytes),
			PDUTimeout:      p.PDUTimeout.Duration(),
			BanThreshold:    p.BanThreshold,
			ViolationWindow: p.ViolationWindow.Duration(),
			InitialBan:      p.InitialBan.Duration(),
			MaxBan:          p.MaxBan.Duration(),
		})
	}
	server.OnBan = func(peer, reason string, duration time.Duration) {
		g.log.Warn().Str("peer", peer).Str("why", reason).Dur("for_ms", duration).Msg("a peer is turned away")
	}
	server.DataTimeout = g.opTimeout
	return nil
}

// targetSettings returns what the instance offers to its clients.
func (g *Instance) targetSettings() target.Settings {
	config, limits := g.settings, &g.settings.Limits
	offer := target.Settings{
		Subsystem:        config.Listen.Subsystem,
		Serial:           "HP" + strconv.Itoa(config.Scheduler.Ordinal),
		MaxTransfer:      int(limits.MaxTransfer),
		MaxCapsule:       int(limits.MaxCapsule),
		MaxDataPDU:       int(limits.MaxDataPDU),
		QueueDepth:       limits.QueueDepth,
		MaxQueues:        queuesPerController,
		HandshakeTimeout: limits.HandshakeTimeout.Duration(),
		MaxConnections:   limits.MaxConnections,
		MaxUnsent:        int(limits.MaxUnsent),
		MaxBuffered:      int(limits.MaxBuffered),
		Namespaces:       namespaces(config),
	}
	for i, delay := range g.retryDelays {
		offer.RetryDelays[i] = uint16((delay + retryDelayUnit - 1) / retryDelayUnit)
	}
	return offer
}

// namespaces returns the volumes of the settings as namespaces, by ID.
func namespaces(config *settings.Gateway) (list []target.Namespace) {
	blockShift := uint8(0)
	for 1<<blockShift < int(config.Volumes.Block) {
		blockShift++
	}
	for i := range config.Volumes.List {
		v := &config.Volumes.List[i]
		id := sha256.Sum256([]byte(config.Listen.Subsystem + "/" + v.Name))
		list = append(list, target.Namespace{
			ID:     v.NSID,
			Blocks: uint64(v.Size) >> blockShift,
			Shift:  blockShift,
			UUID:   [16]byte(id[:16]),
		})
	}
	slices.SortFunc(list, func(a, b target.Namespace) int { return int(int64(a.ID) - int64(b.ID)) })
	return list
}

// membershipSettings returns the settings of the ledger. Without any, each source alone is believed.
func membershipSettings(config *settings.Gateway) membership.Settings {
	b := config.EndpointList.SourceTrust
	if b == nil {
		return membership.Settings{MaxRemovedShare: 1}
	}
	return membership.Settings{
		MaxRemovedShare: b.MaxRemovedShare,
		ConfirmAfter:    b.ConfirmAfter.Duration(),
		FlapWindow:      b.FlapWindow.Duration(),
		FlapThreshold:   b.FlapThreshold,
		FlapHold:        b.FlapHold.Duration(),
	}
}

// configureDiscovery makes the etcd client and prepares the DNS client; DNS is polled from Serve on.
func (g *Instance) configureDiscovery() {
	list := &g.settings.EndpointList
	if len(list.Etcd) > 0 {
		config := etcd.Settings{
			UserAgent: g.settings.Listen.Host,
			Prefix:    list.Prefix,
			MaxNodes:  list.MaxServers,
			Timeout:   list.WatchWithin.Duration(),
		}
		for _, e := range list.Etcd {
			config.Endpoints = append(config.Endpoints, e.Endpoint)
		}
		g.etcd = etcd.New(config, g.updateHandler(membership.Etcd))
	}
	if d := list.DNS; d != nil {
		config := dns.Settings{Name: d.Name, MinInterval: d.MinInterval.Duration(), MaxInterval: d.MaxInterval.Duration(), Timeout: d.Timeout.Duration(), Seed: g.options.Seed}
		for _, server := range d.Servers {
			config.Servers = append(config.Servers, server.Address)
		}
		g.startDNS = func() { g.dns = dns.New(config, g.updateHandler(membership.DNS)) }
	}
}

// updateHandler returns the function that passes a source's updates to the loop; any goroutine may call it.
func (g *Instance) updateHandler(source membership.Source) func(discovery.Update) {
	return func(update discovery.Update) {
		g.loop.Post(func() { g.handleUpdate(source, update) })
	}
}

// Address returns the address that the instance listens on.
func (g *Instance) Address() string { return g.server.Address() }
