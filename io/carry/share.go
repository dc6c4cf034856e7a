package carry

import (
	"go.uber.org/zap"

	"lagoondrum/core/flow"
	"lagoondrum/core/flows"
	"lagoondrum/core/share"
)

// maxRouteLabels bounds the routes that have counters of their own.
const maxRouteLabels = 64

// applySharing switches the order of waiting requests by the settings and by the
// desired state in force.
func (agt *agent) applySharing() {
	stt := agt.tracker.State()
	if stt == nil {
		return
	}
	unequal := stt.SharedUnequally(agt.settings.Service())
	on := agt.settings.ShedsByCost(unequal)
	if on == agt.table.SharesByCost() {
		return
	}
	agt.table.ShareByCost(on)
	agt.log.Info("order of waiting requests", zap.Bool("byCost", on), zap.Bool("sharedUnequally", unequal), zap.Uint64("version", stt.Version()))
}

// countWaiting counts a request that waits, by its route.
func (agt *agent) countWaiting(act flows.Action) {
	if agt.table.SharesByCost() {
		agt.metrics.scope.Counter("requestsWaited", "route", agt.routeLabel(act.Key().Service()), "prospect", act.Prospect().String()).Inc(1)
	}
}

// countRefused counts an opening that is refused for lack of capacity, by its route.
func (agt *agent) countRefused(act flows.Action) {
	reason := "elsewhere"
	if act.Prospect() == share.Hopeless {
		reason = "givenUpBefore"
	}
	agt.metrics.scope.Counter("openingsRefused", "route", agt.routeLabel(act.Key().Service()), "reason", reason).Inc(1)
}

// routeLabel returns the name of an address's route for counters.
func (agt *agent) routeLabel(address flow.Endpoint) string {
	name := address.String()
	if stt := agt.tracker.State(); stt != nil && stt.Route(address) != nil && stt.Route(address).Name() != "" {
		name = stt.Route(address).Name()
	}
	if !agt.metrics.routes[name] {
		if len(agt.metrics.routes) >= maxRouteLabels {
			return "other"
		}
		agt.metrics.routes[name] = true
	}
	return name
}
