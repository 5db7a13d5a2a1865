package control

import (
	"cmp"
	"slices"
)

// changesSpare is how many superseded changes the log holds at least before they are dropped.
const changesSpare = 64

// change is that the record of a source has changed.
type change struct {
	position uint64
	source   string
}

// changeLog numbers the changes of records in order. Of each source the last one counts.
type changeLog struct {
	position uint64            // of the newest change
	last     map[string]uint64 // the position of each source's last change
	log      []change          // in order; some are superseded
	dropped  uint64            // the newest position whose source has been dropped: what is before it is incomplete
}

func (c *changeLog) init() { c.last = map[string]uint64{} }

// add notes that the record of a source has changed.
func (c *changeLog) add(source string) {
	c.position++
	c.last[source] = c.position
	c.log = append(c.log, change{c.position, source})
	if len(c.log) > 2*len(c.last)+changesSpare {
		c.log = slices.DeleteFunc(c.log, c.superseded)
	}
}

// drop notes that nothing is known of a source any more.
func (c *changeLog) drop(source string) {
	c.dropped = max(c.dropped, c.last[source])
	delete(c.last, source)
}

// complete says whether all that has changed after a position is known.
func (c *changeLog) complete(position uint64) bool {
	return position >= c.dropped && position <= c.position
}

// after gives the sources that have changed after a position, in the order of their last changes.
func (c *changeLog) after(position uint64) (sources []string) {
	first, found := slices.BinarySearchFunc(c.log, position, func(x change, p uint64) int { return cmp.Compare(x.position, p) })
	if found {
		first++
	}
	for _, x := range c.log[first:] {
		if !c.superseded(x) {
			sources = append(sources, x.source)
		}
	}
	return sources
}

func (c *changeLog) superseded(x change) bool { return c.last[x.source] != x.position }
