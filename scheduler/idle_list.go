package scheduler

// idleConnList holds the idle connections to all disk servers, the one that has been idle longest first, so that finding
// the next to close costs the same for any number of disk servers. Connections are linked through their idleLinks, so
// that each can be taken out at once.
type idleConnList struct {
	first, last *serverConn
}

// idleLinks are the neighbours of a connection in the list of idle connections.
type idleLinks struct {
	previous, next *serverConn
	listed         bool
}

// pushBack adds a connection that has just become idle.
func (l *idleConnList) pushBack(sc *serverConn) {
	sc.idleLinks = idleLinks{previous: l.last, listed: true}
	if l.last != nil {
		l.last.idleLinks.next = sc
	} else {
		l.first = sc
	}
	l.last = sc
}

// remove takes a connection out; one that is not idle is not in the list, and nothing happens.
func (l *idleConnList) remove(sc *serverConn) {
	links := sc.idleLinks
	if !links.listed {
		return
	}
	if links.previous != nil {
		links.previous.idleLinks.next = links.next
	} else {
		l.first = links.next
	}
	if links.next != nil {
		links.next.idleLinks.previous = links.previous
	} else {
		l.last = links.previous
	}
	sc.idleLinks = idleLinks{}
}
