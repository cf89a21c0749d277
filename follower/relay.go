package follower

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// snapshotTimeout allows for tens of megabytes over a loaded link.
const snapshotTimeout = 30 * time.Second

func (f *Follower) peers() []string {
	if f.Peers == nil {
		return nil
	}
	return f.Peers()
}

// peer returns a client of the entry process at an address or URL.
func (f *Follower) peer(address string) wireconnect.EntryServiceClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return wireconnect.NewEntryServiceClient(f.HTTP, address)
}

// runPeerFetch fetches from other entry processes while log reads do not keep
// the age of the state below PeerFetchAfter. It runs concurrently with the log
// reader, because a read that hangs until its deadline would otherwise use up most
// of currency_limit.
func (f *Follower) runPeerFetch(ctx context.Context) error {
	delay := retryMin
	for ctx.Err() == nil {
		if !f.needsPeerFetch() {
			delay = f.pause(ctx, f.PeerFetchAfter/4)
			continue
		}
		if f.fetchFromPeers(ctx) {
			delay = retryMin
			continue
		}
		delay = f.pause(ctx, delay)
	}
	return nil
}

func (f *Follower) needsPeerFetch() bool {
	return f.Age() > f.PeerFetchAfter && f.Clock.Since(f.startedAt) > f.PeerFetchAfter
}

// fetchFromPeers fetches batches, or else a snapshot, from one peer after
// another until the age of the state has decreased, and reports whether it has.
func (f *Follower) fetchFromPeers(ctx context.Context) bool {
	for _, peer := range f.peers() {
		before := f.Age()
		err := f.fetchBatches(ctx, peer)
		if code := connect.CodeOf(err); err != nil && (code == connect.CodeOutOfRange || code == connect.CodeFailedPrecondition) {
			err = f.fetchSnapshot(ctx, peer, f.Offset()+1)
		}
		if err != nil {
			log.Debug().Err(err).Str("peer", peer).Msg("fetch from peer failed")
			continue
		}
		if f.Age() < before {
			return true
		}
	}
	return false
}

func (f *Follower) fetchBatches(ctx context.Context, peer string) error {
	if !f.isLoaded.Load() {
		return connect.NewError(connect.CodeOutOfRange, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, f.ReadWait+f.CallTimeout)
	defer cancel()
	sent := f.Clock.Now()
	response, err := f.peer(peer).FetchBatches(ctx, connect.NewRequest(&wire.FetchBatchesRequest{
		FromOffset: f.Offset() + 1,
		WaitMs:     f.ReadWait.Milliseconds(),
	}))
	if err != nil {
		return err
	}
	next, gap := f.apply(response.Msg.GetEntries())
	if gap {
		return connect.NewError(connect.CodeOutOfRange, nil)
	}
	// With all the batches that the peer had applied, the state is as current
	// as the peer's.
	if next >= response.Msg.GetNextOffset() {
		f.markCurrentThroughPeer(sent, response.Msg.GetAgeUs())
	}
	return nil
}

func (f *Follower) fetchSnapshot(ctx context.Context, peer string, minOffset int64) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sent := f.Clock.Now()
	response, err := f.peer(peer).FetchSnapshot(ctx, connect.NewRequest(&wire.FetchSnapshotRequest{
		MinOffset: minOffset,
	}))
	if err != nil {
		return err
	}
	f.install(response.Msg.GetSnapshot())
	f.markLoaded()
	if f.Offset() >= response.Msg.GetSnapshot().GetOffset() {
		f.markCurrentThroughPeer(sent, response.Msg.GetAgeUs())
	}
	return nil
}

// markCurrentThroughPeer marks the state as current as of the peer's age, in
// microseconds, before the request was sent.
func (f *Follower) markCurrentThroughPeer(sent time.Time, ageMicros int64) {
	age := damaskspread.AgeFromMicros(ageMicros)
	if age == damaskspread.MaxAge {
		return
	}
	f.markCurrent(sent.Add(-age))
}
