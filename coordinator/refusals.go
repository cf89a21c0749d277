package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// defaultRefusalRetention is many times what a submission or an append takes that
	// takes effect late. After it, such an append would no longer be voided by the refusal
	// or the cancellation.
	defaultRefusalRetention = 2 * time.Minute
	refusalScanInterval     = time.Second
	// maxRemovedRefusals bounds one removal, which must be one append.
	maxRemovedRefusals = 200
)

// seenRefusal is a refusal, or a cancellation without a job, that the leader has seen in
// the index.
type seenRefusal struct {
	voidedAt int64
	since    time.Duration
}

// removeRefusals removes the refusals and cancellations without an accepted job after
// RefusalRetention, until the context ends. Those of accepted jobs are removed with the
// job.
func (c *Coordinator) removeRefusals(ctx context.Context) {
	seen := map[string]seenRefusal{}
	timer := c.Clock.NewTicker(refusalScanInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
		}
		if c.Index.HasVoided() {
			c.removeExpiredRefusals(ctx, seen)
		}
	}
}

// removeExpiredRefusals removes what has expired. The append takes effect only if the
// index has read all of the topic: a newer refusal or cancellation of the same id must
// stay.
func (c *Coordinator) removeExpiredRefusals(ctx context.Context, seen map[string]seenRefusal) {
	// The position is taken before the index is read, which may be ahead of it.
	end := c.JobsTail.Next()
	expired := c.expiredRefusals(seen)
	if len(expired) == 0 {
		return
	}
	var records []*wire.KeyedRecord
	for _, id := range expired {
		records = append(records, c.Index.RemovalRecords(id)...)
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.Log.Append(appendCtx, indexer.Topic, records, &wire.AppendCondition{End: &end}); err != nil {
		log.Debug().Int("refusals", len(expired)).Err(err).Msg("expired refusals not removed; retrying")
	}
}

// expiredRefusals updates seen from the index and returns the ids to remove.
func (c *Coordinator) expiredRefusals(seen map[string]seenRefusal) []string {
	now := c.Elapsed.Elapsed()
	retention := cmp.Or(c.RefusalRetention, defaultRefusalRetention)
	present := map[string]bool{}
	var expired []string
	c.Index.EachVoided(func(id string, voidedAt int64) {
		present[id] = true
		refusal, known := seen[id]
		if !known || refusal.voidedAt != voidedAt {
			seen[id] = seenRefusal{
				voidedAt: voidedAt,
				since:    now,
			}
			return
		}
		if now-refusal.since > retention {
			expired = append(expired, id)
		}
	})
	for id := range seen {
		if !present[id] {
			delete(seen, id)
		}
	}
	slices.Sort(expired)
	return expired[:min(len(expired), maxRemovedRefusals)]
}
