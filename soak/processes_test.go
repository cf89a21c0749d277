package soak_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is one process of the system, which reaches the log through a proxy.
type process struct {
	role, name       string
	settingsFile     string
	callersAddress   string
	gate             topicGate
	proxy            *proxy
	executorsAddress string
	// faulty is held during a fault of the process.
	faulty sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

var givenAddresses sync.Map

// freeAddress returns an address that it has not returned before: the process that got an
// earlier one may not listen there yet.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", loopback+":0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// Guards against two processes, or a process and an executor, with the same address.
func TestAddressesAreGivenOnce(t *testing.T) {
	given := map[string]bool{}
	for range 1000 {
		address := freeAddress(t)
		assert.Assert(t, !given[address], "%s was given twice", address)
		given[address] = true
	}
}

func (f *fleet) newProcess(role, name, executor string) *process {
	p := &process{
		role: role,
		name: name,
	}
	p.proxy = newProxy(f.t, f.gatedLog(&p.gate))
	settings := fmt.Sprintf("[process]\nid = %s\nzone = z\n[peers]\nlog = %s\n", name, p.proxy.address())
	listen := "[listen]\n"
	if role == "job-entry" {
		p.callersAddress = freeAddress(f.t)
		listen += fmt.Sprintf("callers = %s\nagents = %s\n", p.callersAddress, freeAddress(f.t))
	} else {
		p.executorsAddress = freeAddress(f.t)
		settings += fmt.Sprintf("executor = %s\n", executor)
		listen += fmt.Sprintf("executors = %s\n", p.executorsAddress)
	}
	leaseMax := "4s"
	if f.outages {
		leaseMax = longLeaseMax
	}
	settings += listen + fmt.Sprintf("[bounds]\nlease_max = %s\ngrace = 4s\n", leaseMax)
	if f.restarts {
		settings += fmt.Sprintf("stop_within = %s\n", maxStopTime)
	}
	if f.scheduling {
		settings += "[scheduling]\nlearned_run_times = yes\norder = cost\npreemption = lost_work\nadmission = yes\nadmission_from_priority = 1\n"
	}
	p.settingsFile = filepath.Join(f.logDir, name+".ini")
	assert.NilError(f.t, os.WriteFile(p.settingsFile, []byte(settings), 0o600))
	f.start(p)
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

// start starts the process and returns while it runs.
func (f *fleet) start(p *process) {
	out, err := os.OpenFile(filepath.Join(f.logDir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(daemon, p.role, "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(f.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
}

// signal sends a signal to the process as last started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

// exited returns a channel that is closed when the process has ended.
func (p *process) exited() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// restart ends the process with a signal, kills it if it still runs after 5 s,
// and starts it again after the downtime.
func (f *fleet) restart(p *process, signal syscall.Signal, downtime time.Duration) {
	f.checker.endLife(p.name)
	p.signal(signal)
	select {
	case <-p.exited():
	case <-time.After(5 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
	time.Sleep(downtime)
	f.start(p)
}

// Guards against an executor that stays down after a crash because a process that is being
// started still holds its listener.
func TestExecutorListensAgainWhileProcessesStart(t *testing.T) {
	const restarts, starters = 200, 2
	h := &executorHandler{address: freeAddress(t)}
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(daemon, "help").Run()
				}
			}
		})
	}
	for range restarts {
		h.listen(t)
		time.Sleep(endsInterval)
		h.close()
	}
	close(stop)
	starting.Wait()
}
