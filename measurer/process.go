package measurer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gopkg.in/tomb.v2"
)

// stopTimeout is how long a process may take to stop before it is killed.
const stopTimeout = 10 * time.Second

// process is a running process of the binary.
type process struct {
	command *exec.Cmd
	output  bytes.Buffer
	done    chan error
}

// startProcess writes the settings to a file in dir and starts the role with it.
func (m *Measurer) startProcess(dir, id, role, settings string) (*process, error) {
	path := filepath.Join(dir, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{
		command: exec.Command(m.Binary, role, "--settings", path),
		done:    make(chan error, 1),
	}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { p.done <- p.command.Wait() }()
	return p, nil
}

// stop returns an error with the output if the process failed.
func (p *process) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			return fmt.Errorf("%w\n%s", err, p.output.String())
		}
		return nil
	case <-time.After(stopTimeout):
		return errors.Join(p.command.Process.Kill(), <-p.done)
	}
}

// processorTime returns the sum over the threads of the process. /proc/PID/stat has
// the total, but rounded to hundredths of a second.
func (p *process) processorTime() (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("no thread of process %d found in /proc: %w", p.command.Process.Pid, errors.Join(err, os.ErrNotExist))
	}
	total := time.Duration(0)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(data)); len(fields) > 0 {
			ns, _ := strconv.ParseInt(fields[0], 10, 64)
			total += time.Duration(ns)
		}
	}
	return total, nil
}

// residentMiB returns the resident memory of the process.
func (p *process) residentMiB() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kib / 1024, err
		}
	}
	return 0, os.ErrNotExist
}

// startProxy starts a TCP proxy to target and returns its address and the count of
// its bytes, which measures the traffic of another process.
func startProxy(g *group, target string) (string, *traffic, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", nil, err
	}
	counted := &traffic{}
	g.run(func(t *tomb.Tomb) error {
		<-t.Dying()
		return listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy(g, conn, target, counted)
		}
	}()
	return listener.Addr().String(), counted, nil
}

func proxy(g *group, clientConn net.Conn, target string, counted *traffic) {
	ctx, cancel := context.WithCancel(g.tomb.Context(context.Background()))
	defer cancel()
	targetConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	countingTarget := &countingConn{
		Conn:    targetConn,
		traffic: counted,
	}
	closeBoth := func() {
		_ = clientConn.Close()
		_ = targetConn.Close()
	}
	context.AfterFunc(ctx, closeBoth)
	go func() {
		defer cancel()
		_, _ = io.Copy(clientConn, countingTarget)
	}()
	_, _ = io.Copy(countingTarget, clientConn)
}

// freeAddress returns a loopback address that nothing listened on a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
