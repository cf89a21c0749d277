package soak_test

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cancellation that is lost with an entry that stops, and against a stop that
// lasts longer than the log takes.
func TestStoppedEntryRecordsItsCancellations(t *testing.T) {
	f := newFleet(t, 0)
	const id = "00000000000000a7"
	stopped := f.entries[1]
	settings, err := os.ReadFile(stopped.settingsFile)
	assert.NilError(t, err)
	settings = bytes.ReplaceAll(settings, []byte("grace = 4s"), []byte("grace = 8s"))
	assert.NilError(t, os.WriteFile(stopped.settingsFile, settings, 0o600))
	f.restart(stopped, syscall.SIGKILL, 0)
	f.submitUntilAccepted(id, `{"spec":"x","steps":[{"count":1,"cpu":8000,"memMb":100,"longRunning":true}]}`)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for deadline := time.Now().Add(recoveryLimit); f.sendRequest(client, http.MethodGet, stopped, id, "").status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the restarted entry is not ready")
	}

	for _, entry := range f.entries {
		entry.gate.fault.Store(&topicFault{topic: "jobs", hangs: true})
	}
	assert.Equal(t, f.sendRequest(client, http.MethodDelete, stopped, id, "").status, timedOut)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(3500 * time.Millisecond)
	for _, entry := range f.entries {
		entry.gate.fault.Store(nil)
	}
	select {
	case <-stopped.exited():
	case <-time.After(2500 * time.Millisecond):
		t.Fatal("the entry has not stopped")
	}
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if state := f.sendRequest(client, http.MethodGet, f.entries[0], id, ""); strings.Contains(state.text, "cancelled") { //nolint:misspell // the spelling on the wire
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the job runs on")
	}
}
