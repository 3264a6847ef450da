package audit

import (
	"fmt"
	"slices"
	"time"

	"honeyplank/settings"
)

// slowStartWindow sums up the dispatches to a disk server in slow start within one window of time.
type slowStartWindow struct {
	server        string
	age           time.Duration // of the disk server at the end of the window
	units         float64
	notifiedUnits float64 // the part of units from gateways that were notified of the start
	maxUnits      float64 // more units than these overload the disk server
}

// checkSlowStarts checks that no disk server in slow start is sent so many units within a window that it is overloaded.
func (c *checker) checkSlowStarts() {
	slowStart := c.settings.Policy.SlowStart
	if slowStart == nil {
		return
	}
	byServer := map[string][]*dispatchRecord{}
	for _, dispatch := range c.dispatches {
		byServer[dispatch.server] = append(byServer[dispatch.server], dispatch)
	}
	highestRatio, evidence := 0.0, ""
	for server, starts := range c.starts {
		for _, start := range starts {
			for _, window := range c.slowStartWindows(byServer[server], server, start, slowStart) {
				if loadRatio := window.loadRatio(); loadRatio > highestRatio {
					highestRatio, evidence = loadRatio, window.String()
				}
				c.checkSlowStart(window, slowStart)
			}
		}
	}
	if c.verdict.Kept {
		c.verdict.Evidence = evidence
	}
}

// checkSlowStart checks one window of a disk server in slow start.
func (c *checker) checkSlowStart(window slowStartWindow, slowStart *settings.SlowStart) {
	c.verdict.Checked++
	// Gateways that were not notified of the start cannot limit their load, and the other gateways have no information
	// on that load. A window with more than a third of its units from them is therefore no violation.
	mostWereNotified := window.notifiedUnits >= window.units*2/3
	if window.units > window.maxUnits && mostWereNotified {
		c.recordViolation("%s, %v after its start, had been sent %.0f units within %v, over %.1f times its capacity",
			window.server, window.age, window.units, slowStart.Window.Duration(), slowStart.Multiple)
	}
}

// slowStartWindows returns one window for each dispatch to a disk server in slow start; the window ends with it.
func (c *checker) slowStartWindows(
	dispatches []*dispatchRecord, server string, start startRecord, slowStart *settings.SlowStart,
) (windows []slowStartWindow) {
	length := slowStart.Window.Duration()
	first := 0
	for i, dispatch := range dispatches {
		age := dispatch.at - start.at
		if age < 0 || age > slowStart.Time.Duration()+length {
			continue
		}
		for dispatches[first].at < dispatch.at-length || dispatches[first].at < start.at {
			first++
		}
		window := slowStartWindow{
			server: server, age: age, maxUnits: slowStart.Multiple * start.capacity(age) * length.Seconds(),
		}
		for _, within := range dispatches[first : i+1] {
			if within.op == nil {
				continue
			}
			units := c.units(within.op)
			window.units += units
			if c.wasNotified(within, start) {
				window.notifiedUnits += units
			}
		}
		windows = append(windows, window)
	}
	return windows
}

// wasNotified reports whether, by the time of a dispatch, its gateway had been notified of a start of the disk server.
func (c *checker) wasNotified(dispatch *dispatchRecord, start startRecord) bool {
	return slices.ContainsFunc(c.notices, func(notice noticeRecord) bool {
		return notice.gateway == dispatch.gateway && notice.server == dispatch.server &&
			notice.at <= dispatch.at && notice.started >= start.at-timeTolerance
	})
}

// loadRatio returns the units that were sent, as a fraction of maxUnits.
func (window slowStartWindow) loadRatio() float64 { return window.units / window.maxUnits }

// String describes the window's load as evidence.
func (window slowStartWindow) String() string {
	return fmt.Sprintf("highest load: %.0f%% of the overload limit of %s, %v after its start",
		100*window.loadRatio(), window.server, window.age.Round(time.Millisecond))
}
