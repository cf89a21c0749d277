package measurer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/wire"
)

const (
	endpointsAtTarget = 7_400
	picksPerRun       = 200_000
	// keysAtTarget is the number of keys that one agent receives in ten minutes
	// at 30 requests with a key per second.
	keysAtTarget = 18_000
)

// measureRequests measures the time to pick an endpoint, the time and memory to
// store idempotency keys, and the memory of idle connections.
func (m *Measurer) measureRequests(ctx context.Context) error {
	for _, endpoints := range m.sizes(endpointsAtTarget/4, endpointsAtTarget/2, endpointsAtTarget) {
		m.measurePicksAt(endpoints)
	}
	for _, keys := range m.sizes(5_000, 10_000, 20_000) {
		if err := m.measureKeysAt(ctx, keys); err != nil {
			return err
		}
	}
	for _, connections := range m.sizes(100, 200, 400) {
		if err := m.measureConnectionsAt(ctx, connections); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measurePicksAt(endpoints int) {
	r := &router.Router{
		Clock: m.clock,
		Zone:  "zone-0",
		Seed:  1,
	}
	var list []damaskspread.Endpoint
	for i := range endpoints {
		list = append(list, damaskspread.Endpoint{
			Host:    hostName(i),
			Address: fmt.Sprintf("10.%d.%d.%d:7410", i>>16, i>>8&255, i&255),
			Zone:    fmt.Sprintf("zone-%d", i%zones),
			Slots:   8,
		})
	}
	r.SetEndpoints("service", list)
	var runs []float64
	for range m.Runs {
		runs = append(runs, 1e6/picksPerRun*elapsedMs(func() {
			for range picksPerRun {
				pick, _ := r.Pick("service", "")
				r.Done(pick, damaskspread.PickResult{
					Latency: time.Millisecond,
				})
			}
		}))
	}
	m.addPoint(Series{
		Role:     "entry",
		Quantity: "choice of an endpoint",
		Unit:     "ns",
		Axis:     "endpoints",
		Target:   endpointsAtTarget,
	}, endpoints, runs)
}

// stubAgent implements what a deduplicator calls: every call succeeds at once, as
// if the secondary accepted everything.
type stubAgent struct{}

// Age implements damaskspread.Currency.
func (stubAgent) Age() time.Duration { return 0 }

// AppendRecords implements damaskspread.Appender.
func (stubAgent) AppendRecords(context.Context, []*wire.Record) (int64, error) { return 0, nil }

// Replicate implements deduplicator.Peers.
func (stubAgent) Replicate(context.Context, string, *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	return &wire.ReplicateResponse{
		Accepted: true,
	}, nil
}

func (m *Measurer) measureKeysAt(ctx context.Context, keys int) error {
	var memory, times []float64
	for range m.Runs {
		before := memoryInUse()
		var d *deduplicator.Deduplicator
		var err error
		elapsed := elapsedMs(func() { d, err = m.fillKeys(ctx, keys) })
		if err != nil {
			return err
		}
		memory = append(memory, (memoryInUse()-before)/mebibyte)
		times = append(times, elapsed)
		runtime.KeepAlive(d)
	}
	series := Series{
		Role:     "agent",
		Quantity: "memory of keys with results of 1 KiB",
		Unit:     "MiB",
		Axis:     "keys",
		Target:   keysAtTarget,
	}
	m.addPoint(series, keys, memory)
	series.Quantity, series.Unit = "time to admit and store keys", "ms"
	m.addPoint(series, keys, times)
	return nil
}

func (m *Measurer) fillKeys(ctx context.Context, keys int) (*deduplicator.Deduplicator, error) {
	d := &deduplicator.Deduplicator{
		Clock:       m.clock,
		Currency:    stubAgent{},
		Peers:       stubAgent{},
		Appender:    stubAgent{},
		KeyLifetime: time.Hour,
	}
	self := &wire.HostRef{
		Host:        "host-1",
		Incarnation: "1",
	}
	epoch := &wire.Position{
		Offset: 1,
	}
	d.Assign(self, []deduplicator.Assignment{{
		State: &wire.ShardState{
			Service: "service",
			Primary: self,
			Epoch:   epoch,
			Founded: true,
		},
		PrimaryAddress: "10.0.0.1:7410",
	}})
	w := newWorkload()
	for range keys {
		ticket, _, refusal := d.Begin(ctx, deduplicator.Request{
			Service:  "service",
			Epoch:    epoch,
			Key:      w.id(),
			BodyHash: make([]byte, 32),
		})
		if refusal != nil {
			return nil, refusal
		}
		if refusal := ticket.Commit(ctx); refusal != nil {
			return nil, refusal
		}
		ticket.Finish(&wire.ExecuteResponse{
			Outcome: wire.Outcome_OUTCOME_RAN,
			Status:  http.StatusOK,
			Body:    make([]byte, 1024),
		})
	}
	return d, nil
}

// measureConnectionsAt measures the memory of idle connections, both ends included.
func (m *Measurer) measureConnectionsAt(ctx context.Context, connections int) error {
	var runs []float64
	for range m.Runs {
		used, err := openConnections(ctx, connections)
		if err != nil {
			return err
		}
		runs = append(runs, used/mebibyte)
	}
	m.addPoint(Series{
		Role:     "entry",
		Quantity: "memory of idle connections, both ends",
		Unit:     "MiB",
		Axis:     "connections",
		Target:   endpointsAtTarget / 3,
	}, connections, runs)
	return nil
}

// openConnections makes count requests at the same time, so that each needs its own
// connection, and returns the bytes that the connections use once they are idle.
func openConnections(ctx context.Context, count int) (float64, error) {
	g := newGroup()
	arrived := make(chan struct{}, count)
	release := make(chan struct{})
	address, err := serveHTTP(g, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	if err != nil {
		return 0, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: count,
	}
	defer transport.CloseIdleConnections()
	before := memoryInUse()
	failed := make(chan error, count)
	for range count {
		go func() { failed <- get(ctx, transport, "http://"+address) }()
	}
	for range count {
		<-arrived
	}
	close(release)
	for range count {
		if err := <-failed; err != nil {
			return 0, err
		}
	}
	return memoryInUse() - before, g.stop()
}

func get(ctx context.Context, transport *http.Transport, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}
