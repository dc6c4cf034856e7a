// Command lagoondrum runs the balancers and agents of a layer-4 load balancer, and
// holds the commands for its operators and callers.
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

// Exit codes other than 0, which means success.
const (
	exitFailure = 1
	exitUsage   = 2 // The command line cannot be parsed.
	exitInvalid = 3 // An input file is not valid.
)

// version is the released version; a release build sets it.
var version = "0.1.0"

func main() {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true") // Package mmsg sets the buffer sizes of the sockets.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmds := newCommands(version)
	if err := cmds.run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lagoondrum:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *usageError
	var refused *tool.RefusedError
	var faults *inidoc.Faults
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &faults):
		return exitInvalid
	default:
		return exitFailure
	}
}
