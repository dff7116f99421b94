package operator

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/version"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
	exitOpen   = 3
)

// session is one run of the command.
type session struct {
	out, errors io.Writer
	addresses   *[]string
	status      int
}

type fileArgument struct {
	Positional struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// command adapts a function to the command interface of go-flags.
type command struct {
	run func() int
	s   *session
}

// Execute runs the command.
func (c *command) Execute([]string) error {
	c.s.status = c.run()
	return nil
}

// Main runs rosemarywallctl and returns its exit status.
func Main(arguments []string, out, errors io.Writer) int {
	var global struct {
		Address []string `long:"address" short:"a" value-name:"IP:PORT" description:"administration address of a VM; more than one may be given" env:"ROSEMARYWALL_ADDRESS" env-delim:","`
		Version bool     `long:"version" description:"print the version and exit"`
	}
	s := &session{out: out, errors: errors, addresses: &global.Address}
	parser := flags.NewNamedParser("rosemarywallctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	_, err := parser.AddGroup("Options", "", &global)
	if err == nil {
		err = s.addCommands(parser)
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	switch _, err := parser.ParseArgs(arguments); {
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
	case err != nil:
		fmt.Fprintln(errors, err)
		return exitUsage
	case global.Version:
		fmt.Fprintln(out, "rosemarywallctl", version.Version)
	case parser.Active == nil:
		parser.WriteHelp(errors)
		return exitUsage
	}
	return s.status
}

func (s *session) addCommands(parser *flags.Parser) error {
	note, err := parser.AddCommand("note", "release notes", "Checks, compares and applies release notes.", &struct{}{})
	if err != nil {
		return err
	}
	key, err := parser.AddCommand("key", "keys", "Makes keys.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		parent            *flags.Command
		name, short, long string
		data              flags.Commander
	}{
		{note, "check", "check a note", "Checks the form of a note and, with --address, that it applies to the current configuration.", s.withFile(s.check)},
		{note, "diff", "show what a note would change", "Lists the changes that a note would make to the current configuration.", s.withFile(s.diff)},
		{note, "apply", "apply a note", "Proposes a note and waits until it is accepted and in force.", s.withFile(s.apply)},
		{note, "status", "show the version of every VM", "Lists the VMs with the configuration version that each has.", s.plain(s.showStatus)},
		{note, "history", "show accepted notes", "Lists the accepted notes, the newest first.", s.plain(s.showHistory)},
		{key, "new", "make a key", "Prints a new key once, to the error output, and the section of a note that adds it.", s.withKey()},
		{parser.Command, "dump", "dump the state of VMs", "Prints the state of the VMs at the given administration addresses.", s.withAddresses()},
		{parser.Command, "explain", "explain a request", "Prints the log lines of a request from the logs of several processes in order, with the state that decided it.", s.withRequest()},
	} {
		if _, err := c.parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) plain(run func() int) flags.Commander { return &command{run, s} }

type fileCommand struct {
	command
	fileArgument
}

func (s *session) withFile(run func(file string) int) flags.Commander {
	c := &fileCommand{}
	c.command = command{func() int { return run(c.Positional.File) }, s}
	return c
}

type keyCommand struct {
	command
	Positional struct {
		Name string `positional-arg-name:"ORGANISATION/NAME" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

func (s *session) withKey() flags.Commander {
	c := &keyCommand{}
	c.command = command{func() int { return s.newKey(c.Positional.Name) }, s}
	return c
}

type addressesCommand struct {
	command
	Positional struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func (s *session) withAddresses() flags.Commander {
	c := &addressesCommand{}
	c.command = command{func() int { return s.dump(c.Positional.Addresses) }, s}
	return c
}

// fail reports an error and returns the status for it.
func (s *session) fail(status int, err error) int {
	fmt.Fprintln(s.errors, err)
	return status
}
