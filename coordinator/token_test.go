package coordinator_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host without a session while two processes of its agent overlap:
// the token that one asks for makes the opening of the other late, and so on.
func TestTokenRequestsOfTwoAgentsLetASessionOpen(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	agent, info := newManualAgent(t, f.leader(), "host-0"), executorInfo("executor-0", 1)
	agent.open(f, "z.1", info)
	tokens := map[string]int64{}
	opened := 0
	for range 5 {
		for _, session := range []string{"a.1", "b.1"} {
			request := agent.request(session, info)
			if token := tokens[session]; token != 0 {
				request = agent.opening(session, info)
				request.Token = token
			}
			response := agent.send(request)
			if !response.GetReopen() {
				opened++
			}
			tokens[session] = response.GetToken()
		}
	}
	assert.Assert(t, opened > 0, "no session opened")
}

// Guards against the list of an earlier token, which may lack runs that have started
// since, in the place of the present session, and against a session that opens again by a
// late copy of its opening.
func TestOpeningWithAnEarlierTokenIsLate(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	agent, info := newManualAgent(t, f.leader(), "host-0"), executorInfo("executor-0", 1)
	agent.open(f, "z.1", info)
	first, second := agent.opening("a.1", info), agent.opening("b.1", info)
	first.Token = agent.send(agent.request("a.1", info)).GetToken()
	second.Token = agent.send(agent.request("b.1", info)).GetToken()
	assert.Assert(t, first.GetToken() < second.GetToken())
	assert.Assert(t, !agent.send(second).GetReopen())
	assert.Assert(t, agent.send(first).GetReopen(), "the session with the earlier token opens")
	left := agent.request("b.1", info)
	left.ExecutorLeft = true
	agent.send(left)
	assert.Assert(t, agent.send(second).GetReopen(), "a session opens again that has ended")
}

// Guards against a token of a session that is lower than one that its agent may have taken
// of the session before.
func TestTokensOfSessionsDoNotOverlap(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	agent, info := newManualAgent(t, f.leader(), "host-0"), executorInfo("executor-0", 1)
	first := agent.send(agent.request("a.1", info))
	second := agent.send(agent.request("b.1", info))
	assert.Assert(t, first.GetTokenCount() > 1)
	assert.Assert(t, first.GetToken()+first.GetTokenCount() <= second.GetToken(), "%d tokens from %d, then from %d", first.GetTokenCount(), first.GetToken(), second.GetToken())
}
