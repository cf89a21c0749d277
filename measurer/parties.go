package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
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

// traffic counts the bytes of the connections of a client, headers included.
type traffic struct {
	in  atomic.Int64
	out atomic.Int64
}

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

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
				return &countedConn{
					Conn:    conn,
					traffic: t,
				}, nil
			},
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		},
	}
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// startLog serves the emulated log in the group.
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

// preload appends batches to the log.
func preload(ctx context.Context, url string, batches []*wire.RecordBatch) error {
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

// countedLog counts appends and the bytes of their data.
type countedLog struct {
	connector.Log
	appends atomic.Int64
	bytes   atomic.Int64
	largest atomic.Int64
}

// Append implements damaskspread.LogClient.
func (l *countedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
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

// entry is the part of an entry process that talks to the log and to agents.
type entry struct {
	log      *countedLog
	traffic  *traffic
	follower *follower.Follower
	recorder *recorder.Recorder
	feeder   *feeder.Feeder
	address  string
}

func (m *Measurer) startEntry(ctx context.Context, g *group, url, name string) (*entry, error) {
	e := &entry{
		traffic: &traffic{},
	}
	e.log = &countedLog{
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
		Log:     e.log,
		Clock:   m.clock,
		Region:  region,
		Applied: e.follower,
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
	mux.Handle(wireconnect.NewEntryServiceHandler(e.feeder, connect.WithCompressMinBytes(1<<10)))
	if err := e.serve(g, mux); err != nil {
		return nil, err
	}
	g.run(e.follower.Run)
	g.run(e.recorder.Run)
	g.run(e.feeder.Run)
	return e, eventually(ctx, "first replay of "+name, e.follower.Ready)
}

func (e *entry) serve(g *group, handler http.Handler) error {
	address, err := serveHTTP(g, handler)
	e.address = address
	return err
}

// startEntries starts several entries on one log.
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

// agents are emulated agents: subscribers without worker and endpoint.
type agents struct {
	subscribers []*subscriber.Subscriber
	running     *group
}

// startAgents starts agents, evenly over a time, and waits until all have
// joined. Each agent knows one address, so that they spread evenly.
func (m *Measurer) startAgents(ctx context.Context, counted *traffic, first, count int, over time.Duration, addresses []string) (*agents, error) {
	a := &agents{
		running: newGroup(),
	}
	client := counted.client()
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = count
	w := newWorkload()
	for i := range count {
		s := &subscriber.Subscriber{
			Spec:     w.spec(first + i),
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
		a.running.run(s.Run)
		time.Sleep(over / time.Duration(count))
	}
	err := eventually(ctx, fmt.Sprintf("joins of %d agents", count), a.allJoined)
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

func (a *agents) stop() error { return a.running.stop() }

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
