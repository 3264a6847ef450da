package membership

import "time"

// flapHoldGrowth is the ratio of the length of a hold to that of the previous one.
const flapHoldGrowth = 2

// flapHold counts the returns of one server to service, and delays them if they are too frequent. Without it, a server
// that the sources remove and add again repeatedly would move ops each time. Limitation: a server that restarts often
// and works each time is held out of service too.
type flapHold struct {
	returns   []time.Duration // times of the returns within Settings.FlapWindow, extended by the last hold
	length    time.Duration   // of the last hold; 0: none within the window
	heldUntil time.Duration   // end of the current hold; 0: none
}

// holdReturn records that a server that was out of service would be up again, and reports whether it stays out of
// service for now.
func (f *flapHold) holdReturn(now time.Duration, settings Settings) bool {
	if f.heldUntil > now {
		return true
	}
	if f.heldUntil > 0 { // the hold has expired; the return was counted when the hold began
		f.heldUntil = 0
		return false
	}
	f.expireReturns(now - settings.FlapWindow - f.length)
	f.returns = append(f.returns, now)
	if settings.FlapThreshold <= 0 || len(f.returns) < settings.FlapThreshold {
		return false
	}
	f.length = min(max(flapHoldGrowth*f.length, settings.FlapHold), settings.FlapWindow)
	f.heldUntil = now + f.length
	return f.heldUntil > now
}

// expireReturns removes the returns up to a time. If none remains, the next hold has the length of the first one.
func (f *flapHold) expireReturns(upTo time.Duration) {
	for len(f.returns) > 0 && f.returns[0] <= upTo {
		f.returns = f.returns[1:]
	}
	if len(f.returns) == 0 {
		f.length = 0
	}
}
