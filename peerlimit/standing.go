package peerlimit

// standing is a peer's state by its violations.
type standing int

const (
	trusted   standing = iota // no recent violation
	observed                  // there are violations, fewer than the threshold
	banned                    // no connection is taken
	probation                 // after a ban: one association at a time, and any violation bans again
)

const (
	// probationConnections is how many connections a peer may have on probation: an association needs an admin and an
	// I/O queue.
	probationConnections = 2
	// banGrowth is by which factor each ban is longer than the one before.
	banGrowth = 2
)

// standingInput is an event that may change a standing.
type standingInput int

const (
	inputViolation        standingInput = iota // one more violation, below the threshold
	inputThresholdReached                      // one more, and with it Settings.BanThreshold within the window
	inputQuietPeriod                           // Settings.ViolationWindow without a violation
	inputBanExpired                            // the ban is over
)

// standingTransition is the standing after an input, and what is done besides.
type standingTransition struct {
	next   standing
	action func(*Guard, *peer) // nil: nothing
}

// standingTransitions has the standings of a peer; an input that is not in the table changes nothing. It guards against
// peers that use up work and connections by violating the protocol again and again, in whatever way; it could harm
// where several hosts share one address and one of them is faulty.
var standingTransitions = map[standing]map[standingInput]standingTransition{
	trusted: {
		inputViolation:        {observed, nil},
		inputThresholdReached: {banned, (*Guard).ban},
	},
	observed: {
		inputViolation:        {observed, nil},
		inputThresholdReached: {banned, (*Guard).ban},
		inputQuietPeriod:      {trusted, (*Guard).clear},
	},
	banned: {
		inputBanExpired: {probation, nil},
	},
	probation: {
		inputViolation:        {banned, (*Guard).ban},
		inputThresholdReached: {banned, (*Guard).ban},
		inputQuietPeriod:      {trusted, (*Guard).clear},
	},
}

// apply applies an input to the standing of a peer.
func (g *Guard) apply(p *peer, input standingInput) {
	t, ok := standingTransitions[p.standing][input]
	if !ok {
		return
	}
	p.standing = t.next
	if t.action != nil {
		t.action(g, p)
	}
}

// passTime applies the inputs that are due by now.
func (g *Guard) passTime(p *peer) {
	if p.standing == banned && g.now >= p.bannedUntil {
		g.apply(p, inputBanExpired)
		p.lastViolation = p.bannedUntil // the quiet period begins here: a banned peer has no way to violate anything
	}
	if p.standing != banned && g.now >= p.lastViolation+g.settings.ViolationWindow {
		g.apply(p, inputQuietPeriod)
	}
}

// ban bans a peer, for longer each time.
func (g *Guard) ban(p *peer) {
	p.banLength = min(max(banGrowth*p.banLength, g.settings.InitialBan), max(g.settings.MaxBan, g.settings.InitialBan))
	p.bannedUntil, p.violations = g.now+p.banLength, nil
}

// clear forgets the violations and bans of a peer.
func (g *Guard) clear(p *peer) { p.violations, p.banLength = nil, 0 }
