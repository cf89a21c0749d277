// Package locator finds the scheduling leader and calls it.
//
// A Locator remembers the newest leader that it heard of. It looks in the log
// first and asks the entry processes if the log gives no answer. It starts no
// goroutine.
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

// EntriesTopic holds the addresses of the entry processes.
const EntriesTopic = "entries"

const (
	findTimeout = 500 * time.Millisecond
	// findInterval bounds how often the log is asked.
	findInterval = 400 * time.Millisecond
	// failuresToForget is the number of failed calls in a row after which the
	// leader is looked for again.
	failuresToForget = 2
)

// Locator reaches the leader. Its fields are set before use.
type Locator struct {
	Log     damaskspread.KeyedLog
	HTTP    *http.Client
	Elapsed damaskspread.ElapsedClock

	mu       sync.Mutex
	leader   *wire.Leadership
	doubted  bool
	failures int
	foundAt  time.Duration
	entries  []string
	// logLost is set while the log does not tell the leader.
	logLost bool
}

// NoLeaderError means that no leader is known.
type NoLeaderError struct {
	Cause error
}

func (e *NoLeaderError) Error() string { return fmt.Sprintf("no leader is known: %v", e.Cause) }

func (e *NoLeaderError) Unwrap() error { return e.Cause }

// Announce publishes the address of an entry process.
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

// Presences decodes the records of the entry processes.
func Presences(records []*wire.KeyedRecord) []*wire.EntryPresence {
	var presences []*wire.EntryPresence
	for _, record := range records {
		presence := &wire.EntryPresence{}
		if err := proto.Unmarshal(record.GetValue(), presence); err != nil {
			log.Warn().Str("key", record.GetKey()).Err(err).Msg("entry process ignored: its record cannot be decoded")
			continue
		}
		presences = append(presences, presence)
	}
	return presences
}

// Exchange calls the leader.
func (l *Locator) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	leader, err := l.current(ctx)
	if err != nil {
		return nil, err
	}
	response, err := l.client(leader.GetAddress()).Exchange(ctx, connect.NewRequest(request))
	l.note(err)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Redirect tells where the leader is; nil makes the next call look for it.
func (l *Locator) Redirect(leader *wire.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if leader.GetEpoch() > l.leader.GetEpoch() && leader.GetAddress() != "" {
		l.leader = leader
		l.failures = 0
		l.doubted = false
		return
	}
	l.doubted = true
}

func (l *Locator) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.failures = 0
		return
	}
	l.failures++
	if l.failures >= failuresToForget {
		l.doubted = true
	}
}

func (l *Locator) current(ctx context.Context) (*wire.Leadership, error) {
	l.mu.Lock()
	leader := l.leader
	now := l.Elapsed.Elapsed()
	search := leader == nil || (l.doubted && now-l.foundAt > findInterval)
	if search {
		l.foundAt = now
		l.doubted = false
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

func (l *Locator) find(ctx context.Context) (*wire.Leadership, error) {
	leader, err := l.findInLog(ctx)
	if err == nil {
		l.noteLog(nil)
		return leader, nil
	}
	l.noteLog(err)
	return l.findAtEntries(ctx), err
}

// noteLog tells when the log is lost and regained.
func (l *Locator) noteLog(err error) {
	l.mu.Lock()
	changed := l.logLost != (err != nil)
	l.logLost = err != nil
	l.mu.Unlock()
	switch {
	case changed && err != nil:
		log.Warn().Err(err).Msg("log lost: asking entry processes for the leader")
	case changed:
		log.Info().Msg("log regained")
	}
}

func (l *Locator) findInLog(ctx context.Context) (*wire.Leadership, error) {
	limited, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	page, err := l.Log.Newest(limited, elector.Topic, "")
	if err != nil {
		return nil, err
	}
	l.loadEntries(limited)
	if len(page.GetRecords()) == 0 {
		return nil, nil
	}
	leader := &wire.Leadership{}
	if err := proto.Unmarshal(page.GetRecords()[0].GetValue(), leader); err != nil {
		return nil, err
	}
	return leader, nil
}

// loadEntries remembers the entry processes for times without the log.
func (l *Locator) loadEntries(ctx context.Context) {
	page, err := l.Log.Newest(ctx, EntriesTopic, "")
	if err != nil {
		log.Info().Err(err).Msg("the log does not tell the entry processes")
		return
	}
	var addresses []string
	for _, presence := range Presences(page.GetRecords()) {
		addresses = append(addresses, presence.GetAddress())
	}
	l.mu.Lock()
	l.entries = addresses
	l.mu.Unlock()
}

// findAtEntries returns the newest leader that any entry process knows.
func (l *Locator) findAtEntries(ctx context.Context) *wire.Leadership {
	l.mu.Lock()
	entries := l.entries
	l.mu.Unlock()
	var newest *wire.Leadership
	for _, address := range entries {
		limited, cancel := context.WithTimeout(ctx, findTimeout/2)
		response, err := l.client(address).FindLeader(limited, connect.NewRequest(&wire.FindLeaderRequest{}))
		cancel()
		if err != nil {
			log.Debug().Str("entry", address).Err(err).Msg("entry process does not tell the leader")
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
