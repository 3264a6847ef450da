package target

import (
	"cmp"
	"slices"
)

// Closed ends the session when its connection has closed. Its open commands end without an answer.
func (s *Session) Closed() {
	if s.phase == phaseEnded {
		return
	}
	s.phase = phaseEnded
	for _, c := range s.openCommands() {
		if c.state == commandAdmitted {
			c.state = commandEnded
			s.uncountCommand(c)
			s.handler.ClientGone(c)
		} else {
			s.drop(c)
		}
	}
	s.commands, s.transfers = nil, nil
	s.leaveController()
}

// openCommands returns the commands in order of their ids.
func (s *Session) openCommands() []*Command {
	open := make([]*Command, 0, len(s.commands))
	for _, c := range s.commands {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *Command) int { return cmp.Compare(a.CID(), b.CID()) })
	return open
}

// leaveController removes the session from its controller. The association ends with its admin queue (TCP 3.5).
func (s *Session) leaveController() {
	k := s.controller
	if k == nil || k.queues[s.queueID] != s {
		return
	}
	delete(k.queues, s.queueID)
	if s.queueID != 0 {
		return
	}
	delete(s.associations.byID, k.id)
	for _, queue := range k.queues {
		queue.connection.end()
	}
}
