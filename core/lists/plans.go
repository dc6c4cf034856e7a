package lists

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lagoondrum/core/inidoc"
)

// shareTolerance absorbs rounding errors in a sum of shares.
const shareTolerance = 1e-9

// Plans is the list of services, plans and grants, with indexes.
type Plans struct {
	services  map[string]*Service
	byID      map[ServiceID]*Service
	plans     map[string]bool
	grants    []*Grant
	byAddress map[netip.Addr]*Grant
}

// ServiceID is the hash of a service's name that tokens carry.
type ServiceID uint32

// Service is one service that callers use, with what its upstreams declare:
// streams is the path prefix of long streams, shedStatus the HTTP status of shed
// requests.
type Service struct {
	name       string
	streams    string
	shedStatus int
}

// Grant is the permission of one plan to use one service. line is where the list
// defines it.
type Grant struct {
	plan      string
	service   string
	address   netip.Addr
	upstreams int
	share     float64
	line      int
}

// ServiceIDOf returns the hash of a service's name, which tokens carry.
func ServiceIDOf(service string) ServiceID { return ServiceID(xxhash.Sum64String(service)) }

// ParsePlans parses the list of plans.
func ParsePlans(raw []byte) (*Plans, error) {
	pls := &Plans{
		services:  make(map[string]*Service),
		byID:      make(map[ServiceID]*Service),
		plans:     make(map[string]bool),
		byAddress: make(map[netip.Addr]*Grant),
	}
	_, err := parseSections(PlansName, raw, pls.readSection)
	fs := inidoc.NewFaults(string(PlansName))
	fs.Join(err)
	pls.checkReferences(fs)
	pls.checkShares(fs)
	if err := fs.Err(); err != nil {
		return nil, err
	}
	return pls, nil
}

func (pls *Plans) list() {}

func (pls *Plans) readSection(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
	if !requireName(sec, fs) {
		return
	}
	switch sec.Kind() {
	case "service":
		pls.addService(sec, rdr, fs)
	case "plan":
		pls.plans[sec.Name()] = true
	case "grant":
		pls.addGrant(sec, rdr, fs)
	default:
		addUnknownSection(sec, fs)
	}
}

func (pls *Plans) addService(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
	svc := &Service{
		name:       sec.Name(),
		streams:    rdr.Optional("streams", ""),
		shedStatus: rdr.Int("shedStatus", 0, 0, 599),
	}
	if other, ok := pls.byID[svc.ID()]; ok {
		fs.Add(sec.Line(), fmt.Sprintf("service %s has the same hash as %s: rename one", svc.name, other.name))
	}
	pls.services[svc.name] = svc
	pls.byID[svc.ID()] = svc
}

func (pls *Plans) addGrant(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
	plan, service, ok := strings.Cut(sec.Name(), " ")
	if !ok {
		fs.Add(sec.Line(), "[grant] needs a plan and a service as its name")
	}
	gr := &Grant{
		plan:      plan,
		service:   strings.TrimSpace(service),
		address:   rdr.Addr("address"),
		upstreams: rdr.Int("upstreams", 0, 1, 1<<16),
		share:     rdr.Share("share"),
		line:      sec.Line(),
	}
	if _, ok := pls.byAddress[gr.address]; ok && gr.address.IsValid() {
		_, line, _ := sec.Get("address")
		fs.Add(line, "duplicate address "+gr.address.String())
	}
	if _, line, ok := sec.Get("upstreams"); !ok {
		fs.Add(line, fmt.Sprintf("[%s] needs upstreams", sec.Title()))
	}
	pls.grants = append(pls.grants, gr)
	pls.byAddress[gr.address] = gr
}

// checkReferences records a fault for each plan or service that a grant names and
// the list does not define.
func (pls *Plans) checkReferences(fs *inidoc.Faults) {
	for _, gr := range pls.grants {
		if !pls.plans[gr.plan] {
			fs.Add(gr.line, "unknown plan "+gr.plan)
		}
		if _, ok := pls.services[gr.service]; !ok {
			fs.Add(gr.line, "unknown service "+gr.service)
		}
	}
}

// checkShares records one fault for each service whose shares add up to more than
// 1, at the grant that exceeds it.
func (pls *Plans) checkShares(fs *inidoc.Faults) {
	sums := make(map[string]float64)
	for _, gr := range pls.grants {
		if !(gr.share > 0 && gr.share <= 1) {
			continue // The reader of the value has recorded a fault.
		}
		before := sums[gr.service]
		sums[gr.service] += gr.share
		if before <= 1+shareTolerance && sums[gr.service] > 1+shareTolerance {
			fs.Add(gr.line, fmt.Sprintf("the shares of service %s add up to more than 1", gr.service))
		}
	}
}

// Grants returns the grants in file order.
func (pls *Plans) Grants() []*Grant { return pls.grants }

// HasPlan reports whether a plan of this name exists.
func (pls *Plans) HasPlan(name string) bool { return pls.plans[name] }

// Service returns a service by name.
func (pls *Plans) Service(name string) (*Service, bool) {
	svc, ok := pls.services[name]
	return svc, ok
}

// ServiceCount returns the number of services.
func (pls *Plans) ServiceCount() int { return len(pls.services) }

// ByAddress returns the grant whose callers connect to this address.
func (pls *Plans) ByAddress(addr netip.Addr) (*Grant, bool) {
	gr, ok := pls.byAddress[addr]
	return gr, ok
}

// Grant returns the grant of a plan for a service.
func (pls *Plans) Grant(plan, service string) (*Grant, bool) {
	for _, gr := range pls.grants {
		if gr.plan == plan && gr.service == service {
			return gr, true
		}
	}
	return nil, false
}

// Name returns the service's name.
func (svc *Service) Name() string { return svc.name }

// ID returns the hash of the service's name, which tokens carry.
func (svc *Service) ID() ServiceID { return ServiceIDOf(svc.name) }

// IsStream reports whether requests for path are long streams that hold no
// work slot.
func (svc *Service) IsStream(path string) bool {
	return svc.streams != "" && strings.HasPrefix(path, svc.streams)
}

// ShedStatus returns the HTTP status with which an upstream states that it shed a
// request and ran nothing of it, or 0 when the upstreams make no such statement.
func (svc *Service) ShedStatus() int { return svc.shedStatus }

// Plan returns the plan's name.
func (gr *Grant) Plan() string { return gr.plan }

// Service returns the service's name.
func (gr *Grant) Service() string { return gr.service }

// Address returns the IP address that callers connect to.
func (gr *Grant) Address() netip.Addr { return gr.address }

// Upstreams returns the number of upstreams that the plan may use.
func (gr *Grant) Upstreams() int { return gr.upstreams }

// Share returns the fraction of each upstream's slots that the plan is
// guaranteed, over 0 and at most 1.
func (gr *Grant) Share() float64 { return gr.share }
