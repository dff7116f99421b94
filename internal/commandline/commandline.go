// Package commandline is the part of the command lines that all binaries share.
package commandline

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/version"
)

// StatusUsage is the exit status of a command line or of settings that are wrong.
const StatusUsage = 2

// Common are the options of every binary; embed it.
type Common struct {
	Version bool `long:"version" description:"print the version and exit"`
}

func (c Common) wantsVersion() bool { return c.Version }

// Parse reads the arguments into options, which embed Common. With done set the
// process ends with the status: after --help, --version or a mistake, which are
// printed here.
func Parse(options interface{ wantsVersion() bool }, arguments []string) (status int, done bool) {
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(arguments)
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
		return 0, true
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return StatusUsage, true
	case options.wantsVersion():
		fmt.Println(parser.Name, version.Version)
		return 0, true
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", parser.Name, rest[0])
		return StatusUsage, true
	}
	return 0, false
}
