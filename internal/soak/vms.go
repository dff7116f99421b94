package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	frontPort, readyPort, relayPort = 20001, 20002, 20003
	// shortGrace is the time from SIGTERM to SIGKILL, short enough for several stops in a
	// run.
	shortGrace = 2 * time.Second
	// usersGrace is that of the users' deployments.
	usersGrace = 6 * time.Second
	// applyBound and revokeBound are the bounds for configurations and keys, short enough
	// to be reached in a run.
	applyBound  = time.Second
	revokeBound = 3 * time.Second
)

// vm is one process. Only processes that this package started are signalled.
type vm struct {
	name, ip, settings, program string
	zone                        string
	grace                       time.Duration // from SIGTERM to SIGKILL
	log                         *os.File
	store, duties               *proxy

	mu      sync.Mutex
	process *process // the last one; nil before the first start
	// exits counts the ends that no signal has asked for.
	exits int
	// lives are all processes, in order.
	lives []*process
}

// process is one life of a VM.
type process struct {
	vm      string
	command *exec.Cmd
	exited  chan struct{} // closed at its end
	ending  bool          // a signal has asked for its end
	started time.Time
	signals signals
}

// signals are the signals that a process has got for planned work.
type signals struct {
	terminatedAt time.Time // first SIGTERM; zero without one
	reloadedAt   []time.Time
	// killedAt is when the process was killed because it had not ended in time.
	killedAt time.Time
	// delays are those of the threads at terminatedAt.
	delays map[string]time.Duration
}

// over reports whether the process has ended.
func (p *process) over() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// newVM writes the settings of a VM whose address no other VM on this machine has.
func newVM(directory, program string, n int, zone string, zones map[string]string, grace time.Duration, store, duties string) (*vm, error) {
	pid := os.Getpid()
	v := &vm{name: fmt.Sprintf("vm-%s-%d", zone, n), zone: zone, grace: grace, program: program,
		ip: fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, n+1)}
	var err error
	if v.store, err = newProxy(store); err != nil {
		return nil, err
	}
	if v.duties, err = newProxy(duties); err != nil {
		return nil, err
	}
	v.settings = filepath.Join(directory, v.name+".yaml")
	text := platformtest.VMSettings{
		Name: v.name, IP: v.ip, Zone: zone, Region: zones[zone], Zones: zones, FrontPort: frontPort, ReadyPort: readyPort, RelayPort: relayPort,
		StoreAddress: v.store.address(), DutyAddress: v.duties.address(), GraceS: grace.Seconds(),
		ApplyMS: int(applyBound.Milliseconds()), RevokeMS: int(revokeBound.Milliseconds()), Usage: usageBounds,
	}.SettingsFile()
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	v.log, err = os.OpenFile(filepath.Join(directory, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return v, err
}

func (v *vm) front() string { return net.JoinHostPort(v.ip, strconv.Itoa(frontPort)) }

func (v *vm) ready() string { return net.JoinHostPort(v.ip, strconv.Itoa(readyPort)) }

// current returns the last process.
func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// allSignals returns the signals of all processes.
func (v *vm) allSignals() map[*process]signals {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := map[*process]signals{}
	for _, p := range v.lives {
		all[p] = p.signals
	}
	return all
}

// start starts the process unless it runs. One that is about to end is waited for.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for v.process != nil && !v.process.over() {
		if !v.process.ending {
			return nil
		}
		last := v.process
		v.mu.Unlock()
		<-last.exited
		v.mu.Lock()
	}
	c := exec.Command(v.program, "--settings", v.settings, "--log-level", "debug")
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{vm: v.name, command: c, exited: make(chan struct{}), started: time.Now()}
	v.process = p
	v.lives = append(v.lives, p)
	go v.await(p)
	return nil
}

func (v *vm) await(p *process) {
	_ = p.command.Wait()
	v.mu.Lock()
	if !p.ending {
		v.exits++
	}
	close(p.exited)
	v.mu.Unlock()
}

// signal sends a signal to the process if it runs, and returns the process or nil.
func (v *vm) signal(s syscall.Signal, ends bool) *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.over() {
		return nil
	}
	v.process.ending = v.process.ending || ends
	switch given := &v.process.signals; {
	case s == syscall.SIGTERM && given.terminatedAt.IsZero():
		given.delays, given.terminatedAt = threadDelays(v.process.command.Process.Pid), time.Now()
	case s == syscall.SIGHUP:
		given.reloadedAt = append(given.reloadedAt, time.Now())
	}
	_ = v.process.command.Process.Signal(s)
	return v.process
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() { v.signal(syscall.SIGKILL, true).wait(time.Second) }

// stop ends the process as the platform does.
func (v *vm) stop() { v.awaitStop(v.signal(syscall.SIGTERM, true)) }

// awaitStop waits for the end of a process that got SIGTERM and kills it after the grace
// time. The time for which its threads had no processor is added, up to afterGrace.
func (v *vm) awaitStop(p *process) {
	if p.wait(v.grace) {
		return
	}
	late := totalDelay(p.signals.delays, threadDelays(p.command.Process.Pid))
	if p.wait(min(late, afterGrace)) {
		return
	}
	v.mu.Lock()
	if !p.over() && p.signals.killedAt.IsZero() {
		p.signals.killedAt = time.Now()
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	v.mu.Unlock()
	p.wait(time.Second)
}

// wait waits for the end of a process and reports whether it has ended. A nil process has.
func (p *process) wait(limit time.Duration) bool {
	if p == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (v *vm) ownExits() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exits
}

func (v *vm) close() {
	v.signal(syscall.SIGCONT, false)
	v.kill()
	v.store.close()
	v.duties.close()
	_ = v.log.Close()
}
