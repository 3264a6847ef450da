package gateway

import (
	"honeyplank"
	"honeyplank/initiator"
)

// diskServer is the connection to one disk server. The association is made when something is to be sent.
type diskServer struct {
	instance    *Instance
	id          honeyplank.ServerID
	association *initiator.Association // nil: none, or closed
	waiting     []func(ready bool)     // called when the association is ready or has failed
	outstanding int                    // submitted commands without an outcome
}

// diskServer returns the disk server with an ID, and makes it if there is none.
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

// whenConnected calls f once the association is ready (at once, if it is) or has failed. It connects if needed.
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

// Ended implements initiator.Handler: the association has ended or could not be made.
func (d *diskServer) Ended(association *initiator.Association, err error) {
	if d.association != association { // replaced by a later one, or closed by this instance
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
