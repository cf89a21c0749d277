package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// roundTrip is the time to the clients and back: SYSTEM.md gives 1 ms each way.
const roundTrip = 2 * time.Millisecond

// delayProxy passes connections on. While it is held, what clients send waits, as packets do
// that pass one way only; it is delivered once the proxy is released.
type delayProxy struct {
	target string
	mu     sync.Mutex
	held   chan struct{}
}

func (p *delayProxy) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return listener.Addr().String(), nil
}

func (p *delayProxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

func (p *delayProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.held)
	p.held = nil
}

func (p *delayProxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if held != nil {
			<-held
		}
		if n > 0 {
			_, _ = server.Write(buffer[:n])
		}
		if err != nil {
			// After a time-out, TCP sends the first segment again, and the end of the stream
			// once that is acknowledged.
			time.Sleep(roundTrip)
			_ = server.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// playLatePost hands in jobs that last, each by a client of its own. For 5.5 s nothing that the
// clients send gets to the entry, so they leave at their deadline and cancel the jobs at
// another entry.
func playLatePost(r *record, root string, trouble bool) (int, string, []string) {
	const (
		jobs = 5
		// between is the time from one hand-in to the next.
		between = 300 * time.Millisecond
		// oneWay is how long the packets are held up.
		oneWay = 5500 * time.Millisecond
		// contact, cancelWithin and stopWithin are the bounds contactMs, cancel_ms and stopMs.
		contact, cancelWithin, stopWithin = 3 * time.Second, 3 * time.Second, 400 * time.Millisecond
	)
	s, err := newSystem(r, root, 3, 4, nil)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return couldNot, "could not run: " + err.Error(), nil
	}
	proxy := &delayProxy{target: s.fronts[0]}
	front, err := proxy.listen()
	if err != nil || !s.awaitReady(20*time.Second) {
		return couldNot, "could not run: the executors got no lease", nil
	}
	if !s.awaitConfig(front, 10*time.Second) {
		return couldNot, "could not run: the entry has no configuration", nil
	}
	begun := time.Now()
	if trouble {
		proxy.hold()
		r.write("nothing gets from the clients to edge-1 for %s", oneWay)
		time.AfterFunc(oneWay, func() {
			r.write("packets get to edge-1 again")
			proxy.release()
		})
	}
	var clients sync.WaitGroup
	answered := make([]bool, jobs)
	for i := range jobs {
		clients.Go(func() { answered[i] = s.handInAndCancel(front, jobID(i)) })
		time.Sleep(between)
	}
	clients.Wait()
	// The stretch without disruption begins contact after its end.
	time.Sleep(time.Until(begun.Add(oneWay + contact + cancelWithin + stopWithin)))
	var running []string
	for i := range jobs {
		if !answered[i] {
			return couldNot, "could not run: a cancelling was not answered", nil
		}
		running = append(running, r.runningTasks(jobID(i))...)
	}
	if len(running) > 0 {
		state := s.awaitState(queuePath+jobOf(running[0]), time.Second, "running")
		return broken, fmt.Sprintf("UNASKED broken: tasks of %d of %d cancelled jobs run %s after the disruption; the state of the first is %q",
			len(running), jobs, contact+cancelWithin+stopWithin, state), []string{"in progress: " + strings.Join(running, ", ")}
	}
	return held, fmt.Sprintf("UNASKED held; %d starts, none in progress", r.started()), nil
}

func jobID(i int) string { return fmt.Sprintf("5c0e7a21d94b36%02x", i) }

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// handInAndCancel hands a job in and cancels it at another entry, as soon as it is accepted or
// the client has left at its deadline. It reports whether the cancelling was answered.
func (s *system) handInAndCancel(front, id string) bool {
	job := map[string]any{"spec": "lasts", "steps": []any{map[string]any{"count": 1, "cpu": 200, "memMb": 100, "longRunning": true}}}
	status, _ := s.call(front, http.MethodPost, queuePath+id, job)
	s.record.write("POST %s at edge-1: %d (0: no answer until the deadline)", id, status)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _ = s.call(s.fronts[1], http.MethodDelete, queuePath+id, nil)
		s.record.write("DELETE %s at edge-2: %d", id, status)
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
	}
	return false
}

// awaitConfig waits until an entry knows the queue.
func (s *system) awaitConfig(front string, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, _ := s.call(front, http.MethodGet, queuePath, nil); status == http.StatusOK {
			return true
		}
	}
	return false
}
