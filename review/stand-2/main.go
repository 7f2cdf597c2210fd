// Command stand-2 runs the cases of the second review: it starts the project's programs as processes on loopback addresses, plays workers, clients, the
// operator and the links between machines, and judges what they have seen. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun is below the two minutes that a script may take.
const longestRun = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by name.
var cases = map[string]func(ctx context.Context, s *stand) (verdict, error){
	"versions": mixedVersions,
	"lease":    ordersOfTwoHolders,
	"takeup":   streamsTakenUp,
	"deadly":   deadlyRequest,
	"begun":    deadlyStream,
}

// stand is one run of a case.
type stand struct {
	folder  string
	trouble bool

	mu      sync.Mutex
	record  *os.File
	started time.Time
}

// log adds a line to the record of the run.
func (s *stand) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitFailed
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Fprintln(os.Stderr, filepath.Clean(folder))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	s := &stand{folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now()}
	s.log("case %s, disruption %v", os.Args[1], s.trouble)
	v, err := cases[os.Args[1]](ctx, s)
	switch {
	case err != nil:
		s.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case v.broken:
		s.log("BROKEN: %s", v.reason)
		fmt.Println("broken:", v.reason)
		return exitBroken
	}
	s.log("held: %s", v.reason)
	fmt.Println("held:", v.reason)
	return exitHeld
}
