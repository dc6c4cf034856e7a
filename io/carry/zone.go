package carry

import (
	"go.uber.org/zap"

	"lagoondrum/core/track"
	"lagoondrum/io/conf"
	"lagoondrum/platform"
)

// weighsZones reports whether the room of the own availability zone is weighed against
// that of others: where clients may move between zones, unless the settings say otherwise.
func weighsZones(set *conf.Settings) bool {
	return set.SpillsZones(platform.NewTerms(set.Contracts()).Places())
}

// appendZoneChoice appends to a log line what another zone cost and how much it would
// have gained, where zones are weighed.
func appendZoneChoice(fields []zap.Field, act track.Action) []zap.Field {
	chc, weighed := act.ZoneChoice()
	if !weighed {
		return fields
	}
	if gain, ok := chc.Gain(); ok {
		fields = append(fields, zap.Float64("zoneGain", gain))
	}
	return append(fields, zap.Float64("zonePrice", chc.Price()))
}
