package intent

// SharedUnequally reports whether routes of different priority lead to a service.
func (stt *State) SharedUnequally(service string) bool {
	seen, priority := false, uint8(0)
	for _, rte := range stt.routes {
		if !rte.hasService(service) {
			continue
		}
		if seen && rte.urgency.Priority() != priority {
			return true
		}
		seen, priority = true, rte.urgency.Priority()
	}
	return false
}
