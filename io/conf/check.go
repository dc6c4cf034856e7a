package conf

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

const (
	maxPort         = 1<<16 - 1
	maxDrainSeconds = 7 * 24 * 3600
)

func anyValue(string) string { return "" }

func notEmpty(value string) string {
	if value == "" {
		return "which may not be empty"
	}
	return ""
}

func isPort(value string) string { return isNumber(value, 1, maxPort) }

func isSeconds(value string) string { return isNumber(value, 0, maxDrainSeconds) }

func isNumber(value string, low, high int) string {
	num, err := strconv.Atoi(value)
	if err != nil || num < low || num > high {
		return "not a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	}
	return ""
}

func isAddrPort(value string) string {
	ap, err := netip.ParseAddrPort(value)
	if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
		return "not an IPv4 number and port"
	}
	return ""
}

func isAddrPorts(value string) string {
	for _, part := range splitList(value) {
		if reason := isAddrPort(part); reason != "" {
			return reason
		}
	}
	return ""
}

func isTokens(value string) string {
	for _, part := range splitList(value) {
		team, token, ok := strings.Cut(part, ":")
		if !ok || team == "" || token == "" {
			return "not a list of team:token"
		}
	}
	return ""
}

func isLevel(value string) string {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, value) {
		return "not one of debug, info, warn, error"
	}
	return ""
}

func splitList(value string) []string {
	var parts []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// What callers speak.
const (
	fabricQUIC    = "quic"
	fabricPackets = "packets"
)

func isFabric(value string) string {
	if value != fabricQUIC && value != fabricPackets {
		return "not one of " + fabricQUIC + ", " + fabricPackets
	}
	return ""
}

func isBool(value string) string {
	if value != "true" && value != "false" {
		return "not true or false"
	}
	return ""
}

func isMbps(value string) string {
	if mbps, err := strconv.ParseFloat(value, 64); err != nil || !(mbps > 0) {
		return "not a number above 0"
	}
	return ""
}
