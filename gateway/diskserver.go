package gateway

import (
	"honeyplank"
	"honeyplank/initiator"
)

// disk is the connection to one disk server, made when something is to be sent.
type disk struct {
	g       *Instance
	id      honeyplank.ServerID
	link    *initiator.Association
	waiting []func(ready bool) // until the association stands
	out     int
}

func (g *Instance) disk(id honeyplank.ServerID) *disk {
	d := g.disks[id]
	if d == nil {
		d = &disk{g: g, id: id}
		g.disks[id] = d
	}
	return d
}

// when calls f once the association stands, or has failed.
func (d *disk) when(f func(ready bool)) {
	if d.link != nil && d.link.IsReady() {
		f(true)
		return
	}
	d.waiting = append(d.waiting, f)
	if d.link == nil || d.link.Over() {
		t := &d.g.s.DiskServers
		d.link = initiator.Dial(d.g.loop, initiator.Settings{Address: string(d.id), Subsystem: t.Subsystem, Host: d.g.s.Listen.Host,
			HostID: [16]byte{byte(d.g.s.Scheduler.Ordinal), byte(d.g.s.Scheduler.Ordinal >> 8)}, Depth: t.Depth, MaxData: int(d.g.s.Limits.Transfer),
			Digests: t.Digests, ConnectTimeout: t.ConnectWithin.D(), KeepAlive: t.KeepAlive.D()}, d)
	}
}

// Ready is called when the association can take commands.
func (d *disk) Ready(*initiator.Association) { d.release(true) }

// Ended is called when the association has ended or could not be made.
func (d *disk) Ended(link *initiator.Association, err error) {
	if d.link != link { // an op that was out there has been sent anew already
		return
	}
	d.g.log.Info().Str("osd", string(d.id)).Err(err).Msg("no connection")
	d.link = nil
	d.release(false)
}

func (d *disk) release(ready bool) {
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f(ready)
	}
}

func (d *disk) closeIdle() {
	if d.link != nil && d.out == 0 && len(d.waiting) == 0 {
		d.link.Close()
		d.link = nil
	}
}
