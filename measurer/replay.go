package measurer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/follower"
)

// measureReplay measures how long a follower takes to become current from a
// snapshot in the log, as an entry process does after a restart.
func (m *Measurer) measureReplay(ctx context.Context) error {
	for _, tasks := range m.sizes(tasksAtTarget/4, tasksAtTarget/2, tasksAtTarget) {
		if err := m.measureReplayAt(ctx, tasks); err != nil {
			return err
		}
	}
	return nil
}

func (m *Measurer) measureReplayAt(ctx context.Context, tasks int) error {
	g := newGroup()
	var times, bytes []float64
	err := func() error {
		platform, err := m.startLog(g)
		if err != nil {
			return err
		}
		if err := preloadSnapshot(ctx, platform.LogURL(), workersAtTarget/m.Divisor, tasks); err != nil {
			return err
		}
		for range m.Runs {
			counted := &traffic{}
			elapsed, err := m.startFollower(ctx, platform.LogURL(), counted.client())
			if err != nil {
				return err
			}
			times = append(times, elapsed)
			bytes = append(bytes, float64(counted.in.Load())/mebibyte)
		}
		return nil
	}()
	if err := errors.Join(err, g.stop()); err != nil {
		return err
	}
	series := Series{
		Role:     "entry",
		Quantity: "restart until current, from the log",
		Unit:     "ms",
		Axis:     "tasks known",
		Target:   tasksAtTarget,
	}
	m.addPoint(series, tasks, times)
	series.Quantity, series.Unit = "bytes read at a restart", "MiB"
	m.addPoint(series, tasks, bytes)
	return nil
}

func preloadSnapshot(ctx context.Context, url string, hosts, tasks int) error {
	chunks, err := follower.Chunks("measured", replay(newWorkload().stateBatches(hosts, tasks, 0)).Snapshot())
	if err != nil {
		return err
	}
	log := &connector.Log{
		Address: url,
		Timeout: time.Minute,
	}
	for _, chunk := range chunks {
		data, err := proto.Marshal(chunk)
		if err != nil {
			return err
		}
		if _, err := log.Append(ctx, "snapshot."+region, data); err != nil {
			return err
		}
	}
	// Empty entries stand for the records that the snapshot covers, because the
	// log must reach the snapshot's offset.
	for range chunks[0].GetOffset() + 1 {
		if _, err := log.Append(ctx, "state."+region, nil); err != nil {
			return err
		}
	}
	return nil
}

// startFollower returns the milliseconds until a new follower is current.
func (m *Measurer) startFollower(ctx context.Context, url string, client *http.Client) (float64, error) {
	f := &follower.Follower{
		Log: &connector.Log{
			Address: url,
			HTTP:    client,
		},
		Clock:    m.clock,
		Region:   region,
		ReadWait: 10 * time.Millisecond,
	}
	g := newGroup()
	began := time.Now()
	g.run(f.Run)
	err := waitUntil(ctx, "replay", f.Ready)
	elapsed := milliseconds(time.Since(began))
	client.CloseIdleConnections()
	return elapsed, errors.Join(err, g.stop())
}
