package balancer

import "fmt"

// What operators are told; it decides nothing.

// Avoided is for operators: hosts ejected, unless in panic, and those of zones that are out.
func (b *Balancer) Avoided(now float64) (avoided int) {
	healthy, counted, ejected := 0, 0, 0
	for _, h := range b.hosts {
		switch {
		case h.Status != Ready:
		case h.zone.out(now):
			avoided++
		case h.until > now:
			ejected++
			counted++
		case h.heard:
			healthy++
			counted++
		}
	}
	if float64(healthy) >= panicThreshold*float64(counted) {
		avoided += ejected
	}
	return avoided
}

// say logs a line, at most one of a kind each quarter aim.
func (b *Balancer) say(format string, args ...any) {
	if until, known := b.quiet[format]; !known || b.now >= until {
		b.quiet[format] = b.now + b.tick()
		b.act.Log(fmt.Sprintf(format, args...))
	}
}
