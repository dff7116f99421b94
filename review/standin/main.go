// Command standin plays one case of the review: it starts the processes of the program on
// loopback addresses with stand-ins for the platform, the members and the requesters, and
// checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
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

// maxDuration bounds a run; the longest case takes half a minute.
const maxDuration = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	line := flag.String("program", "", "the run line of the deploy file")
	flag.Parse()
	os.Exit(start(*name, *trouble, *file, command(*line)))
}

// start plays a case and returns the exit status. It ends all processes that it started, also
// when it is stopped itself.
func start(name string, trouble bool, file string, program []string) int {
	c, ok := cases[name]
	if !ok || len(program) == 0 {
		fmt.Fprintln(os.Stderr, "unknown case, or no program:", name)
		return statusFailed
	}
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer out.Close()
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer os.RemoveAll(directory)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	rec := &record{file: out, start: time.Now()}
	f, err := newFleet(rec, directory, program, c.figures)
	defer f.close()
	if err != nil {
		return failed(rec, err)
	}
	result := make(chan outcome, 1)
	go func() {
		breaks, err := c.run(&play{f, trouble})
		result <- outcome{breaks, err}
	}()
	select {
	case r := <-result:
		return r.report(rec)
	case <-stopped:
		return failed(rec, errors.New("stopped"))
	case <-time.After(maxDuration):
		return failed(rec, errors.New("it took too long"))
	}
}

// outcome is the result of a case.
type outcome struct {
	breaks []string
	err    error
}

// report writes the outcome and returns the exit status.
func (o outcome) report(rec *record) int {
	if o.err != nil {
		return failed(rec, o.err)
	}
	for _, b := range o.breaks {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(o.breaks) > 0 {
		return statusBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}

// failed writes why a case could not run.
func failed(rec *record, err error) int {
	rec.printf("the case could not run: %v", err)
	fmt.Println("could not run:", err)
	return statusFailed
}
