package audit

import (
	"fmt"
	"slices"
	"time"

	"honeyplank/settings"
)

// slowStartWindow is what a disk server in slow start was sent within a window.
type slowStartWindow struct {
	server   string
	age      time.Duration // of the disk server at the end of the window
	units    float64
	notified float64 // units of these from gateways that were notified of the start
	most     float64 // units with which it is overloaded
}

// checkSlowStarts checks that no disk server that has just started is sent more within a window than it can bear.
func (j *judge) checkSlowStarts() {
	slowStart := j.settings.Policy.SlowStart
	if slowStart == nil {
		return
	}
	byServer := map[string][]*dispatchRecord{}
	for _, dispatch := range j.dispatches {
		byServer[dispatch.server] = append(byServer[dispatch.server], dispatch)
	}
	nearest, evidence := 0.0, ""
	for server, starts := range j.starts {
		for _, start := range starts {
			for _, window := range j.slowStartWindows(byServer[server], server, start, slowStart) {
				if part := window.part(); part > nearest {
					nearest, evidence = part, window.String()
				}
				j.checkSlowStart(window, slowStart)
			}
		}
	}
	if j.verdict.Kept {
		j.verdict.Evidence = evidence
	}
}

// checkSlowStart checks what a disk server was sent within a window.
func (j *judge) checkSlowStart(window slowStartWindow, slowStart *settings.SlowStart) {
	j.verdict.Checked++
	// With a third or more from gateways that were not notified of the start, the others could not know.
	couldKnow := window.notified >= window.units*2/3
	if window.units > window.most && couldKnow {
		j.violation("%s, %v after its start, had been sent %.0f units within %v, over %.1f times its capacity",
			window.server, window.age, window.units, slowStart.Window.Duration(), slowStart.Multiple)
	}
}

// slowStartWindows are the windows that end with a dispatch to a disk server in slow start.
func (j *judge) slowStartWindows(
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
			server: server, age: age, most: slowStart.Multiple * start.capacity(age) * length.Seconds(),
		}
		for _, within := range dispatches[first : i+1] {
			if within.op == nil {
				continue
			}
			units := j.units(within.op)
			window.units += units
			if j.wasNotified(within, start) {
				window.notified += units
			}
		}
		windows = append(windows, window)
	}
	return windows
}

// wasNotified reports whether the gateway of a dispatch had been notified of a start of its disk server.
func (j *judge) wasNotified(dispatch *dispatchRecord, start startRecord) bool {
	return slices.ContainsFunc(j.notices, func(notice noticeRecord) bool {
		return notice.gateway == dispatch.gateway && notice.server == dispatch.server &&
			notice.at <= dispatch.at && notice.started >= start.at-slack
	})
}

// part is what was sent as a part of what overloads the disk server.
func (window slowStartWindow) part() float64 { return window.units / window.most }

// String is the evidence of how near the window came.
func (window slowStartWindow) String() string {
	return fmt.Sprintf("nearest: %.0f%% of what overloads %s, %v after its start",
		100*window.part(), window.server, window.age.Round(time.Millisecond))
}
