package sidecar

// A client that closes its connection waits for no answer any more.

// Where a request was when its client left. They are the labels of a metric.
const (
	leftWaiting = "waiting" // it was sent nowhere: it waits for a host, or between two tries
	leftSent    = "sent"    // a proxy beside a host has it
)

// ClientLeft takes word that the client of a request closed its connection before the answer.
func (p *Sidecar) ClientLeft(now float64, o *Order) {
	p.input(now)
	if o.told || p.orders[o.id] != o {
		return
	}
	place := leftWaiting
	for _, t := range o.tries {
		if t.out {
			place = leftSent
		}
	}
	o.left = true
	p.count.Left[place]++
	if p.o.Debug != nil {
		p.o.Debug("client left", "id", o.ID, "place", place, "tries", len(o.tries), "service", o.service, "after", now-o.taken)
	}
	p.settle()
}
