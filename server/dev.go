package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/validator"
)

// devSections is the configuration that dev publishes, by the team that owns
// the sections.
var devSections = []struct {
	team string
	text string
}{
	{team: "counter", text: "[service tags]\nowner = counter\nclasses = counter, closure, ledger\n"},
	{team: "operations", text: "[zone a]\nowner = operations\n\n[zone b]\nowner = operations\n"},
	{team: "board", text: "[kind ledger]\nowner = board\nclass = batch\nprocessors = 2\nmemory = 1GiB\nmay_wait = 1h\n"},
}

const (
	devPublishRetry = 200 * time.Millisecond
	devPublishTries = 50
)

// Dev runs the whole system in one process: the emulated platform, one entry,
// and an agent beside each emulated worker.
type Dev struct {
	Settings *validator.Settings
	Clock    damaskspread.Clock
	Version  string
	// Out receives the instructions.
	Out io.Writer
}

// Run serves until the context ends.
func (d *Dev) Run(ctx context.Context) error {
	setLogger(d.Settings)
	platform := &Emulator{
		Settings: d.Settings,
		Clock:    d.Clock,
	}
	if err := platform.bind(); err != nil {
		return err
	}
	// The platform outlives the other parts, whose planned stop writes to its
	// log.
	world := &tomb.Tomb{}
	platform.start(world)
	defer func() {
		world.Kill(nil)
		_ = world.Wait()
	}()
	return d.runParts(ctx, platform)
}

func (d *Dev) runParts(ctx context.Context, platform *Emulator) error {
	t, ctx := tomb.WithContext(ctx)
	entry, err := d.part("entry", "dev-entry", d.Settings.Process().Zone(), d.Settings.Process().MonitorListen(), "")
	if err != nil {
		return err
	}
	t.Go(func() error {
		e := &Entry{
			Settings: entry,
			Clock:    d.Clock,
			Version:  d.Version,
			embedded: true,
		}
		return e.Run(ctx)
	})
	for i := range platform.endpoints {
		if err := d.startAgent(ctx, t, platform, i); err != nil {
			return err
		}
	}
	t.Go(func() error { return d.publish(ctx) })
	return oops.In("dev").Wrap(ignoreCanceled(t.Wait()))
}

// ignoreCanceled drops the error of a run that was asked to stop.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// part derives the settings of one process of the whole.
func (d *Dev) part(role, id, zone, monitor, more string) (*validator.Settings, error) {
	s := d.Settings
	text := fmt.Sprintf(`[process]
id = %s
role = %s
region = %s
zone = %s
monitor_listen = %s
[log]
address = %s
[entry]
listen = %s
peer_listen = %s
%s`, id, role, s.Process().Region(), zone, monitor, s.Emulator().Listen(),
		s.Entry().Listen(), s.Entry().PeerListen(), more)
	settings, diagnostics := validator.LoadSettings(id, text)
	if len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	return settings, nil
}

func (d *Dev) startAgent(ctx context.Context, t *tomb.Tomb, platform *Emulator, i int) error {
	host := emulatedHost(i)
	zone := []string{"a", "b"}[i%2]
	// Agents listen behind the emulator's ports; see Emulator.
	base := 2 + 2*len(platform.endpoints)
	more := fmt.Sprintf(`[agent]
entries = %s
listen = %s
[endpoint]
service = tags
address = %s
[worker]
address = %s
`, d.Settings.Entry().PeerListen(), portAfter(d.Settings.Emulator().Listen(), base+2*i),
		strings.TrimPrefix(platform.endpoints[i].URL(), "http://"),
		strings.TrimPrefix(platform.platform.WorkerURL(host), "http://"))
	monitor := portAfter(d.Settings.Emulator().Listen(), base+2*i+1)
	settings, err := d.part("agent", host, zone, monitor, more)
	if err != nil {
		return err
	}
	t.Go(func() error {
		a := &Agent{
			Settings: settings,
			Clock:    d.Clock,
			embedded: true,
		}
		return a.Run(ctx)
	})
	return nil
}

// publish waits for the entry and prints what can be tried.
func (d *Dev) publish(ctx context.Context) error {
	var err error
	for range devPublishTries {
		if err = publishSections(ctx, d.Settings.Entry().Listen()); err == nil {
			break
		}
		select {
		case <-d.Clock.After(devPublishRetry):
		case <-ctx.Done():
			return nil
		}
	}
	if err != nil {
		return err
	}
	url := "http://" + d.Settings.Entry().Listen()
	_, err = fmt.Fprintf(d.Out, `damaskspread runs on %[1]s with %[2]d emulated hosts.

Send an urgent request:
  curl -i -X POST -H 'Idempotency-Key: coat-1' -d 'coat 1' %[1]s/v1/services/tags/requests/issue
Submit a batch task and watch it:
  damaskspread task submit --team board --kind ledger --param run_ms=3000
  damaskspread task list
Take an availability zone out of service and bring it back:
  damaskspread zone out a --team operations
  damaskspread zone in a --team operations

Stop with Ctrl-C.
`, url, d.Settings.Emulator().Workers())
	return err
}

// publishSections is repeatable: a section that already exists is left alone.
func publishSections(ctx context.Context, entry string) error {
	for _, part := range devSections {
		c := &client.Client{
			Entries: []string{entry},
			Team:    part.team,
		}
		_, err := c.Publish(ctx, &client.PublishRequest{
			Team: part.team,
			Text: part.text,
		})
		if err != nil {
			return err
		}
	}
	return nil
}
