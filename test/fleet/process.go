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
	// Admin is the address of the admin server of an agent or balancer, or of the control server of a stand-in.
	Admin string
	cmd   *exec.Cmd
	out   bytes.Buffer
	done  chan struct{}
	err   error
}

// startProcess starts a program. Its standard error is appended to logFile, its standard output is kept for Wait.
func startProcess(name, logFile, program string, args ...string) (*Process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
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
	startedProcesses.Lock()
	startedProcesses.list = append(startedProcesses.list, p)
	startedProcesses.Unlock()
	waiters.Go(func() {
		p.err = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	})
	return p, nil
}

// startedProcesses lists all processes that this program has started.
var startedProcesses struct {
	sync.Mutex
	list []*Process
}

// KillAll kills all processes that this program has started and that are still running.
func KillAll() {
	startedProcesses.Lock()
	defer startedProcesses.Unlock()
	for _, p := range startedProcesses.list {
		if p.Running() {
			p.Kill()
		}
	}
}

// ExitOnSignal makes SIGTERM and SIGINT kill all processes that this program has started and exit with code 1.
func ExitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	waiters.Go(func() {
		<-signals
		KillAll()
		os.Exit(1)
	})
}

// waiters runs the goroutines that wait for processes to end and for signals.
var waiters sync.WaitGroup

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Suspend pauses the process with SIGSTOP.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop with SIGTERM and does not wait for it.
func (p *Process) Stop() { p.Signal(syscall.SIGTERM) }

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end and returns its standard output. It returns an error if the process failed or is still
// running after the limit.
func (p *Process) Wait(limit time.Duration) ([]byte, error) {
	select {
	case <-p.done:
		return p.out.Bytes(), p.err
	case <-time.After(limit):
		return nil, fmt.Errorf("%s did not end within %v", p.Name, limit)
	}
}

// Build builds the programs of the module at root into dir.
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

// Run runs a program to its end and returns its combined output and exit code. If the program could not be started, it
// returns the error text and -1.
func Run(stdin io.Reader, program string, args ...string) (string, int) {
	cmd := exec.Command(program, args...)
	cmd.Stdin = stdin
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

const (
	// clockTick is the unit of the times in /proc/PID/stat (USER_HZ is 100).
	clockTick = 10 * time.Millisecond
	// pageBytes is the size of a memory page, the unit of the sizes in /proc/PID/statm.
	pageBytes = 4096
)

// ProcessorTime returns the processor time that a process has used, or 0 if the process no longer exists.
func ProcessorTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// proc(5): fields follows the process name, which is in parentheses and may contain spaces. The first of them is the
	// state, field 3; user and system time are fields 14 and 15.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// ResidentMemory returns the resident memory of a process in bytes, or 0 if the process no longer exists.
func ResidentMemory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * pageBytes
}
