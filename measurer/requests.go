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
	picks             = 200_000
	// keysAtTarget is ten minutes of 30 keyed requests a second at one agent.
	keysAtTarget = 18_000
)

// measureRequests measures a choice over the endpoints, the memory of a key
// and that of an open connection.
func (m *Measurer) measureRequests(ctx context.Context) error {
	for _, endpoints := range m.sizes(endpointsAtTarget/4, endpointsAtTarget/2, endpointsAtTarget) {
		m.choiceOver(endpoints)
	}
	for _, keys := range m.sizes(5_000, 10_000, 20_000) {
		if err := m.keysOf(ctx, keys); err != nil {
			return err
		}
	}
	for _, connections := range m.sizes(100, 200, 400) {
		if err := m.connectionsOf(ctx, connections); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) choiceOver(endpoints int) {
	r := &router.Router{
		Clock: m.clock,
		Zone:  "zone-0",
		Seed:  1,
	}
	var list []damaskspread.Endpoint
	for i := range endpoints {
		list = append(list, damaskspread.Endpoint{
			Host:    hostID(i),
			Address: fmt.Sprintf("10.%d.%d.%d:7410", i>>16, i>>8&255, i&255),
			Zone:    fmt.Sprintf("zone-%d", i%zones),
			Slots:   8,
		})
	}
	r.SetEndpoints("service", list)
	var runs []float64
	for range m.Runs {
		runs = append(runs, 1e6/picks*elapsed(func() {
			for range picks {
				pick, _ := r.Pick("service", "")
				r.Done(pick, damaskspread.PickResult{
					Latency: time.Millisecond,
				})
			}
		}))
	}
	m.observe(Series{
		Role:     "entry",
		Quantity: "choice of an endpoint",
		Unit:     "ns",
		Axis:     "endpoints",
		Target:   endpointsAtTarget,
	}, endpoints, runs)
}

// aloneAgent is a primary whose secondary accepts everything.
type aloneAgent struct{}

// Age implements damaskspread.Currency.
func (aloneAgent) Age() time.Duration { return 0 }

// AppendRecords implements damaskspread.Appender.
func (aloneAgent) AppendRecords(context.Context, []*wire.Record) (int64, error) { return 0, nil }

// Replicate implements deduplicator.Peers.
func (aloneAgent) Replicate(context.Context, string, *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	return &wire.ReplicateResponse{
		Accepted: true,
	}, nil
}

func (m *Measurer) keysOf(ctx context.Context, keys int) error {
	var memory, times []float64
	for range m.Runs {
		before := heapBytes()
		var d *deduplicator.Deduplicator
		var err error
		took := elapsed(func() { d, err = m.fillKeys(ctx, keys) })
		if err != nil {
			return err
		}
		memory = append(memory, (heapBytes()-before)/mebibyte)
		times = append(times, took)
		runtime.KeepAlive(d)
	}
	series := Series{
		Role:     "agent",
		Quantity: "memory of keys with results of 1 KiB",
		Unit:     "MiB",
		Axis:     "keys",
		Target:   keysAtTarget,
	}
	m.observe(series, keys, memory)
	series.Quantity, series.Unit = "time to admit and store keys", "ms"
	m.observe(series, keys, times)
	return nil
}

func (m *Measurer) fillKeys(ctx context.Context, keys int) (*deduplicator.Deduplicator, error) {
	d := &deduplicator.Deduplicator{
		Clock:       m.clock,
		Currency:    aloneAgent{},
		Peers:       aloneAgent{},
		Appender:    aloneAgent{},
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
		ticket, _, refusal := d.Begin(ctx, deduplicator.Call{
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

// connectionsOf measures the memory of idle connections with both ends.
func (m *Measurer) connectionsOf(ctx context.Context, connections int) error {
	var runs []float64
	for range m.Runs {
		used, err := openConnections(ctx, connections)
		if err != nil {
			return err
		}
		runs = append(runs, used/mebibyte)
	}
	m.observe(Series{
		Role:     "entry",
		Quantity: "memory of idle connections, both ends",
		Unit:     "MiB",
		Axis:     "connections",
		Target:   endpointsAtTarget / 3,
	}, connections, runs)
	return nil
}

// openConnections makes that many requests at once, so that each needs a
// connection of its own, and returns the memory that they keep afterwards.
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
	before := heapBytes()
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
	return heapBytes() - before, g.stop()
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
