package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // The rule held.
	exitBroken = 1
	exitFailed = 2 // The case could not run.
)

// cases are the cases by name.
var cases = map[string]func(wld *world, trouble bool) error{
	"held-request": playHeldRequest,
	"late-opening": playLateOpening,
	"tries":        playTries,
	"fraction":     playFraction,
}

func main() {
	bin := flag.String("program", "target/lagoondrum", "the project's program")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitFailed)
	}
	os.Exit(run1(play, *bin, *out, *keep))
}

func run1(play func(*world, bool) error, bin, out string, keep bool) int {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	wld, err := newWorld(bin, dir, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	stop := make(chan struct{})
	ints := make(chan os.Signal, 1)
	signal.Notify(ints, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go wld.router.watch(stop)
	go func() { done <- play(wld, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-ints:
		err = fmt.Errorf("interrupted")
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	close(stop)
	wld.close()
	breaches := wld.rec.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case breaches > 0:
		fmt.Printf("broken: %d breaches, see %s\n", breaches, out)
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
