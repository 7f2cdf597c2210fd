// Command stand runs one case of the review: the project's programs as processes, with clients, workers and an operator of its own.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit ends a case that hangs.
const limit = 115 * time.Second

var cases = map[string]func(s *site, trouble bool) int{
	"orderly-leave": orderlyLeave,
	"late-copy":     lateCopy,
	"stale-leader":  staleLeader,
	"deadly-query":  deadlyQuery,
	"deadly-copies": deadlyCopies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(s *site, trouble bool) int, path string, trouble bool) (code int) {
	s, err := newSite(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.note("trouble: %v", trouble)
	defer s.close()
	done := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				s.note("stand-in failed: %v", p)
				done <- failed
			}
		}()
		done <- play(s, trouble)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
		code = failed
	case code = <-done:
	case <-time.After(limit):
		s.note("the case did not end in time")
		code = failed
	}
	s.note("exit %d", code)
	return code
}
