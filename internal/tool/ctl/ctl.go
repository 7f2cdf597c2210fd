// Package ctl holds the commands of lycheectl, the operators' client.
package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"lycheevale/internal/base/chain"

	"github.com/jessevdk/go-flags"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/tool/exitcode"
)

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// address is a netip.AddrPort as an option.
type address struct {
	netip.AddrPort
}

// UnmarshalFlag implements flags.Unmarshaler.
func (a *address) UnmarshalFlag(value string) (err error) {
	a.AddrPort, err = netip.ParseAddrPort(value)
	return err
}

// globals are the options of every command.
type globals struct {
	Address    []address     `short:"a" long:"address" env:"LYCHEECTL_ADDRESS" env-delim:"," default:"127.0.0.1:8081" description:"operators' address of an instance; repeat it to name several, which are tried in turn"`
	TokenFile  string        `long:"token-file" env:"LYCHEECTL_TOKEN_FILE" description:"file that holds the operator's token (otherwise LYCHEECTL_TOKEN)"`
	TLS        bool          `long:"tls" env:"LYCHEECTL_TLS" description:"connect with TLS"`
	CAFile     string        `long:"ca-file" env:"LYCHEECTL_CA_FILE" description:"certificates in PEM that sign the instances' certificates; implies --tls"`
	ServerName string        `long:"server-name" description:"name in the instances' certificates (default: the address)"`
	Output     string        `short:"o" long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"format of the output"`
	Attempt    time.Duration `long:"attempt-timeout" default:"15s" description:"time for one attempt"`
	RetryFor   time.Duration `long:"retry-for" default:"1m" description:"time for all attempts"`
	RequestID  string        `long:"request-id" description:"resend a change whose outcome is unknown, with the RequestID that was reported"`
	Expected   uint64        `long:"expected-revision" description:"refuse the change if the configuration has another revision"`
	DryRun     bool          `long:"dry-run" description:"check and show a change without making it"`
}

// session is what a command runs with.
type session struct {
	globals globals
	ctx     context.Context
	streams Streams
	client  *Client
}

func (s *session) notice(format string, args ...any) {
	fmt.Fprintf(s.streams.Err, format+"\n", args...)
}

// requestID returns the RequestID of a change, and whether an earlier command may have sent it.
func (s *session) requestID() (id string, resent bool) {
	if s.globals.RequestID != "" {
		return s.globals.RequestID, true
	}
	return newRequestID(), false
}

// api returns the client, which is made for the first request: many commands need no token.
func (s *session) api() (*Client, error) {
	if s.client != nil {
		return s.client, nil
	}
	token := strings.TrimSpace(os.Getenv("LYCHEECTL_TOKEN"))
	if s.globals.TokenFile != "" {
		data, err := os.ReadFile(s.globals.TokenFile)
		if err != nil {
			return nil, usage("%v", err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usage("no operator's token; set --token-file or LYCHEECTL_TOKEN")
	}
	config, err := s.tlsConfig()
	if err != nil {
		return nil, usage("%v", err)
	}
	o := ClientOptions{
		Token: token, TLS: config, Attempt: s.globals.Attempt, RetryFor: s.globals.RetryFor,
		FirstWait: 200 * time.Millisecond, Notice: s.notice,
	}
	for _, a := range s.globals.Address {
		o.Addresses = append(o.Addresses, a.AddrPort)
	}
	s.client = NewClient(o)
	return s.client, nil
}

func (s *session) tlsConfig() (*tls.Config, error) {
	if !s.globals.TLS && s.globals.CAFile == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: s.globals.ServerName}
	if s.globals.CAFile == "" {
		return config, nil
	}
	data, err := os.ReadFile(s.globals.CAFile)
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificate in PEM", s.globals.CAFile)
	}
	return config, nil
}

// usageError is an error in the arguments.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

func usage(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// Run runs one command and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	s := &session{ctx: ctx, streams: streams}
	parser := newParser(s)
	_, err := parser.ParseArgs(args)
	return s.exit(parser, err)
}

func newParser(s *session) *flags.Parser {
	parser := flags.NewNamedParser("lycheectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Configures and observes lycheevale."
	parser.CompletionHandler = func(items []flags.Completion) {
		for _, item := range items {
			fmt.Fprintln(s.streams.Out, item.Item)
		}
	}
	must(parser.AddGroup("Global options", "", &s.globals))
	addCommands(parser, s)
	return parser
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // a tag of an option is not valid
	}
	return value
}

// exit reports the error and returns the exit code that docs/operators.md documents for it.
func (s *session) exit(parser *flags.Parser, err error) int {
	var parse *flags.Error
	var call *CallError
	var badUsage *usageError
	var source yamldoc.SourceErrors
	var single yamldoc.SourceError
	switch {
	case err == nil:
		return exitcode.OK
	case chain.As(err, &parse) && parse.Type == flags.ErrHelp:
		fmt.Fprintln(s.streams.Out, parse.Message)
		return exitcode.OK
	case chain.As(err, &parse), chain.As(err, &badUsage):
		s.notice("lycheectl: %v", err)
		s.notice("lycheectl --help lists the commands; %s", activeHelp(parser))
		return exitcode.Usage
	case chain.As(err, &source), chain.As(err, &single), settings.Error.Has(err):
		s.notice("%v", err)
		return exitcode.Invalid
	case chain.As(err, &call):
		return s.exitCall(call)
	}
	s.notice("lycheectl: %v", err)
	return exitcode.Failure
}

func activeHelp(parser *flags.Parser) string {
	path := "lycheectl"
	for c := parser.Active; c != nil; c = c.Active {
		path += " " + c.Name
	}
	return path + " --help its options"
}

func (s *session) exitCall(e *CallError) int {
	s.notice("lycheectl: %v", e)
	switch {
	case e.Detail.Code == refusal.Conflict:
		s.notice("Nothing was changed; look at the current state and try again.")
		return exitcode.Conflict
	case e.Detail.Ran != refusal.NotRun && e.RequestID != "":
		s.notice("The outcome is unknown: the change may or may not have been made.")
		s.notice("Repeating the same command with --request-id %s is safe and tells the outcome.", e.RequestID)
		return exitcode.Unknown
	case e.Status == 0 || e.Detail.Code == refusal.Unavailable || e.Detail.Code == refusal.Overloaded:
		return exitcode.Unavailable
	case e.Detail.Ran != refusal.NotRun:
		return exitcode.Failure
	}
	return exitcode.Refused
}
