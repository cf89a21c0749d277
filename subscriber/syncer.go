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

// client returns the client of an entry process. Indexes beyond the last address
// start again at the first.
func (s *Subscriber) client(index int) wireconnect.EntryServiceClient {
	address := s.Entries[index%len(s.Entries)]
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return wireconnect.NewEntryServiceClient(s.HTTP, address)
}

// request builds a Sync request and returns the index of the entry process.
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
	if !s.synced && !s.leaving {
		request.Spec = s.spec
		request.Replaces = s.replaces
	}
	return request, s.entryIndex
}

func (s *Subscriber) syncOnce(ctx context.Context) error {
	if len(s.Entries) == 0 {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "no addresses of entry processes are configured")
	}
	var load *wire.EndpointLoad
	var usage []*wire.UsageSample
	if s.Load != nil {
		load = s.Load()
	}
	if s.Usage != nil {
		usage = s.Usage()
	}
	request, entryIndex := s.request(load, usage)
	ctx, cancel := context.WithTimeout(ctx, s.SyncWait+s.CallTimeout)
	defer cancel()
	s.mu.Lock()
	s.cancelSync = cancel
	s.mu.Unlock()
	sent := s.Clock.Now()
	response, err := s.client(entryIndex).Sync(ctx, connect.NewRequest(request))
	if err != nil {
		s.switchEntry(entryIndex, request)
		return err
	}
	s.handleResponse(sent, entryIndex, request, response.Msg)
	return nil
}

// switchEntry selects the next entry process after a failed Sync. It does nothing
// if the incarnation changed meanwhile: SetWorker may have canceled the Sync, so
// the entry process need not have failed.
func (s *Subscriber) switchEntry(failed int, request *wire.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entryIndex == failed && request.GetHost().GetIncarnation() == s.spec.GetIncarnation() {
		s.entryIndex = (s.entryIndex + 1) % len(s.Entries)
		s.synced = false
	}
}

func (s *Subscriber) handleResponse(sent time.Time, entryIndex int, request *wire.SyncRequest, response *wire.SyncResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The incarnation changed during the call; the response is for the old one.
	if request.GetHost().GetIncarnation() != s.spec.GetIncarnation() {
		return
	}
	s.synced = true
	if response.GetRejoin() {
		log.Info().Str("host", s.spec.GetHost()).Int64("replaces", response.GetJoined().GetOffset()).Msg("host joining: incarnation is not a member")
		s.setRejoinDelay()
		s.rejoin(response.GetJoined())
		return
	}
	// An entry process that is behind must not revert the view.
	if response.GetOffset() < s.view.offset {
		return
	}
	age := damaskspread.AgeFromMicros(response.GetAgeUs())
	if age < damaskspread.MaxAge {
		if asOf := sent.Add(minHeldTime(response) - age); !s.ageKnown || asOf.After(s.currentAsOf) {
			s.currentAsOf = asOf
		}
		s.ageKnown = true
	}
	if !s.view.joined {
		s.joinedAt = s.Clock.Now()
	}
	if next, differs := s.view.apply(response); differs {
		s.replaceView(next)
	} else {
		s.view = next
	}
	s.switchFromStale(entryIndex, age)
}

// minHeldTime returns a lower bound on the time between sending a request and the
// reading of the age in the response. It is the held time less a tenth, because
// the clocks of agent and entry process may run at different rates.
func minHeldTime(response *wire.SyncResponse) time.Duration {
	held := time.Duration(max(response.GetHeldUs(), 0)) * time.Microsecond
	return held - held/10
}

// setRejoinDelay doubles the delay with each rejoin after a short membership. A
// join that follows no membership is not delayed.
func (s *Subscriber) setRejoinDelay() {
	switch {
	case !s.view.joined:
		s.rejoinDelay = 0
	case s.Clock.Since(s.joinedAt) > stableAfter:
		s.rejoinDelay, s.rejoinShift = 0, 0
	default:
		s.rejoinShift = min(s.rejoinShift+1, maxRejoinShift)
		s.rejoinDelay = retryMin << s.rejoinShift
	}
}

func (s *Subscriber) waitRejoinDelay(ctx context.Context) {
	s.mu.Lock()
	delay := s.rejoinDelay
	s.rejoinDelay = 0
	s.mu.Unlock()
	if delay > 0 {
		s.backOff(ctx, delay)
	}
}

// switchFromStale selects the next entry process if the age of the current one is
// above StaleAfter.
func (s *Subscriber) switchFromStale(entryIndex int, age time.Duration) {
	now := s.Clock.Now()
	if age <= s.StaleAfter || len(s.Entries) < 2 || now.Sub(s.lastStaleSwitch) < staleSwitchInterval {
		return
	}
	s.lastStaleSwitch = now
	s.entryIndex = (entryIndex + 1) % len(s.Entries)
	s.synced = false
}
