package initiator

import (
	"honeyplank/nvme"
)

// Identify sends an Identify command. The admin queue must be connected. If the command cannot be sent, callback is not
// called.
func (a *Association) Identify(cns uint8, nsid uint32, callback Callback) {
	c := nvme.Command{nvme.AdminIdentify}
	c.SetNSID(nsid)
	c.SetDW(10, uint32(cns))
	a.Admin.Submit(c, nil, nvme.IdentifyLen, callback)
}

// GetLogPage requests the first n bytes of a log page. n must be a multiple of four. It returns false, and callback is
// not called, if the association is not ready or the admin queue is full.
func (a *Association) GetLogPage(id uint8, n int, callback Callback) bool {
	if !a.IsReady() {
		return false
	}
	c := nvme.Command{nvme.AdminGetLogPage}
	c.SetDW(10, uint32(id)|uint32(n/4-1)<<16) // NUMD, 0's based dwords
	_, ok := a.Admin.Submit(c, nil, n, callback)
	return ok
}

// keepAliveAttempts is the number of Keep Alives that are sent within Settings.KeepAlive.
const keepAliveAttempts = 4

// sendKeepAlive sends a Keep Alive and schedules the next one. It ends the association if none has been answered for
// Settings.KeepAlive (Base 3.9).
func (a *Association) sendKeepAlive() {
	now := a.loop.Now()
	if now-a.keepAliveAnswered >= a.settings.KeepAlive {
		a.end(errKeepAliveTimeout)
		return
	}
	if a.Admin.Free() > adminDepth/2 {
		answered := func(Result) { a.keepAliveAnswered = a.loop.Now() }
		a.Admin.Submit(nvme.Command{nvme.AdminKeepAlive}, nil, 0, a.mustSucceed("Keep Alive", answered))
	}
	a.timer = a.loop.Schedule(now+a.settings.KeepAlive/keepAliveAttempts, a.sendKeepAlive)
}
