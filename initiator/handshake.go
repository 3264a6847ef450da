package initiator

import (
	"fmt"
	"time"

	"honeyplank/nvme"
)

// sendConnect sends the Connect of a queue after its connection has become ready.
func (a *Association) sendConnect(id queueID) {
	size, controllerID, next := adminDepth+1, uint16(nvme.DynamicController), a.adminConnected
	if id == ioQueue {
		size, controllerID, next = a.settings.Depth+1, a.controllerID, a.ioConnected
	}
	s := a.sessions[id]
	s.MaxCapsule = nvme.ConnectLen
	c := nvme.NewConnect(uint16(id), size, uint32(a.settings.KeepAlive/time.Millisecond))
	data := nvme.ConnectData{
		HostID:       a.settings.HostID,
		ControllerID: controllerID,
		Subsystem:    a.settings.Subsystem,
		Host:         a.settings.Host,
	}
	s.Submit(c, nvme.AppendConnectData(nil, data), 0, a.mustSucceed("Connect", next))
}

// mustSucceed returns a callback that calls next if the command has succeeded, and ends the association if it has
// failed.
func (a *Association) mustSucceed(commandName string, next func(Result)) Callback {
	return CallbackFunc(func(r Result) {
		switch {
		case r.ConnectionLost || a.closed:
		case r.Status() != nvme.Success:
			a.end(fmt.Errorf("initiator: %s failed with status %#x", commandName, r.Status()))
		default:
			next(r)
		}
	})
}

// adminConnected reads CAP, sets CC.EN (Base 3.5.1, 3.1.3.5) and then reads CSTS.
func (a *Association) adminConnected(r Result) {
	const enabled = 1 | 6<<16 | 4<<20 // EN, IOSQES, IOCQES
	a.controllerID = uint16(r.DW0())
	a.Admin = a.sessions[adminQueue]
	a.getProperty(nvme.PropertyCAP, func(r Result) {
		maxEntries := int(r.DW0() & 0xFFFF) // MQES, 0's based: one entry of a queue stays empty
		a.settings.Depth = min(a.settings.Depth, maxEntries)
	})
	enable := nvme.NewProperty(nvme.FabricsPropertySet, nvme.PropertyCC, enabled)
	a.Admin.Submit(enable, nil, 0, a.mustSucceed("Property Set", func(Result) {
		a.getProperty(nvme.PropertyCSTS, a.enabled)
	}))
}

func (a *Association) getProperty(offset uint32, next func(Result)) {
	get := nvme.NewProperty(nvme.FabricsPropertyGet, offset, 0)
	a.Admin.Submit(get, nil, 0, a.mustSucceed("Property Get", next))
}

// enabled checks CSTS.RDY and sends Identify Controller.
func (a *Association) enabled(r Result) {
	if r.DW0()&1 == 0 {
		a.end(errNotReady)
		return
	}
	a.Identify(nvme.IdentifyController, 0, a.mustSucceed("Identify", a.identified))
}

// identified takes the capsule size and the retry delays from the Identify Controller data, and opens the connection of
// the I/O queue.
func (a *Association) identified(r Result) {
	if len(r.Data) != nvme.IdentifyLen {
		a.end(errNoIdentifyData)
		return
	}
	a.ioMaxCapsule = max(nvme.CapsuleBytes(r.Data)-nvme.CommandLen, 0)
	a.RetryDelays = nvme.RetryDelays(r.Data)
	if a.RetryDelays != [3]uint16{} {
		a.honourRetryDelays()
	}
	if err := a.dial(ioQueue); err != nil {
		a.end(err)
		return
	}
	a.settings.MaxData = max(a.settings.MaxData, nvme.IdentifyLen)
}

// honourRetryDelays sets ACRE, by which a host declares that it honours the controller's retry delays. The answer is
// ignored: a controller without the feature sends no retry delays.
func (a *Association) honourRetryDelays() {
	c := nvme.Command{nvme.AdminSetFeatures}
	c.SetDW(10, nvme.FeatureHostBehavior)
	behaviour := make([]byte, nvme.HostBehaviorLen)
	behaviour[0] = 1 // ACRE
	a.Admin.Submit(c, behaviour, 0, CallbackFunc(func(Result) {}))
}

// ioConnected makes the association ready and starts Keep Alive.
func (a *Association) ioConnected(Result) {
	a.IO = a.sessions[ioQueue]
	a.IO.MaxCapsule = a.ioMaxCapsule
	a.ready = true
	a.loop.Cancel(a.timer)
	a.keepAliveAnswered = a.loop.Now()
	if a.settings.KeepAlive > 0 {
		a.sendKeepAlive()
	}
	a.handler.Ready(a)
}
