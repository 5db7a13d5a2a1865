package capacity

import (
	"encoding/json"
	"fmt"

	"beechwing/internal/mesh/routeconfig"
)

const (
	callTimeout = 1000.0 // milliseconds
	callTarget  = 200.0
	callTries   = 2
)

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }
func serviceHost(i int) string { return serviceName(i) + ".example" }

// keyedPath leads to a route whose calls claim a key.
const (
	plainPath = "/read-0/item"
	keyedPath = "/write-1/item"
)

// configuration is the text of one version: routes for every service, every other one for calls with keys.
func configuration(o *Options, version uint64) []byte {
	c := routeconfig.Config{Edition: fmt.Sprintf("r%d", version)}
	for i := range o.Services {
		c.Carriers = append(c.Carriers, routeconfig.Service{Name: serviceName(i), HealthPath: "/health"})
		for j := range max(2, o.RoutesPerService) {
			c.Itineraries = append(c.Itineraries, route(i, j))
		}
	}
	changed := &c.Itineraries[version%uint64(len(c.Itineraries))]
	changed.TimeoutMs += float64(version % 100)
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // the types are our own
	}
	return text
}

func route(service, number int) routeconfig.Route {
	r := routeconfig.Route{
		Name: fmt.Sprintf("%s-%d", serviceName(service), number), Depot: serviceHost(service),
		LanePrefix: fmt.Sprintf("/read-%d/", number), RouteKind: routeconfig.Safe,
		TimeoutMs: callTimeout, TargetMs: callTarget, Carrier: serviceName(service), Tries: callTries,
	}
	if number%2 == 1 {
		r.LanePrefix, r.RouteKind = fmt.Sprintf("/write-%d/", number), routeconfig.Tracked
	}
	return r
}
