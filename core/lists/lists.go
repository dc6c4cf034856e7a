// Package lists parses the lists that operators and the platform publish:
// customers, plans, VMs and token keys. Whether a list is valid depends on its
// own text alone, so that all processes accept or refuse it alike.
package lists

import (
	"net/netip"

	"lagoondrum/core/inidoc"
)

// Name identifies one published list.
type Name string

// The names of the published lists.
const (
	CustomersName Name = "customers"
	PlansName     Name = "plans"
	VMsName       Name = "vms"
	KeysName      Name = "keys"
)

// Names returns the names of the published lists in a fixed order.
func Names() []Name { return []Name{CustomersName, PlansName, VMsName, KeysName} }

// List is one valid list: *Customers, *Plans, *VMs or *Keys.
type List interface{ list() }

// UnknownListError reports a name that no published list has.
type UnknownListError struct{ name Name }

// Parse parses the list called name. The error is a *inidoc.Faults or an
// *UnknownListError.
func Parse(name Name, raw []byte) (List, error) {
	switch name {
	case CustomersName:
		return asList(ParseCustomers(raw))
	case PlansName:
		return asList(ParsePlans(raw))
	case VMsName:
		return asList(ParseVMs(raw))
	case KeysName:
		return asList(ParseKeys(raw))
	default:
		return nil, &UnknownListError{name}
	}
}

// asList converts the result of a parser. On an error it returns a nil List, not
// a List that holds a nil pointer.
func asList(list List, err error) (List, error) {
	if err != nil {
		return nil, err
	}
	return list, nil
}

func (err *UnknownListError) Error() string { return "unknown list " + string(err.name) }

// parseSections parses raw and passes each section to read. The error holds the
// faults of both.
func parseSections(name Name, raw []byte, read func(*inidoc.Section, *inidoc.Reader, *inidoc.Faults)) (*inidoc.Doc, error) {
	doc, err := inidoc.Parse(string(name), raw, true)
	if doc == nil {
		return nil, err
	}
	fs := inidoc.NewFaults(string(name))
	fs.Join(err)
	for _, sec := range doc.Sections() {
		rdr := inidoc.NewReader(sec, fs)
		read(sec, rdr, fs)
		rdr.CheckUnknown()
	}
	return doc, fs.Err()
}

// requireName records a fault when a section has no name and reports whether it
// has one.
func requireName(sec *inidoc.Section, fs *inidoc.Faults) bool {
	if sec.Name() == "" {
		fs.Add(sec.Line(), "["+sec.Kind()+"] needs a name")
		return false
	}
	return true
}

// addUnknownSection records that a section is of an unknown kind.
func addUnknownSection(sec *inidoc.Section, fs *inidoc.Faults) {
	fs.Add(sec.Line(), "unknown section ["+sec.Title()+"]")
}

// checkDuplicate records a fault when seen has the value of a key already, and
// stores the line of the value in seen. It skips empty values and invalid
// addresses.
func checkDuplicate(seen map[string]int, key, value string, line int, fs *inidoc.Faults) {
	if value == "" || value == (netip.Addr{}).String() {
		return
	}
	if _, ok := seen[value]; ok {
		fs.Add(line, "duplicate "+key+" "+value)
	}
	seen[value] = line
}
