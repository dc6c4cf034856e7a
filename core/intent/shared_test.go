package intent

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagoondrum/core/flow"
)

func TestSharedUnequally(t *testing.T) {
	route := func(service string, priority uint8) *Route {
		return NewRoute("", []Share{NewShare(service, 1)}).WithUrgency(flow.NewUrgency(priority, 0, 0))
	}
	for name, tc := range map[string]struct {
		routes []*Route
		want   bool
	}{
		"different priorities":          {[]*Route{route("desk", 1), route("desk", 2)}, true},
		"different, but not together":   {[]*Route{route("desk", 1), route("intake", 2)}, false},
		"one of three has a higher one": {[]*Route{route("desk", 2), route("desk", 2), route("desk", 1)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			routes := make(map[flow.Endpoint]*Route)
			for num, rte := range tc.routes {
				routes[flow.NewEndpoint([4]byte{198, 18, 0, byte(num)}, 443)] = rte
			}
			for range 20 { // In every order of the routes.
				assert.Equal(t, NewState(1, routes, 0).SharedUnequally("desk"), tc.want)
			}
		})
	}
}
