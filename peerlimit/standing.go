package peerlimit

// standing is the state of a peer that results from its protocol violations.
type standing int

const (
	trusted   standing = iota // no recent violation
	observed                  // recent violations, fewer than the threshold
	banned                    // every connection is rejected
	probation                 // after a ban: one association at a time, and any violation bans again
)

const (
	// probationConnections is the maximum number of connections of a peer on probation: an association needs one for
	// the admin queue and one for an I/O queue.
	probationConnections = 2
	// banGrowth is the ratio of the length of a ban to that of the previous one.
	banGrowth = 2
)

// standingInput is an event that may change a standing.
type standingInput int

const (
	inputViolation        standingInput = iota // a violation, with fewer than Settings.BanThreshold in the window
	inputThresholdReached                      // the violation that reaches Settings.BanThreshold in the window
	inputQuietPeriod                           // Settings.ViolationWindow without a violation
	inputBanExpired                            // the ban has expired
)

// standingTransition is the standing after an input, and the action on the input.
type standingTransition struct {
	next   standing
	action func(*Guard, *peer) // nil: no action
}

// standingTransitions is the state machine of a peer's standing; an input that is not in the table changes nothing. It
// protects the gateway from abusive clients whose repeated protocol violations, of any kind, cost work and connections.
// Limitation: if several hosts share one address, a faulty one gets all of them banned.
var standingTransitions = map[standing]map[standingInput]standingTransition{
	trusted: {
		inputViolation:        {observed, nil},
		inputThresholdReached: {banned, (*Guard).ban},
	},
	observed: {
		inputViolation:        {observed, nil},
		inputThresholdReached: {banned, (*Guard).ban},
		inputQuietPeriod:      {trusted, (*Guard).resetViolations},
	},
	banned: {
		inputBanExpired: {probation, nil},
	},
	probation: {
		inputViolation:        {banned, (*Guard).ban},
		inputThresholdReached: {banned, (*Guard).ban},
		inputQuietPeriod:      {trusted, (*Guard).resetViolations},
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

// applyDueInputs applies the inputs whose time has come: the end of a ban and the end of a quiet period.
func (g *Guard) applyDueInputs(p *peer) {
	if p.standing == banned && g.now >= p.bannedUntil {
		g.apply(p, inputBanExpired)
		p.lastViolation = p.bannedUntil // the quiet period begins at the end of the ban: a banned peer cannot violate
	}
	if p.standing != banned && g.now >= p.lastViolation+g.settings.ViolationWindow {
		g.apply(p, inputQuietPeriod)
	}
}

// ban bans a peer, for a longer time with each ban.
func (g *Guard) ban(p *peer) {
	p.banLength = min(max(banGrowth*p.banLength, g.settings.InitialBan), max(g.settings.MaxBan, g.settings.InitialBan))
	p.bannedUntil, p.violations = g.now+p.banLength, nil
}

// resetViolations clears the violations of a peer and the length of its last ban.
func (g *Guard) resetViolations(p *peer) { p.violations, p.banLength = nil, 0 }
