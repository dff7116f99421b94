// Command rosemarywallctl is the operator's command: it checks and applies release
// notes, makes keys and dumps the state of VMs.
package main

import (
	"os"

	"github.com/rosemarywall/rosemarywall/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
