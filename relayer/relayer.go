// Package relayer sends calls of the keyed log through other entry processes
// (peers) while the log is unreachable from this host.
//
// A Relayer sends each call to the log itself and, if that fails or does not
// respond in time, to a peer. The peer's Server calls the log directly, so a
// call is relayed at most once. While the log is unreachable, calls go to a peer
// at once, and one call every 500 ms probes the log too. Conditional appends are
// never relayed, so a leader that cannot reach the log loses the leadership to another
// process.
//
// Run is the only goroutine that outlives a call; it refreshes the list of peers
// periodically.
package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// hedgeDelay is the time without a response of the log after which the call
	// is also sent to a peer; a read may take its wait in addition.
	hedgeDelay = 300 * time.Millisecond
	// probeInterval is the time between direct calls while the log is
	// unreachable.
	probeInterval = 500 * time.Millisecond
	// peerTimeout bounds a relayed call; a read may take its wait in addition.
	peerTimeout = 600 * time.Millisecond
	// maxPeerTries bounds the number of peers that one call is sent to.
	maxPeerTries = 2
	// peersInterval is the time between two reads of the list of peers.
	peersInterval = 10 * time.Second
	// peersRetryInterval is the same after a failed read.
	peersRetryInterval = time.Second
	// peersTimeout bounds a read of the list of peers.
	peersTimeout = 900 * time.Millisecond
)

var (
	errNoPeer     = errors.New("no other entry process is known")
	errLogTimeout = errors.New("log did not respond in time")
)

var _ damaskspread.KeyedLog = (*Relayer)(nil)

// Relayer implements damaskspread.KeyedLog. Its fields are set before use.
type Relayer struct {
	// Direct calls the log itself.
	Direct damaskspread.KeyedLog
	// HTTP is the client for calls to peers.
	HTTP    *http.Client
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// Process is the name of this process in the list of entry processes.
	Process string

	mu sync.Mutex
	// logUnreachable is set if the latest direct call failed.
	logUnreachable bool
	// lastDirect is the time of the latest call that was sent to the log first.
	lastDirect time.Duration
	peers      []string
	nextPeer   int
	relayed    int64
}

// RelayedCalls returns the number of calls to which a peer responded.
func (r *Relayer) RelayedCalls() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relayed
}

// LogUnreachable reports whether the log was unreachable in the latest direct call.
func (r *Relayer) LogUnreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logUnreachable
}

// Append implements damaskspread.KeyedLog. A conditional append goes to the log
// only.
func (r *Relayer) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if condition != nil {
		return r.Direct.Append(ctx, topic, records, condition)
	}
	return callHedged(ctx, r, 0, func(ctx context.Context, keyed damaskspread.KeyedLog, _ time.Duration) (*wire.AppendResult, error) {
		return keyed.Append(ctx, topic, records, nil)
	})
}

// Read implements damaskspread.KeyedLog.
func (r *Relayer) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	return callHedged(ctx, r, wait, func(ctx context.Context, keyed damaskspread.KeyedLog, wait time.Duration) (*wire.KeyedPage, error) {
		return keyed.Read(ctx, topic, from, wait)
	})
}

// Newest implements damaskspread.KeyedLog.
func (r *Relayer) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	return callHedged(ctx, r, 0, func(ctx context.Context, keyed damaskspread.KeyedLog, _ time.Duration) (*wire.KeyedPage, error) {
		return keyed.Newest(ctx, topic, after)
	})
}

// Run refreshes the list of peers until the tomb dies.
func (r *Relayer) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	for tb.Alive() {
		pause := peersInterval
		if err := r.refreshPeers(ctx); err != nil {
			log.Info().Err(err).Msg("reading the list of entry processes failed")
			pause = peersRetryInterval
		}
		damaskspread.Pause(ctx, r.Clock, pause)
	}
	return nil
}

func (r *Relayer) refreshPeers(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	page, err := r.Newest(limited, locator.EntriesTopic, "")
	if err != nil {
		return err
	}
	// Each process begins with its successor by name, so that the calls are
	// spread over the peers.
	var before, after []string
	for _, presence := range locator.DecodePresences(page.GetRecords()) {
		switch {
		case presence.GetProcess() > r.Process:
			after = append(after, presence.GetAddress())
		case presence.GetProcess() < r.Process:
			before = append(before, presence.GetAddress())
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.Concat(after, before)
	return nil
}

// peer returns a client of the current peer. advancePeer selects the next one.
func (r *Relayer) peer() (damaskspread.KeyedLog, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peers) == 0 {
		return nil, &damaskspread.LogUnavailableError{Cause: errNoPeer}
	}
	return &connector.KeyedLog{
		Address: "http://" + r.peers[r.nextPeer%len(r.peers)],
		HTTP:    r.HTTP,
		Timeout: peerTimeout,
	}, nil
}

// advancePeer selects the next peer after a failed call.
func (r *Relayer) advancePeer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextPeer++
}

// firstTargets reports whether a new call is first sent to the log, to peers or
// to both.
func (r *Relayer) firstTargets() (direct, peers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Elapsed.Elapsed()
	if r.logUnreachable && now-r.lastDirect < probeInterval {
		return false, true
	}
	r.lastDirect = now
	return true, r.logUnreachable
}

// recordResponse updates the state after the log or a peer responded to a call.
// The log is unreachable if a peer responded first and directTimedOut is set.
func (r *Relayer) recordResponse(direct, directTimedOut bool) {
	r.mu.Lock()
	recovered := direct && r.logUnreachable
	if direct {
		r.logUnreachable = false
	} else {
		r.relayed++
	}
	r.mu.Unlock()
	if recovered {
		log.Info().Msg("log reachable again from this host")
	}
	if !direct && directTimedOut {
		r.markUnreachable(errLogTimeout)
	}
}

func (r *Relayer) markUnreachable(cause error) {
	r.mu.Lock()
	wasReachable := !r.logUnreachable
	r.logUnreachable = true
	r.mu.Unlock()
	if wasReachable {
		log.Warn().Err(cause).Msg("log unreachable from this host; calls are relayed by other entry processes")
	}
}
