// Package conf reads and checks the settings file of a process. Each setting is
// declared once with its default, its unit and its check.
package conf

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"lagoondrum/core/table"
)

// Settings holds the checked settings of one process. It is immutable.
type Settings struct {
	path     string
	values   map[string]string // By full name, for example entry.port.
	unusable error             // The values of the file that are not in force.
}

// settingDecl declares one setting and its check.
type settingDecl struct {
	section      string
	name         string
	defaultValue string
	unit         string
	help         string
	check        checkFunc
}

// checkFunc returns the reason why a value is refused, or "" when it is valid.
type checkFunc func(value string) string

// declarations lists every setting in the order of Help.
var declarations = []settingDecl{
	{"process", "name", "lagoondrum", "", "name of the process in logs and metrics", checkNotEmpty},
	{"process", "zone", "zone", "", "availability zone of the VM", checkNotEmpty},
	{"process", "region", "region", "", "region of the VM", checkNotEmpty},
	{"process", "fabric", "quic", "", "protocol of the callers: quic, or packets in the platform's own format", checkFabric},
	{"process", "firstStart", "false", "", "true when the whole system starts for the first time, so that no flow can be open", checkBool},
	{"entry", "port", "443", "port", "UDP port on which callers reach every address", checkPort},
	{"peer", "address", "127.0.0.1:7842", "ip:port", "address of this process for other processes, over UDP and TCP", checkAddrPort},
	{"peer", "seeds", "", "ip:port,...", "processes that are asked for the lists at the start, before the platform is trusted", checkAddrPorts},
	{"platform", "address", "127.0.0.1:7800", "ip:port", "address of the platform's configuration service", checkAddrPort},
	{"platform", "applyMillis", "3000", "ms", "time within which a change of the desired state has to be in force in every process", checkMillis},
	{"platform", "drainMillis", "3000", "ms", "time within which a draining upstream has to get no new flows", checkMillis},
	{"platform", "evacuateMillis", "0", "ms", "time within which an evacuated availability zone has to get no new flows; 0: no bound is stated", checkOptionalMillis},
	{"platform", "coldOverage", "0", "times", "how many times its rate a cold upstream may get in a second; 0: no limit is stated", checkNotNegative},
	{"platform", "coldSlack", "0", "openings", "how many openings more a cold upstream may get in a second", checkNotNegative},
	{"platform", "contracts", "", "name,...", "parts of the platform's terms in force; they decide what is switched on by auto", acceptAny},
	{"serving", "judgeUpstreams", "auto", "", "judge upstreams by what callers get from them: on, off or auto", checkSwitch},
	{"serving", "spillZones", "auto", "", "weigh the room of availability zones against the price of another one: on, off or auto", checkSwitch},
	{"serving", "shedByCost", "off", "", "when there is too little room, delay and refuse what costs callers least: on, off or auto", checkSwitch},
	{"serving", "yieldWhenWeak", "auto", "", "a balancer that lags leaves the rotation while others can carry its part: on, off or auto", checkSwitch},
	{"tls", "cert", "cert.pem", "file", "certificate of the process", checkNotEmpty},
	{"tls", "key", "key.pem", "file", "private key of the process", checkNotEmpty},
	{"tls", "ca", "ca.pem", "file", "certificate authority of the system's processes", checkNotEmpty},
	{"tls", "callerCA", "ca.pem", "file", "certificate authority of the callers", checkNotEmpty},
	{"upstream", "address", "127.0.0.1:8080", "ip:port", "address of the upstream beside an agent", checkAddrPort},
	{"upstream", "service", "service", "", "service of the upstream beside an agent", checkNotEmpty},
	{"admin", "address", "127.0.0.1:7890", "ip:port", "address of the administration API; loopback unless cert, key and tokens are set", checkAddrPort},
	{"admin", "cert", "", "file", "certificate of the administration API", acceptAny},
	{"admin", "key", "", "file", "private key of the administration API", acceptAny},
	{"admin", "tokens", "", "team:token,...", "bearer token of each team; the team * sees every customer", checkTokens},
	{"packets", "listen", "127.0.0.1:7850", "ip:port", "address where a balancer receives packets of clients; packets to clients go to the same port number", checkAddrPort},
	{"packets", "outbound", "127.0.0.1:7851", "ip:port", "address where an agent receives the packets that its upstream sends", checkAddrPort},
	{"packets", "ready", "127.0.0.1:7852", "ip:port", "address where the platform asks whether the process is ready", checkAddrPort},
	{"packets", "metrics", "127.0.0.1:7853", "ip:port", "address where metrics are served", checkAddrPort},
	{"packets", "linkMbps", "1000", "Mbit/s", "bandwidth of the VM's link", checkMbps},
	{"packets", "graceSeconds", "6", "s", "time between SIGTERM and SIGKILL", checkSeconds},
	{"drain", "seconds", "3600", "s", "longest time between SIGTERM and the end of the process", checkSeconds},
	{"log", "level", "info", "", "lowest level that is logged: debug, info, warn or error", checkLevel},
}

// Default returns the settings of a process without a settings file.
func Default() *Settings {
	set := &Settings{values: make(map[string]string)}
	for _, dec := range declarations {
		set.values[dec.fullName()] = dec.defaultValue
	}
	return set
}

// fullName returns the key of the setting in Settings.values.
func (dec settingDecl) fullName() string { return dec.section + "." + dec.name }

// Help returns a Markdown table of every setting.
func Help() string {
	var sb strings.Builder
	sb.WriteString("| section | setting | default | unit | meaning |\n|---|---|---|---|---|\n")
	for _, dec := range declarations {
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s |\n", dec.section, dec.name, dec.defaultValue, dec.unit, dec.help)
	}
	return sb.String()
}

func (set *Settings) get(key string) string { return set.values[key] }

func (set *Settings) addrPort(key string) netip.AddrPort {
	ap, _ := netip.ParseAddrPort(set.get(key)) // Checked by parse.
	return ap
}

// Path returns the file that the settings were read from, or "" for the defaults.
func (set *Settings) Path() string { return set.path }

// Name returns the name of the process.
func (set *Settings) Name() string { return set.get("process.name") }

// Place returns the zone and region of the VM and the peer address of the process.
func (set *Settings) Place() table.Locality {
	return table.NewLocality(set.get("process.zone"), set.get("process.region"), set.PeerAddress())
}

// EntryPort returns the UDP port on which a balancer receives datagrams of callers.
func (set *Settings) EntryPort() int {
	port, _ := strconv.Atoi(set.get("entry.port"))
	return port
}

// PeerAddress returns the address of this process for other processes.
func (set *Settings) PeerAddress() netip.AddrPort { return set.addrPort("peer.address") }

// Seeds returns the processes that are asked for the lists at the start.
func (set *Settings) Seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, part := range splitList(set.get("peer.seeds")) {
		seeds = append(seeds, netip.MustParseAddrPort(part))
	}
	return seeds
}

// Packets reports whether callers send packets in the platform's own format.
func (set *Settings) Packets() bool { return set.get("process.fabric") == fabricPackets }

// FirstStart reports whether the whole system starts for the first time.
func (set *Settings) FirstStart() bool { return set.get("process.firstStart") == "true" }

// PacketListen returns the address where a balancer receives packets of clients.
func (set *Settings) PacketListen() netip.AddrPort { return set.addrPort("packets.listen") }

// PacketOutbound returns the address where an agent receives the packets that its
// upstream sends.
func (set *Settings) PacketOutbound() netip.AddrPort { return set.addrPort("packets.outbound") }

// ReadyAddress returns the address where the platform asks whether the process is
// ready.
func (set *Settings) ReadyAddress() netip.AddrPort { return set.addrPort("packets.ready") }

// MetricsAddress returns the address where metrics are served.
func (set *Settings) MetricsAddress() netip.AddrPort { return set.addrPort("packets.metrics") }

// LinkBytes returns the bandwidth of the VM's link in bytes per second.
func (set *Settings) LinkBytes() float64 {
	mbps, _ := strconv.ParseFloat(set.get("packets.linkMbps"), 64) // Checked by parse.
	return mbps * 1e6 / 8
}

// GraceDeadline returns when a process that receives SIGTERM at now gets SIGKILL.
func (set *Settings) GraceDeadline(now time.Time) time.Time {
	return now.Add(set.seconds("packets.graceSeconds"))
}

// Platform returns the address of the configuration service.
func (set *Settings) Platform() netip.AddrPort { return set.addrPort("platform.address") }

// MaxStateAge returns the age that a process's copy of the platform's state may
// reach, so that every change takes effect in time.
func (set *Settings) MaxStateAge() time.Duration {
	age := min(set.millis("platform.applyMillis"), set.millis("platform.drainMillis"))
	if evacuate := set.millis("platform.evacuateMillis"); evacuate > 0 {
		age = min(age, evacuate)
	}
	return age
}

// ColdAllowance returns how many times its rate, and how many openings besides, a cold
// upstream may get in a second; zeros when no limit is stated.
func (set *Settings) ColdAllowance() (overage, slack float64) {
	overage, _ = strconv.ParseFloat(set.get("platform.coldOverage"), 64) // Checked by parse.
	slack, _ = strconv.ParseFloat(set.get("platform.coldSlack"), 64)
	return overage, slack
}

// Contracts returns the parts of the platform's terms that are in force.
func (set *Settings) Contracts() []string { return splitList(set.get("platform.contracts")) }

// JudgesUpstreams reports whether upstreams are judged by what callers get, where auto
// is the value for the setting auto.
func (set *Settings) JudgesUpstreams(auto bool) bool {
	return set.enabled("serving.judgeUpstreams", auto)
}

// SpillsZones reports whether the room of availability zones is weighed, where auto is
// the value for the setting auto.
func (set *Settings) SpillsZones(auto bool) bool { return set.enabled("serving.spillZones", auto) }

// ShedsByCost reports whether requests are delayed and refused by what that costs
// callers, where auto is the value for the setting auto.
func (set *Settings) ShedsByCost(auto bool) bool { return set.enabled("serving.shedByCost", auto) }

// YieldsWhenWeak reports whether a balancer that lags leaves the rotation, where auto
// is the value for the setting auto.
func (set *Settings) YieldsWhenWeak(auto bool) bool {
	return set.enabled("serving.yieldWhenWeak", auto)
}

func (set *Settings) enabled(key string, auto bool) bool {
	switch set.get(key) {
	case switchOn:
		return true
	case switchOff:
		return false
	default:
		return auto
	}
}

// Upstream returns the address of the upstream beside an agent.
func (set *Settings) Upstream() netip.AddrPort { return set.addrPort("upstream.address") }

// Service returns the service of the upstream beside an agent.
func (set *Settings) Service() string { return set.get("upstream.service") }

// AdminAddress returns the address of the administration API.
func (set *Settings) AdminAddress() netip.AddrPort { return set.addrPort("admin.address") }

// AdminFiles returns the certificate file and the key file of the administration
// API, or empty names when it is served without TLS.
func (set *Settings) AdminFiles() (cert, key string) {
	return set.get("admin.cert"), set.get("admin.key")
}

// AdminTokens returns the teams by their bearer tokens.
func (set *Settings) AdminTokens() map[string]string {
	teams := make(map[string]string)
	for _, part := range splitList(set.get("admin.tokens")) {
		team, token, _ := strings.Cut(part, ":")
		teams[token] = team
	}
	return teams
}

// TLSFiles returns the files of the process's certificate and key, and of the
// certificate authorities of the processes and of the callers.
func (set *Settings) TLSFiles() (cert, key, ca, callerCA string) {
	return set.get("tls.cert"), set.get("tls.key"), set.get("tls.ca"), set.get("tls.callerCA")
}

// DrainDeadline returns the latest end of a drain that starts at now.
func (set *Settings) DrainDeadline(now time.Time) time.Time {
	return now.Add(set.seconds("drain.seconds"))
}

func (set *Settings) seconds(key string) time.Duration {
	secs, _ := strconv.ParseFloat(set.get(key), 64) // Checked by parse.
	return time.Duration(secs * float64(time.Second))
}

func (set *Settings) millis(key string) time.Duration {
	num, _ := strconv.ParseFloat(set.get(key), 64) // Checked by parse.
	return time.Duration(num * float64(time.Millisecond))
}

// LogLevel returns the lowest level that is logged.
func (set *Settings) LogLevel() string { return set.get("log.level") }
