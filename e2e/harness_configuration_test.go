package e2e_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
)

// publishVia publishes one section through one entry, without retries. With a
// nil base position the section must not exist yet.
func publishVia(e *entry, team, section, text string, basePosition *client.Position) (client.SectionResult, error) {
	operator := &client.Client{
		Entries:  []string{hostPort(e.url)},
		Team:     team,
		Actor:    e.name,
		MaxTries: 1,
	}
	request := &client.PublishRequest{
		Team: team,
		Text: "[" + section + "]\n" + text,
		Base: map[string]client.Base{},
	}
	if basePosition != nil {
		request.Base[section] = client.Base{Position: *basePosition}
	}
	response, err := operator.Publish(context.Background(), request)
	if response == nil || len(response.Results) != 1 {
		return client.SectionResult{}, err
	}
	return response.Results[0], err
}

// sectionAt reads a section from one entry. It returns false if the entry is not
// current or lacks the section.
func sectionAt(e *entry, name string) (client.Section, bool) {
	section, current := currentSection(e, name)
	return section, current && section.Section != ""
}

// currentSection reads a section from one entry. It returns false if the entry
// is not current, and an empty section if the entry lacks it.
func currentSection(e *entry, name string) (client.Section, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	entryClient := &client.Client{
		Entries:  []string{hostPort(e.url)},
		MaxTries: 1,
	}
	config, err := entryClient.Config(ctx)
	if err != nil || config.AgeMs > currencyLimit.Milliseconds() {
		return client.Section{}, false
	}
	for _, section := range config.Sections {
		if section.Section == name {
			return section, true
		}
	}
	return client.Section{}, true
}

// publishedVersion returns the version number of a section, which the test
// publishes as the team's share.
func publishedVersion(section client.Section) int {
	_, text, _ := strings.Cut(section.Text, "share = ")
	n := 0
	_, _ = fmt.Sscan(text, &n)
	return n
}

// observation is what a process did or showed at a time: the version at an
// entry, or 1 or 0 for an agent that ran or refused a request.
type observation struct {
	at    time.Time
	value int
}

// zoneChange is a publication that takes zone b out of service or into service,
// with the times at which it was sent and accepted.
type zoneChange struct {
	sent, accepted time.Time
	inService      bool
}

// observer records, during the whole test and all restarts, the version that
// each entry shows and whether each agent of zone b runs a request.
type observer struct {
	mu          sync.Mutex
	entries     map[string][]observation
	agents      map[string][]observation
	zoneChanges []zoneChange
	stop        func()
}

func (c *cluster) observe() *observer {
	o := &observer{
		entries: map[string][]observation{},
		agents:  map[string][]observation{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	o.stop = func() {
		cancel()
		group.Wait()
	}
	c.t.Cleanup(o.stop)
	sampleInto := func(samples map[string][]observation, name string, sample func() (int, bool)) {
		group.Go(func() {
			for ctx.Err() == nil {
				at := time.Now()
				if value, ok := sample(); ok {
					o.mu.Lock()
					samples[name] = append(samples[name], observation{
						at:    at,
						value: value,
					})
					o.mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for _, e := range c.entries {
		sampleInto(o.entries, e.name, func() (int, bool) {
			section, ok := currentSection(e, "team counter")
			return publishedVersion(section), ok
		})
	}
	for _, h := range c.hostsInZone("b") {
		sampleInto(o.agents, h.id, func() (int, bool) {
			switch h.probe(c.t) {
			case client.OutcomeRan:
				return 1, true
			case string(damaskspread.ReasonZoneOut):
				return 0, true
			default:
				return 0, false
			}
		})
	}
	return o
}

// assertNeverReverted ends the observation. It fails on an older version after a
// newer one, and on an older one that is in force after the bound.
func (o *observer) assertNeverReverted(t *testing.T) {
	t.Helper()
	o.stop()
	for name, observations := range o.entries {
		for i := 1; i < len(observations); i++ {
			if observations[i].value < observations[i-1].value {
				t.Errorf("%s reverted from version %d to %d", name, observations[i-1].value, observations[i].value)
			}
		}
	}
	for name, observations := range o.agents {
		assert.Assert(t, len(observations) > 0, "no observation of agent %s", name)
		for i, change := range o.zoneChanges {
			until := time.Now()
			if i+1 < len(o.zoneChanges) {
				until = o.zoneChanges[i+1].sent
			}
			o.assertZoneChange(t, name, observations, change, until)
		}
	}
}

func (o *observer) assertZoneChange(t *testing.T, name string, observations []observation, change zoneChange, until time.Time) {
	t.Helper()
	applied := false
	for _, observed := range observations {
		if observed.at.Before(change.accepted) || !observed.at.Before(until) {
			continue
		}
		if inService := observed.value == 1; inService == change.inService {
			applied = true
		} else if applied || observed.at.After(change.accepted.Add(inForceBound)) {
			t.Errorf("%s acted at %s against in_service=%t, accepted at %s",
				name, observed.at.Format("05.000"), change.inService, change.accepted.Format("05.000"))
		}
	}
}
