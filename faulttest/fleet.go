package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"honeyplank/audit"
	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/gateway"
	"honeyplank/loadgen"
	"honeyplank/settings"
	"honeyplank/target"
)

const (
	// zoneCount is the number of zones over which the cells are spread.
	zoneCount = 3
	// anyPortAddress is a loopback address to listen on; the system chooses the port.
	anyPortAddress = "127.0.0.1:0"
	// listLag is the time after which the endpoint list reflects the end or start of a process.
	listLag = 300 * time.Millisecond
)

// Limits of the fake disk servers, in bytes unless stated otherwise.
const (
	diskCapsule          = 8 << 10
	diskDataPDU          = 32 << 10
	diskQueueDepth       = 1024 // commands per queue
	diskQueues           = 8    // queues per association
	diskConnections      = 1024
	diskUnsent           = 64 << 20
	diskBuffered         = 256 << 20
	diskHandshakeTimeout = time.Second
)

// build starts etcd, the name servers, the disk servers and the gateways, in this order. It schedules the start of the
// clients on the loop.
func (r *run) build() error {
	var err error
	if r.etcd, err = etcd.New(anyPortAddress); err != nil {
		return err
	}
	r.etcd.OnNotify = r.recordEtcdNotice
	for n := range r.script.FaultTest.Gateways {
		r.gatewaysByNQN[hostNQN(r.script, n)] = n
		if err := r.startNameServer(n); err != nil {
			return err
		}
	}
	r.diskModel = DiskModel(r.script)
	for _, cell := range cellsOf(r.script) {
		if _, err := r.startDiskServer(cell); err != nil {
			return err
		}
		r.updateList(cell, stateOn)
	}
	for n := range r.script.FaultTest.Gateways {
		r.gateways = append(r.gateways, nil)
		if err := r.startGateway(n, anyPortAddress); err != nil {
			return err
		}
	}
	options := r.loadOptions()
	r.loop.Schedule(0, func() { r.load = loadgen.Start(r.loop, options) })
	return nil
}

// cellsOf returns the cells of all volumes, sorted and without duplicates.
func cellsOf(s *settings.Gateway) []int {
	var cells []int
	for i := range s.Volumes.List {
		cells = append(cells, s.Volumes.List[i].CellList()...)
	}
	slices.Sort(cells)
	return slices.Compact(cells)
}

// startNameServer starts the name server of a gateway if the script uses DNS.
func (r *run) startNameServer(n int) error {
	if r.script.EndpointList.DNS == nil {
		return nil
	}
	server, err := dns.New(r.script.EndpointList.DNS.Name)
	if err != nil {
		return err
	}
	server.OnAnswer = r.dnsNoticeRecorder(n)
	r.nameServers = append(r.nameServers, server)
	return nil
}

// loadOptions returns the options of the load generator, which runs the clients of all gateways.
func (r *run) loadOptions() loadgen.Options {
	script := r.script.FaultTest
	options := loadgen.Options{
		Settings: r.script,
		Traffic:  script.Traffic,
		Clients:  script.Clients,
		Retries:  script.Retries,
		Seed:     r.options.Seed,
		Expect:   disk.Fill,
		Digests:  hasWireFaults(r.script),
	}
	if hasWireFaults(r.script) {
		options.CountedSeparately = isBehindFaultyWire
	}
	for n, g := range r.gateways {
		options.Targets = append(options.Targets, loadgen.Target{
			Address:      g.Address(),
			Subsystem:    r.script.Listen.Subsystem,
			OnConnection: r.clientConnectionSetup(n),
			BeforeClose:  func() { r.log.ClientClosed(n) },
		})
	}
	return options
}

// startDiskServer starts a disk server and makes it the current one of a cell. It runs at full capacity, without slow
// start.
func (r *run) startDiskServer(cell int) (*disk.Server, error) {
	var server *disk.Server
	model := r.diskModel
	model.Tap = r.log.ServerObservers(func() string { return server.Address() }, r.gatewaysByNQN)
	model.OnConnection = r.diskConnectionSetup(func() *disk.Server { return server })
	server, err := disk.New(r.loop, anyPortAddress, model, r.rng.Int63())
	if err != nil {
		return nil, err
	}
	r.serverOfCell[cell] = server
	r.servers = append(r.servers, server)
	r.log.AddServer(server.Address(), audit.Location{Zone: zoneOf(cell), Cell: cell})
	return server, nil
}

func zoneOf(cell int) int { return cell % zoneCount }

func hostNQN(s *settings.Gateway, ordinal int) string {
	return fmt.Sprintf("%s-%d", s.Listen.Host, ordinal)
}

// startGateway starts a gateway that listens on an address. After a restart this is the address that it had before.
func (r *run) startGateway(n int, address string) error {
	g, err := gateway.New(gateway.Options{
		Settings: r.gatewaySettings(n, address),
		Seed:     r.options.Seed + int64(n),
		Module:   r.options.Module,
		Log:      r.options.Log.With().Int("gateway", n).Logger(),
	})
	if err != nil {
		return err
	}
	r.gateways[n] = g
	r.serving.Add(1)
	go func() {
		defer r.serving.Done()
		_ = g.Serve(context.Background()) // the error of its loop is ignored; the audit reports unanswered ops
	}()
	return nil
}

// gatewaySettings returns the script's settings, adapted to one gateway.
func (r *run) gatewaySettings(n int, address string) *settings.Gateway {
	s := *r.script
	s.DiskServers.Digests = s.DiskServers.Digests || hasWireFaults(r.script)
	s.FaultTest = nil
	s.Scheduler.Ordinal = n
	s.Scheduler.Instances = r.script.FaultTest.Gateways
	s.Listen.Address = address
	s.Listen.Host = hostNQN(r.script, n)
	s.EndpointList.Etcd = slices.Clone(s.EndpointList.Etcd[:1])
	s.EndpointList.Etcd[0].Endpoint = r.etcd.Address()
	if s.EndpointList.DNS != nil {
		source := *s.EndpointList.DNS
		source.Servers = slices.Clone(source.Servers[:1])
		source.Servers[0].Address = r.nameServers[n].Address()
		s.EndpointList.DNS = &source
	}
	return &s
}

// pickFaultFree randomly chooses count, but at least one, of the current disk servers without a fault and returns their
// cells. It returns fewer if there are not enough.
func (r *run) pickFaultFree(count int) []int {
	var cells []int
	for cell, server := range r.serverOfCell {
		if isFaultFree(server) {
			cells = append(cells, cell)
		}
	}
	slices.Sort(cells)
	r.rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	return cells[:min(max(count, 1), len(cells))]
}

// isFaultFree reports whether a disk server has no injected fault and is not overloaded.
func isFaultFree(server *disk.Server) bool {
	return server.Faults == (disk.Faults{}) && !server.Overloaded
}

// restart kills the disk server of a cell, as if its process had crashed, and starts it again after a downtime, in slow
// start. The endpoint list reflects both after listLag. If the downtime is at most twice listLag, the server stays on
// the list.
func (r *run) restart(cell int, downtime time.Duration) {
	server := r.serverOfCell[cell]
	server.Kill()
	server.Faults.Silent = true // so that pickFaultFree does not choose it meanwhile
	if downtime > 2*listLag {
		r.after(listLag, func() { r.removeFromList(server.Address()) })
	}
	r.after(downtime, func() {
		if err := server.Start(); err != nil {
			r.injectionErr = err
			return
		}
		r.recordStart(server)
		r.after(listLag, func() { r.updateList(cell, stateOn) })
	})
}

// recordStart records the start of a disk server in the audit's log. The capacity is recorded as a function of the age,
// because the server may have started again by the time the rules are checked.
func (r *run) recordStart(server *disk.Server) {
	r.log.ServerStarted(server.Address(), server.CapacityAt)
}

// replace drains the disk server of a cell for a time and then kills it. A new disk server in slow start replaces it.
func (r *run) replace(cell int, notice time.Duration) {
	server := r.serverOfCell[cell]
	server.Faults.Draining = true
	r.updateList(cell, stateDraining)
	r.after(notice, func() {
		server.Kill()
		former := *server
		replacement, err := r.startDiskServer(cell)
		if err != nil {
			r.injectionErr = err
			return
		}
		replacement.Replace(&former)
		r.recordStart(replacement)
		r.removeFromList(former.Address())
		r.updateList(cell, stateOn)
	})
}

// DiskModel returns the configuration of the fake disk servers of a script. s.FaultTest must be set.
func DiskModel(s *settings.Gateway) disk.Model {
	model := disk.Model{
		FakeServers: s.FaultTest.FakeServers,
		Block:       int(s.Volumes.Block),
		Unit:        int(s.Volumes.Unit),
		Extent:      int64(s.Volumes.Extent),
		Meter:       &disk.Meter{Period: s.Policy.UsagePeriod.Duration(), Rate: volumeRates(s)},
		Target: target.Settings{
			Subsystem:        s.DiskServers.Subsystem,
			Serial:           "standin",
			MaxTransfer:      int(s.Limits.MaxTransfer),
			MaxCapsule:       diskCapsule,
			MaxDataPDU:       diskDataPDU,
			QueueDepth:       diskQueueDepth,
			MaxQueues:        diskQueues,
			HandshakeTimeout: diskHandshakeTimeout,
			MaxConnections:   diskConnections,
			MaxUnsent:        diskUnsent,
			MaxBuffered:      diskBuffered,
			Namespaces:       diskNamespaces(s),
		},
	}
	if slowStart := s.Policy.SlowStart; slowStart != nil {
		model.ColdCapacity = slowStart.From
		model.ColdTime = slowStart.Time.Duration()
		model.OverloadWindow = slowStart.Window.Duration()
		model.OverloadFactor = slowStart.Multiple
	}
	return model
}

// volumeRates returns a function from a volume's namespace id to its expected rate, in units per second. The rate of an
// unknown volume is 0.
func volumeRates(s *settings.Gateway) func(nsid uint32) float64 {
	return func(nsid uint32) float64 {
		for _, v := range s.Volumes.List {
			if v.NSID == nsid {
				return s.Plans.List[s.PlanIndex(v.Plan)].Rate
			}
		}
		return 0
	}
}

// diskNamespaces returns the volumes of the settings as namespaces of a disk server, sorted by id.
func diskNamespaces(s *settings.Gateway) []target.Namespace {
	shift := uint8(0)
	for 1<<shift < int(s.Volumes.Block) {
		shift++
	}
	var namespaces []target.Namespace
	for _, v := range s.Volumes.List {
		namespaces = append(namespaces, target.Namespace{ID: v.NSID, Blocks: uint64(v.Size) >> shift, Shift: shift})
	}
	slices.SortFunc(namespaces, func(a, b target.Namespace) int { return cmp.Compare(a.ID, b.ID) })
	return namespaces
}
