package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

const (
	maxPort    = 1<<16 - 1
	maxSeconds = 7 * 24 * 3600
	minMillis  = 100
	maxMillis  = 3_600_000
	maxMbps    = 1_000_000
)

// acceptAny accepts every value.
func acceptAny(string) string { return "" }

func checkNotEmpty(value string) string {
	if value == "" {
		return "but must not be empty"
	}
	return ""
}

func checkPort(value string) string { return checkInt(value, 1, maxPort) }

func checkSeconds(value string) string { return checkNumber(value, 0, maxSeconds) }

func checkNumber(value string, low, high float64) string {
	if num, err := strconv.ParseFloat(value, 64); err != nil || !(num >= low && num <= high) {
		return fmt.Sprintf("not a number from %.0f to %.0f", low, high)
	}
	return ""
}

func checkInt(value string, low, high int) string {
	num, err := strconv.Atoi(value)
	if err != nil || num < low || num > high {
		return "not a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	}
	return ""
}

func checkAddrPort(value string) string {
	ap, err := netip.ParseAddrPort(value)
	if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
		return "not an IPv4 address and port"
	}
	return ""
}

func checkAddrPorts(value string) string {
	for _, part := range splitList(value) {
		if reason := checkAddrPort(part); reason != "" {
			return reason
		}
	}
	return ""
}

func checkTokens(value string) string {
	for _, part := range splitList(value) {
		team, token, ok := strings.Cut(part, ":")
		if !ok || team == "" || token == "" {
			return "not a list of team:token pairs"
		}
	}
	return ""
}

func checkLevel(value string) string {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, value) {
		return "not one of debug, info, warn, error"
	}
	return ""
}

// splitList returns the parts of a comma-separated list, trimmed and without the
// empty ones.
func splitList(value string) []string {
	var parts []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Values of process.fabric, the protocol that callers use.
const (
	fabricQUIC    = "quic"
	fabricPackets = "packets"
)

func checkFabric(value string) string {
	if value != fabricQUIC && value != fabricPackets {
		return "not one of " + fabricQUIC + ", " + fabricPackets
	}
	return ""
}

func checkBool(value string) string {
	if value != "true" && value != "false" {
		return "not true or false"
	}
	return ""
}

func checkMillis(value string) string { return checkNumber(value, minMillis, maxMillis) }

func checkMbps(value string) string {
	if mbps, err := strconv.ParseFloat(value, 64); err != nil || !(mbps > 0 && mbps <= maxMbps) {
		return "not a number above 0, at most " + strconv.Itoa(maxMbps)
	}
	return ""
}

// Values of a switch.
const (
	switchOn   = "on"
	switchOff  = "off"
	switchAuto = "auto"
)

func checkSwitch(value string) string {
	if value != switchOn && value != switchOff && value != switchAuto {
		return "not one of on, off, auto"
	}
	return ""
}

func checkOptionalMillis(value string) string {
	if num, err := strconv.ParseFloat(value, 64); err == nil && num == 0 {
		return ""
	}
	return checkMillis(value)
}

func checkNotNegative(value string) string { return checkNumber(value, 0, maxMillis) }
