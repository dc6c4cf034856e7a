package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/conf"
	"lagoondrum/io/proc"
	"lagoondrum/io/tool"
)

// commands is the command line.
type commands struct {
	app      *kingpin.Application
	settings *string
	api      tool.API
	target   tool.Target
	load     tool.Load
	handlers map[string]func(context.Context) error
}

// usageError reports a command line that cannot be understood.
type usageError struct{ cause error }

func (err *usageError) Error() string { return err.cause.Error() + "; try --help" }

func newCommands(version string) *commands {
	cmds := &commands{handlers: make(map[string]func(context.Context) error)}
	cmds.app = kingpin.New("lagoondrum", "A layer-4 load balancer for long sessions and bursts of work.")
	cmds.app.Version(version)
	cmds.app.HelpFlag.Short('h')
	cmds.settings = cmds.app.Flag("settings", "Settings file (INI). Without it every setting has its default.").Short('s').String()
	cmds.addProcesses()
	cmds.addOperators()
	cmds.addCallers()
	return cmds
}

func (cmds *commands) run(ctx context.Context, args []string) error {
	cmd, err := cmds.app.Parse(args)
	if err != nil {
		return &usageError{err}
	}
	return cmds.handlers[cmd](ctx)
}

func (cmds *commands) add(cmd *kingpin.CmdClause, handler func(context.Context) error) *kingpin.CmdClause {
	cmds.handlers[cmd.FullCommand()] = handler
	return cmd
}

func (cmds *commands) addProcesses() {
	cmds.add(cmds.app.Command("balancer", "Run a balancer on an entry VM until SIGTERM."),
		func(ctx context.Context) error { return cmds.process(ctx, proc.RunBalancer) })
	cmds.add(cmds.app.Command("agent", "Run the agent beside an upstream. SIGTERM drains it."),
		func(ctx context.Context) error { return cmds.process(ctx, proc.RunAgent) })
}

func (cmds *commands) process(ctx context.Context, run func(context.Context, *conf.Settings) error) error {
	set, err := conf.Load(*cmds.settings)
	if err != nil {
		return err
	}
	return run(ctx, set)
}

func (cmds *commands) addOperators() {
	check := cmds.app.Command("check", "Check lists and settings offline and report every fault.")
	files := check.Arg("files", "Files called customers, plans, vms or keys are lists; others are settings.").Required().Strings()
	cmds.add(check, func(context.Context) error { return tool.Check(os.Stdout, *files) })

	settings := cmds.app.Command("settings", "Print every setting with its default, unit and meaning.")
	cmds.add(settings, func(context.Context) error {
		_, err := os.Stdout.WriteString(conf.Help())
		return err
	})

	status := cmds.app.Command("status", "Print the state of a process.")
	cmds.addAPIFlags(status)
	cmds.add(status, func(context.Context) error { return tool.Status(os.Stdout, cmds.api) })

	explain := cmds.app.Command("explain", "Print where a customer's traffic to a service would go, and why.")
	cmds.addAPIFlags(explain)
	customer := explain.Arg("customer", "Name of the customer.").Required().String()
	service := explain.Arg("service", "Name of the service.").Required().String()
	cmds.add(explain, func(context.Context) error { return tool.Explain(os.Stdout, cmds.api, *customer, *service) })
}

func (cmds *commands) addAPIFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("admin", "URL of the process's administration API.").Default("http://127.0.0.1:7890").StringVar(&cmds.api.URL)
	cmd.Flag("token", "Bearer token of the team.").Envar("LAGOONDRUM_TOKEN").StringVar(&cmds.api.Token)
}

func (cmds *commands) addCallers() {
	call := cmds.app.Command("call", "Have one piece of work run, or follow a stream.")
	cmds.addTargetFlags(call)
	method := call.Flag("method", "HTTP method.").Default("POST").String()
	body := call.Flag("body", "Body of the request.").String()
	stream := call.Flag("stream", "Follow the path as a stream of lines.").Bool()
	path := call.Arg("path", "Path of the request.").Required().String()
	cmds.add(call, func(ctx context.Context) error {
		if *stream {
			return tool.CallStream(ctx, os.Stdout, cmds.target, *path)
		}
		return tool.Call(ctx, os.Stdout, cmds.target, *method, *path, *body)
	})

	load := cmds.app.Command("load", "Drive work at a steady rate over many flows and report.")
	cmds.addTargetFlags(load)
	load.Flag("flows", "Flows to open.").Default("10").IntVar(&cmds.load.Flows)
	load.Flag("rate", "Pieces of work per second over all flows.").Default("50").IntVar(&cmds.load.Rate)
	load.Flag("seconds", "Length of the run.").Default("10").IntVar(&cmds.load.Seconds)
	load.Flag("method", "HTTP method.").Default("POST").StringVar(&cmds.load.Method)
	load.Flag("json", "Report as JSON.").BoolVar(&cmds.load.JSON)
	load.Arg("path", "Path of the requests.").Required().StringVar(&cmds.load.Path)
	load.Validate(cmds.checkLoad)
	cmds.add(load, func(ctx context.Context) error { return tool.RunLoad(ctx, os.Stdout, cmds.target, cmds.load) })
}

func (cmds *commands) addTargetFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "IP number of the service in the customer's plan.").Required().StringVar(&cmds.target.Address)
	cmd.Flag("port", "UDP port of every address.").Default("443").IntVar(&cmds.target.Port)
	cmd.Flag("cert", "The customer's certificate (PEM).").Default("cert.pem").StringVar(&cmds.target.Cert)
	cmd.Flag("key", "The customer's private key (PEM).").Default("key.pem").StringVar(&cmds.target.Key)
	cmd.Flag("ca", "Authority of the system (PEM).").Default("ca.pem").StringVar(&cmds.target.CA)
}

// badLoadError reports numbers that make no load.
type badLoadError struct{}

func (badLoadError) Error() string { return "flows, rate and seconds have to be at least 1" }

func (cmds *commands) checkLoad(*kingpin.CmdClause) error {
	if cmds.load.Flows < 1 || cmds.load.Rate < 1 || cmds.load.Seconds < 1 {
		return badLoadError{}
	}
	return nil
}
