package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	// newApplyMS is the bound for configurations after the change of the settings.
	newApplyMS = 1000
	// keyPause is the time between the requests of a session, and keyTime the time for which
	// they go on after the key was taken away.
	keyPause = 40 * time.Millisecond
	keyTime  = 4 * time.Second
)

// applyCase takes away the keys of tenants, one after the other, after the bound for
// configurations has become shorter in the settings of all VMs.
func applyCase(f *fleet, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	bound := usualApplyMS * time.Millisecond
	time.Sleep(3 * time.Second)
	if trouble {
		bound = newApplyMS * time.Millisecond
		for _, v := range f.vms {
			next := v.settings
			next.applyMS = newApplyMS
			if err := next.place(v.path); err != nil {
				return false, err
			}
			v.signal(syscall.SIGHUP)
		}
		f.record.add("settings of all VMs replaced, apply_ms %d, and SIGHUP sent", newApplyMS)
	}
	time.Sleep(8 * time.Second)
	dropped := map[int]bool{}
	var sent requests
	confirmed := map[int]time.Time{}
	for n := range tenants {
		var running sync.WaitGroup
		session, stop := context.WithCancel(ctx)
		for i, v := range f.vms {
			running.Go(func() { f.useKey(session, v, n, i, &sent) })
		}
		time.Sleep(time.Second)
		dropped[n] = true
		f.configure(dropped)
		confirmed[n] = time.Now()
		f.record.add("version %d without the key of %s confirmed", f.version, tenantName(n))
		time.Sleep(keyTime)
		stop()
		running.Wait()
	}
	arrivals := map[string][]platformtest.Arrival{}
	for _, g := range f.groups {
		for id, list := range g.Arrivals() {
			arrivals[id] = append(arrivals[id], list...)
		}
	}
	list := sent.all()
	f.record.requests(list, arrivals)
	late := 0
	for _, q := range list {
		var n, i, k int
		if _, err := fmt.Sscanf(q.id, "%02x%02x%08x", &n, &i, &k); err != nil {
			return false, err
		}
		after := q.sentAt.Sub(confirmed[n])
		for _, a := range arrivals[q.id] {
			if after > bound && !a.Refused {
				late++
				f.record.add("LATE %s %q to %s, sent %v after the key was taken away, run by %s", q.id, q.text, q.vm.settings.node, after.Round(time.Millisecond), a.Member)
			}
		}
	}
	f.record.add("%d requests were run that were sent later than %v after the confirmation", late, bound)
	return late > 0, nil
}

// useKey sends reads over one session with the key of a tenant until ctx ends.
func (f *fleet) useKey(ctx context.Context, v *vm, tenant, number int, sent *requests) {
	for k := 0; ctx.Err() == nil; time.Sleep(keyPause) {
		c, reply, err := platformtest.DialClient(v.address(frontPort), databaseName(number%len(f.groups), 1), tenantKey(tenant), timeLimit)
		if err != nil || reply.Code != "" {
			continue
		}
		for ctx.Err() == nil && err == nil {
			k++
			r := request{id: fmt.Sprintf("%02x%02x%08x", tenant, number, k), text: "READ 1a4", vm: v, process: v.current(), sentAt: time.Now()}
			reply, err = c.Query(r.id, r.text)
			r.endedAt, r.outcome = time.Now(), fmt.Sprint(reply.Code, " ", reply.Tag)
			sent.add(r)
			time.Sleep(keyPause)
		}
		c.Close()
	}
}
