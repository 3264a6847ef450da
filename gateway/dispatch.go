package gateway

import (
	"honeyplank"
	"honeyplank/inflight"
	"honeyplank/initiator"
	"honeyplank/nvme"
)

// sender implements inflight.Sender. Once a dispatch has been submitted, its SenderState is the *diskServer and its
// SenderTag the command ID.
type sender struct{ *Instance }

// Send submits a dispatch to its disk server, once the connection is ready.
func (s sender) Send(dispatch *inflight.Dispatch) {
	server := s.diskServer(dispatch.Server)
	if server.isConnected() {
		server.submit(dispatch)
		return
	}
	server.whenConnected(func(ready bool) {
		switch {
		case dispatch.Ended(): // cancelled while the connection was established
		case dispatch.Abandoned(): // no longer needed: the client went while the connection was established
			dispatch.Finish(honeyplank.NotSent, nil, inflight.Feedback{})
		case !ready:
			dispatch.Finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
		default:
			server.submit(dispatch)
		}
	})
}

// Written reports whether a dispatch has been submitted, so that the op may run.
func (s sender) Written(dispatch *inflight.Dispatch) bool { return dispatch.SenderState != nil }

// Abandon cancels a submitted dispatch if a part of its command or data can still be kept from arriving: otherwise it
// would be sent after the final answer of the op, over what its client has written since.
func (s sender) Abandon(dispatch *inflight.Dispatch) {
	server, submitted := dispatch.SenderState.(*diskServer)
	if submitted && server.association != nil && server.association.IO.MayLeave(uint16(dispatch.SenderTag)) {
		dispatch.Cancel()
	}
}

// Cancel abandons the command of a dispatch: nothing more is sent for it, and a later answer is discarded.
func (s sender) Cancel(dispatch *inflight.Dispatch) {
	server, submitted := dispatch.SenderState.(*diskServer)
	if !submitted {
		return
	}
	server.outstanding--
	if server.association != nil {
		server.association.IO.Abandon(uint16(dispatch.SenderTag))
	}
}

// submit sends a dispatch on the association, which must be ready.
func (d *diskServer) submit(dispatch *inflight.Dispatch) {
	command := dispatch.Client().(*op).command
	readBytes := command.Bytes
	if len(command.Data) > 0 {
		readBytes = 0
	}
	sqe := nvme.NewRW(command.Opcode(), command.NSID(), command.SLBA(), command.Blocks())
	commandID, ok := d.association.IO.Submit(sqe, command.Data, readBytes, (*submission)(dispatch))
	if !ok { // every command ID is in use
		dispatch.Finish(honeyplank.ConnectFailed, nil, inflight.Feedback{})
		return
	}
	dispatch.SenderState, dispatch.SenderTag = d, uint64(commandID)
	d.outstanding++
}

// submission is a dispatch that has been submitted.
type submission inflight.Dispatch

// Done implements initiator.Callback. It finishes the dispatch with the outcome of its command.
func (s *submission) Done(result initiator.Result) {
	dispatch := (*inflight.Dispatch)(s)
	if dispatch.Ended() {
		return
	}
	dispatch.SenderState.(*diskServer).outstanding--
	if result.ConnectionLost {
		dispatch.Finish(honeyplank.Reset, nil, inflight.Feedback{})
		return
	}
	load := result.Load()
	dispatch.Finish(outcome(result.Status()), result.Data, inflight.Feedback{
		QuotaUsed:       int(load.PlanUsage),
		ServedElsewhere: float64(load.UnitsElsewhere),
		Load:            loadMetrics(load),
	})
}

// outcome converts the NVMe status of an answer to the code of the dispatch.
func outcome(status nvme.Status) honeyplank.Code {
	switch status.Code() {
	case nvme.Success:
		return honeyplank.Succeeded
	case nvme.Rejected:
		return honeyplank.Rejected
	}
	return honeyplank.Failed
}
