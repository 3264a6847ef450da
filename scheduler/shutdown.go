package scheduler

import (
	"time"

	"honeyplank"
)

const (
	// The platform kills a process no sooner than the longest op timeout, but maxKillWait at most, and killGrace after
	// SIGTERM.
	killGrace   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second
	// maxProcessPause is how long a scheduler may be held up between reading its clock and writing.
	maxProcessPause = 150 * time.Millisecond
	// minAdmissionTime is how long after SIGTERM clients may still connect, with some time to accept the connections.
	minAdmissionTime = 420 * time.Millisecond
	// The intake closes admissionMargin before the kill, and unanswered ops fail answerMargin before it. There may be a
	// hold-up before the loop handles SIGTERM and another before the last replies are written; flushMargin is for their
	// transmission.
	admissionMargin = 520 * time.Millisecond
	answerMargin    = 2*maxProcessPause + flushMargin
	// flushMargin is the least time for clients to acknowledge their last replies before the sockets close with their
	// input unread, and flushPollInterval the time between two checks whether they have.
	flushMargin       = 30 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// idleBeforeStop is how long there has to be no client before the loop stops: a connection may be in the listener's
	// queue.
	idleBeforeStop = 5 * time.Millisecond
)

// Shutdown shuts the scheduler down gracefully. Clients keep using their connections, so these are served until shortly
// before the platform kills the process; by then every op has its answer, and Serve returns. It returns sooner once no
// client is left. Shutdown may be called from any goroutine; a second call has no effect.
func (s *Scheduler) Shutdown() {
	notified := s.loop.Now() // the loop may be held up before it begins the shutdown
	s.loop.Post(func() { s.beginShutdown(notified) })
}

// beginShutdown schedules the steps of the shutdown of which the process was notified.
func (s *Scheduler) beginShutdown(notified time.Duration) {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.log.Info().Int("unanswered", s.tracker.Unanswered()).Msg("graceful shutdown started")
	s.logCounters()
	s.shutdown = planShutdown(notified, longestOpTimeout(s.site().Settings.OpTypes))
	s.loop.Schedule(notified+killGrace, func() {
		s.graceElapsed = true
		s.stopIfIdle()
	})
	s.loop.Schedule(s.shutdown.closeAdmission, func() { // a round later: the listener's queue is accepted first
		s.loop.Schedule(s.loop.Now(), s.closeAdmission)
	})
}

// longestOpTimeout is the longest op timeout, 0 without op types.
func longestOpTimeout(opTypes []honeyplank.OpType) (longest time.Duration) {
	for _, opType := range opTypes {
		longest = max(longest, opType.OpTimeout)
	}
	return longest
}

// shutdownPlan has the times of the steps of a shutdown on the loop's clock.
type shutdownPlan struct {
	closeAdmission time.Duration // no more ops are admitted
	failRemaining  time.Duration // ops without an answer fail
	killTime       time.Duration // the platform may kill the process
}

// planShutdown plans a shutdown by the time of its notification and the longest op timeout.
func planShutdown(notified, longestTimeout time.Duration) shutdownPlan {
	killTime := notified + min(longestTimeout, maxKillWait) + killGrace
	return shutdownPlan{
		closeAdmission: max(killTime-admissionMargin, notified+minAdmissionTime),
		failRemaining:  killTime - answerMargin,
		killTime:       killTime,
	}
}

// closeAdmission stops reading from all clients and closes each connection once its commands have their replies. Unread
// input stays unread: its client sends it again to another scheduler.
func (s *Scheduler) closeAdmission() {
	s.admissionClosed, s.graceElapsed = true, true
	s.listener.Close()
	for c := range s.clients {
		c.closeWhenAnswered()
	}
	s.stopIfIdle()
	s.loop.Schedule(s.shutdown.failRemaining, func() {
		s.tracker.FailAll()
		s.logCounters()
		s.stopWhenAcked(s.loop.Now() + flushMargin)
	})
}

// stopWhenAcked stops the loop at a time, or later once all clients have acknowledged their replies: closing with
// unread input resets a connection, which discards replies on their way. The stop is postponed until flushMargin before
// the kill at most.
func (s *Scheduler) stopWhenAcked(at time.Duration) {
	s.loop.Schedule(at, func() {
		for c := range s.clients {
			if c.conn.UnackedBytes() > 0 && s.loop.Now() < s.shutdown.killTime-flushMargin {
				s.stopWhenAcked(s.loop.Now() + flushPollInterval)
				return
			}
		}
		s.loop.Stop()
	})
}

// stopIfIdle stops the loop after idleBeforeStop if the scheduler is still idle then.
func (s *Scheduler) stopIfIdle() {
	if !s.isIdle() || s.stopping {
		return
	}
	s.stopping = true
	s.loop.Schedule(s.loop.Now()+idleBeforeStop, func() {
		if s.stopping = s.isIdle(); s.stopping {
			s.logCounters()
			s.stopWatch()
			s.loop.Stop()
		}
	})
}

// isIdle reports whether no more clients connect, none is left, and every op has its answer.
func (s *Scheduler) isIdle() bool {
	return s.graceElapsed && s.tracker.Unanswered() == 0 && len(s.clients) == 0
}
