// Command standin runs stand-ins for the environment of lagoondrum: platform,
// upstreams and callers. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/stand"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the environment of lagoondrum, for tests and for make run.")
	dir := app.Flag("dir", "Directory of the scene.").Default("scene").String()
	ports := app.Flag("ports", "First port of the scene.").Default("17000").Int()
	scene := app.Command("scene", "Write the certificates, lists and settings of the scene.")
	platform := app.Command("platform", "Publish the lists of the scene over HTTP.")
	upstream := app.Command("upstream", "Run the upstream of one agent.")
	name := upstream.Arg("name", "Name of the agent's VM.").Required().String()
	work := upstream.Flag("work", "Time that a piece of work takes.").Default("50ms").Duration()
	cold := upstream.Flag("cold", "Time after the start during which work takes four times as long.").Default("0s").Duration()
	drive := newDriveCommand(app)
	cmd := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	scn := stand.NewScene(*dir, *ports)
	var err error
	switch cmd {
	case scene.FullCommand():
		err = scn.Write()
	case platform.FullCommand():
		plt := stand.NewPlatform()
		go plt.PublishDir(*dir+"/lists", ctx.Done())
		err = serve(ctx, scn.PlatformPort(), plt)
	case upstream.FullCommand():
		err = runUpstream(ctx, scn, *name, func(service string, slots int) *stand.Upstream {
			return stand.NewUpstream(service, slots, *work, *cold)
		})
	case drive.command.FullCommand():
		err = drive.run(ctx, scn)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const upstreamSlots = 4

// runUpstream serves the upstream of the agent with a name. build returns an upstream
// for a service and a number of slots.
func runUpstream(ctx context.Context, scn *stand.Scene, name string, build func(string, int) *stand.Upstream) error {
	for _, hst := range scn.Agents() {
		if hst.Name == name {
			return serve(ctx, hst.Upstream, build(hst.Service, upstreamSlots))
		}
	}
	return &unknownAgentError{name}
}

// unknownAgentError reports the name of an agent that the scene does not have.
type unknownAgentError struct{ name string }

func (err *unknownAgentError) Error() string { return "the scene has no agent named " + err.name }

// serve serves HTTP on a loopback port until ctx ends.
func serve(ctx context.Context, port int, handler http.Handler) error {
	server := &http.Server{Addr: fmt.Sprintf("127.0.0.1:%d", port), Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
