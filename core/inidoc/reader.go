package inidoc

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// Reader reads typed values from one section and records a fault for each that is
// invalid.
type Reader struct {
	sec       *Section
	faults    *Faults
	requested []string // Keys that were read.
}

// NewReader returns a reader of sec that records faults in fs.
func NewReader(sec *Section, fs *Faults) *Reader {
	return &Reader{sec: sec, faults: fs}
}

// String returns the value of a required key, which must not be empty.
func (rdr *Reader) String(name string) string {
	value, line, ok := rdr.lookup(name)
	if !ok || value == "" {
		rdr.faults.Add(line, fmt.Sprintf("[%s] needs %s", rdr.sec.Title(), name))
	}
	return value
}

// Optional returns the value of a key, or def when the key is absent.
func (rdr *Reader) Optional(name, def string) string {
	value, _, ok := rdr.lookup(name)
	if !ok {
		return def
	}
	return value
}

// OneOf returns the value of a key, which has to be one of allowed. The first of
// them is the default of an absent key.
func (rdr *Reader) OneOf(name string, allowed ...string) string {
	value, line, ok := rdr.lookup(name)
	if !ok {
		return allowed[0]
	}
	if !slices.Contains(allowed, value) {
		rdr.faults.Add(line, fmt.Sprintf("%s is %q, not one of %s", name, value, strings.Join(allowed, ", ")))
	}
	return value
}

// Int returns a whole number from low to high, or def when the key is absent.
func (rdr *Reader) Int(name string, def, low, high int) int {
	value, line, ok := rdr.lookup(name)
	if !ok {
		return def
	}
	num, err := strconv.Atoi(value)
	if err != nil || num < low || num > high {
		rdr.faults.Add(line, fmt.Sprintf("%s is %q, not a whole number from %d to %d", name, value, low, high))
	}
	return num
}

// Share returns a required fraction above 0 and at most 1.
func (rdr *Reader) Share(name string) float64 {
	value, line, _ := rdr.lookup(name)
	num, err := strconv.ParseFloat(value, 64)
	if err != nil || !(num > 0 && num <= 1) {
		rdr.faults.Add(line, fmt.Sprintf("%s is %q, not a fraction above 0 and at most 1", name, value))
	}
	return num
}

// Addr returns a required IPv4 address.
func (rdr *Reader) Addr(name string) netip.Addr {
	value, line, _ := rdr.lookup(name)
	addr, err := netip.ParseAddr(value)
	if err != nil || !addr.Is4() {
		rdr.faults.Add(line, fmt.Sprintf("%s is %q, not an IPv4 address", name, value))
	}
	return addr
}

// AddrPort returns a required IPv4 address and port.
func (rdr *Reader) AddrPort(name string) netip.AddrPort {
	value, line, _ := rdr.lookup(name)
	ap, err := netip.ParseAddrPort(value)
	if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
		rdr.faults.Add(line, fmt.Sprintf("%s is %q, not an IPv4 address and port", name, value))
	}
	return ap
}

// CheckUnknown records a fault for every key of the section that was not read.
func (rdr *Reader) CheckUnknown() {
	for _, key := range rdr.sec.keys {
		if !slices.Contains(rdr.requested, key.name) {
			rdr.faults.Add(key.line, fmt.Sprintf("unknown key %s in [%s]", key.name, rdr.sec.Title()))
		}
	}
}

// lookup returns the value and line of a key and marks the key as read.
func (rdr *Reader) lookup(name string) (string, int, bool) {
	rdr.requested = append(rdr.requested, name)
	return rdr.sec.Get(name)
}
