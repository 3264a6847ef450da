package membership

import "time"

// flapHoldGrowth is by which factor each hold is longer than the one before.
const flapHoldGrowth = 2

// flapHold counts the returns of one server and holds those that come too often. It guards against servers that the
// sources take out and put back again and again, each time moving ops; it could harm where a server restarts often and
// works each time.
type flapHold struct {
	returns   []time.Duration // within Settings.FlapWindow, which begins again at the end of a hold
	length    time.Duration   // of the last hold; 0: none within the window
	heldUntil time.Duration   // end of the hold in force; 0: none
}

// holdReturn records that a server that was taken out would be up again, and reports whether it is held out for now.
func (f *flapHold) holdReturn(now time.Duration, settings Settings) bool {
	if f.heldUntil > now {
		return true
	}
	if f.heldUntil > 0 { // the hold is over, and the return was counted when it began
		f.heldUntil = 0
		return false
	}
	f.forget(now - settings.FlapWindow - f.length)
	f.returns = append(f.returns, now)
	if settings.FlapThreshold <= 0 || len(f.returns) < settings.FlapThreshold {
		return false
	}
	f.length = min(max(flapHoldGrowth*f.length, settings.FlapHold), settings.FlapWindow)
	f.heldUntil = now + f.length
	return f.heldUntil > now
}

// forget drops the returns up to a time. Where none remains, the next hold is as short as the first.
func (f *flapHold) forget(upTo time.Duration) {
	for len(f.returns) > 0 && f.returns[0] <= upTo {
		f.returns = f.returns[1:]
	}
	if len(f.returns) == 0 {
		f.length = 0
	}
}
