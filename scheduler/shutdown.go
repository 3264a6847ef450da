package scheduler

import (
	"slices"
	"time"
)

const (
	// The platform kills a process no sooner than killGrace after SIGTERM, plus the longest op timeout, of which it counts
	// maxKillWait at most.
	killGrace   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second
	// maxHoldUp is how long a scheduler may be held up between reading its clock and writing.
	maxHoldUp = 150 * time.Millisecond
	// minIntakeTime is how long after SIGTERM new connections may come, with some time to accept them.
	minIntakeTime = 420 * time.Millisecond
	// The intake is closed intakeMargin before the kill, and what is unanswered fails answerMargin before it. There may be a
	// hold-up before the loop handles SIGTERM and another before the last replies are written; flushMargin is for their
	// way to the clients.
	intakeMargin = 520 * time.Millisecond
	answerMargin = 2*maxHoldUp + flushMargin
	// flushMargin is how long clients have at least for their last replies before the sockets are closed over what they
	// still send, and flushPollInterval the time between two checks whether they have them.
	flushMargin       = 30 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// idleBeforeStop is for how long there has to be no client before the loop stops: a connection may stand in the
	// listener's queue.
	idleBeforeStop = 5 * time.Millisecond
)

// Shutdown ends the scheduler gracefully. Clients go on with the connections that they have, so these are served until
// shortly before the platform kills the process; by then every op has its answer, and Serve returns. It returns sooner
// once no client is left. It may be called from any goroutine; a second call changes nothing.
func (s *Scheduler) Shutdown() {
	notified := s.loop.Now() // the loop may be held up before it begins the shutdown
	s.loop.Post(func() { s.beginShutdown(notified) })
}

func (s *Scheduler) beginShutdown(notified time.Duration) {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.log.Info().Int("unanswered", s.tracker.Unanswered()).Msg("ending")
	s.logCounters()
	s.shutdown = planShutdown(notified, slices.Max(append([]time.Duration{0}, s.site().Settings.OpTypes.OpTimeout...)))
	s.loop.Schedule(notified+killGrace, func() {
		s.graceElapsed = true
		s.stopIfIdle()
	})
	s.loop.Schedule(s.shutdown.closeIntake, func() { // in the next round: who waits at the listener is accepted before
		s.loop.Schedule(s.loop.Now(), s.closeIntake)
	})
}

// shutdownPlan has the times of the steps of a shutdown on the loop's clock.
type shutdownPlan struct {
	closeIntake   time.Duration // no more ops are admitted
	failRemaining time.Duration // ops without an answer fail
	killTime      time.Duration // the platform may kill the process
}

// planShutdown plans the shutdown of a scheduler that was notified of it at a time and has a longest op timeout.
func planShutdown(notified, longestTimeout time.Duration) shutdownPlan {
	killTime := notified + min(longestTimeout, maxKillWait) + killGrace
	return shutdownPlan{
		closeIntake:   max(killTime-intakeMargin, notified+minIntakeTime),
		failRemaining: killTime - answerMargin,
		killTime:      killTime,
	}
}

// closeIntake stops reading from all clients and closes each connection once its commands have their replies. What has not
// been read stays unread: its client sends it again elsewhere.
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

// stopWhenFlushed stops the loop at a time, or as soon after as all clients have their replies: a close over what they still
// send would take these from them. It is put off until flushMargin before the kill at most.
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

// stopIfIdle stops the loop once the platform sends no more clients, none is left, and every op has its answer.
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
