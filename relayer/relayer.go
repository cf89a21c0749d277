// Package relayer reaches the keyed log through other entry processes while
// the log doesn't serve this host.
//
// A Relayer sends each call to the log itself and, if that fails or stays
// silent, to a peer, which calls the log directly: a call is relayed once at
// most. While the log is away for this host, calls go to a peer at once and
// the log is tried now and then. Conditional appends are never relayed, so a
// leader that the log doesn't serve gives way to another process.
//
// Run is the only goroutine that outlives a call; it keeps the list of peers.
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
	// silentAfter is the silence of the log after which a peer is asked too.
	silentAfter = 300 * time.Millisecond
	// probeInterval is the time between two direct calls while the log is away.
	probeInterval = 500 * time.Millisecond
	// peerTimeout bounds a relayed call; a read may take its wait in addition.
	peerTimeout = 600 * time.Millisecond
	// peerTries bounds the peers that one call asks.
	peerTries = 2
	// listInterval is the time between two reads of the list of peers.
	listInterval = 10 * time.Second
	// listRetry is the same while there are no peers yet.
	listRetry = time.Second
	listLimit = 900 * time.Millisecond
)

var (
	errNoPeer = errors.New("no other entry process is known")
	errSilent = errors.New("the log gives no answer")
)

var _ damaskspread.KeyedLog = (*Relayer)(nil)

// Relayer implements damaskspread.KeyedLog. Its fields are set before use.
type Relayer struct {
	// Direct is the log itself.
	Direct damaskspread.KeyedLog
	// HTTP reaches the peers.
	HTTP    *http.Client
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// Process is the name under which this process is in the list of peers.
	Process string

	mu sync.Mutex
	// away is set while the latest direct call has failed.
	away     bool
	triedAt  time.Duration
	peers    []string
	nextPeer int
	relayed  int64
}

// Relayed is the number of calls that a peer answered.
func (r *Relayer) Relayed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relayed
}

// Away reports whether the log didn't serve the latest direct call.
func (r *Relayer) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// Append implements damaskspread.KeyedLog.
func (r *Relayer) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if condition != nil {
		return r.Direct.Append(ctx, topic, records, condition)
	}
	return relay(ctx, r, 0, func(ctx context.Context, keyed damaskspread.KeyedLog, _ time.Duration) (*wire.AppendResult, error) {
		return keyed.Append(ctx, topic, records, nil)
	})
}

// Read implements damaskspread.KeyedLog.
func (r *Relayer) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	return relay(ctx, r, wait, func(ctx context.Context, keyed damaskspread.KeyedLog, wait time.Duration) (*wire.KeyedPage, error) {
		return keyed.Read(ctx, topic, from, wait)
	})
}

// Newest implements damaskspread.KeyedLog.
func (r *Relayer) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	return relay(ctx, r, 0, func(ctx context.Context, keyed damaskspread.KeyedLog, _ time.Duration) (*wire.KeyedPage, error) {
		return keyed.Newest(ctx, topic, after)
	})
}

// Run keeps the list of peers until the tomb dies.
func (r *Relayer) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	for tb.Alive() {
		pause := listInterval
		if err := r.list(ctx); err != nil {
			log.Info().Err(err).Msg("the list of entry processes cannot be read")
			pause = listRetry
		}
		damaskspread.Pause(ctx, r.Clock, pause)
	}
	return nil
}

func (r *Relayer) list(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	page, err := r.Newest(limited, locator.EntriesTopic, "")
	if err != nil {
		return err
	}
	// Each process begins with the one after itself, which spreads the calls.
	var before, after []string
	for _, presence := range locator.Presences(page.GetRecords()) {
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

// peer is one of the other processes; calls that fail move on to the next.
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

// skipPeer moves on from a peer that failed.
func (r *Relayer) skipPeer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextPeer++
}

// first reports which attempts a call begins with.
func (r *Relayer) first() (direct, peers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Elapsed.Elapsed()
	if r.away && now-r.triedAt < probeInterval {
		return false, true
	}
	r.triedAt = now
	return true, r.away
}

// noteServed takes an answer of the log or of a peer. The log is away if a peer
// answered a call on which the log stayed silent.
func (r *Relayer) noteServed(direct, silent bool) {
	r.mu.Lock()
	regained := direct && r.away
	if direct {
		r.away = false
	} else {
		r.relayed++
	}
	r.mu.Unlock()
	if regained {
		log.Info().Msg("log regained for this host")
	}
	if !direct && silent {
		r.noteAway(errSilent)
	}
}

func (r *Relayer) noteAway(cause error) {
	r.mu.Lock()
	lost := !r.away
	r.away = true
	r.mu.Unlock()
	if lost {
		log.Warn().Err(cause).Msg("log lost for this host: calls go through other entry processes")
	}
}
