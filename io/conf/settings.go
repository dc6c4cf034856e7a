// Package conf reads the settings of a process. Each setting is declared once
// with its default, its unit and its check.
package conf

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"lagoondrum/core/inidoc"
	"lagoondrum/core/table"
)

// Settings are the checked settings of one process. It is immutable.
type Settings struct {
	path   string
	values map[string]string
}

// setting declares one value of the settings file.
type setting struct {
	section string
	name    string
	def     string
	unit    string
	help    string
	check   check
}

// check returns why a value is refused, or "".
type check func(value string) string

var declared = []setting{
	{"process", "name", "lagoondrum", "", "name of the process in logs and metrics", notEmpty},
	{"process", "zone", "zone", "", "availability zone of the VM", notEmpty},
	{"process", "region", "region", "", "region of the VM", notEmpty},
	{"process", "fabric", "quic", "", "what callers speak: quic, or packets of the platform's own format", isFabric},
	{"process", "firstStart", "false", "", "whether the whole system starts for the first time, so that no flow can be open", isBool},
	{"entry", "port", "443", "port", "UDP port on which callers reach every address", isPort},
	{"peer", "address", "127.0.0.1:7842", "ip:port", "where other processes reach this one, over UDP and TCP", isAddrPort},
	{"peer", "seeds", "", "ip:port,...", "processes to ask for the lists before the platform is trusted", isAddrPorts},
	{"platform", "address", "127.0.0.1:7800", "ip:port", "the platform's configuration service", isAddrPort},
	{"tls", "cert", "cert.pem", "file", "certificate of the process", notEmpty},
	{"tls", "key", "key.pem", "file", "private key of the process", notEmpty},
	{"tls", "ca", "ca.pem", "file", "authority of the system's processes", notEmpty},
	{"tls", "callerCA", "ca.pem", "file", "authority of callers", notEmpty},
	{"upstream", "address", "127.0.0.1:8080", "ip:port", "the upstream beside an agent", isAddrPort},
	{"upstream", "service", "service", "", "the service of the upstream beside an agent", notEmpty},
	{"admin", "address", "127.0.0.1:7890", "ip:port", "administration API; loopback unless cert and tokens are set", isAddrPort},
	{"admin", "cert", "", "file", "certificate of the administration API", anyValue},
	{"admin", "key", "", "file", "private key of the administration API", anyValue},
	{"admin", "tokens", "", "team:token,...", "bearer token of each team; the team * sees every customer", isTokens},
	{"packets", "listen", "127.0.0.1:7850", "ip:port", "where a balancer gets packets of clients; clients are reached at its port", isAddrPort},
	{"packets", "outbound", "127.0.0.1:7851", "ip:port", "where an agent gets the packets that its upstream sends", isAddrPort},
	{"packets", "ready", "127.0.0.1:7852", "ip:port", "where the platform asks whether the process is ready", isAddrPort},
	{"packets", "metrics", "127.0.0.1:7853", "ip:port", "where metrics are served", isAddrPort},
	{"packets", "linkMbps", "1000", "Mbit/s", "bandwidth of the VM's link", isMbps},
	{"packets", "graceSeconds", "6", "s", "time between SIGTERM and SIGKILL", isSeconds},
	{"drain", "seconds", "3600", "s", "longest time between SIGTERM and the end of the process", isSeconds},
	{"log", "level", "info", "", "lowest level that is logged: debug, info, warn or error", isLevel},
}

// Default returns the settings of a process without a settings file.
func Default() *Settings {
	set := &Settings{values: make(map[string]string)}
	for _, dec := range declared {
		set.values[dec.key()] = dec.def
	}
	return set
}

// Load reads a settings file; an empty path stands for none. The error is a
// *inidoc.Faults, or an *os.PathError.
func Load(path string) (*Settings, error) {
	if path == "" {
		return Default(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set, err := Parse(path, raw)
	if err != nil {
		return nil, err
	}
	set.path = path
	return set, nil
}

// Parse reads settings from a text. The error is a *inidoc.Faults.
func Parse(file string, raw []byte) (*Settings, error) {
	doc, err := inidoc.Parse(file, raw, false)
	if doc == nil {
		return nil, err
	}
	set := Default()
	fs := inidoc.NewFaults(file)
	fs.Join(err)
	for _, sec := range doc.Sections() {
		set.read(sec, fs)
	}
	set.checkAdmin(fs)
	if err := fs.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

func (set *Settings) read(sec *inidoc.Section, fs *inidoc.Faults) {
	if !hasSection(sec.Title()) {
		fs.Add(sec.Line(), fmt.Sprintf("unknown section [%s]", sec.Title()))
		return
	}
	for _, key := range sec.Keys() {
		dec, ok := find(sec.Title(), key.Name())
		if !ok {
			fs.Add(key.Line(), fmt.Sprintf("unknown setting %s in [%s]", key.Name(), sec.Title()))
			continue
		}
		if reason := dec.check(key.Value()); reason != "" {
			fs.Add(key.Line(), fmt.Sprintf("%s is %q, %s", key.Name(), key.Value(), reason))
		}
		set.values[dec.key()] = key.Value()
	}
}

// checkAdmin refuses an administration API that others could reach unguarded.
func (set *Settings) checkAdmin(fs *inidoc.Faults) {
	addr, err := netip.ParseAddrPort(set.get("admin.address"))
	if err != nil || addr.Addr().IsLoopback() {
		return
	}
	if set.get("admin.cert") == "" || set.get("admin.key") == "" || set.get("admin.tokens") == "" {
		fs.Add(0, "admin.address is not loopback: cert, key and tokens have to be set")
	}
}

func hasSection(title string) bool {
	for _, dec := range declared {
		if dec.section == title {
			return true
		}
	}
	return false
}

func find(section, name string) (setting, bool) {
	for _, dec := range declared {
		if dec.section == section && dec.name == name {
			return dec, true
		}
	}
	return setting{}, false
}

func (dec setting) key() string { return dec.section + "." + dec.name }

// Help returns a table of every setting in Markdown.
func Help() string {
	var sb strings.Builder
	sb.WriteString("| section | setting | default | unit | meaning |\n|---|---|---|---|---|\n")
	for _, dec := range declared {
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s |\n", dec.section, dec.name, dec.def, dec.unit, dec.help)
	}
	return sb.String()
}

func (set *Settings) get(key string) string { return set.values[key] }

func (set *Settings) addrPort(key string) netip.AddrPort {
	ap, _ := netip.ParseAddrPort(set.get(key)) // Checked when it was read.
	return ap
}

// Path returns the file that the settings were read from, empty when none.
func (set *Settings) Path() string { return set.path }

// Name returns the name of the process.
func (set *Settings) Name() string { return set.get("process.name") }

// Place returns where the process runs.
func (set *Settings) Place() table.Locality {
	return table.NewLocality(set.get("process.zone"), set.get("process.region"), set.PeerAddress())
}

// EntryPort returns the UDP port of callers.
func (set *Settings) EntryPort() int {
	port, _ := strconv.Atoi(set.get("entry.port"))
	return port
}

// PeerAddress returns where other processes reach this one.
func (set *Settings) PeerAddress() netip.AddrPort { return set.addrPort("peer.address") }

// Seeds returns the processes to ask at the start.
func (set *Settings) Seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, part := range splitList(set.get("peer.seeds")) {
		seeds = append(seeds, netip.MustParseAddrPort(part))
	}
	return seeds
}

// Packets reports whether callers speak the platform's packets.
func (set *Settings) Packets() bool { return set.get("process.fabric") == fabricPackets }

// FirstStart reports whether the whole system starts for the first time.
func (set *Settings) FirstStart() bool { return set.get("process.firstStart") == "true" }

// PacketListen returns where a balancer gets packets of clients.
func (set *Settings) PacketListen() netip.AddrPort { return set.addrPort("packets.listen") }

// PacketOutbound returns where an agent gets packets of its upstream.
func (set *Settings) PacketOutbound() netip.AddrPort { return set.addrPort("packets.outbound") }

// ReadyAddress returns where the platform asks whether the process is ready.
func (set *Settings) ReadyAddress() netip.AddrPort { return set.addrPort("packets.ready") }

// MetricsAddress returns where metrics are served.
func (set *Settings) MetricsAddress() netip.AddrPort { return set.addrPort("packets.metrics") }

// LinkBytes returns how many bytes a second the VM's link carries.
func (set *Settings) LinkBytes() float64 {
	mbps, _ := strconv.ParseFloat(set.get("packets.linkMbps"), 64) // Checked when it was read.
	return mbps * 1e6 / 8
}

// GraceDeadline returns when a process that gets SIGTERM now is killed.
func (set *Settings) GraceDeadline(now time.Time) time.Time {
	return now.Add(set.seconds("packets.graceSeconds"))
}

// Platform returns the address of the configuration service.
func (set *Settings) Platform() netip.AddrPort { return set.addrPort("platform.address") }

// Upstream returns the address of the upstream beside an agent.
func (set *Settings) Upstream() netip.AddrPort { return set.addrPort("upstream.address") }

// Service returns the service of the upstream beside an agent.
func (set *Settings) Service() string { return set.get("upstream.service") }

// AdminAddress returns where the administration API listens.
func (set *Settings) AdminAddress() netip.AddrPort { return set.addrPort("admin.address") }

// AdminFiles returns the certificate and key of the administration API, empty
// when it serves without TLS.
func (set *Settings) AdminFiles() (cert, key string) {
	return set.get("admin.cert"), set.get("admin.key")
}

// AdminTokens returns the team of each bearer token.
func (set *Settings) AdminTokens() map[string]string {
	teams := make(map[string]string)
	for _, part := range splitList(set.get("admin.tokens")) {
		team, token, _ := strings.Cut(part, ":")
		teams[token] = team
	}
	return teams
}

// TLSFiles returns the files of the process's certificate, key and authority,
// and of the callers' authority.
func (set *Settings) TLSFiles() (cert, key, ca, callerCA string) {
	return set.get("tls.cert"), set.get("tls.key"), set.get("tls.ca"), set.get("tls.callerCA")
}

// DrainDeadline returns when a drain that starts now ends at the latest.
func (set *Settings) DrainDeadline(now time.Time) time.Time {
	return now.Add(set.seconds("drain.seconds"))
}

func (set *Settings) seconds(key string) time.Duration {
	secs, _ := strconv.Atoi(set.get(key)) // Checked when it was read.
	return time.Duration(secs) * time.Second
}

// LogLevel returns the lowest level that is logged.
func (set *Settings) LogLevel() string { return set.get("log.level") }
