package lists

import "lagoondrum/core/inidoc"

// Customers is the list of customers, with an index by certificate.
type Customers struct {
	byCertificate map[string]*Customer
	all           []*Customer
}

// Customer is one customer with its plan, certificate and team.
type Customer struct {
	name        string
	plan        string
	certificate string
	team        string
}

// ParseCustomers parses the list of customers.
func ParseCustomers(raw []byte) (*Customers, error) {
	cus := &Customers{byCertificate: make(map[string]*Customer)}
	seen := make(map[string]int)
	_, err := parseSections(CustomersName, raw, func(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
		if sec.Kind() != "customer" {
			addUnknownSection(sec, fs)
			return
		}
		requireName(sec, fs)
		cus.add(sec, rdr)
		_, line, _ := sec.Get("certificate")
		checkDuplicate(seen, "certificate", rdr.Optional("certificate", ""), line, fs)
	})
	if err != nil {
		return nil, err
	}
	return cus, nil
}

func (cus *Customers) list() {}

func (cus *Customers) add(sec *inidoc.Section, rdr *inidoc.Reader) {
	cu := &Customer{
		name:        sec.Name(),
		plan:        rdr.String("plan"),
		certificate: rdr.String("certificate"),
		team:        rdr.Optional("team", ""),
	}
	cus.all = append(cus.all, cu)
	cus.byCertificate[cu.certificate] = cu
}

// All returns the customers in file order.
func (cus *Customers) All() []*Customer { return cus.all }

// ByCertificate returns the customer whose certificate has this common name.
func (cus *Customers) ByCertificate(name string) (*Customer, bool) {
	cu, ok := cus.byCertificate[name]
	return cu, ok
}

// Name returns the customer's name.
func (cu *Customer) Name() string { return cu.name }

// Plan returns the name of the customer's plan.
func (cu *Customer) Plan() string { return cu.plan }

// Certificate returns the common name of the customer's client certificate.
func (cu *Customer) Certificate() string { return cu.certificate }

// Team returns the team that may see the customer in the administration API.
func (cu *Customer) Team() string { return cu.team }
