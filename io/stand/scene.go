package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"lagoondrum/io/trust"
)

// Scene is one small region with every process on one machine: three
// availability zones, a balancer in each, and two services.
type Scene struct {
	dir    string
	ports  int
	feeds  int
	photos int
}

// Host is one process of a scene.
type Host struct {
	Name     string
	Zone     string
	Service  string // Empty for a balancer.
	Peer     int    // Ports on loopback.
	Entry    int
	Upstream int
	Admin    int
}

// The services and plans of a scene.
const (
	FeedService  = "plaque-feed"
	PhotoService = "photo-upload"
	sceneRegion  = "praha"
	feedHosts    = 7
	photoHosts   = 3
	sceneSlots   = 4
)

var sceneZones = []string{"karlin", "smichov", "podoli"}

// The addresses that callers use, by plan.
var (
	GoldFeed   = netip.MustParseAddr("127.20.0.1")
	SilverFeed = netip.MustParseAddr("127.20.0.2")
	GoldPhoto  = netip.MustParseAddr("127.20.0.3")
)

// NewScene returns a scene with its files in dir, on ports from a base.
func NewScene(dir string, ports int) *Scene {
	return NewSceneOf(dir, ports, feedHosts, photoHosts)
}

// NewSceneOf returns a scene with another number of upstreams of each service.
func NewSceneOf(dir string, ports, feeds, photos int) *Scene {
	return &Scene{dir: dir, ports: ports, feeds: feeds, photos: photos}
}

// Balancers returns the balancers.
func (scn *Scene) Balancers() []Host {
	var all []Host
	for i, zone := range sceneZones {
		all = append(all, Host{
			Name: fmt.Sprintf("%s-b%d", zone, i+1), Zone: zone,
			Peer: scn.ports + i, Entry: scn.ports + 100 + i, Admin: scn.ports + 200 + i,
		})
	}
	return all
}

// Agents returns the agents, each beside an upstream.
func (scn *Scene) Agents() []Host {
	var all []Host
	for i := range scn.feeds + scn.photos {
		service := FeedService
		if i >= scn.feeds {
			service = PhotoService
		}
		all = append(all, Host{
			Name: fmt.Sprintf("%s-u%d", sceneZones[i%len(sceneZones)], i+1), Zone: sceneZones[i%len(sceneZones)],
			Service: service, Peer: scn.ports + 10 + i, Upstream: scn.ports + 300 + i, Admin: scn.ports + 210 + i,
		})
	}
	return all
}

// Hosts returns every process of the system.
func (scn *Scene) Hosts() []Host { return append(scn.Balancers(), scn.Agents()...) }

// PlatformPort returns the port of the platform.
func (scn *Scene) PlatformPort() int { return scn.ports + 400 }

// EntryPorts returns the ports of the balancers towards callers.
func (scn *Scene) EntryPorts() []int {
	var all []int
	for _, hst := range scn.Balancers() {
		all = append(all, hst.Entry)
	}
	return all
}

// Write makes certificates, lists and settings.
func (scn *Scene) Write() error {
	for _, sub := range []string{"certs", "lists", "settings"} {
		if err := os.MkdirAll(filepath.Join(scn.dir, sub), 0o700); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := scn.writeCerts(); err != nil {
		return err
	}
	for name, body := range scn.Lists() {
		if err := scn.Publish(name, 1, body); err != nil {
			return err
		}
	}
	for _, hst := range scn.Hosts() {
		file := filepath.Join(scn.dir, "settings", hst.Name+".ini")
		if err := os.WriteFile(file, []byte(scn.Settings(hst)), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (scn *Scene) writeCerts() error {
	aut, err := NewAuthority(filepath.Join(scn.dir, "certs"))
	if err != nil {
		return err
	}
	if err := aut.Issue("system", trust.ServerName); err != nil {
		return err
	}
	for _, customer := range Customers {
		if err := aut.Issue(customer); err != nil {
			return err
		}
	}
	return nil
}

// Customers are the callers of a scene: two tills, an engraver, and one that no
// list allows at first.
var Customers = []string{"till-gold", "till-silver", "engraver", "newcomer"}

// Identity loads a customer's certificate.
func (scn *Scene) Identity(name string) (*trust.Identity, error) {
	return trust.Load(Files(filepath.Join(scn.dir, "certs"), name))
}

// Publish writes a list where the platform finds it. The revision comes last,
// so that a half-written list is never published.
func (scn *Scene) Publish(name string, revision uint64, body string) error {
	base := filepath.Join(scn.dir, "lists", name)
	if err := os.WriteFile(base+".ini", []byte(body), 0o600); err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(base+".tmp", fmt.Appendf(nil, "%d\n", revision), 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(base+".tmp", base+".rev"))
}

// Lists returns the first revision of every list.
func (scn *Scene) Lists() map[string]string {
	return map[string]string{
		"customers": CustomersList(Customers[:3]...),
		"plans":     plansList,
		"vms":       scn.VMsList(),
		"keys":      KeysList(1),
	}
}

var customerPlans = map[string]string{"till-gold": "gold", "till-silver": "silver", "engraver": "gold", "newcomer": "silver"}

// CustomersList returns a customers list.
func CustomersList(names ...string) string {
	var sb strings.Builder
	for _, name := range names {
		fmt.Fprintf(&sb, "[customer %s]\nplan = %s\ncertificate = %s\nteam = povltavi\n\n", name, customerPlans[name], name)
	}
	return sb.String() + "[end]\n"
}

const plansList = `[service plaque-feed]
streams = /live
shedStatus = 503

[service photo-upload]
shedStatus = 503

[plan gold]
[plan silver]

[grant gold plaque-feed]
address = 127.20.0.1
upstreams = 7
share = 0.6

[grant silver plaque-feed]
address = 127.20.0.2
upstreams = 7
share = 0.4

[grant gold photo-upload]
address = 127.20.0.3
upstreams = 3
share = 1

[end]
`

// VMsList returns the VMs list; the named VMs are leaving.
func (scn *Scene) VMsList(leaving ...string) string {
	var sb strings.Builder
	for _, hst := range scn.Hosts() {
		role := "balancer"
		if hst.Service != "" {
			role = "upstream"
		}
		fmt.Fprintf(&sb, "[vm %s]\nrole = %s\naddress = 127.0.0.1:%d\nzone = %s\nregion = %s\n", hst.Name, role, hst.Peer, hst.Zone, sceneRegion)
		if hst.Service != "" {
			fmt.Fprintf(&sb, "service = %s\nslots = %d\nconnections = 2000\n", hst.Service, sceneSlots)
		}
		for _, name := range leaving {
			if name == hst.Name {
				sb.WriteString("state = leaving\n")
			}
		}
		sb.WriteString("\n")
	}
	return sb.String() + "[end]\n"
}

// KeysList returns a keys list with the keys of these numbers.
func KeysList(ids ...int) string {
	var sb strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&sb, "[key %d]\nsecret = %064x\n\n", id, 7919*id+1)
	}
	return sb.String() + "[end]\n"
}

// Settings returns the settings of a process.
func (scn *Scene) Settings(hst Host) string {
	certs, _ := filepath.Abs(filepath.Join(scn.dir, "certs")) // It fails only without a working directory.
	var sb strings.Builder
	fmt.Fprintf(&sb, "[process]\nname = %s\nzone = %s\nregion = %s\n", hst.Name, hst.Zone, sceneRegion)
	fmt.Fprintf(&sb, "[peer]\naddress = 127.0.0.1:%d\nseeds = %s\n", hst.Peer, scn.seeds(hst))
	fmt.Fprintf(&sb, "[platform]\naddress = 127.0.0.1:%d\n", scn.PlatformPort())
	fmt.Fprintf(&sb, "[tls]\ncert = %[1]s/system.pem\nkey = %[1]s/system.key.pem\nca = %[1]s/ca.pem\ncallerCA = %[1]s/ca.pem\n", certs)
	fmt.Fprintf(&sb, "[admin]\naddress = 127.0.0.1:%d\n", hst.Admin)
	fmt.Fprintf(&sb, "[drain]\nseconds = 20\n")
	if hst.Service == "" {
		fmt.Fprintf(&sb, "[entry]\nport = %d\n", hst.Entry)
		return sb.String()
	}
	fmt.Fprintf(&sb, "[upstream]\naddress = 127.0.0.1:%d\nservice = %s\n", hst.Upstream, hst.Service)
	return sb.String()
}

func (scn *Scene) seeds(hst Host) string {
	var seeds []string
	for _, other := range scn.Balancers() {
		if other.Name != hst.Name {
			seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", other.Peer))
		}
	}
	return strings.Join(seeds, ",")
}

// Dir returns where the scene's files are.
func (scn *Scene) Dir() string { return scn.dir }

// AddressOf returns the address in a customer's plan.
func AddressOf(customer string) netip.Addr {
	switch {
	case customer == "engraver":
		return GoldPhoto
	case customerPlans[customer] == "silver":
		return SilverFeed
	default:
		return GoldFeed
	}
}

// ServiceOf returns the service that a customer uses.
func ServiceOf(customer string) string {
	if customer == "engraver" {
		return PhotoService
	}
	return FeedService
}

// Ready reports whether a process says that it serves.
func (hst Host) Ready() bool {
	rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/health", hst.Admin))
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// Revision returns the revision of a list that a process says is in force, 0
// when it does not answer.
func (hst Host) Revision(list string) uint64 {
	rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/lists", hst.Admin))
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	var body struct {
		Lists []struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"lists"`
	}
	if json.NewDecoder(rsp.Body).Decode(&body) != nil {
		return 0
	}
	for _, lst := range body.Lists {
		if lst.Name == list {
			return lst.Revision
		}
	}
	return 0
}
