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

// devSections are the configuration sections that Dev publishes, grouped by the
// team that owns them.
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
	// Out receives example commands once the entry responds.
	Out io.Writer
}

// Run runs all daemons until the context ends. It returns an error if an address
// is in use, a daemon fails or the entry does not accept the configuration.
func (d *Dev) Run(ctx context.Context) error {
	setLogger(d.Settings)
	emulator := &Emulator{
		Settings: d.Settings,
		Clock:    d.Clock,
	}
	if err := emulator.bind(); err != nil {
		return err
	}
	// The emulator stops last, because the other daemons write to its log while
	// they shut down.
	emulatorTomb := &tomb.Tomb{}
	emulator.start(emulatorTomb)
	defer func() {
		emulatorTomb.Kill(nil)
		_ = emulatorTomb.Wait()
	}()
	return d.runDaemons(ctx, emulator)
}

func (d *Dev) runDaemons(ctx context.Context, emulator *Emulator) error {
	t, ctx := tomb.WithContext(ctx)
	entry, err := d.processSettings("entry", "dev-entry", d.Settings.Process().Zone(), d.Settings.Process().MonitorListen(), "")
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
	for i := range emulator.endpoints {
		if err := d.startAgent(ctx, t, emulator, i); err != nil {
			return err
		}
	}
	t.Go(func() error { return d.publish(ctx) })
	return oops.In("dev").Wrap(ignoreCanceled(t.Wait()))
}

// ignoreCanceled returns nil for the error of a canceled context.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// processSettings returns the settings of one embedded daemon, derived from the
// settings of the Dev process.
func (d *Dev) processSettings(role, id, zone, monitorListen, extraSections string) (*validator.Settings, error) {
	s := d.Settings
	config := fmt.Sprintf(`[process]
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
%s`, id, role, s.Process().Region(), zone, monitorListen, s.Emulator().Listen(),
		s.Entry().Listen(), s.Entry().PeerListen(), extraSections)
	settings, diagnostics := validator.LoadSettings(id, config)
	if len(diagnostics) > 0 {
		return nil, &validator.InvalidError{
			Diagnostics: diagnostics,
		}
	}
	return settings, nil
}

func (d *Dev) startAgent(ctx context.Context, t *tomb.Tomb, emulator *Emulator, i int) error {
	host := emulatedHost(i)
	zone := []string{"a", "b"}[i%2]
	// The emulator uses the first ports: two for itself, one for each worker and
	// one for each endpoint. Each agent uses the next two.
	agentPortOffset := 2 + 2*len(emulator.endpoints)
	extraSections := fmt.Sprintf(`[agent]
entries = %s
listen = %s
[endpoint]
service = tags
address = %s
[worker]
address = %s
`, d.Settings.Entry().PeerListen(), portAfter(d.Settings.Emulator().Listen(), agentPortOffset+2*i),
		strings.TrimPrefix(emulator.endpoints[i].URL(), "http://"),
		strings.TrimPrefix(emulator.platform.WorkerURL(host), "http://"))
	monitorListen := portAfter(d.Settings.Emulator().Listen(), agentPortOffset+2*i+1)
	settings, err := d.processSettings("agent", host, zone, monitorListen, extraSections)
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

// publish publishes devSections, trying until the entry accepts them, and then
// prints example commands.
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

Send a latency-critical request:
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

// publishSections can be called again after a failure: a section that already
// exists stays unchanged.
func publishSections(ctx context.Context, entry string) error {
	for _, sections := range devSections {
		c := &client.Client{
			Entries: []string{entry},
			Team:    sections.team,
		}
		_, err := c.Publish(ctx, &client.PublishRequest{
			Team: sections.team,
			Text: sections.text,
		})
		if err != nil {
			return err
		}
	}
	return nil
}
