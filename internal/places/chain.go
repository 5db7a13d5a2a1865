package places

// chain is a list whose links are part of what it lists, so that entering and leaving cost no allocation and no search.
type chain[T any] struct {
	first, last *link[T]
	length      int
}

// link is an item's place in one chain.
type link[T any] struct {
	item       *T
	in         *chain[T]
	prev, next *link[T]
}

// push puts a link that is in no chain at the end.
func (c *chain[T]) push(l *link[T], item *T) {
	*l = link[T]{item: item, in: c, prev: c.last}
	if c.last != nil {
		c.last.next = l
	} else {
		c.first = l
	}
	c.last = l
	c.length++
}

// front is the item that has been in the chain for longest, nil where there is none.
func (c *chain[T]) front() *T {
	if c.first == nil {
		return nil
	}
	return c.first.item
}

// drop takes the link out of its chain, if it is in one.
func (l *link[T]) drop() {
	c := l.in
	if c == nil {
		return
	}
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		c.first = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	} else {
		c.last = l.prev
	}
	c.length--
	*l = link[T]{}
}
