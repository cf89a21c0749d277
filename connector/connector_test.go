package connector_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const host = "h1"

func startPlatform(t *testing.T) *emulator.Platform {
	t.Helper()
	p := &emulator.Platform{
		Clock:          clockwork.NewRealClock(),
		LogAddress:     "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
		Workers: []emulator.Worker{{
			Host:     host,
			Address:  "127.0.0.1:0",
			Capacity: &wire.Resources{Millicores: 1000},
		}},
	}
	assert.NilError(t, p.Listen())
	var tb tomb.Tomb
	tb.Go(func() error { return p.Run(&tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		assert.NilError(t, tb.Wait())
	})
	return p
}

// Guards against an append that is reported as without effect although the log
// has the entry: the writer would append the entry again.
func TestAppendErrorsStateTheEffect(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	tests := []struct {
		name    string
		fault   emulator.Fault
		address string
		unknown bool
		entries int
	}{
		{name: "connection refused", address: "http://" + closed.Addr().String()},
		{name: "definite refusal", fault: emulator.Fault{Down: true}},
		{name: "response lost after the effect", fault: emulator.Fault{LoseResponses: 1}, unknown: true, entries: 1},
		{name: "deadline exceeded", fault: emulator.Fault{Paused: true}, unknown: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := startPlatform(t)
			test.fault.Target = "log"
			assert.Assert(t, p.SetFault(test.fault))
			log := &connector.Log{
				Address: p.LogURL(),
				Timeout: 200 * time.Millisecond,
			}
			if test.address != "" {
				log.Address = test.address
			}
			_, err := log.Append(t.Context(), "s", []byte("x"))
			var unknown *damaskspread.AppendUnknownError
			var unavailable *damaskspread.LogUnavailableError
			assert.Equal(t, errors.As(err, &unknown), test.unknown, "%v", err)
			assert.Equal(t, errors.As(err, &unavailable), !test.unknown, "%v", err)
			log = &connector.Log{Address: p.LogURL()}
			if test.fault.Paused {
				return
			}
			assert.Assert(t, p.SetFault(emulator.Fault{Target: "log"}))
			response, err := log.Read(t.Context(), "s", 0, 10, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(response.GetEntries()), test.entries)
		})
	}
}

// Guards against an error that reports a started task as not started.
func TestWorkerErrorsStateTheEffect(t *testing.T) {
	p := startPlatform(t)
	worker := &connector.Worker{Address: p.WorkerURL(host)}
	order := &wire.StartRequest{
		Boot:         host + "-boot-1",
		Spec:         &wire.TaskSpec{Task: "t"},
		Token:        7,
		LeaseUntilUs: time.Hour.Microseconds(),
		NotAfterUs:   time.Hour.Microseconds(),
	}
	p.SetFault(emulator.Fault{Target: "worker", Host: host, Down: true})
	_, err := worker.Start(t.Context(), order)
	var refused *damaskspread.WorkerRefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)

	p.SetFault(emulator.Fault{Target: "worker", Host: host, LoseResponses: 1})
	_, err = worker.Start(t.Context(), order)
	var unknown *damaskspread.WorkerUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)

	task, err := worker.Start(t.Context(), order)
	assert.NilError(t, err)
	assert.Equal(t, task.GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING)
	assert.Equal(t, len(p.History().Events), 1)
}

// Guards against a read that treats expired entries as an empty log.
func TestReadReportsPassedRetention(t *testing.T) {
	p := startPlatform(t)
	log := &connector.Log{Address: p.LogURL()}
	_, err := log.Append(t.Context(), "s", []byte("x"))
	assert.NilError(t, err)
	p.SetFault(emulator.Fault{Target: "log", ExpireRetention: true})
	_, err = log.Read(t.Context(), "s", 0, 10, 0)
	var passed *damaskspread.RetentionPassedError
	assert.Assert(t, errors.As(err, &passed), "%v", err)
	assert.Equal(t, passed.Next, int64(1))

	// A long poll from the next offset returns the entry appended meanwhile.
	read := make(chan error, 1)
	go func() {
		response, err := log.Read(context.Background(), "s", 1, 10, 10*time.Second)
		if err == nil && len(response.GetEntries()) != 1 {
			err = errors.New("the long poll returned no entry")
		}
		read <- err
	}()
	_, err = log.Append(t.Context(), "s", []byte("y"))
	assert.NilError(t, err)
	assert.NilError(t, <-read)
}
