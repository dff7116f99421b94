// Command rosemarywall-capacity measures the roles of the system at growing sizes
// and prints the figures that docs/CAPACITY.md uses.
package main

import (
	"fmt"
	"os"

	"github.com/rosemarywall/rosemarywall/internal/capacity"
	"github.com/rosemarywall/rosemarywall/internal/commandline"
)

type options struct {
	commandline.Common
	capacity.Command
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if status, done := commandline.Parse(&o, os.Args[1:]); done {
		return status
	}
	if err := o.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rosemarywall-capacity:", err)
		return 1
	}
	return 0
}
