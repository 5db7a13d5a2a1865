package balancer

import "fmt"

// This file holds figures and log lines for operators. It decides nothing.

// Avoided counts, for operators, the ready hosts that are ejected, unless in panic, or in a zone that is out.
func (b *Balancer) Avoided(now float64) (avoided int) {
	healthy, counted, ejected := 0, 0, 0
	for _, h := range b.hosts {
		switch {
		case h.Status != Ready:
		case h.zone.out(now):
			avoided++
		case h.ejectedUntil > now:
			ejected++
			counted++
		case h.observed:
			healthy++
			counted++
		}
	}
	if float64(healthy) >= panicThreshold*float64(counted) {
		avoided += ejected
	}
	return avoided
}

// logLimited logs a line, at most once per tick for each format.
func (b *Balancer) logLimited(format string, args ...any) {
	if until, known := b.logQuietUntil[format]; !known || b.now >= until {
		b.logQuietUntil[format] = b.now + b.tick()
		b.actions.Log(fmt.Sprintf(format, args...))
	}
}
