// Command lagoondrum is a layer-4 load balancer: balancers, agents beside
// upstreams, and the tools of operators and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lagoondrum/core/inidoc"
	"lagoondrum/io/tool"
)

// The exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	exitRefused = 3
)

// version is set when a release is built.
var version = "0.1.0"

func main() {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true") // The sockets are sized elsewhere.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmds := newCommands(version)
	if err := cmds.run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lagoondrum:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var usage *usageError
	var refused *tool.RefusedError
	var faults *inidoc.Faults
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &faults):
		return exitRefused
	default:
		return exitFailure
	}
}
