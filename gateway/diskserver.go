package gateway

import (
	"honeyplank"
	"honeyplank/initiator"
)

// diskServer manages the connection to one disk server. The association is created when something must be sent.
type diskServer struct {
	instance    *Instance
	id          honeyplank.ServerID
	association *initiator.Association // nil: none, or closed
	waiting     []func(ready bool)     // callbacks for the time when the association is ready or has failed
	outstanding int                    // number of submitted commands without an outcome
}

// diskServer returns the disk server with an ID, and creates it if there is none.
func (g *Instance) diskServer(id honeyplank.ServerID) *diskServer {
	d := g.diskServers[id]
	if d == nil {
		d = &diskServer{instance: g, id: id}
		g.diskServers[id] = d
	}
	return d
}

// isConnected reports whether the association takes commands.
func (d *diskServer) isConnected() bool { return d.association != nil && d.association.IsReady() }

// whenConnected calls f when the association is ready or has failed; at once if it is ready already. It connects if
// necessary.
func (d *diskServer) whenConnected(f func(ready bool)) {
	if d.isConnected() {
		f(true)
		return
	}
	d.waiting = append(d.waiting, f)
	if d.association == nil || d.association.IsClosed() {
		d.association = initiator.Dial(d.instance.loop, d.associationSettings(), d)
	}
}

func (d *diskServer) associationSettings() initiator.Settings {
	config := d.instance.settings
	ordinal := config.Scheduler.Ordinal
	return initiator.Settings{
		Address:        string(d.id),
		Subsystem:      config.DiskServers.Subsystem,
		Host:           config.Listen.Host,
		HostID:         [16]byte{byte(ordinal), byte(ordinal >> 8)},
		Depth:          config.DiskServers.QueueDepth,
		MaxData:        int(config.Limits.MaxTransfer),
		Digests:        config.DiskServers.Digests,
		ConnectTimeout: config.DiskServers.ConnectTimeout.Duration(),
		KeepAlive:      config.DiskServers.KeepAlive.Duration(),
	}
}

// Ready implements initiator.Handler: the association takes commands.
func (d *diskServer) Ready(*initiator.Association) { d.notifyWaiting(true) }

// Ended implements initiator.Handler: the association has ended or could not be established.
func (d *diskServer) Ended(association *initiator.Association, err error) {
	if d.association != association { // it was replaced by a later one, or closed by this instance
		return
	}
	d.instance.log.Info().Str("server", string(d.id)).Err(err).Msg("connection to disk server closed")
	d.association = nil
	d.notifyWaiting(false)
}

func (d *diskServer) notifyWaiting(ready bool) {
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f(ready)
	}
}

// closeIdle closes the association if nothing is outstanding or waits for it.
func (d *diskServer) closeIdle() {
	if d.association != nil && d.outstanding == 0 && len(d.waiting) == 0 {
		d.association.Close()
		d.association = nil
	}
}
