package scheduler

import (
	"slices"
	"time"

	"honeyplank"
)

const (
	// The platform kills a process no sooner than the longest op timeout plus killGrace after SIGTERM. It counts at
	// most maxKillWait for the op timeout.
	killGrace   = 700 * time.Millisecond
	maxKillWait = 3 * time.Second
	// maxProcessPause is the longest pause of the process between reading its clock and writing.
	maxProcessPause = 150 * time.Millisecond
	// minAdmissionTime is the time after SIGTERM in which clients may still connect, plus some time to accept their
	// connections.
	minAdmissionTime = 420 * time.Millisecond
	// Admission closes admissionMargin before the kill, and unanswered ops fail answerMargin before it. The process may
	// pause before the loop handles SIGTERM and again before it writes the last replies; flushMargin is for their
	// transmission.
	admissionMargin = 520 * time.Millisecond
	answerMargin    = 2*maxProcessPause + flushMargin
	// flushMargin is the minimum time for clients to acknowledge their last replies before the sockets close with
	// unread input. flushPollInterval is the time between two checks whether they have acknowledged them.
	flushMargin       = 30 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// idleBeforeStop is the time without clients after which the loop stops. A connection may still be in the
	// listener's queue when the last client closes.
	idleBeforeStop = 5 * time.Millisecond
)

// Shutdown starts a graceful shutdown. Clients keep using their connections, so these are served until shortly before
// the platform kills the process. By then every op has its answer and Serve returns. If all clients close their
// connections, Serve returns earlier. Shutdown may be called from any goroutine; a second call has no effect.
func (s *Scheduler) Shutdown() {
	notified := s.loop.Now() // read here, since the loop may start the shutdown after a process pause
	s.loop.Post(func() { s.beginShutdown(notified) })
}

// beginShutdown schedules the steps of a shutdown; notified is when the process was notified of it.
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
	s.loop.Schedule(s.shutdown.closeAdmission, func() { // one more iteration accepts the listener's queue
		s.loop.Schedule(s.loop.Now(), s.closeAdmission)
	})
}

// longestOpTimeout returns the longest op timeout, or 0 if there are no op types.
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

// planShutdown computes the times of a shutdown from the time of its notification and the longest op timeout.
func planShutdown(notified, longestTimeout time.Duration) shutdownPlan {
	killTime := notified + min(longestTimeout, maxKillWait) + killGrace
	return shutdownPlan{
		closeAdmission: max(killTime-admissionMargin, notified+minAdmissionTime),
		failRemaining:  killTime - answerMargin,
		killTime:       killTime,
	}
}

// closeAdmission stops reading from all clients and closes each connection after the replies to its commands. It leaves
// pending input unread, so that the client sends it again to another scheduler.
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

// stopWhenAcked stops the loop at the given time, or later when all clients have acknowledged their replies. A close
// with unread input resets the connection, which discards replies in transit. The stop is postponed at most until
// flushMargin before the kill.
func (s *Scheduler) stopWhenAcked(at time.Duration) {
	s.loop.Schedule(at, func() {
		for c := range s.clients {
			if c.conn.UnackedBytes() > 0 && s.loop.Now() < s.shutdown.killTime-flushMargin {
				s.stopWhenAcked(s.loop.Now() + flushPollInterval)
				return
			}
		}
		s.stop()
	})
}

// stop ends the loop. It resets the connections on which commands are not acknowledged: every op has its answer, and
// this machine's kernel would deliver these commands even after the end of the process.
func (s *Scheduler) stop() {
	for _, ds := range s.servers {
		for _, sc := range slices.Clone(ds.conns) {
			sc.close()
		}
	}
	s.loop.Stop()
}

// stopIfIdle stops the loop after idleBeforeStop if the scheduler is idle now and is idle again at that time.
func (s *Scheduler) stopIfIdle() {
	if !s.isIdle() || s.stopping {
		return
	}
	s.stopping = true
	s.loop.Schedule(s.loop.Now()+idleBeforeStop, func() {
		if s.stopping = s.isIdle(); s.stopping {
			s.logCounters()
			s.stopWatch()
			s.stop()
		}
	})
}

// isIdle reports whether no more clients are expected to connect, none is connected, and every op has its answer.
func (s *Scheduler) isIdle() bool {
	return s.graceElapsed && s.tracker.Unanswered() == 0 && len(s.clients) == 0
}
