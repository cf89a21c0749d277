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

// snapshotTimeout allows tens of megabytes over a loaded link.
const snapshotTimeout = 30 * time.Second

func (f *Follower) peers() []string {
	if f.Peers == nil {
		return nil
	}
	return f.Peers()
}

func (f *Follower) peer(address string) wireconnect.EntryServiceClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return wireconnect.NewEntryServiceClient(f.HTTP, address)
}

// runRelay asks other entry processes while the log does not prove currency.
// It runs beside the log reader, because a read that hangs until its deadline
// would otherwise use up most of currency_limit.
func (f *Follower) runRelay(ctx context.Context) error {
	delay := retryMin
	for ctx.Err() == nil {
		if !f.needsRelay() {
			delay = f.pause(ctx, f.RelayAfter/4)
			continue
		}
		if f.relayOnce(ctx) {
			delay = retryMin
			continue
		}
		delay = f.pause(ctx, delay)
	}
	return nil
}

func (f *Follower) needsRelay() bool {
	return f.Age() > f.RelayAfter && f.Clock.Since(f.begun) > f.RelayAfter
}

// relayOnce reports whether a peer improved what this process knows.
func (f *Follower) relayOnce(ctx context.Context) bool {
	for _, peer := range f.peers() {
		before := f.Age()
		err := f.fetchBatches(ctx, peer)
		if code := connect.CodeOf(err); err != nil && (code == connect.CodeOutOfRange || code == connect.CodeFailedPrecondition) {
			err = f.fetchSnapshot(ctx, peer, f.Offset()+1)
		}
		if err != nil {
			log.Debug().Err(err).Str("peer", peer).Msg("relay failed")
			continue
		}
		if f.Age() < before {
			return true
		}
	}
	return false
}

func (f *Follower) fetchBatches(ctx context.Context, peer string) error {
	if !f.started.Load() {
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
	// Whoever has applied all that the peer had applied shares its currency.
	if next >= response.Msg.GetNextOffset() {
		f.proveThrough(sent, response.Msg.GetAgeUs())
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
	f.markStarted()
	if f.Offset() >= response.Msg.GetSnapshot().GetOffset() {
		f.proveThrough(sent, response.Msg.GetAgeUs())
	}
	return nil
}

// proveThrough adds the peer's age to the time since the request was sent.
func (f *Follower) proveThrough(sent time.Time, micros int64) {
	age := damaskspread.AgeFromMicros(micros)
	if age == damaskspread.MaxAge {
		return
	}
	f.prove(sent.Add(-age))
}
