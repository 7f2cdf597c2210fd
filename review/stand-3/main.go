// Command stand-3 plays the cases of the third review: it starts the programs of lycheevale as processes on loopback addresses, with stand-ins of
// endpoints, callers and the operator, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case and returns how the rule was broken, empty if it held.
type play func(f *fleet) (broken string, err error)

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	flag.Parse()
	plays := map[string]play{"base-models": playBaseModels, "retry-window": playRetryWindow, "taken-up": playTakenUp, "dark": playDark}
	p, known := plays[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(run(p, *record))
}

// stopOnSignal ends all processes of a run that is ended before its time.
func stopOnSignal(f *fleet, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var watcher errgroup.Group
	watcher.Go(func() error {
		select {
		case <-signals:
		case <-f.ctx.Done():
			return nil
		}
		f.killAll()
		_ = os.RemoveAll(folder) // the system's folder for temporary files is cleaned otherwise
		os.Exit(exitNotRun)
		return nil
	})
}

func run(p play, path string) int {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(folder, filepath.Join("target", "lycheevale"), out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopOnSignal(f, folder)
	broken, err := p(f)
	f.stop()
	code := exitHeld
	switch {
	case err != nil:
		f.log("the case could not run: %v", err)
		code = exitNotRun
	case broken != "":
		f.log("BROKEN: %s", broken)
		code = exitBroken
	default:
		f.log("held")
	}
	if err := out.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
