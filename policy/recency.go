package policy

// recencyList lists records in the order in which they were last used, the oldest first. All
// operations take constant time and allocate nothing.
type recencyList[T any] struct {
	oldest, newest *recencyNode[T]
	count          int
}

// recencyNode is the part of a record that lists use. Its owner sets record.
type recencyNode[T any] struct {
	record         *T
	list           *recencyList[T] // the only list that has the record; nil: none
	previous, next *recencyNode[T]
}

// touch makes a record the newest one of the list, and takes it out of any other list.
func (list *recencyList[T]) touch(node *recencyNode[T]) {
	node.remove()
	node.list, node.previous = list, list.newest
	if list.newest != nil {
		list.newest.next = node
	} else {
		list.oldest = node
	}
	list.newest = node
	list.count++
}

// remove takes a record out of its list, if it is in one.
func (node *recencyNode[T]) remove() {
	list := node.list
	if list == nil {
		return
	}
	if node.previous != nil {
		node.previous.next = node.next
	} else {
		list.oldest = node.next
	}
	if node.next != nil {
		node.next.previous = node.previous
	} else {
		list.newest = node.previous
	}
	node.list, node.previous, node.next = nil, nil, nil
	list.count--
}
