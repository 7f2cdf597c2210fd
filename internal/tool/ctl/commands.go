package ctl

import (
	"fmt"
	"net/url"

	"github.com/jessevdk/go-flags"

	"lycheevale/internal/base/buildinfo"
	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

// command is one command with its help.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func add(parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, commands ...command) {
	for _, c := range commands {
		long := c.long
		if long == "" {
			long = c.short + "."
		}
		must(parent.AddCommand(c.name, c.short, long, c.data))
	}
}

// group adds a command that only has subcommands.
func group(parser *flags.Parser, name, short string, commands ...command) {
	add(must(parser.AddCommand(name, short, short+".", &struct{}{})), commands...)
}

func addCommands(parser *flags.Parser, s *session) {
	parser.SubcommandsOptional = false
	add(parser,
		command{"apply", "Make the objects in a file so", "Reads objects from a YAML file with one object in each document, shows how they differ from the configuration, and makes all changes at once or none.", &applyCommand{session: s}},
		command{"get", "Show the objects of a kind", "", &getCommand{session: s}},
		command{"delete", "Delete objects", "", &deleteCommand{session: s}},
		command{"status", "Show the state of an instance", "", &statusCommand{session: s}},
		command{"endpoints", "List the endpoints of the instance's data centre", "", &endpointsCommand{session: s}},
		command{"watch", "Show changes as they take effect", "", &watchCommand{session: s}},
		command{"audit", "Show who changed what and when", "", &auditCommand{session: s}},
		command{"report", "Show how much of the services' error budgets is spent", "Adds up what the instances at all given addresses have counted.", &reportCommand{session: s}},
		command{"operator-token", "Generate an operator's token", "Writes a new token to a file and its entry for the credentials file to the output.", &tokenCommand{session: s}},
		command{"questionnaire", "Generate the configuration of a new team", "Asks about workloads, limits and regions, or reads the answers from a file, and writes settings for each instance and objects for apply.", &questionnaireCommand{session: s}},
		command{"completion", "Print a completion script for a shell", "", &completionCommand{session: s}},
		command{"version", "Print the version", "", &versionCommand{session: s}},
	)
	group(parser, "models", "Base models", collection(s, registry.KindModel,
		command{"set", "Create a model", "", &setModel{session: s}})...)
	group(parser, "customers", "Customers", collection(s, registry.KindCustomer,
		command{"set", "Create or change a customer", "", &setCustomer{session: s}})...)
	group(parser, "keys", "Callers' keys", collection(s, registry.KindKey,
		command{"issue", "Issue a key and show it once", "", &issueKey{session: s}},
		command{"withdraw", "Withdraw a key for ever", "The key stops working within seconds, also for callers that are connected.", &withdrawKey{session: s}})...)
	group(parser, "adapters", "Adapters", collection(s, registry.KindAdapter,
		command{"set", "Create or change an adapter", "", &setAdapter{session: s}})...)
	group(parser, "versions", "Versions of adapters", collection(s, registry.KindVersion,
		command{"set", "Create a version or change its state", "", &setVersion{session: s}})...)
	group(parser, "services", "Services; apply creates and changes them", collection(s, registry.KindService)...)
	group(parser, "voters", "Instances that store the replicated logs", collection(s, registry.KindVoter,
		command{"set", "Create or change a voter", "", &setVoter{session: s}})...)
	group(parser, "quarantines", "Signatures of requests that no endpoint gets; delete releases one", collection(s, registry.KindQuarantine)...)
	group(parser, "limits", "Customers' limits and the shares of the data centres",
		command{"list", "List the limits", "", &listLimits{session: s}},
		command{"set", "Change a customer's limit", "", &setLimit{session: s}})
}

// collection returns the commands that every kind has, and further ones.
func collection(s *session, kind registry.Kind, more ...command) []command {
	return append([]command{
		{"list", "List all", "", &listCommand{session: s, kind: kind}},
		{"get", "Show one", "", &getOneCommand{session: s, kind: kind}},
		{"delete", "Delete", "", &deleteOneCommand{session: s, kind: kind}},
	}, more...)
}

// kindName is the plural name of a kind as an argument.
type kindName string

// Complete implements flags.Completer.
func (kindName) Complete(match string) (items []flags.Completion) {
	for _, name := range operator.CollectionNames() {
		if len(name) >= len(match) && name[:len(match)] == match {
			items = append(items, flags.Completion{Item: name})
		}
	}
	return items
}

func (k kindName) collection() (operator.Collection, error) {
	c, ok := operator.CollectionOf(string(k))
	if !ok {
		return c, usage("unknown kind %q (%s)", k, yamldoc.Hint(string(k), operator.CollectionNames()))
	}
	return c, nil
}

func collectionOf(kind registry.Kind) operator.Collection {
	c, _ := operator.CollectionOf(string(kind))
	return c
}

type applyCommand struct {
	*session
	File []string `short:"f" long:"file" required:"yes" description:"file with objects; - reads standard input; repeat it for several files, which are one change"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	var wanted []registry.Object
	seen := map[registry.ID]string{}
	for _, file := range c.File {
		objects, err := c.readObjects(file)
		if err != nil {
			return err
		}
		for _, o := range objects {
			id := registry.ID{Kind: o.Kind, Name: o.Name}
			if other, twice := seen[id]; twice {
				return usage("%s %s is in both %s and %s", o.Kind, o.Name, other, file)
			}
			seen[id] = file
		}
		wanted = append(wanted, objects...)
	}
	if len(wanted) == 0 {
		return usage("no objects in %v", c.File)
	}
	return c.submit(wanted)
}

func noMore(args []string) error {
	if len(args) > 0 {
		return usage("unexpected argument %q", args[0])
	}
	return nil
}

type getCommand struct {
	*session
	Positional struct {
		Kind kindName `positional-arg-name:"KIND" required:"yes"`
		Name string   `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	kind, err := c.Positional.Kind.collection()
	if err != nil {
		return err
	}
	return c.showFrom(kind, c.Positional.Name)
}

// showFrom shows one object, or all of the collection without a name.
func (s *session) showFrom(c operator.Collection, name string) error {
	answer, err := s.fetch(c, name)
	if err != nil {
		return err
	}
	return s.showObjects(answer, c)
}

func (s *session) fetch(c operator.Collection, name string) (answer operator.Objects, err error) {
	client, err := s.api()
	if err != nil {
		return answer, err
	}
	path := "/v1/objects/" + c.Name
	if name != "" {
		path += "/" + name
	}
	return answer, client.get(s.ctx, (&url.URL{Path: path}).EscapedPath(), &answer)
}

type deleteCommand struct {
	*session
	Positional struct {
		Kind  kindName `positional-arg-name:"KIND" required:"yes"`
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	kind, err := c.Positional.Kind.collection()
	if err != nil {
		return err
	}
	return c.deleteAll(kind.Kind, c.Positional.Names)
}

func (s *session) deleteAll(kind registry.Kind, names []string) error {
	var objects []registry.Object
	for _, name := range names {
		objects = append(objects, registry.Object{Kind: kind, Name: name, Deleted: true})
	}
	return s.submit(objects)
}

type listCommand struct {
	*session
	kind registry.Kind
}

// Execute implements flags.Commander.
func (c *listCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	return c.showFrom(collectionOf(c.kind), "")
}

type getOneCommand struct {
	*session
	kind       registry.Kind
	Positional struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getOneCommand) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	return c.showFrom(collectionOf(c.kind), c.Positional.Name)
}

type deleteOneCommand struct {
	*session
	kind       registry.Kind
	Positional struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteOneCommand) Execute([]string) error {
	return c.deleteAll(c.kind, c.Positional.Names)
}

type versionCommand struct {
	*session
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.streams.Out, buildinfo.Text())
	return nil
}
