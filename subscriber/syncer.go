package subscriber

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

// client returns the client of an entry process by its index.
func (s *Subscriber) client(index int) wireconnect.EntryServiceClient {
	address := s.Entries[index%len(s.Entries)]
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return wireconnect.NewEntryServiceClient(s.HTTP, address)
}

func (s *Subscriber) request(load *wire.EndpointLoad, usage []*wire.UsageSample) (*wire.SyncRequest, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &wire.SyncRequest{
		Host:          s.ref(),
		AppliedOffset: s.view.offset,
		WaitMs:        s.SyncWait.Milliseconds(),
		Load:          load,
		Usage:         usage,
	}
	if !s.introduced && !s.leaving {
		request.Spec = s.spec
		request.Replaces = s.replaces
	}
	return request, s.entry
}

func (s *Subscriber) syncOnce(ctx context.Context) error {
	if len(s.Entries) == 0 {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "no entry addresses are set")
	}
	var load *wire.EndpointLoad
	var usage []*wire.UsageSample
	if s.Load != nil {
		load = s.Load()
	}
	if s.Usage != nil {
		usage = s.Usage()
	}
	request, entry := s.request(load, usage)
	ctx, cancel := context.WithTimeout(ctx, s.SyncWait+s.CallTimeout)
	defer cancel()
	s.mu.Lock()
	s.interrupt = cancel
	s.mu.Unlock()
	sent := s.Clock.Now()
	response, err := s.client(entry).Sync(ctx, connect.NewRequest(request))
	if err != nil {
		s.move(entry, request)
		return err
	}
	s.accept(sent, entry, request, response.Msg)
	return nil
}

// move goes to the next entry process, where the agent introduces itself. A
// call that SetWorker interrupted says nothing about the entry process.
func (s *Subscriber) move(from int, request *wire.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry == from && request.GetHost().GetIncarnation() == s.spec.GetIncarnation() {
		s.entry = (s.entry + 1) % len(s.Entries)
		s.introduced = false
	}
}

func (s *Subscriber) accept(sent time.Time, entry int, request *wire.SyncRequest, response *wire.SyncResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The incarnation changed during the call: the response is of the old one.
	if request.GetHost().GetIncarnation() != s.spec.GetIncarnation() {
		return
	}
	s.introduced = true
	if response.GetRejoin() {
		log.Info().Str("host", s.spec.GetHost()).Int64("replaces", response.GetJoined().GetOffset()).Msg("the host is not a member and joins")
		s.delayRejoin()
		s.rejoin(response.GetJoined())
		return
	}
	// An entry process that is behind must not take the view back.
	if response.GetOffset() < s.view.offset {
		return
	}
	age := damaskspread.AgeFromMicros(response.GetAgeUs())
	if age < damaskspread.MaxAge {
		if asOf := sent.Add(heldFor(response) - age); !s.proven || asOf.After(s.currentAsOf) {
			s.currentAsOf = asOf
		}
		s.proven = true
	}
	if !s.view.joined {
		s.joinedAt = s.Clock.Now()
	}
	if next, differs := s.view.apply(response); differs {
		s.replaceView(next)
	} else {
		s.view = next
	}
	s.moveFromStale(entry, age)
}

// heldFor is how long after it was sent a call was certainly still unanswered.
// The entry process took its age no earlier than that. A tenth is left out for
// clocks that run at different rates.
func heldFor(response *wire.SyncResponse) time.Duration {
	held := time.Duration(max(response.GetHeldUs(), 0)) * time.Microsecond
	return held - held/10
}

// delayRejoin lets each rejoin after a short membership wait longer. The first
// join is not preceded by a membership and doesn't wait.
func (s *Subscriber) delayRejoin() {
	switch {
	case !s.view.joined:
		s.rejoinDelay = 0
	case s.Clock.Since(s.joinedAt) > stableAfter:
		s.rejoinDelay, s.rejoins = 0, 0
	default:
		s.rejoins = min(s.rejoins+1, maxRejoins)
		s.rejoinDelay = retryMin << s.rejoins
	}
}

func (s *Subscriber) awaitRejoin(ctx context.Context) {
	s.mu.Lock()
	delay := s.rejoinDelay
	s.rejoinDelay = 0
	s.mu.Unlock()
	if delay > 0 {
		s.pause(ctx, delay)
	}
}

func (s *Subscriber) moveFromStale(entry int, age time.Duration) {
	now := s.Clock.Now()
	if age <= s.StaleAfter || len(s.Entries) < 2 || now.Sub(s.movedStale) < staleMoveEvery {
		return
	}
	s.movedStale = now
	s.entry = (entry + 1) % len(s.Entries)
	s.introduced = false
}
