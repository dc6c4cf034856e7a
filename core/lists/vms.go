package lists

import (
	"net/netip"

	"lagoondrum/core/inidoc"
)

// Role is the kind of process that runs on a VM.
type Role string

// State tells whether a VM takes new work.
type State string

// The roles and states of VMs.
const (
	BalancerRole Role  = "balancer"
	UpstreamRole Role  = "upstream"
	LiveState    State = "live"
	LeavingState State = "leaving"
)

const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
)

// VMs is the platform's list of live and leaving VMs. It lags behind the actual
// state of the VMs.
type VMs struct {
	all       []*VM
	byAddress map[netip.AddrPort]*VM
}

// VM describes one VM and the process that runs on it.
type VM struct {
	name        string
	role        Role
	address     netip.AddrPort
	zone        string
	region      string
	service     string
	slots       int
	connections int
	state       State
}

// ParseVMs parses the list of VMs.
func ParseVMs(raw []byte) (*VMs, error) {
	vms := &VMs{byAddress: make(map[netip.AddrPort]*VM)}
	_, err := parseSections(VMsName, raw, func(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
		if sec.Kind() != "vm" {
			addUnknownSection(sec, fs)
			return
		}
		requireName(sec, fs)
		vm := readVM(sec, rdr)
		if _, ok := vms.byAddress[vm.address]; ok && vm.address.IsValid() {
			_, line, _ := sec.Get("address")
			fs.Add(line, "duplicate address "+vm.address.String())
		}
		vms.all = append(vms.all, vm)
		vms.byAddress[vm.address] = vm
	})
	if err != nil {
		return nil, err
	}
	return vms, nil
}

// readVM reads the keys of a [vm] section. Only upstreams have a service, slots
// and connections.
func readVM(sec *inidoc.Section, rdr *inidoc.Reader) *VM {
	vm := &VM{
		name:    sec.Name(),
		role:    Role(rdr.OneOf("role", string(UpstreamRole), string(BalancerRole))),
		address: rdr.AddrPort("address"),
		zone:    rdr.String("zone"),
		region:  rdr.Optional("region", ""),
		state:   State(rdr.OneOf("state", string(LiveState), string(LeavingState))),
	}
	if vm.role == UpstreamRole {
		vm.service = rdr.String("service")
		vm.slots = rdr.Int("slots", 1, 1, maxSlots)
		vm.connections = rdr.Int("connections", 2000, 1, maxConnections)
	}
	return vm
}

func (vms *VMs) list() {}

// All returns the VMs in file order.
func (vms *VMs) All() []*VM { return vms.all }

// ByAddress returns the VM whose process listens for its peers at an address.
func (vms *VMs) ByAddress(ap netip.AddrPort) (*VM, bool) {
	vm, ok := vms.byAddress[ap]
	return vm, ok
}

// Name returns the VM's name.
func (vm *VM) Name() string { return vm.name }

// Role returns the kind of process that runs on the VM.
func (vm *VM) Role() Role { return vm.role }

// Address returns where the process listens for its peers, over UDP and TCP.
func (vm *VM) Address() netip.AddrPort { return vm.address }

// Zone returns the VM's availability zone.
func (vm *VM) Zone() string { return vm.zone }

// Region returns the VM's region.
func (vm *VM) Region() string { return vm.region }

// Service returns the service that the upstream on the VM serves.
func (vm *VM) Service() string { return vm.service }

// Slots returns the number of pieces of work that the upstream runs at once.
func (vm *VM) Slots() int { return vm.slots }

// Connections returns the number of open flows that the upstream is sized for.
func (vm *VM) Connections() int { return vm.connections }

// Leaving reports whether the platform lists the VM as leaving.
func (vm *VM) Leaving() bool { return vm.state == LeavingState }
