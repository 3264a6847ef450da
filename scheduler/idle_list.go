package scheduler

// idleConnList is a doubly linked list of the idle connections to all disk servers, the longest idle first. So finding
// the next connection to close costs the same for any number of disk servers. The links are fields of the connections,
// so that removing one costs the same for any number of connections.
type idleConnList struct {
	first, last *serverConn
}

// idleLinks has the neighbours of a connection in the idleConnList.
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

// remove removes a connection. A connection that is not in the list is ignored.
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
