package soak

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two readiness probes of a VM, and their limit.
	probeInterval = time.Second
	// missesToLeave is the number of failed probes in a row that take a VM out.
	missesToLeave = 2
)

// balancer assigns new connections to VMs as the users' platform does: by readiness probes,
// within the zone of the client while a VM of it is in rotation.
type balancer struct {
	vms []*vm

	mu     sync.Mutex
	misses []int // failed probes in a row, by VM
}

func newBalancer(vms []*vm) *balancer { return &balancer{vms: vms, misses: make([]int, len(vms))} }

// run probes all VMs until the context ends.
func (b *balancer) run(ctx context.Context) {
	var running sync.WaitGroup
	for n := range b.vms {
		running.Go(func() { b.probeVM(ctx, n) })
	}
	running.Wait()
}

func (b *balancer) probeVM(ctx context.Context, n int) {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	every := time.NewTicker(probeInterval)
	defer every.Stop()
	for {
		ready := false
		if response, err := client.Get("http://" + b.vms[n].ready() + "/v1/ready"); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		b.record(n, ready)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// record takes the result of a probe.
func (b *balancer) record(n int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[n]++
	if ready {
		b.misses[n] = 0
	}
}

// pick returns the number of the VM for a new connection of a client.
func (b *balancer) pick(zone string, hash int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inZone, inRotation, elsewhere []int
	for n, v := range b.vms {
		ready := b.misses[n] < missesToLeave
		switch {
		case v.zone != zone && ready:
			elsewhere = append(elsewhere, n)
		case v.zone == zone && ready:
			inRotation = append(inRotation, n)
		}
		if v.zone == zone {
			inZone = append(inZone, n)
		}
	}
	choices := inRotation
	switch {
	case len(inRotation) == 0 && len(elsewhere) > 0:
		choices = elsewhere
	case 2*len(inRotation) < len(inZone):
		choices = inZone
	}
	return choices[hash%len(choices)]
}
