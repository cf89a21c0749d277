package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// inForceBound is the design page's bound for a configuration change.
	inForceBound = 20 * time.Second
	// currencyLimit is the design page's age above which a process acts on
	// nothing it knows.
	currencyLimit = 3 * time.Second
)

// publishVia publishes one section through one entry, without retries. An
// empty base publishes a section that must not exist.
func publishVia(e *entry, team, section, text string, base *client.Position) (client.SectionResult, error) {
	operator := &client.Client{
		Entries:  []string{address(e.url)},
		Team:     team,
		Actor:    e.name,
		MaxTries: 1,
	}
	request := &client.PublishRequest{
		Team: team,
		Text: "[" + section + "]\n" + text,
		Base: map[string]client.Base{},
	}
	if base != nil {
		request.Base[section] = client.Base{Position: *base}
	}
	response, err := operator.Publish(context.Background(), request)
	if response == nil || len(response.Results) != 1 {
		return client.SectionResult{}, err
	}
	return response.Results[0], err
}

// sectionAt reads a section from one entry that is current and has it.
func sectionAt(e *entry, name string) (client.Section, bool) {
	section, current := currentSection(e, name)
	return section, current && section.Section != ""
}

// currentSection is empty at an entry that is current and lacks the section.
func currentSection(e *entry, name string) (client.Section, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	one := &client.Client{
		Entries:  []string{address(e.url)},
		MaxTries: 1,
	}
	config, err := one.Config(ctx)
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

// version is the number that the test publishes as a team's share.
func version(section client.Section) int {
	_, text, _ := strings.Cut(section.Text, "share = ")
	n := 0
	_, _ = fmt.Sscan(text, &n)
	return n
}

// observation is what a process did or showed at a time.
type observation struct {
	at    time.Time
	value int
}

// flip is a publication that changed whether zone b is in service: when it
// was sent and when it was accepted.
type flip struct {
	sent, accepted time.Time
	in             bool
}

// observer records, over the whole test and all restarts, the version that
// each entry holds and whether each agent of zone b runs a request.
type observer struct {
	mu      sync.Mutex
	entries map[string][]observation
	agents  map[string][]observation
	flips   []flip
	end     func()
}

func (c *cluster) observe() *observer {
	o := &observer{
		entries: map[string][]observation{},
		agents:  map[string][]observation{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	o.end = func() {
		cancel()
		group.Wait()
	}
	c.t.Cleanup(o.end)
	watch := func(target map[string][]observation, name string, look func() (int, bool)) {
		group.Go(func() {
			for ctx.Err() == nil {
				at := time.Now()
				if value, ok := look(); ok {
					o.mu.Lock()
					target[name] = append(target[name], observation{
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
		watch(o.entries, e.name, func() (int, bool) {
			section, ok := currentSection(e, "team counter")
			return version(section), ok
		})
	}
	for _, h := range c.inZone("b") {
		watch(o.agents, h.id, func() (int, bool) {
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

// assertNeverReverted guards against an older version after a newer one, and
// against one that is still in force after the bound.
func (o *observer) assertNeverReverted(t *testing.T) {
	t.Helper()
	o.end()
	for name, seen := range o.entries {
		for i := 1; i < len(seen); i++ {
			if seen[i].value < seen[i-1].value {
				t.Errorf("%s went back from version %d to %d", name, seen[i-1].value, seen[i].value)
			}
		}
	}
	for name, seen := range o.agents {
		assert.Assert(t, len(seen) > 0, "nothing was observed of %s", name)
		for i, f := range o.flips {
			until := time.Now()
			if i+1 < len(o.flips) {
				until = o.flips[i+1].sent
			}
			o.assertFlip(t, name, seen, f, until)
		}
	}
}

func (o *observer) assertFlip(t *testing.T, name string, seen []observation, f flip, until time.Time) {
	t.Helper()
	newer := false
	for _, one := range seen {
		if one.at.Before(f.accepted) || !one.at.Before(until) {
			continue
		}
		if in := one.value == 1; in == f.in {
			newer = true
		} else if newer || one.at.After(f.accepted.Add(inForceBound)) {
			t.Errorf("%s acted at %s against in_service=%t, accepted at %s",
				name, one.at.Format("05.000"), f.in, f.accepted.Format("05.000"))
		}
	}
}

// configuration publishes numbered versions and flips zone b with each.
type configuration struct {
	*cluster
	observer *observer
	version  int
}

// next publishes the next version through an entry and waits until it is in
// force in every process, within the bound.
func (c *configuration) next(what string, e *entry) {
	c.t.Helper()
	c.version++
	in := c.version%2 == 0
	sent := time.Now()
	c.publishVersion(e)
	accepted := time.Now()
	c.setZoneAt(e, "b", in)
	c.observer.flips = append(c.observer.flips, flip{
		sent:     sent,
		accepted: time.Now(),
		in:       in,
	})
	c.inForce(what, accepted)
}

// publishVersion repeats an answer that was lost: the same text is then
// unchanged, never published twice.
func (c *configuration) publishVersion(e *entry) {
	c.t.Helper()
	waitFor(c.t, inForceBound, "the publication is accepted", func() bool {
		current, ok := sectionAt(e, "team counter")
		if !ok && c.version > 1 {
			return false
		}
		var base *client.Position
		if ok {
			base = &current.Position
		}
		result, err := publishVia(e, "counter", "team counter", fmt.Sprintf("owner = counter\nshare = %d\n", c.version), base)
		if err != nil {
			c.t.Logf("version %d through %s: %s %v", c.version, e.name, result.Result, err)
		}
		return result.Result == client.ResultPublished || result.Result == client.ResultUnchanged
	})
}

func (c *configuration) inForce(what string, accepted time.Time) {
	c.t.Helper()
	in := c.version%2 == 0
	waitFor(c.t, time.Until(accepted.Add(inForceBound)), what+": the version is in force everywhere", func() bool {
		for _, e := range c.entries {
			if section, ok := sectionAt(e, "team counter"); !ok || version(section) != c.version {
				return false
			}
		}
		for _, h := range c.inZone("b") {
			want := string(damaskspread.ReasonZoneOut)
			if in {
				want = client.OutcomeRan
			}
			if h.probe(c.t) != want {
				return false
			}
		}
		return true
	})
}

func restart(processes ...*process) {
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		p.start()
	}
}

// snapshots counts the entries of the snapshot stream that the log keeps.
func (c *cluster) snapshots() int64 {
	log := wireconnect.NewLogServiceClient(http.DefaultClient, c.platform.LogURL())
	answer, err := log.ReadEntries(c.t.Context(), connect.NewRequest(&wire.ReadEntriesRequest{
		Stream: "snapshot.west",
	}))
	if err != nil {
		return 0
	}
	return answer.Msg.GetNextOffset() - answer.Msg.GetFirstOffset()
}

// TestConfigurationNeverReverts guards promise 10 through restarts with empty
// memory, a log outage, lost publish answers, expired records and starts from
// snapshots, alone and together.
func TestConfigurationNeverReverts(t *testing.T) {
	cluster := newCluster(t, options{
		entries: 3,
		hosts:   4,
		limits: map[string]string{
			"snapshot_every": "10",
		},
	})
	cluster.platform.RetainEntries = 40
	cluster.linkPeers()
	cluster.startServing()
	c := &configuration{
		cluster:  cluster,
		observer: cluster.observe(),
	}
	c.next("plain", c.entries[0])
	restart(c.entries[1].process, c.hosts[1].process)
	c.next("an entry and an agent restarted", c.entries[0])
	c.outage()
	c.next("after the outage", c.entries[2])
	for range 2 {
		c.fault(emulator.Fault{
			Target:        "log",
			LoseResponses: 2,
		})
		c.next("answers were lost", c.entries[1])
	}
	c.expire(1)
	restart(c.entries[0].process, c.hosts[3].process)
	c.next("records expired during a restart", c.entries[1])
	for range 2 {
		c.fromSnapshots()
		c.next("all entries started from a snapshot", c.entries[2])
	}
	c.observer.assertNeverReverted(t)
}

// outage refuses publications while the log is down, restarts processes in it,
// and checks that what was refused never takes effect.
func (c *configuration) outage() {
	c.t.Helper()
	before, ok := sectionAt(c.entries[0], "team counter")
	assert.Assert(c.t, ok)
	c.logDown(true)
	restart(c.entries[2].process, c.hosts[1].process)
	result, err := publishVia(c.entries[0], "counter", "team counter", "owner = counter\nshare = 999\n", &before.Position)
	assert.Equal(c.t, result.Result, client.ResultNotRun, "%v", err)
	time.Sleep(currencyLimit + time.Second)
	_, err = publishVia(c.entries[1], "counter", "team counter", "owner = counter\nshare = 999\n", &before.Position)
	assert.Assert(c.t, err != nil, "a publication was accepted without the log")
	c.logDown(false)
	c.inForce("the version before the outage", time.Now())
}

// expire drops all records once every entry has read them: a record that no
// process has read before it expires is lost by design (history_lost).
func (c *configuration) expire(loseAnswers int) {
	c.t.Helper()
	waitFor(c.t, readyWithin, "every entry has read the log to its end", func() bool {
		c.fault(emulator.Fault{
			Target: "log",
			Paused: true,
		})
		time.Sleep(100 * time.Millisecond)
		if c.sameOffset() {
			c.fault(emulator.Fault{
				Target:          "log",
				ExpireRetention: true,
				LoseResponses:   loseAnswers,
			})
			return true
		}
		c.logDown(false)
		time.Sleep(200 * time.Millisecond)
		return false
	})
}

func (c *cluster) sameOffset() bool {
	offsets := map[int64]bool{}
	for _, e := range c.entries {
		one := &client.Client{
			Entries:  []string{address(e.url)},
			MaxTries: 1,
		}
		config, err := one.Config(c.t.Context())
		if err != nil {
			return false
		}
		offsets[config.Offset] = true
	}
	return len(offsets) == 1
}

// fromSnapshots ends all entries at once after records expired.
func (c *configuration) fromSnapshots() {
	c.t.Helper()
	c.expire(0)
	waitFor(c.t, readyWithin, "a snapshot replaces the expired records", func() bool { return c.snapshots() > 0 })
	restart(c.entries[0].process, c.entries[1].process, c.entries[2].process)
	for _, e := range c.entries {
		c.waitReady(e.process)
	}
	c.inForce("the version before the restart", time.Now())
}

// TestConfigurationRaces guards promise 10 between operators: publications of
// different sections do not disturb each other, and of two from the same base
// exactly one takes effect, also when answers of the log are lost.
func TestConfigurationRaces(t *testing.T) {
	c := startCluster(t, options{
		entries: 3,
	})
	for round := range 12 {
		lost := round%4 == 3
		if lost {
			c.fault(emulator.Fault{
				Target:        "log",
				LoseResponses: 1,
			})
		}
		c.raceSections(round)
		c.raceOne(round)
	}
}

func teamText(owner string, share int) string {
	return fmt.Sprintf("owner = %s\nshare = %d\n", owner, share)
}

// both publishes through two entries at the same time.
func both(first, second func() (client.SectionResult, error)) (results [2]client.SectionResult, errs [2]error) {
	var group sync.WaitGroup
	group.Go(func() { results[0], errs[0] = first() })
	group.Go(func() { results[1], errs[1] = second() })
	group.Wait()
	return results, errs
}

func (c *cluster) base(section string) *client.Position {
	if current, ok := sectionAt(c.entries[0], section); ok {
		return &current.Position
	}
	return nil
}

func (c *cluster) raceSections(round int) {
	c.t.Helper()
	left, right := c.base("team left"), c.base("team right")
	results, errs := both(func() (client.SectionResult, error) {
		return publishVia(c.entries[0], "left", "team left", teamText("left", round+1), left)
	}, func() (client.SectionResult, error) {
		return publishVia(c.entries[1], "right", "team right", teamText("right", round+1), right)
	})
	for i, result := range results {
		assert.Equal(c.t, result.Result, client.ResultPublished, "round %d: %v", round, errs[i])
	}
	c.sameEverywhere("team left", teamText("left", round+1))
	c.sameEverywhere("team right", teamText("right", round+1))
}

func (c *cluster) raceOne(round int) {
	c.t.Helper()
	base, texts := c.base("team shared"), [2]string{teamText("shared", 2*round+1), teamText("shared", 2*round+2)}
	results, errs := both(func() (client.SectionResult, error) {
		return publishVia(c.entries[1], "shared", "team shared", texts[0], base)
	}, func() (client.SectionResult, error) {
		return publishVia(c.entries[2], "shared", "team shared", texts[1], base)
	})
	winner := 0
	if results[1].Result == client.ResultPublished {
		winner = 1
	}
	loser := 1 - winner
	assert.Equal(c.t, results[winner].Result, client.ResultPublished, "round %d: %v", round, errs)
	assert.Equal(c.t, results[loser].Result, client.ResultConflict, "round %d: %v", round, errs)
	var refusal *damaskspread.RefusalError
	assert.Assert(c.t, errors.As(errs[loser], &refusal))
	assert.Equal(c.t, refusal.Reason, damaskspread.ReasonConflict)
	c.sameEverywhere("team shared", texts[winner])
	// The loser starts again from the section in force, so its edit is kept.
	result, err := publishVia(c.entries[loser], "shared", "team shared", texts[loser], results[winner].Position)
	assert.NilError(c.t, err)
	assert.Equal(c.t, result.Result, client.ResultPublished)
	c.sameEverywhere("team shared", texts[loser])
}

func (c *cluster) sameEverywhere(section, text string) {
	c.t.Helper()
	waitFor(c.t, inForceBound, "["+section+"] is in force at every entry", func() bool {
		for _, e := range c.entries {
			if current, ok := sectionAt(e, section); !ok || current.Text != text {
				return false
			}
		}
		return true
	})
}
