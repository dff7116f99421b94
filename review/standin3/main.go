package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held, broke, notRun = 0, 1, 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run plays a case: standin3 CASE RECORD. TROUBLE=0 leaves out the disruption.
func run(arguments []string) int {
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return notRun
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble: %t", arguments[0], trouble)
	broken, err := play(arguments[0], r, trouble)
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	case broken:
		r.add("the rule was broken")
		fmt.Println("the rule was broken")
		return broke
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return held
}

// runLimit ends a case that takes too long.
const runLimit = 110 * time.Second

// endEarly ends the processes and this one after runLimit or a signal.
func (f *fleet) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case s := <-stop:
		f.record.add("not run to the end: %v", s)
	case <-time.After(runLimit):
		f.record.add("not run to the end: it took too long")
	}
	f.close()
	os.Exit(notRun)
}

func play(name string, r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 2, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	go f.endEarly()
	switch name {
	case "silent-settings":
		return graceCase(f, trouble, func(*settings) {}, false)
	case "smaller-settings":
		return graceCase(f, trouble, func(s *settings) { s.seeds = s.seeds[:2] }, true)
	case "changed-settings": // a check of smaller-settings: the same without the smaller list
		return graceCase(f, trouble, func(*settings) {}, true)
	case "shorter-bound":
		return applyCase(f, trouble)
	}
	return false, fmt.Errorf("unknown case %q", name)
}
