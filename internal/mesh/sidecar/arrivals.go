package sidecar

import "math"

const (
	rememberFor  = 60.0    // seconds for which each request that came here is known by its id
	mostArrivals = 1 << 16 // so many at once; what is older is known by its sender's floor
	floorFor     = 900.0   // seconds without a request until the floor of a process is forgotten
	mostFloors   = 4096
)

// asker is one process that sends requests here.
type asker struct {
	address string
	life    uint64
}

// arrival is a request as its sender names it.
type arrival struct {
	asker asker
	id    uint64
}

// arrivals knows which requests have come here, so that one that comes again is not run again. Ids grow
// within a process: of the requests that are no longer known one by one, the highest id tells that those up
// to it may have come.
type arrivals struct {
	known  map[arrival]bool
	order  []arrivedAt // the oldest first
	floors map[asker]floor
}

type arrivedAt struct {
	arrival arrival
	at      float64
}

type floor struct {
	id uint64
	at float64 // when the newest of those up to it came
}

func newArrivals() arrivals {
	return arrivals{known: map[arrival]bool{}, floors: map[asker]floor{}}
}

// admit notes a request, and says why it may have come before; "": it has not. Older proxies have no life,
// and the same ids in each: theirs are not told apart.
func (a *arrivals) admit(now float64, r arrival) string {
	a.prune(now)
	switch {
	case r.asker.life == 0:
		return ""
	case a.known[r]:
		return dropRepeated
	case r.id <= a.floors[r.asker].id:
		return dropForgotten
	}
	a.known[r] = true
	a.order = append(a.order, arrivedAt{r, now})
	return ""
}

// prune leaves the oldest requests to their senders' floors.
func (a *arrivals) prune(now float64) {
	for len(a.order) > 0 && (len(a.order) >= mostArrivals || now > a.order[0].at+rememberFor) {
		oldest := a.order[0]
		a.order = a.order[1:]
		delete(a.known, oldest.arrival)
		a.raise(now, oldest)
	}
}

// raise lets a process's floor include a request.
func (a *arrivals) raise(now float64, r arrivedAt) {
	who := r.arrival.asker
	if _, has := a.floors[who]; !has && len(a.floors) >= mostFloors {
		a.forget(now)
	}
	a.floors[who] = floor{max(a.floors[who].id, r.arrival.id), r.at}
}

// forget drops the floors of processes that have long said nothing, and the oldest one in any case.
func (a *arrivals) forget(now float64) {
	var oldest asker
	oldestAt := math.Inf(1)
	for who, f := range a.floors {
		switch {
		case now > f.at+floorFor:
			delete(a.floors, who)
		case f.at < oldestAt:
			oldest, oldestAt = who, f.at
		}
	}
	if len(a.floors) >= mostFloors {
		delete(a.floors, oldest)
	}
}
