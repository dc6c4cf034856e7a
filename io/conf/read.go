package conf

import (
	"fmt"
	"net/netip"
	"os"

	"lagoondrum/core/inidoc"
)

// Load reads the settings file of a process that starts, or returns the defaults when
// path is empty. A figure that cannot be used has its default, see Unusable; for an
// address or a name there is no default that would do. The error is a *inidoc.Faults
// or an *os.PathError.
func Load(path string) (*Settings, error) {
	if path == "" {
		return Default(), nil
	}
	return load(path, Default(), settingDecl.isFigure)
}

// Reload reads the settings file again. A value that cannot be used keeps the one in
// force, see Unusable. The errors are those of Load.
func (set *Settings) Reload() (*Settings, error) {
	if set.path == "" {
		return set, nil
	}
	return load(set.path, set, func(settingDecl) bool { return true })
}

// Unusable returns the values of the file that cannot be used, in place of which others
// are in force, as a *inidoc.Faults, or nil when there are none.
func (set *Settings) Unusable() error { return set.unusable }

// load reads a settings file. In place of a value that cannot be used, that of fallback
// is taken if the setting is replaceable.
func load(path string, fallback *Settings, replaceable func(settingDecl) bool) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set, err := parse(path, raw, fallback, replaceable)
	if err != nil {
		return nil, err
	}
	set.path = path
	return set, nil
}

// Parse reads settings from the content of a file, and refuses it for any fault. The
// error is a *inidoc.Faults.
func Parse(file string, raw []byte) (*Settings, error) {
	return parse(file, raw, Default(), func(settingDecl) bool { return false })
}

func parse(file string, raw []byte, fallback *Settings, replaceable func(settingDecl) bool) (*Settings, error) {
	doc, err := inidoc.Parse(file, raw, false)
	if doc == nil {
		return nil, err
	}
	rdr := reader{set: Default(), fallback: fallback, replaceable: replaceable, faults: inidoc.NewFaults(file), unusable: inidoc.NewFaults(file)}
	rdr.faults.Join(err)
	for _, sec := range doc.Sections() {
		rdr.readSection(sec)
	}
	rdr.set.checkAdmin(rdr.faults)
	if err := rdr.faults.Err(); err != nil {
		return nil, err
	}
	rdr.set.unusable = rdr.unusable.Err()
	return rdr.set, nil
}

// reader reads the settings of one document.
type reader struct {
	set         *Settings
	fallback    *Settings
	replaceable func(settingDecl) bool
	faults      *inidoc.Faults // For which the document is refused.
	unusable    *inidoc.Faults // In place of these values those of fallback are in force.
}

// readSection reads the settings of one section and reports its faults.
func (rdr *reader) readSection(sec *inidoc.Section) {
	if !hasSection(sec.Title()) {
		rdr.faults.Add(sec.Line(), fmt.Sprintf("unknown section [%s]", sec.Title()))
		return
	}
	for _, key := range sec.Keys() {
		dec, ok := findDecl(sec.Title(), key.Name())
		if !ok {
			rdr.faults.Add(key.Line(), fmt.Sprintf("unknown setting %s in [%s]", key.Name(), sec.Title()))
			continue
		}
		rdr.readSetting(dec, key)
	}
}

// readSetting reads and checks one setting.
func (rdr *reader) readSetting(dec settingDecl, key inidoc.Key) {
	reason := dec.check(key.Value())
	if reason == "" {
		rdr.set.values[dec.fullName()] = key.Value()
		return
	}
	reason = fmt.Sprintf("%s is %q, %s", key.Name(), key.Value(), reason)
	if !rdr.replaceable(dec) {
		rdr.faults.Add(key.Line(), reason)
		return
	}
	inForce := rdr.fallback.get(dec.fullName())
	rdr.set.values[dec.fullName()] = inForce
	rdr.unusable.Add(key.Line(), fmt.Sprintf("%s; %q is in force", reason, inForce))
}

// checkAdmin reports a fault when the administration API listens outside the
// loopback network without a certificate, a key and tokens.
func (set *Settings) checkAdmin(fs *inidoc.Faults) {
	addr, err := netip.ParseAddrPort(set.get("admin.address"))
	if err != nil || addr.Addr().IsLoopback() {
		return
	}
	if set.get("admin.cert") == "" || set.get("admin.key") == "" || set.get("admin.tokens") == "" {
		fs.Add(0, "admin.address is not a loopback address: cert, key and tokens have to be set")
	}
}

func hasSection(title string) bool {
	for _, dec := range declarations {
		if dec.section == title {
			return true
		}
	}
	return false
}

func findDecl(section, name string) (settingDecl, bool) {
	for _, dec := range declarations {
		if dec.section == section && dec.name == name {
			return dec, true
		}
	}
	return settingDecl{}, false
}

// isFigure reports whether the setting is a number with a default that serves any
// deployment. A port is an address.
func (dec settingDecl) isFigure() bool {
	switch dec.unit {
	case "ms", "s", "times", "openings", "Mbit/s":
		return true
	default:
		return false
	}
}
