// Command rosemarywall-capacity measures the roles of the system at growing sizes
// and prints the figures that docs/CAPACITY.md uses.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/capacity"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

type options struct {
	capacity.Command
	Version bool `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag).Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if o.Version {
		fmt.Println("rosemarywall-capacity", version.Version)
		return 0
	}
	if err := o.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rosemarywall-capacity:", err)
		return 1
	}
	return 0
}
