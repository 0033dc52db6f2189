package fleet

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process that a fleet started.
type Process struct {
	Name string
	// Admin is the address of its admin page or of its switches.
	Admin string
	cmd   *exec.Cmd
	out   bytes.Buffer
	done  chan struct{}
	err   error
}

// start starts a program; its log goes to a file.
func start(name, log, program string, args ...string) (*Process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	started.Lock()
	started.list = append(started.list, p)
	started.Unlock()
	waiters.Go(func() {
		p.err = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	})
	return p, nil
}

// started lists all processes that this program started.
var started struct {
	sync.Mutex
	list []*Process
}

// KillAll ends all processes that this program started and that still run.
func KillAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.list {
		if p.Running() {
			p.Kill()
		}
	}
}

// ExitOnSignal makes a signal end this program with all that it started.
func ExitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	waiters.Go(func() {
		<-signals
		KillAll()
		os.Exit(1)
	})
}

// waiters waits for the processes to end.
var waiters sync.WaitGroup

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Suspend pauses the process.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume resumes it.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process without notice.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop.
func (p *Process) Stop() { p.Signal(syscall.SIGTERM) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end and returns its standard output.
func (p *Process) Wait(limit time.Duration) ([]byte, error) {
	select {
	case <-p.done:
		return p.out.Bytes(), p.err
	case <-time.After(limit):
		return nil, fmt.Errorf("%s did not end within %v", p.Name, limit)
	}
}

// Build builds the programs into a directory.
func Build(root, dir string) error {
	for _, program := range []string{"./cmd/monsoonstep", "./cmd/monsoonstep-node", "./test/stand"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, filepath.Base(program)), program)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", program, err, out)
		}
	}
	return nil
}

// Run runs a program to its end and returns its output and exit code.
func Run(stdin io.Reader, program string, args ...string) (string, int) {
	cmd := exec.Command(program, args...)
	cmd.Stdin = stdin
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

const (
	tick     = 10 * time.Millisecond
	pageSize = 4096
)

// ProcessorTime returns the processor time that a process has used; 0 if it is gone.
func ProcessorTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The fields after the name, which is in parentheses: state is the third, user time the 14th.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * tick
}

// ResidentMemory returns the resident memory of a process in bytes; 0 if it is gone.
func ResidentMemory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * pageSize
}
