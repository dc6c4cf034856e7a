package admin

import (
	"io"
	"net/http"
	"sort"

	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"lagoondrum/core/frame"
	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
	"lagoondrum/core/relay"
	"lagoondrum/core/table"
	"lagoondrum/io/feed"
)

// statusBody is the answer of /v1/status.
type statusBody struct {
	Process  string      `json:"process"`
	Role     string      `json:"role"`
	Zone     string      `json:"zone"`
	Region   string      `json:"region"`
	Ready    bool        `json:"ready"`
	Warnings []string    `json:"warnings"`
	Lists    []listState `json:"lists"`
	Agent    *agentState `json:"agent,omitempty"`
}

// agentState is the load of an agent and the phase of its drain.
type agentState struct {
	Phase    string `json:"phase"`
	Flows    int    `json:"flows"`
	Requests int    `json:"requests"`
	Streams  int    `json:"streams"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Slots    int    `json:"slots"`
}

// upstreamState is what a balancer knows about an upstream and its agent. The loads
// are fractions of the capacity.
type upstreamState struct {
	Name         string  `json:"name"`
	Agent        string  `json:"agent"`
	Service      string  `json:"service"`
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	FlowLoad     float64 `json:"flowLoad"`
	WorkLoad     float64 `json:"workLoad"`
	HeardSeconds float64 `json:"heardSeconds"` // Since the last datagram of the agent, -1 for none.
}

// grantState is a grant of the plans list.
type grantState struct {
	Plan      string  `json:"plan"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	Upstreams int     `json:"upstreams"`
	Share     float64 `json:"share"`
}

// customerState is a customer of the customers list.
type customerState struct {
	Name        string `json:"name"`
	Plan        string `json:"plan"`
	Certificate string `json:"certificate"`
}

// usageState holds a customer's flows and pieces of work by outcome, since the start
// of the agent.
type usageState struct {
	Customer string `json:"customer"`
	Flows    int    `json:"flows"`
	Done     int    `json:"done"`
	NotRun   int    `json:"notRun"`
	Unknown  int    `json:"unknown"`
}

// explainBody is the answer of /v1/explain.
type explainBody struct {
	Customer   string   `json:"customer"`
	Plan       string   `json:"plan"`
	Service    string   `json:"service"`
	Allowed    bool     `json:"allowed"`
	Reason     string   `json:"reason"`
	Address    string   `json:"address,omitempty"`
	Candidates []string `json:"candidates,omitempty"`
}

// checkBody is the answer of /v1/check.
type checkBody struct {
	Valid  bool     `json:"valid"`
	Faults []string `json:"faults"`
}

func (adm *Admin) status(rw http.ResponseWriter, _ *http.Request) {
	body := statusBody{
		Process: adm.set.Name(), Zone: adm.set.Place().Zone(), Region: adm.set.Place().Region(),
		Ready: adm.isReady(), Warnings: adm.warnings(),
	}
	for _, name := range lists.Names() {
		body.Lists = append(body.Lists, adm.listState(name))
	}
	switch prc := adm.process.(type) {
	case Balancer:
		body.Role = string(lists.BalancerRole)
	case Agent:
		body.Role = "agent"
		body.Agent = agentStateOf(prc)
	}
	httpx.OkJson(rw, body)
}

func agentStateOf(prc Agent) *agentState {
	flows, requests, streams := prc.Agent.Open()
	running, queued, slots := prc.Agent.Slots()
	return &agentState{
		Phase: prc.Agent.Phase().String(), Flows: flows, Requests: requests, Streams: streams,
		Running: running, Queued: queued, Slots: slots,
	}
}

// warnings describes where lists that are each valid contradict each other.
func (adm *Admin) warnings() []string {
	return feed.Mismatches(adm.lists.Customers(), adm.lists.Plans(), adm.lists.VMs())
}

func (adm *Admin) plans(rw http.ResponseWriter, _ *http.Request) {
	all := []grantState{}
	if pls := adm.lists.Plans(); pls != nil {
		for _, gr := range pls.Grants() {
			all = append(all, grantState{gr.Plan(), gr.Service(), gr.Address().String(), gr.Upstreams(), gr.Share()})
		}
	}
	httpx.OkJson(rw, map[string][]grantState{"grants": all})
}

func (adm *Admin) customers(rw http.ResponseWriter, req *http.Request) {
	all := []customerState{}
	if cus := adm.lists.Customers(); cus != nil {
		for _, cu := range cus.All() {
			if canSee(req, cu) {
				all = append(all, customerState{cu.Name(), cu.Plan(), cu.Certificate()})
			}
		}
	}
	httpx.OkJson(rw, map[string][]customerState{"customers": all})
}

// usage returns the flows and work at an agent for each customer of the team. A
// balancer has none.
func (adm *Admin) usage(rw http.ResponseWriter, req *http.Request) {
	all := []usageState{}
	prc, ok := adm.process.(Agent)
	cus := adm.lists.Customers()
	if ok && cus != nil {
		visible := make(map[string]bool)
		for _, cu := range cus.All() {
			visible[cu.Name()] = canSee(req, cu)
		}
		for _, usg := range prc.Agent.Usages() {
			if visible[usg.Customer()] {
				all = append(all, usageState{
					usg.Customer(), usg.Flows(), usg.Work(relay.Done), usg.Work(relay.NotRun), usg.Work(relay.Unknown),
				})
			}
		}
	}
	httpx.OkJson(rw, map[string][]usageState{"usage": all})
}

func (adm *Admin) upstreams(rw http.ResponseWriter, _ *http.Request) {
	all := []upstreamState{}
	vms := adm.lists.VMs()
	if prc, ok := adm.process.(Balancer); ok && vms != nil {
		for _, sta := range prc.Entry.Links() {
			vm, ok := vms.ByAddress(sta.Agent())
			if !ok {
				continue
			}
			lnk := sta.Link()
			all = append(all, upstreamState{
				Name: vm.Name(), Agent: sta.Agent().String(), Service: vm.Service(), Zone: vm.Zone(),
				State:    linkState(vm, lnk.Silent(), lnk.Leaving()),
				FlowLoad: float64(lnk.Load().Flows()) / frame.FullLoad, WorkLoad: float64(lnk.Load().Work()) / frame.FullLoad,
				HeardSeconds: ageSeconds(lnk.HeardAt()),
			})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	httpx.OkJson(rw, map[string][]upstreamState{"upstreams": all})
}

// linkState returns the state of the link to an upstream's agent: silent, leaving or
// live.
func linkState(vm *lists.VM, silent, leaving bool) string {
	switch {
	case silent:
		return "silent"
	case leaving || vm.Leaving():
		return "leaving"
	default:
		return "live"
	}
}

// explain returns which agents may serve a customer's new flows to a service, and
// why.
func (adm *Admin) explain(rw http.ResponseWriter, req *http.Request) {
	name, service := req.URL.Query().Get("customer"), req.URL.Query().Get("service")
	if name == "" || service == "" {
		writeAPIError(rw, http.StatusBadRequest, "badQuery", "the query parameters customer and service are required")
		return
	}
	cus, pls, vms := adm.lists.Customers(), adm.lists.Plans(), adm.lists.VMs()
	if cus == nil || pls == nil || vms == nil {
		writeAPIError(rw, http.StatusServiceUnavailable, "notReady", "the lists of customers, plans and VMs are not all in force yet")
		return
	}
	for _, cu := range cus.All() {
		if cu.Name() == name && canSee(req, cu) {
			httpx.OkJson(rw, adm.explanation(cu, service, pls, vms))
			return
		}
	}
	writeAPIError(rw, http.StatusNotFound, "unknownCustomer", "the team has no customer "+name)
}

// explanation returns the answer of explain for a customer that the team may see.
func (adm *Admin) explanation(cu *lists.Customer, service string, pls *lists.Plans, vms *lists.VMs) explainBody {
	body := explainBody{Customer: cu.Name(), Plan: cu.Plan(), Service: service}
	gr, ok := pls.Grant(cu.Plan(), service)
	if !ok {
		body.Reason = "the plan has no grant for the service"
		return body
	}
	body.Allowed = true
	body.Address = gr.Address().String()
	body.Reason = "rendezvous hashing of the connection ID selects the first and second choice among the candidates for a new flow"
	for _, vm := range table.Subset(gr, table.Pool(vms, service, adm.set.Place())) {
		body.Candidates = append(body.Candidates, vm.Name())
	}
	return body
}

// check validates a list as the process would, without putting it in force.
func (adm *Admin) check(rw http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, inidoc.MaxBytes+1))
	if err != nil {
		writeAPIError(rw, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	body := checkBody{Valid: true, Faults: []string{}}
	if fs := feed.Check(lists.Name(pathvar.Vars(req)["list"]), raw); fs != nil {
		body = checkBody{Faults: faultLines(fs)}
	}
	httpx.OkJson(rw, body)
}

func (adm *Admin) isReady() bool {
	select {
	case <-adm.ready:
		return true
	default:
		return false
	}
}
