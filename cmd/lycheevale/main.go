// Command lycheevale runs one instance of the serving layer, or a demo deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lycheevale/internal/tool/demo"
)

type demoCommand struct {
	Requests int  `long:"requests" default:"24" description:"completions to send"`
	Stay     bool `long:"stay" description:"keep running until interrupted"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, demo.WithRequests(c.Requests), demo.WithStay(c.Stay))
}

func main() {
	parser := flags.NewNamedParser("lycheevale", flags.Default)
	add(parser, "demo", "run a small deployment in one process and send requests through it", &demoCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
