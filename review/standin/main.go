// Command standin plays one case of the review: it starts the processes of the program on
// loopback addresses with stand-ins for the platform, the members and the requesters, and
// checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// play is a run of a case.
type play struct {
	*fleet
	trouble bool
}

// cases maps names to cases. A case returns the breaks of its rule.
var cases = map[string]struct {
	figures figures
	run     func(*play) ([]string, error)
}{
	"busy-session":   {refillOrders, (*play).busySession},
	"split-message":  {counterOrder, (*play).splitMessage},
	"older-copy":     {counterOrder, (*play).olderCopy},
	"line-feed":      {counterOrder, (*play).lineFeed},
	"busy-statement": {deckbook, (*play).busyStatement},
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	directory := flag.String("directory", "", "folder for settings and logs")
	line := flag.String("program", "", "the run line of the deploy file")
	flag.Parse()
	os.Exit(start(*name, *trouble, *file, *directory, *line))
}

func start(name string, trouble bool, file, directory, line string) int {
	c, ok := cases[name]
	out, err := os.Create(file)
	if !ok || err != nil || len(command(line)) == 0 {
		fmt.Fprintln(os.Stderr, "unknown case, no program or no record:", name, err)
		return statusFailed
	}
	defer out.Close()
	rec := &record{file: out, start: time.Now()}
	f, err := newFleet(rec, directory, command(line), c.figures)
	defer f.close()
	var breaks []string
	if err == nil {
		breaks, err = c.run(&play{f, trouble})
	}
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return statusFailed
	}
	for _, b := range breaks {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaks) > 0 {
		return statusBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
