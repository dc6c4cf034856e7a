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

// Scene is a small region for tests, with every process on one machine: three
// availability zones with one balancer each, and the upstreams of two services with
// one agent each. A port is basePort plus an offset plus the index of the process. The
// offsets are 0 (peer), 100 (entry) and 200 (admin) for balancers, 10 (peer), 210
// (admin) and 300 (upstream) for agents, and 400 for the platform.
type Scene struct {
	dir            string
	basePort       int
	feedUpstreams  int
	photoUpstreams int
}

// Host is a balancer, or an agent with its upstream, of a scene. Its ports are on
// loopback.
type Host struct {
	Name     string
	Zone     string
	Service  string // Empty for a balancer.
	Peer     int    // Port for other processes: TCP for messages, UDP for datagrams.
	Entry    int    // UDP port for callers, for a balancer only.
	Upstream int    // TCP port of the upstream, for an agent only.
	Admin    int    // TCP port of the administration API.
}

// Services, region and default size of a scene.
const (
	FeedService           = "plaque-feed"
	PhotoService          = "photo-upload"
	sceneRegion           = "praha"
	defaultFeedUpstreams  = 7
	defaultPhotoUpstreams = 3
	slotsPerUpstream      = 4
)

var sceneZones = []string{"karlin", "smichov", "podoli"}

// Addresses that callers use, one for each plan and service.
var (
	GoldFeed   = netip.MustParseAddr("127.20.0.1")
	SilverFeed = netip.MustParseAddr("127.20.0.2")
	GoldPhoto  = netip.MustParseAddr("127.20.0.3")
)

// NewScene returns a scene of the default size with its files in dir.
func NewScene(dir string, basePort int) *Scene {
	return NewSceneOf(dir, basePort, defaultFeedUpstreams, defaultPhotoUpstreams)
}

// NewSceneOf returns a scene with the given numbers of upstreams of FeedService and
// PhotoService.
func NewSceneOf(dir string, basePort, feedUpstreams, photoUpstreams int) *Scene {
	return &Scene{dir: dir, basePort: basePort, feedUpstreams: feedUpstreams, photoUpstreams: photoUpstreams}
}

// Balancers returns the balancers, one in each zone.
func (scn *Scene) Balancers() []Host {
	var all []Host
	for i, zone := range sceneZones {
		all = append(all, Host{
			Name: fmt.Sprintf("%s-b%d", zone, i+1), Zone: zone,
			Peer: scn.basePort + i, Entry: scn.basePort + 100 + i, Admin: scn.basePort + 200 + i,
		})
	}
	return all
}

// Agents returns the agents, first those of FeedService. Each runs beside its own
// upstream.
func (scn *Scene) Agents() []Host {
	var all []Host
	for i := range scn.feedUpstreams + scn.photoUpstreams {
		service := FeedService
		if i >= scn.feedUpstreams {
			service = PhotoService
		}
		all = append(all, Host{
			Name: fmt.Sprintf("%s-u%d", sceneZones[i%len(sceneZones)], i+1), Zone: sceneZones[i%len(sceneZones)],
			Service: service, Peer: scn.basePort + 10 + i, Upstream: scn.basePort + 300 + i, Admin: scn.basePort + 210 + i,
		})
	}
	return all
}

// Hosts returns the balancers and the agents.
func (scn *Scene) Hosts() []Host { return append(scn.Balancers(), scn.Agents()...) }

// PlatformPort returns the TCP port of the platform stand-in.
func (scn *Scene) PlatformPort() int { return scn.basePort + 400 }

// EntryPorts returns the ports on which the balancers receive callers' packets.
func (scn *Scene) EntryPorts() []int {
	var all []int
	for _, hst := range scn.Balancers() {
		all = append(all, hst.Entry)
	}
	return all
}

// Write writes the certificates, lists and settings to the scene's directory.
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

// writeCerts writes the certificates of the authority, the processes and the
// customers.
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

// Customers are the customers of a scene: two tills that use FeedService, an engraver
// that uses PhotoService, and newcomer, which is not in the first revision of the
// customers list.
var Customers = []string{"till-gold", "till-silver", "engraver", "newcomer"}

// Identity loads the certificate of a customer, or of the processes as "system".
func (scn *Scene) Identity(name string) (*trust.Identity, error) {
	return trust.Load(Files(filepath.Join(scn.dir, "certs"), name))
}

// Publish writes a revision of a list to the directory that the platform publishes.
// The file with the revision is written last and renamed into place, so that a
// partly written list is never published.
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

// Lists returns the first revision of every list by name.
func (scn *Scene) Lists() map[string]string {
	return map[string]string{
		"customers": CustomersList(Customers[:3]...),
		"plans":     plansList,
		"vms":       scn.VMsList(),
		"keys":      KeysList(1),
	}
}

// customerPlans holds the plan of each customer.
var customerPlans = map[string]string{"till-gold": "gold", "till-silver": "silver", "engraver": "gold", "newcomer": "silver"}

// CustomersList returns a customers list with the named customers.
func CustomersList(names ...string) string {
	var sb strings.Builder
	for _, name := range names {
		fmt.Fprintf(&sb, "[customer %s]\nplan = %s\ncertificate = %s\nteam = povltavi\n\n", name, customerPlans[name], name)
	}
	return sb.String() + "[end]\n"
}

// plansList is the plans list. Its addresses are those of GoldFeed, SilverFeed and
// GoldPhoto.
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

// VMsList returns the VMs list, in which the named VMs are leaving.
func (scn *Scene) VMsList(leaving ...string) string {
	var sb strings.Builder
	for _, hst := range scn.Hosts() {
		role := "balancer"
		if hst.Service != "" {
			role = "upstream"
		}
		fmt.Fprintf(&sb, "[vm %s]\nrole = %s\naddress = 127.0.0.1:%d\nzone = %s\nregion = %s\n", hst.Name, role, hst.Peer, hst.Zone, sceneRegion)
		if hst.Service != "" {
			fmt.Fprintf(&sb, "service = %s\nslots = %d\nconnections = 2000\n", hst.Service, slotsPerUpstream)
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

// KeysList returns a keys list with the given key IDs. The secret of an ID is always
// the same, and differs between IDs.
func KeysList(ids ...int) string {
	var sb strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&sb, "[key %d]\nsecret = %064x\n\n", id, 7919*id+1)
	}
	return sb.String() + "[end]\n"
}

// Settings returns the settings file of a process.
func (scn *Scene) Settings(hst Host) string {
	certs, _ := filepath.Abs(filepath.Join(scn.dir, "certs")) // Abs fails only when there is no working directory.
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

// seeds returns the peer addresses of the balancers other than the process itself.
func (scn *Scene) seeds(hst Host) string {
	var seeds []string
	for _, other := range scn.Balancers() {
		if other.Name != hst.Name {
			seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", other.Peer))
		}
	}
	return strings.Join(seeds, ",")
}

// Dir returns the directory of the scene's files.
func (scn *Scene) Dir() string { return scn.dir }

// AddressOf returns the address in a customer's plan of the service that the
// customer uses.
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

// Ready reports whether the process's health check answers with 200.
func (hst Host) Ready() bool {
	rsp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/health", hst.Admin))
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// Revision returns the revision of a list that the process reports as in force. It
// returns 0 when the process does not answer or does not know the list.
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
