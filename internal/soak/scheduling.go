package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// schedulingInterval is the time between two samples of the scheduling delay.
	schedulingInterval = 250 * time.Millisecond
	// minStarvation is the least delay in a sample that is recorded.
	minStarvation = 10 * time.Millisecond
)

// starvation is a span in which a thread of a process could run and had no processor for a
// part of the time.
type starvation struct {
	from, to time.Time
	vm       string // empty for the process of the soak
	delay    time.Duration
}

// threadDelays returns for each thread of a process the time for which it could run and had
// no processor, as the kernel counts it. It is empty where the kernel does not.
func threadDelays(pid int) map[string]time.Duration {
	delays := map[string]time.Duration{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64 // nanoseconds
		if _, err := fmt.Sscan(string(text), &ran, &waited); err == nil {
			delays[file] = time.Duration(waited)
		}
	}
	return delays
}

// longestDelay returns the largest increase of the delay of a thread.
func longestDelay(before, now map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for thread, delay := range now {
		if earlier, known := before[thread]; known {
			longest = max(longest, delay-earlier)
		}
	}
	return longest
}

// totalDelay returns the increase of the delay of all threads.
func totalDelay(before, now map[string]time.Duration) time.Duration {
	total := time.Duration(0)
	for thread, delay := range now {
		total += delay - before[thread]
	}
	return total
}

// watchScheduling records the starvation of the VMs and of the soak until the context ends.
func (f *fleet) watchScheduling(ctx context.Context) {
	last, from := map[int]map[string]time.Duration{}, time.Now()
	for ctx.Err() == nil {
		time.Sleep(schedulingInterval)
		to, pids := time.Now(), map[int]string{os.Getpid(): ""}
		for _, v := range f.vms {
			if p := v.current(); p != nil && !p.over() {
				pids[p.command.Process.Pid] = v.name
			}
		}
		next := map[int]map[string]time.Duration{}
		for pid, vm := range pids {
			next[pid] = threadDelays(pid)
			if delay := longestDelay(last[pid], next[pid]); delay >= minStarvation {
				f.mu.Lock()
				f.starved = append(f.starved, starvation{from: from, to: to, vm: vm, delay: delay})
				f.mu.Unlock()
			}
		}
		last, from = next, to
	}
}
