// Command standin-3 runs the cases of the third review: the project's programs as
// processes on loopback, with stand-ins of the platform, the backends and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// brokenError reports that a rule was broken.
type brokenError struct{ text string }

func (err *brokenError) Error() string { return err.text }

// runCase is the course of a case. It returns a *brokenError if the rule was broken.
type runCase func(wld *world, trouble bool) error

// testCase is a case with the terms of its deployment.
type testCase struct {
	trms terms
	run  runCase
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/lagoondrum", "the program under test")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	err := execute(*name, *program, *recordPath, os.Getenv("TROUBLE") != "0")
	broken := &brokenError{}
	switch {
	case err == nil:
		fmt.Println("held")
		os.Exit(exitHeld)
	case errors.As(err, &broken):
		fmt.Println("broken:", err)
		os.Exit(exitBroken)
	default:
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
}

func execute(name, program, recordPath string, trouble bool) error {
	cse, found := cases[name]
	if !found {
		return fmt.Errorf("%w: no case %q", errNotRun, name)
	}
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("files in", dir)
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return err
	}
	wld, err := newWorld(rec, dir, program, cse.trms)
	if err != nil {
		return err
	}
	defer wld.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		wld.close()
		os.Exit(exitNotRun)
	}()
	err = cse.run(wld, trouble)
	if err == nil {
		rec.note("the rule held")
	} else {
		rec.note("%v", err)
	}
	return err
}
