package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// deployCommand returns the words of the run line of the deploy file. The working directory is
// the root of the repository.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return strings.Fields(command), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

// vm is a machine with one process of the system.
type vm struct {
	settings settings
	path     string // of the settings file
	command  []string
	log      *os.File

	mu      sync.Mutex
	process *process

	// misses counts the probes of readiness in a row that failed.
	misses int
}

// process is one life of the process of a VM.
type process struct {
	command *exec.Cmd
	exited  chan struct{} // closed at its end
	// terminatedAt is the time of SIGTERM and killedAt that of SIGKILL; zero without one.
	terminatedAt, killedAt time.Time
}

func newVM(directory string, command []string, s settings) (*vm, error) {
	v := &vm{settings: s, path: filepath.Join(directory, s.node+".yaml"), command: command}
	if err := s.place(v.path); err != nil {
		return nil, err
	}
	var err error
	v.log, err = os.OpenFile(filepath.Join(directory, s.node+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return v, err
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.settings.ip, strconv.Itoa(port)) }

// start starts the process with the environment that the platform gives it.
func (v *vm) start() error {
	c := exec.Command(v.command[0], v.command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ROSEMARYWALL_BOOT=" + v.path}
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{command: c, exited: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.exited)
	}()
	v.mu.Lock()
	v.process = p
	v.mu.Unlock()
	return nil
}

// current returns the last process, or nil.
func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// signal sends a signal to the process if it runs.
func (v *vm) signal(s syscall.Signal) {
	p := v.current()
	if p == nil || p.over() {
		return
	}
	v.mu.Lock()
	switch s {
	case syscall.SIGTERM:
		p.terminatedAt = time.Now()
	case syscall.SIGKILL:
		p.killedAt = time.Now()
	}
	v.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace time, as the platform does.
func (v *vm) stop(grace time.Duration) {
	v.signal(syscall.SIGTERM)
	if p := v.current(); !p.wait(grace) {
		v.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
}

func (p *process) over() bool { return p.wait(0) }

// wait waits for the end of the process and reports whether it has ended.
func (p *process) wait(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true
	case <-timer.C:
		return false
	}
}

func (v *vm) close() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	if p := v.current(); p != nil {
		p.wait(time.Second)
	}
	_ = v.log.Close()
}

// ready asks for the readiness of the VM.
func (v *vm) ready(client *http.Client) bool {
	response, err := client.Get("http://" + v.address(readyPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
