package runner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const setBack = time.Minute

// setBackExecutor is an executor whose second incarnation was born after the clock of
// its host was set back.
type setBackExecutor struct {
	*emulator.JobExecutor
}

func (e *setBackExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	state, err := e.JobExecutor.Renew(ctx, id, lease, seen, wait)
	if err == nil && id == "executor-2" {
		state.BornUnixMs -= setBack.Milliseconds()
	}
	return state, err
}

// Guards against a host that is lost for good after its clock was set back: the new
// executor then has an earlier time of its start than the one before.
func TestClockSetBackBetweenExecutors(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(10 * time.Millisecond)
		return &wire.ExchangeResponse{}
	}
	executor := newExecutor()
	r := startRunner(t, l, executor, &setBackExecutor{JobExecutor: executor})
	waitFor(t, "session", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetOpening() && r.GetEpoch() > 0 })
	})
	executor.Boot("executor-2")
	deadline := time.Now().Add(waitTimeout)
	for sequence := int64(1); time.Now().Before(deadline); sequence++ {
		info := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
		info.BornUnixMs -= setBack.Milliseconds()
		info.Sequence = sequence
		r.ExecutorAnnounced(info)
		if l.received(func(r *wire.ExchangeRequest) bool { return opensFor(r, "executor-2") }) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no session opens for the new executor within %s", waitTimeout)
}

// opensFor reports whether a request opens a session for an executor with a capacity.
func opensFor(request *wire.ExchangeRequest, id string) bool {
	executor := request.GetExecutor()
	return request.GetOpening() && request.GetHasRunning() && executor.GetId() == id && executor.GetCapacity().GetMillicores() > 0
}

// Guards against a host that is lost for good after a heartbeat of another writer
// that names a later time of start or a greater sequence than the executor.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(10 * time.Millisecond)
		return &wire.ExchangeResponse{}
	}
	for name, change := range map[string]func(*wire.ExecutorInfo){
		"another id without born": func(info *wire.ExecutorInfo) {
			info.Id = "stray"
			info.BornUnixMs = 0
		},
		"another id, born later": func(info *wire.ExecutorInfo) {
			info.Id = "stray"
			info.BornUnixMs++
		},
		"same id without born":      func(info *wire.ExecutorInfo) { info.BornUnixMs = 0 },
		"same id, greater sequence": func(info *wire.ExecutorInfo) { info.Sequence = 1 << 40 },
	} {
		t.Run(name, func(t *testing.T) {
			executor := newExecutor()
			r, _ := startKillableRunner(t, l, executor, executor)
			stray := executor.Info("unknown", "zone", &wire.Resources{})
			change(stray)
			r.ExecutorAnnounced(stray)
			sent := len(l.all())
			deadline := time.Now().Add(2 * time.Second)
			for sequence := int64(1); time.Now().Before(deadline); sequence++ {
				info := executor.Info("planning", "zone", &wire.Resources{})
				info.Sequence = sequence
				r.ExecutorAnnounced(info)
				time.Sleep(50 * time.Millisecond)
			}
			requests := l.all()
			last := requests[len(requests)-1].GetExecutor()
			assert.Assert(t, len(requests) > sent)
			assert.Equal(t, last.GetId(), "executor-1")
			assert.Equal(t, last.GetService(), "planning")
			session := requests[len(requests)-1].GetSession()
			for _, request := range requests {
				// The leader ignores lower sequence numbers within a session.
				assert.Assert(t, request.GetSession() != session || request.GetExecutor().GetService() == "planning")
			}
		})
	}
}
