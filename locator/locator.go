// Package locator finds the scheduling leader and calls it on behalf of agents,
// and publishes the addresses of the entry processes. (Package elector decides
// which process is the leader.)
//
// A Locator owns the leader with the highest epoch that it has found and the
// addresses of the entry processes. It looks for the leader in the log and, if the
// log fails, asks the entry processes. It starts no goroutine.
package locator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// EntriesTopic is the topic of the keyed log that holds the addresses of the entry
// processes.
const EntriesTopic = "entries"

const (
	findTimeout = 500 * time.Millisecond
	// searchInterval is the minimum time between two searches for a new leader
	// while one is known.
	searchInterval = 400 * time.Millisecond
	// failuresBeforeSearch is the number of failed calls in a row after which the
	// next call searches for the leader again.
	failuresBeforeSearch = 2
)

// Locator finds and calls the leader. Set its fields before use; it is then safe
// for concurrent use.
type Locator struct {
	Log     damaskspread.KeyedLog
	HTTP    *http.Client
	Elapsed damaskspread.ElapsedClock

	mu     sync.Mutex
	leader *wire.Leadership
	// searchNeeded is set if the leader may have changed.
	searchNeeded bool
	// failures is the number of failed calls in a row.
	failures       int
	searchedAt     time.Duration
	entryAddresses []string
	// logUnreachable is set if the last search could not read the leader from the
	// log.
	logUnreachable bool
}

// NoLeaderError means that no leader was found. Cause is the error of the log,
// nil if the log holds no leader.
type NoLeaderError struct {
	Cause error
}

func (e *NoLeaderError) Error() string {
	if e.Cause == nil {
		return "no scheduling leader found: the log holds none"
	}
	return fmt.Sprintf("no scheduling leader found: %v", e.Cause)
}

func (e *NoLeaderError) Unwrap() error { return e.Cause }

// Announce publishes the address of an entry process in the keyed log.
func Announce(ctx context.Context, keyed damaskspread.KeyedLog, presence *wire.EntryPresence) error {
	value, err := proto.Marshal(presence)
	if err != nil {
		return err
	}
	record := &wire.KeyedRecord{
		Key:   presence.GetProcess(),
		Value: value,
	}
	_, err = keyed.Append(ctx, EntriesTopic, []*wire.KeyedRecord{record}, nil)
	return err
}

// DecodePresences decodes records of EntriesTopic. It logs and skips invalid ones.
func DecodePresences(records []*wire.KeyedRecord) []*wire.EntryPresence {
	var presences []*wire.EntryPresence
	for _, record := range records {
		presence := &wire.EntryPresence{}
		if err := proto.Unmarshal(record.GetValue(), presence); err != nil {
			log.Warn().Str("key", record.GetKey()).Err(err).Msg("entry process ignored: record cannot be decoded")
			continue
		}
		if !damaskspread.ValidAddress(presence.GetAddress()) {
			log.Warn().Str("key", record.GetKey()).Str("address", presence.GetAddress()).Msg("entry process ignored: its address has no host or port")
			continue
		}
		presences = append(presences, presence)
	}
	return presences
}

// Exchange sends a request to the leader, and searches for the leader first if
// necessary. It returns a NoLeaderError if no leader is found.
func (l *Locator) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	leader, err := l.currentLeader(ctx)
	if err != nil {
		return nil, err
	}
	response, err := l.client(leader.GetAddress()).Exchange(ctx, connect.NewRequest(request))
	l.recordCallResult(err)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Redirect sets the leader if its epoch is higher than that of the known one.
// Otherwise, as with nil, the next call searches for the leader.
func (l *Locator) Redirect(leader *wire.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if leader.GetEpoch() > l.leader.GetEpoch() && leader.GetAddress() != "" {
		l.leader = leader
		l.failures = 0
		l.searchNeeded = false
		return
	}
	l.searchNeeded = true
}

func (l *Locator) recordCallResult(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.failures = 0
		return
	}
	l.failures++
	if l.failures >= failuresBeforeSearch {
		l.searchNeeded = true
	}
}

func (l *Locator) currentLeader(ctx context.Context) (*wire.Leadership, error) {
	l.mu.Lock()
	leader := l.leader
	now := l.Elapsed.Elapsed()
	search := leader == nil || (l.searchNeeded && now-l.searchedAt > searchInterval)
	if search {
		l.searchedAt = now
		l.searchNeeded = false
	}
	l.mu.Unlock()
	if !search {
		return leader, nil
	}
	found, err := l.find(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if found.GetEpoch() >= l.leader.GetEpoch() && found != nil {
		if l.leader.GetEpoch() != found.GetEpoch() {
			log.Info().Str("leader", found.GetProcess()).Int64("epoch", found.GetEpoch()).Msg("leader located")
		}
		l.leader = found
	}
	if l.leader == nil {
		return nil, &NoLeaderError{Cause: err}
	}
	return l.leader, nil
}

// find returns the leader, or nil if none is found. The error is that of the log,
// even if an entry process returned a leader.
func (l *Locator) find(ctx context.Context) (*wire.Leadership, error) {
	leader, err := l.findInLog(ctx)
	if err == nil {
		l.recordLogResult(nil)
		return leader, nil
	}
	l.recordLogResult(err)
	return l.findThroughEntries(ctx), err
}

// recordLogResult logs when the log becomes unreachable and reachable again.
func (l *Locator) recordLogResult(err error) {
	l.mu.Lock()
	changed := l.logUnreachable != (err != nil)
	l.logUnreachable = err != nil
	l.mu.Unlock()
	switch {
	case changed && err != nil:
		log.Warn().Err(err).Msg("log unreachable: asking entry processes for the leader")
	case changed:
		log.Info().Msg("log reachable again")
	}
}

func (l *Locator) findInLog(ctx context.Context) (*wire.Leadership, error) {
	callCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	page, err := l.Log.Newest(callCtx, elector.Topic, "")
	if err != nil {
		return nil, err
	}
	l.loadEntryAddresses(callCtx)
	var malformed error
	for _, record := range page.GetRecords() {
		leader, err := elector.Decode(record)
		if err == nil {
			return leader, nil
		}
		malformed = err
	}
	return nil, malformed
}

// loadEntryAddresses stores the addresses of the entry processes, for searches
// while the log is unreachable.
func (l *Locator) loadEntryAddresses(ctx context.Context) {
	page, err := l.Log.Newest(ctx, EntriesTopic, "")
	if err != nil {
		log.Info().Err(err).Msg("addresses of entry processes not loaded from the log")
		return
	}
	var addresses []string
	for _, presence := range DecodePresences(page.GetRecords()) {
		addresses = append(addresses, presence.GetAddress())
	}
	l.mu.Lock()
	l.entryAddresses = addresses
	l.mu.Unlock()
}

// findThroughEntries asks all known entry processes for the leader. It returns the
// one with the highest epoch, nil if none is returned.
func (l *Locator) findThroughEntries(ctx context.Context) *wire.Leadership {
	l.mu.Lock()
	entryAddresses := l.entryAddresses
	l.mu.Unlock()
	var newest *wire.Leadership
	for _, address := range entryAddresses {
		callCtx, cancel := context.WithTimeout(ctx, findTimeout/2)
		response, err := l.client(address).FindLeader(callCtx, connect.NewRequest(&wire.FindLeaderRequest{}))
		cancel()
		if err != nil {
			log.Debug().Str("entry", address).Err(err).Msg("entry process did not return the leader")
			continue
		}
		if leader := response.Msg.GetLeader(); leader.GetEpoch() > newest.GetEpoch() {
			newest = leader
		}
	}
	return newest
}

func (l *Locator) client(address string) wireconnect.CoordinatorServiceClient {
	return wireconnect.NewCoordinatorServiceClient(l.HTTP, "http://"+address)
}
