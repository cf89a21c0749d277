// Package e2e_test runs the real binary as separate processes that are connected
// through fault-injecting proxies. Verdicts use only records from outside the
// system: those of the emulated platform, the sample endpoints and the callers.
// The promises that tests name by number are listed in docs/proofs.md.
package e2e_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// binary is the path of the program under test, built once with the race
// detector.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "damaskspread-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "damaskspread")
	build := exec.Command("go", "build", "-race", "-o", binary, "../cmd/damaskspread")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// portCounter selects ports from a range below the ephemeral ports, so that an
// outgoing connection of another test cannot take a port between its choice and
// use.
var portCounter atomic.Int64

const (
	firstPort = 20_000
	portCount = 12_000
)

// loopback is a loopback address derived from the process ID, so that concurrent
// test processes do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		at := fmt.Sprintf("%s:%d", loopback, firstPort+portCounter.Add(1)%portCount)
		if isFree(at) {
			return at
		}
	}
	t.Fatal("no free port")
	return ""
}

// isFree reports whether an address can be bound. It holds the fork lock, because
// a child that is forked while the socket is open holds it until its exec.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// process is one process of the system under test, which tests may start, stop
// and start again.
type process struct {
	t            *testing.T
	name         string
	role         string
	settingsFile string
	monitorURL   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
	output bytes.Buffer
}

func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, p.role, "--settings", p.settingsFile)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	// A race report ends the process, so that the test notices it.
	p.cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	assert.NilError(p.t, p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// kill ends the process with SIGKILL, if it runs, and waits for its end.
func (p *process) kill() {
	p.t.Helper()
	if !p.running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop requests a planned stop, waits for the end of the process and returns its
// exit error.
func (p *process) stop(timeout time.Duration) error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.t.Fatalf("%s did not stop within %s", p.name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// waitFor polls a condition and fails the test if it does not hold within the
// timeout.
func waitFor(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
