package server_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/server"
	"damaskspread.example/damaskspread/validator"
)

// Guards against settings of the document that are accepted and have no effect.
func TestDocumentSettingsReachPolicies(t *testing.T) {
	document, diagnostics := validator.ParseDocument("document.ini", `
[service tags]
owner = counter
classes = ledger, closure, counter
idempotent = counter
hedging = on
timeout = 4s
stale_limit = 7s

[objective]
owner = board
tail_latency = 3
batch_throughput = 2
evictions = 1
`)
	assert.Equal(t, len(diagnostics), 0, "%v", diagnostics)
	policy, objective := server.DocumentPolicies(document, "tags")
	assert.DeepEqual(t, policy, dispatcher.Policy{
		StaleLimit:     7 * time.Second,
		Priorities:     map[string]int32{"counter": 0, "closure": 1, "ledger": 2},
		LowestPriority: 3,
		Idempotent:     map[string]bool{"counter": true, "closure": false, "ledger": false},
		HedgeDelay:     400 * time.Millisecond,
		Timeout:        4 * time.Second,
	})
	assert.DeepEqual(t, objective, damaskspread.Objective{TailLatency: 3, BatchThroughput: 2, Evictions: 1})
}
