// Package admin serves the read-only administration API of a process.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	zproc "github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"lagoondrum/io/agent"
	"lagoondrum/io/conf"
	"lagoondrum/io/entry"
	"lagoondrum/io/feed"
	"lagoondrum/io/stats"
)

const (
	requestTimeoutMillis = 3000
	maxBodyBytes         = 2 << 20
	maxConns             = 256
	forceQuitDelay       = 8 * 24 * time.Hour // Longer than the longest drain, 7 days, at whose end the process exits itself.
)

// Process is the process that the API reports on: a Balancer or an Agent.
type Process interface{ process() }

// Balancer is a balancer process, with its data path.
type Balancer struct{ Entry *entry.Entry }

// Agent is an agent process, which runs on the VM of an upstream.
type Agent struct{ Agent *agent.Agent }

func (Balancer) process() {}
func (Agent) process()    {}

// Admin serves the API.
type Admin struct {
	set     *conf.Settings
	lists   *feed.Lists
	scope   *stats.Scope
	process Process
	ready   <-chan struct{}
}

// New returns the API of a process. Ready is closed once the process serves.
func New(set *conf.Settings, lst *feed.Lists, scope *stats.Scope, prc Process, ready <-chan struct{}) *Admin {
	return &Admin{set: set, lists: lst, scope: scope, process: prc, ready: ready}
}

// String returns the name of the service in supervisor events.
func (adm *Admin) String() string { return "admin" }

// Serve runs until the context ends.
func (adm *Admin) Serve(ctx context.Context) error {
	logx.Disable()
	zproc.SetTimeToForceQuit(forceQuitDelay) // By default the library ends the process 5 s after SIGTERM.
	server, err := rest.NewServer(adm.restConf(), rest.WithNotFoundHandler(http.HandlerFunc(notFound)))
	if err != nil {
		return err
	}
	adm.addRoutes(server)
	go func() {
		<-ctx.Done()
		server.Stop()
	}()
	server.Start()
	return ctx.Err()
}

func (adm *Admin) restConf() rest.RestConf {
	addr := adm.set.AdminAddress()
	cert, key := adm.set.AdminFiles()
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: adm.set.Name(), Mode: service.ProMode,
			Log: logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"},
		},
		Host: addr.Addr().String(), Port: int(addr.Port()), CertFile: cert, KeyFile: key,
		Timeout: requestTimeoutMillis, MaxBytes: maxBodyBytes, MaxConns: maxConns,
		Middlewares: rest.MiddlewaresConf{Shedding: true, Timeout: true, Recover: true, MaxConns: true, MaxBytes: true},
	}
}

// addRoutes registers the handlers. Health checks need no token, so that the
// platform can make them.
func (adm *Admin) addRoutes(server *rest.Server) {
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/v1/health", Handler: adm.health})
	for path, handler := range map[string]http.HandlerFunc{
		"/v1/status":    adm.status,
		"/v1/lists":     adm.listsInForce,
		"/v1/plans":     adm.plans,
		"/v1/customers": adm.customers,
		"/v1/upstreams": adm.upstreams,
		"/v1/usage":     adm.usage,
		"/v1/explain":   adm.explain,
		"/metrics":      adm.scope.ServeHTTP,
	} {
		server.AddRoute(rest.Route{Method: http.MethodGet, Path: path, Handler: adm.authenticate(handler)})
	}
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/v1/check/:list", Handler: adm.authenticate(adm.check)})
}

func (adm *Admin) health(rw http.ResponseWriter, _ *http.Request) {
	if !adm.isReady() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func notFound(rw http.ResponseWriter, req *http.Request) {
	writeAPIError(rw, http.StatusNotFound, "notFound", "no such path: "+req.URL.Path)
}
