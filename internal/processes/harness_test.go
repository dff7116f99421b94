package processes

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patience stops a test whose condition never comes true.
const patience = 30 * time.Second

// build compiles the binaries and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	command := exec.Command("go", "build", "-o", directory, "../../cmd/rosemarywall", "../../cmd/rosemarywallctl", "../../cmd/rosemarywall-standin")
	out, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return directory
}

// process is a started binary whose log lines are collected.
type process struct {
	command *exec.Cmd
	exited  chan error

	mu  sync.Mutex
	log []string
}

func start(t *testing.T, binary string, arguments ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(binary, arguments...), exited: make(chan error, 1)}
	out, err := p.command.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	go p.collect(out)
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	})
	return p
}

func (p *process) collect(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.mu.Unlock()
	}
	p.exited <- p.command.Wait()
}

// line waits for a log line that holds all of the texts and returns its pairs.
func (p *process) line(t *testing.T, texts ...string) map[string]string {
	t.Helper()
	var found map[string]string
	defer func() {
		if t.Failed() {
			t.Log(p.logText())
		}
	}()
	until(t, fmt.Sprintf("log line with %q", texts), func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.log {
			if containsAll(line, texts) {
				found = pairs(line)
				return true
			}
		}
		return false
	})
	return found
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

func pairs(line string) map[string]string {
	out := map[string]string{}
	for _, field := range strings.Fields(line) {
		if name, value, ok := strings.Cut(field, "="); ok {
			out[name] = value
		}
	}
	return out
}

// logText returns everything that was logged.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// wait returns the result of the process, which must end.
func (p *process) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(patience):
		t.Fatal("process does not end")
		return nil
	}
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("in vain: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// control runs the operator command and returns its output and error output.
func control(t *testing.T, directory string, arguments ...string) (stdout, stderr string, err error) {
	t.Helper()
	command := exec.Command(filepath.Join(directory, "rosemarywallctl"), arguments...)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	err = command.Run()
	return out.String(), errOut.String(), err
}

func write(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
