package places

// list is an intrusive doubly linked list. The nodes are fields of the items, so adding and removing an item needs neither an
// allocation nor a search.
type list[T any] struct {
	first, last *node[T]
	length      int
}

// node links an item into one list.
type node[T any] struct {
	item       *T
	in         *list[T]
	prev, next *node[T]
}

// pushBack appends a node that is in no list.
func (l *list[T]) pushBack(n *node[T], item *T) {
	*n = node[T]{item: item, in: l, prev: l.last}
	if l.last != nil {
		l.last.next = n
	} else {
		l.first = n
	}
	l.last = n
	l.length++
}

// front returns the item that has been in the list for longest, or nil if the list is empty.
func (l *list[T]) front() *T {
	if l.first == nil {
		return nil
	}
	return l.first.item
}

// remove takes the node out of its list, if it is in one.
func (n *node[T]) remove() {
	l := n.in
	if l == nil {
		return
	}
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.first = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.last = n.prev
	}
	l.length--
	*n = node[T]{}
}
