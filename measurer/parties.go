package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// syncWait is the default of the setting sync_wait.
	syncWait = 1250 * time.Millisecond
	// readWait is the default of the setting read_wait.
	readWait = 500 * time.Millisecond
	loopback = "127.0.0.1:0"
)

// traffic counts bytes received and sent on connections, HTTP headers included.
type traffic struct {
	in  atomic.Int64
	out atomic.Int64
}

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

// client returns an HTTP client whose connections are counted.
func (t *traffic) client() *http.Client {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{
					Conn:    conn,
					traffic: t,
				}, nil
			},
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		},
	}
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// startLog starts the emulated log and the emulated workers in the group.
func (m *Measurer) startLog(g *group, workers ...emulator.Worker) (*emulator.Platform, error) {
	platform := &emulator.Platform{
		Clock:          m.clock,
		LogAddress:     loopback,
		ControlAddress: loopback,
		Workers:        workers,
	}
	if err := platform.Listen(); err != nil {
		return nil, err
	}
	g.run(platform.Run)
	return platform, nil
}

// preloadRecords appends batches to the state stream of the log.
func preloadRecords(ctx context.Context, url string, batches []*wire.RecordBatch) error {
	client := &connector.Log{
		Address: url,
	}
	for _, batch := range batches {
		data, err := proto.Marshal(batch)
		if err != nil {
			return err
		}
		if _, err := client.Append(ctx, "state."+region, data); err != nil {
			return err
		}
	}
	return nil
}

// countingLog counts appends and the bytes of their data.
type countingLog struct {
	connector.Log
	appends atomic.Int64
	bytes   atomic.Int64
	largest atomic.Int64
}

// Append implements damaskspread.LogClient.
func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.appends.Add(1)
	l.bytes.Add(int64(len(data)))
	for {
		largest := l.largest.Load()
		if int64(len(data)) <= largest || l.largest.CompareAndSwap(largest, int64(len(data))) {
			break
		}
	}
	return l.Log.Append(ctx, stream, data)
}

// entry runs those parts of an entry process in this process that call the log and
// serve agents.
type entry struct {
	log      *countingLog
	traffic  *traffic
	follower *follower.Follower
	recorder *recorder.Recorder
	feeder   *feeder.Feeder
	address  string
}

// startEntry returns after the first replay of the log.
func (m *Measurer) startEntry(ctx context.Context, g *group, url, name string) (*entry, error) {
	e := &entry{
		traffic: &traffic{},
	}
	e.log = &countingLog{
		Log: connector.Log{
			Address: url,
			HTTP:    e.traffic.client(),
		},
	}
	e.follower = &follower.Follower{
		Log:      e.log,
		Clock:    m.clock,
		Region:   region,
		ReadWait: readWait,
	}
	e.recorder = &recorder.Recorder{
		Log:      e.log,
		Clock:    m.clock,
		Region:   region,
		Follower: e.follower,
	}
	e.feeder = &feeder.Feeder{
		Follower: e.follower,
		Recorder: e.recorder,
		Clock:    m.clock,
		Entry: &wire.EntryAlive{
			Entry:  name,
			Region: region,
			Zone:   "zone-0",
		},
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewEntryServiceHandler(e.feeder, connector.CompressLargeResponses()))
	if err := e.serve(g, mux); err != nil {
		return nil, err
	}
	g.run(e.follower.Run)
	g.run(e.recorder.Run)
	g.run(e.feeder.Run)
	return e, waitUntil(ctx, "first replay of "+name, e.follower.Ready)
}

func (e *entry) serve(g *group, handler http.Handler) error {
	address, err := serveHTTP(g, handler)
	e.address = address
	return err
}

// startEntries starts count entries on one log, one after another.
func (m *Measurer) startEntries(ctx context.Context, g *group, url string, count int) ([]*entry, error) {
	var entries []*entry
	for i := range count {
		e, err := m.startEntry(ctx, g, url, fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// agents are emulated agents: each is a subscriber without a worker and endpoint.
type agents struct {
	subscribers []*subscriber.Subscriber
	group       *group
}

// startAgents starts count agents at even intervals over a time and waits until
// all have joined. Each agent gets one address only, in turn, so that each entry
// gets the same number of agents.
func (m *Measurer) startAgents(ctx context.Context, counted *traffic, first, count int, over time.Duration, addresses []string) (*agents, error) {
	a := &agents{
		group: newGroup(),
	}
	client := counted.client()
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = count
	w := newWorkload()
	for i := range count {
		s := &subscriber.Subscriber{
			Spec:     w.hostSpec(first + i),
			Entries:  []string{addresses[i%len(addresses)]},
			HTTP:     client,
			Clock:    m.clock,
			SyncWait: syncWait,
			Load: func() *wire.EndpointLoad {
				return &wire.EndpointLoad{
					Running:       3,
					Limit:         8,
					ServiceTimeUs: 1500,
				}
			},
		}
		a.subscribers = append(a.subscribers, s)
		a.group.run(s.Run)
		time.Sleep(over / time.Duration(count))
	}
	err := waitUntil(ctx, fmt.Sprintf("joins of %d agents", count), a.allJoined)
	if err != nil {
		_ = a.stop()
	}
	return a, err
}

func (a *agents) allJoined() bool {
	for _, s := range a.subscribers {
		if !s.View().Joined() {
			return false
		}
	}
	return true
}

func (a *agents) stop() error { return a.group.stop() }

// serveHTTP serves a handler on a loopback address while the group runs.
func serveHTTP(g *group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
	}
	g.tomb.Go(func() error {
		go func() {
			<-g.tomb.Dying()
			_ = server.Close()
		}()
		_ = server.Serve(listener)
		return nil
	})
	return listener.Addr().String(), nil
}
