package balancer

// What operators are told; it decides nothing.

// Avoided is for operators: hosts ejected, unless in panic, and those of zones that are out.
func (b *Balancer) Avoided(now float64) (avoided int) {
	healthy, counted, ejected := 0, 0, 0
	for _, h := range b.hosts {
		switch {
		case h.Status != Ready:
		case h.zone.until > now:
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
