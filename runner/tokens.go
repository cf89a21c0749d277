package runner

import (
	"context"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// callTokens are the fencing tokens that the leader has given to the latest session. An
// incarnation that has seen one of them refuses the calls with an earlier one, also those
// that were sent to the incarnation before and arrive late.
type callTokens struct {
	// present is the token of the calls, last the last one of the session.
	present, last int64
	// used is set once present was the token of a start, or of a renewal with a deadline
	// and the number of an end.
	used bool
	// executor is the incarnation that was called last with a token of this or an earlier
	// session; nil before the first call.
	executor *wire.ExecutorInfo
}

// advance takes the next token if the present one was used. After the last one of the
// session, only a leader gives out newer ones.
func (c *callTokens) advance() {
	if c.used && c.present < c.last {
		c.present++
		c.used = false
	}
}

// hasCallToken reports whether a token is that of the present calls. The caller holds the
// mutex.
func (r *Runner) hasCallToken(token int64) bool {
	return r.token != 0 && r.tokens.present == token
}

// fenceLateStarts calls an incarnation that has the id of the one before, while no leader
// has given a token for it yet: starts that were sent to the one before have no effect
// there from then on.
func (r *Runner) fenceLateStarts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, damaskspread.OrderTimeout)
	defer cancel()
	info, token := r.unfencedExecutor(cancel)
	if info == nil {
		return
	}
	state, err := r.Executor.Renew(callCtx, info.GetId(), &damaskspread.Lease{Token: token}, 0, 0)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if born := state.GetBornUnixMs(); r.tokens.present != token || born != 0 && born != info.GetBornUnixMs() {
		return
	}
	r.tokens.executor = info
	log.Info().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Int64("token", token).Msg("late starts fenced")
}

// unfencedExecutor returns the executor that fenceLateStarts calls and the token, or nil
// if there is none. The next session cancels the call.
func (r *Runner) unfencedExecutor(cancel context.CancelFunc) (*wire.ExecutorInfo, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier := r.tokens.executor
	if r.info == nil || r.token != 0 || earlier.GetId() != r.info.GetId() || sameIncarnation(earlier, r.info) {
		return nil, 0
	}
	r.cancelRenewal = cancel
	r.tokens.advance()
	return r.info, r.tokens.present
}
