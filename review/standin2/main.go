// Command standin2 plays the cases of the second review. It starts the processes of the system with
// the command of the deploy file and plays the platform, the members and the requesters.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases maps the names of the cases to their functions. They report whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){
	"restarted-replica":     restartedReplica,
	"route-there-and-back":  routeThereAndBack,
	"key-of-another-tenant": keyOfAnotherTenant,
	"short-freezes":         shortFreezes,
}

// caseRun is one run of a case.
type caseRun struct {
	*deployment
	// trouble is false for the run without the disruption.
	trouble bool
	command []string
	// timeout is the time limit of a statement in the configs.
	timeout time.Duration
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	deploy := flag.String("deploy", "deploy/system.toml", "deploy file")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the machines")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return statusNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer r.close()
	command, err := runLine(*deploy)
	if err != nil {
		r.note("cannot read the deploy file: %v", err)
		return statusNotRun
	}
	d, err := newDeployment(r)
	if err != nil {
		r.note("cannot start the platform: %v", err)
		return statusNotRun
	}
	defer d.close(*keep)
	c := &caseRun{deployment: d, trouble: *trouble, command: command, timeout: time.Second}
	r.note("case %s, with the disruption: %t", *name, c.trouble)
	broken, err := play(c)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return statusNotRun
	case broken:
		r.note("the rule was broken")
		return statusBroken
	}
	r.note("the rule held")
	return statusHeld
}

// runLine returns the words of the run line of the deploy file.
func runLine(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("%s has no run line", path)
	}
	return strings.Fields(string(found[1])), nil
}

// startMachines starts a number of machines in each zone and waits until they are ready.
func (c *caseRun) startMachines(perZone int) error {
	for range perZone {
		for _, zone := range zoneNames {
			if err := c.addMachine(zone, c.command); err != nil {
				return err
			}
		}
	}
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if !c.awaitReady(15 * time.Second) {
		return fmt.Errorf("the machines are not ready")
	}
	c.record.note("%d machines are ready", len(c.machines))
	return nil
}

// addService starts a service with a member in each of the zones; the first is the primary.
func (c *caseRun) addService(name string, term int, zones ...string) (*service, error) {
	g, err := newService(c.store, c.record, name, term, 54, c.network+".200", zones...)
	if err == nil {
		c.services = append(c.services, g)
	}
	return g, err
}
