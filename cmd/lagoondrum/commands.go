package main

import (
	"context"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/conf"
	"lagoondrum/io/proc"
	"lagoondrum/io/tool"
	"lagoondrum/io/where"
)

// commands parses the command line and holds the handler of each command. Flags are
// parsed into settings, api, target and load.
type commands struct {
	app      *kingpin.Application
	settings *string
	api      tool.API
	target   tool.Target
	load     tool.Load
	handlers map[string]func(context.Context) error
}

// usageError reports a command line that cannot be parsed.
type usageError struct{ cause error }

func (err *usageError) Error() string { return err.cause.Error() + "; try --help" }

// newCommands returns the commands with their flags and arguments.
func newCommands(version string) *commands {
	cmds := &commands{handlers: make(map[string]func(context.Context) error)}
	cmds.app = kingpin.New("lagoondrum", "A layer-4 load balancer for long sessions and bursts of work.")
	cmds.app.Version(version)
	cmds.app.HelpFlag.Short('h')
	cmds.settings = cmds.app.Flag("settings", "Settings file (INI). Without it every setting has its default.").Short('s').String()
	cmds.addProcessCommands()
	cmds.addOperatorCommands()
	cmds.addCallerCommands()
	return cmds
}

// run parses args and runs the handler of the command.
func (cmds *commands) run(ctx context.Context, args []string) error {
	cmd, err := cmds.app.Parse(args)
	if err != nil {
		return &usageError{err}
	}
	return cmds.handlers[cmd](ctx)
}

// register sets the handler of a command.
func (cmds *commands) register(cmd *kingpin.CmdClause, handler func(context.Context) error) *kingpin.CmdClause {
	cmds.handlers[cmd.FullCommand()] = handler
	return cmd
}

// addProcessCommands adds the commands that run a balancer or an agent.
func (cmds *commands) addProcessCommands() {
	cmds.register(cmds.app.Command("balancer", "Run a balancer on an entry VM until SIGTERM."),
		func(ctx context.Context) error { return cmds.runProcess(ctx, proc.RunBalancer) })
	cmds.register(cmds.app.Command("agent", "Run the agent of an upstream. SIGTERM drains it."),
		func(ctx context.Context) error { return cmds.runProcess(ctx, proc.RunAgent) })
}

// runProcess loads the settings and runs a process with them.
func (cmds *commands) runProcess(ctx context.Context, run func(context.Context, *conf.Settings) error) error {
	set, err := conf.Load(*cmds.settings)
	if err != nil {
		return err
	}
	return run(ctx, set)
}

// addOperatorCommands adds the commands for operators.
func (cmds *commands) addOperatorCommands() {
	check := cmds.app.Command("check", "Check lists and settings offline and report every fault.")
	files := check.Arg("files", "Files named customers, plans, vms or keys are lists; all others are settings.").Required().Strings()
	cmds.register(check, func(context.Context) error { return tool.Check(os.Stdout, *files) })

	settings := cmds.app.Command("settings", "Print every setting with its default, unit and meaning.")
	cmds.register(settings, func(context.Context) error {
		_, err := os.Stdout.WriteString(conf.Help())
		return err
	})

	status := cmds.app.Command("status", "Print the state of a process.")
	cmds.addAPIFlags(status)
	cmds.register(status, func(context.Context) error { return tool.Status(os.Stdout, cmds.api) })

	explain := cmds.app.Command("explain", "Print where a customer's traffic to a service would go, and why.")
	cmds.addAPIFlags(explain)
	customer := explain.Arg("customer", "Name of the customer.").Required().String()
	service := explain.Arg("service", "Name of the service.").Required().String()
	cmds.register(explain, func(context.Context) error { return tool.Explain(os.Stdout, cmds.api, *customer, *service) })
	cmds.addExplainFlow()
}

// addExplainFlow adds the command that explains where callers' packets would go. It asks
// a process on the port of its metrics, as there is no administration API there.
func (cmds *commands) addExplainFlow() {
	cmd := cmds.app.Command("explain-flow", "Print where a flow of packets to an address would go now, and why, without sending it.")
	cmd.Flag("process", "URL of the metrics of the balancer or agent that is asked.").Default("http://127.0.0.1:7853").StringVar(&cmds.api.URL)
	cmd.Flag("timeout", "How long the process may take to answer.").Default("5s").DurationVar(&cmds.api.Timeout)
	client := cmd.Flag("client", "Address and port of the client; without it every service of the route is explained.").String()
	asJSON := cmd.Flag("json", "Print the answer as it is (JSON).").Bool()
	address := cmd.Arg("address", "Address and port that the client sends to.").Required().String()
	cmd.Validate(func(*kingpin.CmdClause) error {
		if target, err := url.Parse(cmds.api.URL); err != nil || target.Scheme != "http" || target.Host == "" {
			return invalidProcessError{}
		}
		_, err := where.Query(*address, *client)
		return err
	})
	cmds.register(cmd, func(context.Context) error {
		return tool.ExplainFlow(os.Stdout, cmds.api, *address, *client, *asJSON)
	})
}

// invalidProcessError reports a URL of a process that is not one.
type invalidProcessError struct{}

func (invalidProcessError) Error() string {
	return "the process must be a URL, as http://10.0.0.1:9464"
}

// addAPIFlags adds the flags for access to a process's administration API.
func (cmds *commands) addAPIFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("admin", "URL of the process's administration API.").Default("http://127.0.0.1:7890").StringVar(&cmds.api.URL)
	cmd.Flag("token", "Bearer token of the team.").Envar("LAGOONDRUM_TOKEN").StringVar(&cmds.api.Token)
}

// addCallerCommands adds the commands for callers.
func (cmds *commands) addCallerCommands() {
	call := cmds.app.Command("call", "Send one piece of work and print its answer, or follow a stream.")
	cmds.addTargetFlags(call)
	method := call.Flag("method", "HTTP method.").Default("POST").String()
	body := call.Flag("body", "Body of the request.").String()
	stream := call.Flag("stream", "Follow the path as a stream of lines.").Bool()
	path := call.Arg("path", "Path of the request.").Required().String()
	cmds.register(call, func(ctx context.Context) error {
		if *stream {
			return tool.CallStream(ctx, os.Stdout, cmds.target, *path)
		}
		return tool.Call(ctx, os.Stdout, cmds.target, *method, *path, *body)
	})

	load := cmds.app.Command("load", "Send work at a constant rate over many flows and print a report.")
	cmds.addTargetFlags(load)
	load.Flag("flows", "Flows to open.").Default("10").IntVar(&cmds.load.Flows)
	load.Flag("rate", "Pieces of work per second over all flows.").Default("50").IntVar(&cmds.load.Rate)
	load.Flag("seconds", "Length of the run.").Default("10").IntVar(&cmds.load.Seconds)
	load.Flag("method", "HTTP method.").Default("POST").StringVar(&cmds.load.Method)
	load.Flag("json", "Report as JSON.").BoolVar(&cmds.load.JSON)
	load.Arg("path", "Path of the requests.").Required().StringVar(&cmds.load.Path)
	load.Validate(cmds.validateLoad)
	cmds.register(load, func(ctx context.Context) error { return tool.RunLoad(ctx, os.Stdout, cmds.target, cmds.load) })
}

// addTargetFlags adds the flags for the service to call and the caller's identity.
func (cmds *commands) addTargetFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "IP address of the service in the customer's plan.").Required().StringVar(&cmds.target.Address)
	cmd.Flag("port", "UDP port of the service, the same for every address.").Default("443").IntVar(&cmds.target.Port)
	cmd.Flag("cert", "The customer's certificate (PEM).").Default("cert.pem").StringVar(&cmds.target.Cert)
	cmd.Flag("key", "The customer's private key (PEM).").Default("key.pem").StringVar(&cmds.target.Key)
	cmd.Flag("ca", "Certificate authority of the system (PEM).").Default("ca.pem").StringVar(&cmds.target.CA)
}

// invalidLoadError reports a number of flows, a rate or a duration below 1.
type invalidLoadError struct{}

func (invalidLoadError) Error() string { return "flows, rate and seconds must be at least 1" }

// validateLoad checks the flags of the load command.
func (cmds *commands) validateLoad(*kingpin.CmdClause) error {
	if cmds.load.Flows < 1 || cmds.load.Rate < 1 || cmds.load.Seconds < 1 {
		return invalidLoadError{}
	}
	return nil
}
