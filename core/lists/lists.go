// Package lists holds the documents that operators and the platform publish:
// customers, plans, VMs and token keys. The validity of a document depends on
// its own text alone, so every process comes to the same verdict.
package lists

import (
	"net/netip"

	"lagoondrum/core/text"
)

// Name identifies one published document.
type Name string

// The published documents.
const (
	CustomersName Name = "customers"
	PlansName     Name = "plans"
	VMsName       Name = "vms"
	KeysName      Name = "keys"
)

// Names returns the published documents in a fixed order.
func Names() []Name { return []Name{CustomersName, PlansName, VMsName, KeysName} }

// List is one valid document: *Customers, *Plans, *VMs or *Keys.
type List interface{ list() }

// UnknownListError reports a document name that no process knows.
type UnknownListError struct{ name Name }

// Parse reads the document called name. The error is a *text.Faults or an
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

func asList(list List, err error) (List, error) {
	if err != nil {
		return nil, err
	}
	return list, nil
}

func (err *UnknownListError) Error() string { return "unknown list " + string(err.name) }

// open parses raw and hands each section to read; faults of both are joined.
func open(name Name, raw []byte, read func(*text.Section, *text.Reader, *text.Faults)) (*text.Doc, error) {
	doc, err := text.Parse(string(name), raw, true)
	if doc == nil {
		return nil, err
	}
	fs := text.NewFaults(string(name))
	fs.Join(err)
	for _, sec := range doc.Sections() {
		rdr := text.NewReader(sec, fs)
		read(sec, rdr, fs)
		rdr.Done()
	}
	return doc, fs.Err()
}

func needName(sec *text.Section, fs *text.Faults) bool {
	if sec.Name() == "" {
		fs.Add(sec.Line(), "["+sec.Kind()+"] needs a name")
		return false
	}
	return true
}

func refuseKind(sec *text.Section, fs *text.Faults) {
	fs.Add(sec.Line(), "unknown section ["+sec.Title()+"]")
}

// noteDuplicate records a fault when value was seen before and remembers its line.
func noteDuplicate(seen map[string]int, what, value string, line int, fs *text.Faults) {
	if value == "" || value == (netip.Addr{}).String() {
		return
	}
	if _, ok := seen[value]; ok {
		fs.Add(line, "duplicate "+what+" "+value)
	}
	seen[value] = line
}
