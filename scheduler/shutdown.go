package scheduler

import "time"

const (
	// The platform kills a process no sooner than this after SIGTERM, plus the longest op timeout, of which it
	// counts so much at most.
	killGrace   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second
	// maxHoldUp is how long a scheduler may be held up between reading its clock and writing.
	maxHoldUp = 150 * time.Millisecond
	// minIntakeTime is how long after SIGTERM new connections may come, with some time to take them up.
	minIntakeTime = 420 * time.Millisecond
	// So long before the kill no more ops are taken, and then what is left is aborted. A hold-up may come before SIGTERM
	// is heard and another before the last answers are written; what is left is for their way.
	intakeMargin = 520 * time.Millisecond
	answerMargin = 2*maxHoldUp + flushMargin
	// flushMargin is how long clients have at least for their last answers before the sockets are closed over what they
	// still send, and flushPollInterval the time between two looks at whether they have them.
	flushMargin       = 30 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// idleBeforeStop is how long nobody may have been there before the end: a connection may stand in the listener's queue.
	idleBeforeStop = 5 * time.Millisecond
)

// Shutdown ends the scheduler in order. Clients go on with the connections that they have, so these are served
// until shortly before the platform kills the process; by then every op taken is answered, and Serve returns. It
// returns sooner once no client is left.
func (s *Scheduler) Shutdown() {
	told := s.loop.Now() // the loop may hear of it late
	s.loop.Post(func() {
		if s.shuttingDown {
			return
		}
		s.shuttingDown = true
		s.log.Info().Int("open", s.tracker.Unanswered()).Msg("ending")
		s.logCounters()
		var longest time.Duration
		for _, t := range s.site().Settings.OpTypes.OpTimeout {
			longest = max(longest, t)
		}
		s.shutdown = planShutdown(told, longest)
		s.loop.Schedule(told+killGrace, func() { s.graceElapsed = true; s.stopIfIdle() })
		s.loop.Schedule(s.shutdown.closeIntake, func() { // in the next round: who waits at the listener comes in before
			s.loop.Schedule(s.loop.Now(), s.closeIntake)
		})
	})
}

// shutdownPlan is when what happens before the platform kills the process: no more ops are taken; what is left is aborted.
type shutdownPlan struct{ closeIntake, failRemaining, killTime time.Duration }

// planShutdown plans the end of a scheduler that was told of it at a time and whose ops have a longest time.
func planShutdown(told, longest time.Duration) shutdownPlan {
	killed := told + min(longest, maxKillWait) + killGrace
	return shutdownPlan{closeIntake: max(killed-intakeMargin, told+minIntakeTime), failRemaining: killed - answerMargin, killTime: killed}
}

// closeIntake has every client get an end in order once it has its answers. What has not been read stays unread: its
// client sends it again elsewhere.
func (s *Scheduler) closeIntake() {
	s.intakeClosed, s.graceElapsed = true, true
	s.listener.Close()
	for c := range s.clients {
		c.closeWhenAnswered()
	}
	s.stopIfIdle()
	s.loop.Schedule(s.shutdown.failRemaining, func() {
		s.tracker.FailAll()
		s.logCounters()
		s.stopWhenFlushed(s.loop.Now() + flushMargin)
	})
}

// stopWhenFlushed ends the loop at a time, or as soon after as all clients have what they are owed: a close over what they still
// send would take it from them. It is not put off past the kill.
func (s *Scheduler) stopWhenFlushed(at time.Duration) {
	s.loop.Schedule(at, func() {
		for c := range s.clients {
			if c.conn.UnackedBytes() > 0 && s.loop.Now() < s.shutdown.killTime-flushMargin {
				s.stopWhenFlushed(s.loop.Now() + flushPollInterval)
				return
			}
		}
		s.loop.Stop()
	})
}

// stopIfIdle ends the loop once the platform sends no clients any more, none is left, and no op is owed an answer.
func (s *Scheduler) stopIfIdle() {
	if !s.isIdle() || s.stopping {
		return
	}
	s.stopping = true
	s.loop.Schedule(s.loop.Now()+idleBeforeStop, func() {
		if s.stopping = s.isIdle(); s.stopping {
			s.logCounters()
			s.setWatch(false)
			s.loop.Stop()
		}
	})
}

func (s *Scheduler) isIdle() bool {
	return s.graceElapsed && s.tracker.Unanswered() == 0 && len(s.clients) == 0
}
