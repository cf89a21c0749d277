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

// stopTimeout is what a daemon gets for its planned stop.
const stopTimeout = 10 * time.Second

// process is one real daemon.
type process struct {
	command *exec.Cmd
	output  bytes.Buffer
	done    chan error
}

// startProcess runs a role of the binary with settings from a file.
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

// processorTime sums the threads of the process; /proc/PID/stat would round to
// hundredths of a second.
func (p *process) processorTime() (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("no threads of process %d: %w", p.command.Process.Pid, errors.Join(err, os.ErrNotExist))
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

// residentMiB is the memory of the process in RAM.
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

// startRelay forwards connections to an address and counts their bytes, which
// measures a daemon's traffic from outside.
func startRelay(g *group, target string) (string, *traffic, error) {
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
			go relay(g, conn, target, counted)
		}
	}()
	return listener.Addr().String(), counted, nil
}

func relay(g *group, conn net.Conn, target string, counted *traffic) {
	ctx, cancel := context.WithCancel(g.tomb.Context(context.Background()))
	defer cancel()
	other, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	server := &countedConn{
		Conn:    other,
		traffic: counted,
	}
	closeBoth := func() {
		_ = conn.Close()
		_ = other.Close()
	}
	context.AfterFunc(ctx, closeBoth)
	go func() {
		defer cancel()
		_, _ = io.Copy(conn, server)
	}()
	_, _ = io.Copy(server, conn)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
