// Command lagoondrum is a layer-4 load balancer: balancers, agents beside
// upstreams, and the tools of operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/conf"
	"lagoondrum/io/proc"
)

// version is set when a release is built.
var version = "0.1.0"

func main() {
	app := kingpin.New("lagoondrum", "A layer-4 load balancer for long sessions and bursts of work.")
	app.Version(version)
	settings := app.Flag("settings", "Settings file (INI); without it every setting has its default.").Short('s').String()
	balancer := app.Command("balancer", "Run a balancer on an entry VM.")
	agent := app.Command("agent", "Run the agent beside an upstream.")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	cmd := kingpin.MustParse(app.Parse(os.Args[1:]))
	set, serr := conf.Load(*settings)
	if serr != nil {
		fmt.Fprintln(os.Stderr, serr)
		os.Exit(3)
	}
	switch cmd {
	case balancer.FullCommand():
		err = proc.RunBalancer(ctx, set)
	case agent.FullCommand():
		err = proc.RunAgent(ctx, set)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
