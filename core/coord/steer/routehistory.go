package steer

import (
	"maps"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// outdatedConfigLimit is how long after a configuration balancers that are cut off from the store and from the fleet may still place
// new flows by a former one.
const outdatedConfigLimit = 30 * time.Second

// routeHistory holds the services to which each address has been routed: open flows stay at their targets when a route moves to another
// service. It starts empty with each process, and a balancer may skip configurations, so for some time it may lack what only those contained.
type routeHistory struct {
	// services has, for each address with a route, every service that any configuration so far has routed it to.
	services map[state.Endpoint][]state.ServiceName
	// flowTTL is how long a flow may be open.
	flowTTL time.Duration
	// incompleteUntil is until when a flow may be open that was placed by a configuration which this balancer never had.
	incompleteUntil time.Time
}

func newRouteHistory(flowTTL time.Duration) routeHistory {
	return routeHistory{services: make(map[state.Endpoint][]state.ServiceName), flowTTL: flowTTL}
}

// missed records that before now there were configurations that this balancer never had.
func (h *routeHistory) missed(now time.Time) {
	h.incompleteUntil = now.Add(outdatedConfigLimit + h.flowTTL)
}

// add adds the routes of a new configuration, and deletes the addresses that have no route any more.
func (h *routeHistory) add(routes map[state.Endpoint]state.Route) {
	maps.DeleteFunc(h.services, func(virtual state.Endpoint, _ []state.ServiceName) bool {
		_, routed := routes[virtual]
		return !routed
	})
	for virtual, route := range routes {
		for _, weighted := range route.Services {
			if !h.wasRouted(virtual, weighted.Service) {
				h.services[virtual] = append(h.services[virtual], weighted.Service)
			}
		}
	}
}

// wasRouted reports whether an address is known to be or to have been routed to a service.
func (h *routeHistory) wasRouted(virtual state.Endpoint, service state.ServiceName) bool {
	return slices.Contains(h.services[virtual], service)
}

// isIncomplete reports whether flows may be open at services other than those in the history.
func (h *routeHistory) isIncomplete(now time.Time) bool { return now.Before(h.incompleteUntil) }
