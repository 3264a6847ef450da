package gateway

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"time"

	"honeyplank/peerlimit"
	"honeyplank/settings"
	"honeyplank/target"
)

// maxQueuesPerController is the largest number of I/O queues that a client may create.
const maxQueuesPerController = 64

// volume holds the settings of one namespace.
type volume struct {
	plan      int   // index of the plan in the settings
	instances int   // number of instances that serve the volume's ops
	cells     []int // cell of each extent, indexed by the extent's number modulo the length
}

// makeVolumes returns the volumes of the settings by namespace ID.
func makeVolumes(config *settings.Gateway) map[uint32]*volume {
	volumes := map[uint32]*volume{}
	for i := range config.Volumes.List {
		v := &config.Volumes.List[i]
		volumes[v.NSID] = &volume{plan: config.PlanIndex(v.Plan), instances: v.Instances, cells: v.CellList()}
	}
	return volumes
}

// listen creates the NVMe/TCP target, which listens at once and accepts connections when the loop runs.
func (g *Instance) listen() error {
	server, err := target.Listen(g.loop, g.settings.Listen.Address, g.targetSettings(), g)
	if err != nil {
		return fmt.Errorf("gateway: cannot listen on %s: %w", g.settings.Listen.Address, err)
	}
	g.server = server
	server.DataTimeout = g.opTimeout
	server.OnBan, server.OnReject = g.logBan, g.logRejection
	if limits := g.settings.Limits.Client; limits != nil {
		server.Guard = peerlimit.New(clientLimits(limits))
	}
	return nil
}

func (g *Instance) logRejection(client, reason string) {
	g.log.Warn().Str("client", client).Str("reason", reason).Msg("client connection rejected")
}

func (g *Instance) logBan(client string, duration time.Duration) {
	g.log.Warn().Str("client", client).Dur("duration_ms", duration).Msg("client banned")
}

// clientLimits returns the limits for one client.
func clientLimits(limits *settings.ClientLimits) peerlimit.Settings {
	return peerlimit.Settings{
		MaxConnections:  limits.MaxConnections,
		MaxHandshakes:   limits.MaxHandshakes,
		MaxCommands:     limits.MaxCommands,
		MaxBytes:        int(limits.MaxBufferedBytes),
		PDUTimeout:      limits.PDUTimeout.Duration(),
		BanThreshold:    limits.BanThreshold,
		ViolationWindow: limits.ViolationWindow.Duration(),
		InitialBan:      limits.InitialBan.Duration(),
		MaxBan:          limits.MaxBan.Duration(),
	}
}

// targetSettings returns the settings of the NVMe/TCP target: its identity, limits, namespaces and retry delays.
func (g *Instance) targetSettings() target.Settings {
	config, limits := g.settings, &g.settings.Limits
	offer := target.Settings{
		Subsystem:        config.Listen.Subsystem,
		Serial:           "HP" + strconv.Itoa(config.Scheduler.Ordinal),
		MaxTransfer:      int(limits.MaxTransfer),
		MaxCapsule:       int(limits.MaxCapsule),
		MaxDataPDU:       int(limits.MaxDataPDU),
		QueueDepth:       limits.QueueDepth,
		MaxQueues:        maxQueuesPerController,
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
	slices.SortFunc(list, func(a, b target.Namespace) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
