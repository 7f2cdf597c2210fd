// Command lycheevale runs one instance of the serving layer, or a demo deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lycheevale/internal/tool/bench"
	"lycheevale/internal/tool/daemoncmd"
	"lycheevale/internal/tool/demo"
	"lycheevale/internal/tool/exitcode"
	"lycheevale/internal/tool/fleetcmd"
	"lycheevale/platform/roles"
)

// exitError makes main exit with a code; all output has been printed before.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func exit(code int) error {
	if code == exitcode.OK {
		return nil
	}
	return exitError(code)
}

type runCommand struct {
	Config        string `long:"config" value-name:"FILE" description:"settings in YAML; the defaults run one instance without a disk"`
	PrintDefaults bool   `long:"print-defaults" description:"print the default settings with comments and end"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	if c.PrintDefaults {
		return exit(daemoncmd.PrintDefaults(os.Stdout))
	}
	return exit(daemoncmd.Run(c.Config, os.Stdout, os.Stderr))
}

type checkCommand struct {
	Deployment bool `long:"deployment" description:"the file is for entry or control"`
	Arguments  struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Deployment {
		return exit(fleetcmd.Check(c.Arguments.File, os.Stdout, os.Stderr))
	}
	return exit(daemoncmd.CheckConfig(c.Arguments.File, os.Stdout, os.Stderr))
}

type entryCommand struct {
	Config string `long:"config" env:"LYCHEEVALE_NODE_FILE" value-name:"FILE" required:"yes" description:"settings in YAML"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	return exit(fleetcmd.Run(c.Config, os.Stdout, os.Stderr, roles.Entry))
}

type controlCommand struct {
	Config string `long:"config" env:"LYCHEEVALE_NODE_FILE" value-name:"FILE" required:"yes" description:"settings in YAML"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	return exit(fleetcmd.Run(c.Config, os.Stdout, os.Stderr, roles.Control))
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error { return exit(daemoncmd.Version(os.Stdout)) }

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

type benchCommand struct {
	Report string `long:"report" default:"report" value-name:"FOLDER" description:"folder for the report, empty for none"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	return bench.Run(os.Stdout, bench.WithReport(c.Report))
}

func main() {
	parser := flags.NewNamedParser("lycheevale", flags.HelpFlag|flags.PassDoubleDash)
	add(parser, "run", "run one instance", &runCommand{})
	add(parser, "entry", "run an instance that serves callers of a deployment", &entryCommand{})
	add(parser, "control", "run an instance that controls a deployment", &controlCommand{})
	add(parser, "check-config", "check a settings file", &checkCommand{})
	add(parser, "version", "print the version", &versionCommand{})
	add(parser, "demo", "run a small deployment in one process and send requests through it", &demoCommand{})
	add(parser, "bench", "measure the placement policy against its baselines", &benchCommand{})
	_, err := parser.Parse()
	if code, ok := err.(exitError); ok {
		os.Exit(int(code))
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitcode.Usage)
	}
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitcode.Failure)
	}
}
