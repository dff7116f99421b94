package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	// newGraceS is the grace time after the change of the settings.
	newGraceS = 4
	// sessions is the number of sessions of requesters.
	sessions = 48
	// settleTime is the time between the change of the settings and SIGTERM.
	settleTime = 8 * time.Second
)

// graceCase stops two VMs, one after the other, after their grace time has changed in the
// settings. change is applied to the settings of such a VM, and sighup tells whether the process
// gets SIGHUP after that.
func graceCase(f *fleet, trouble bool, change func(*settings), sighup bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	var sent requests
	var running sync.WaitGroup
	for n := range sessions {
		q := &requester{fleet: f, requests: &sent, number: n, pause: 3 * time.Millisecond}
		running.Go(func() { q.run(ctx) })
	}
	time.Sleep(5 * time.Second)
	targets := f.vms[:2]
	grace := usualGraceS * time.Second
	if trouble {
		grace = newGraceS * time.Second
		for _, v := range targets {
			next := v.settings
			next.graceS = newGraceS
			change(&next)
			if err := next.place(v.path); err != nil {
				return false, err
			}
			f.record.add("settings of %s replaced: grace_s %d, %d seeds", next.node, next.graceS, len(next.seeds))
			if sighup {
				v.signal(syscall.SIGHUP)
				f.record.add("SIGHUP to %s", next.node)
			}
		}
	}
	time.Sleep(settleTime)
	var stopped []*process
	for _, v := range targets {
		p := v.current()
		stopped = append(stopped, p)
		f.record.add("SIGTERM to %s, SIGKILL after %v", v.settings.node, grace)
		v.stop(grace)
		f.record.add("%s has ended %v after SIGTERM, killed: %t", v.settings.node, time.Since(p.terminatedAt).Round(time.Millisecond), !p.killedAt.IsZero())
		if err := v.start(); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	cancel()
	running.Wait()
	arrivals := map[string][]platformtest.Arrival{}
	for _, g := range f.groups {
		for id, list := range g.Arrivals() {
			arrivals[id] = append(arrivals[id], list...)
		}
	}
	list := sent.all()
	f.record.requests(list, arrivals)
	for i, p := range stopped {
		lost, excused := lostAroundStop(p, grace, list, arrivals)
		f.record.add("%s: %d requests lost, %d cut and excused", targets[i].settings.node, len(lost), excused)
		for _, line := range lost {
			f.record.add("LOST %s", line)
		}
		broken = broken || len(lost) > 0
	}
	return broken, nil
}
