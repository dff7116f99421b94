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
	// grace is the time from SIGTERM to SIGKILL in seconds.
	grace = 2
	// applyBound and revokeBound are the bounds for configurations and keys, short enough
	// to be reached in a run.
	applyBound  = time.Second
	revokeBound = 3 * time.Second
)

// vm is one process. Only processes that this package started are signalled.
type vm struct {
	name, ip, settings, program string
	log                         *os.File
	store, duties               *proxy

	mu      sync.Mutex
	process *process // the last one; nil before the first start
	// exits counts the ends that no signal has asked for.
	exits int
}

// process is one life of a VM.
type process struct {
	command *exec.Cmd
	exited  chan struct{} // closed at its end
	ending  bool          // a signal has asked for its end
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
func newVM(directory, program string, n int, zone string, zones map[string]string, store, duties string) (*vm, error) {
	pid := os.Getpid()
	v := &vm{name: fmt.Sprintf("vm-%s-%d", zone, n), program: program, ip: fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, n+1)}
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
		StoreAddress: v.store.address(), FailoverAddress: v.duties.address(), GraceS: grace,
		ApplyMS: int(applyBound.Milliseconds()), RevokeMS: int(revokeBound.Milliseconds()),
	}.SettingsFile()
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	v.log, err = os.OpenFile(filepath.Join(directory, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return v, err
}

func (v *vm) front() string { return net.JoinHostPort(v.ip, strconv.Itoa(frontPort)) }

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
	p := &process{command: c, exited: make(chan struct{})}
	v.process = p
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

// signal sends a signal to the process if it runs.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.over() {
		return
	}
	v.process.ending = v.process.ending || ends
	_ = v.process.command.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL, true)
	v.waitExit(time.Second)
}

// stop ends the process as the platform does.
func (v *vm) stop() {
	v.signal(syscall.SIGTERM, true)
	if !v.waitExit(grace * time.Second) {
		v.kill()
	}
}

func (v *vm) waitExit(limit time.Duration) bool {
	v.mu.Lock()
	last := v.process
	v.mu.Unlock()
	if last == nil {
		return true
	}
	select {
	case <-last.exited:
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
