package picker

import (
	"math"

	"lagoondrum/core/fleet"
)

// ZoneChoice is why a choice fell on an agent of its availability zone.
type ZoneChoice struct {
	price float64
	own   float64 // Lowest cost in the own zone.
	other float64 // Lowest cost elsewhere, without the price.
}

// Price returns the price of another zone.
func (chc ZoneChoice) Price() float64 { return chc.price }

// Gain returns how much less the best agent elsewhere cost than that of the own zone,
// and false if there was none on either side. Another zone is chosen for a gain that
// exceeds the price.
func (chc ZoneChoice) Gain() (float64, bool) {
	gain := chc.own - chc.other
	return gain, !math.IsInf(gain, 0) && !math.IsNaN(gain)
}

// SetZonesWeighed sets whether the room of the own zone is weighed against that of
// others.
func (chs *Chooser) SetZonesWeighed(weighed bool) { chs.zonesWeighed = weighed }

// ZoneChoice returns why the last choice fell on an agent of its zone, and false while
// zones are not weighed.
func (chs *Chooser) ZoneChoice() (ZoneChoice, bool) { return chs.last, chs.zonesWeighed }

// zonePenalty returns the price of another zone.
func (chs *Chooser) zonePenalty() float64 {
	if chs.zonesWeighed {
		return weighedZonePenalty
	}
	return remoteZonePenalty
}

// noteCost records the cost of a candidate for ZoneChoice.
func (chs *Chooser) noteCost(agt *fleet.Agent, cst Cost) {
	if agt.Upstream().Zone() == chs.zone {
		chs.last.own = min(chs.last.own, cst.Total())
	} else {
		chs.last.other = min(chs.last.other, cst.Total()-cst.Zone)
		chs.last.price = cst.Zone
	}
}
