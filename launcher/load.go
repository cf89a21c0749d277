package launcher

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// noLoadView has no estimate, so that all jobs are admitted. It stands in until an
// entry reads the leader's estimates.
type noLoadView struct{}

// Load implements damaskspread.LoadView.
func (noLoadView) Load() (*wire.LoadEstimate, time.Duration) { return nil, damaskspread.MaxAge }
