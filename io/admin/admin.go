// Package admin is the read-only administration API of a process.
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
	requestMillis = 3000
	maxBodyBytes  = 2 << 20
	maxConns      = 256
	forceQuit     = 8 * 24 * time.Hour // The process ends by its own drain, long before.
)

// Process is what the API tells about: a Balancer or an Agent.
type Process interface{ process() }

// Balancer is a process with a data path.
type Balancer struct{ Entry *entry.Entry }

// Agent is a process beside an upstream.
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

// New returns the API of a process; ready is closed when the process serves.
func New(set *conf.Settings, lst *feed.Lists, scope *stats.Scope, prc Process, ready <-chan struct{}) *Admin {
	return &Admin{set: set, lists: lst, scope: scope, process: prc, ready: ready}
}

func (adm *Admin) String() string { return "admin" }

// Serve runs until the context ends.
func (adm *Admin) Serve(ctx context.Context) error {
	logx.Disable()
	zproc.SetTimeToForceQuit(forceQuit) // The library would end the process 5 s after SIGTERM.
	server, err := rest.NewServer(adm.restConf())
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
		Timeout: requestMillis, MaxBytes: maxBodyBytes, MaxConns: maxConns,
		Middlewares: rest.MiddlewaresConf{Shedding: true, Timeout: true, Recover: true, MaxConns: true, MaxBytes: true},
	}
}

func (adm *Admin) addRoutes(server *rest.Server) {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/v1/health", Handler: adm.health},
		{Method: http.MethodGet, Path: "/v1/lists", Handler: adm.listsInForce},
		{Method: http.MethodGet, Path: "/metrics", Handler: adm.scope.ServeHTTP},
	}
	server.AddRoutes(routes)
}

func (adm *Admin) health(rw http.ResponseWriter, _ *http.Request) {
	select {
	case <-adm.ready:
		rw.WriteHeader(http.StatusOK)
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}
