package e2e_test

import (
	"errors"
	"fmt"
	"net/http"
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
	// inForceBound is the documented bound for a configuration change to be in
	// force in every process.
	inForceBound = 20 * time.Second
	// currencyLimit is the documented age above which a process does not act on
	// its state.
	currencyLimit = 3 * time.Second
)

// configurationTest publishes numbered versions, and with each takes zone b out
// of service or into service.
type configurationTest struct {
	*cluster
	observer *observer
	version  int
}

// publishNext publishes the next version through an entry and waits until it is
// in force in every process, within the bound.
func (c *configurationTest) publishNext(name string, e *entry) {
	c.t.Helper()
	c.version++
	inService := c.version%2 == 0
	sent := time.Now()
	c.publishVersion(e)
	accepted := time.Now()
	c.setZoneAt(e, "b", inService)
	c.observer.zoneChanges = append(c.observer.zoneChanges, zoneChange{
		sent:      sent,
		accepted:  time.Now(),
		inService: inService,
	})
	c.waitInForce(name, accepted)
}

// publishVersion publishes the version and retries until it is accepted. If only
// the response was lost, the retry finds the text unchanged, so it is not
// published twice.
func (c *configurationTest) publishVersion(e *entry) {
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

func (c *configurationTest) waitInForce(name string, accepted time.Time) {
	c.t.Helper()
	inService := c.version%2 == 0
	waitFor(c.t, time.Until(accepted.Add(inForceBound)), name+": the version is in force everywhere", func() bool {
		for _, e := range c.entries {
			if section, ok := sectionAt(e, "team counter"); !ok || publishedVersion(section) != c.version {
				return false
			}
		}
		for _, h := range c.hostsInZone("b") {
			want := string(damaskspread.ReasonZoneOut)
			if inService {
				want = client.OutcomeRan
			}
			if h.probe(c.t) != want {
				return false
			}
		}
		return true
	})
}

func restartAll(processes ...*process) {
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		p.start()
	}
}

// snapshotCount returns the number of entries that the log retains in the
// snapshot stream, or 0 on an error.
func (c *cluster) snapshotCount() int64 {
	log := wireconnect.NewLogServiceClient(http.DefaultClient, c.platform.LogURL())
	response, err := log.ReadEntries(c.t.Context(), connect.NewRequest(&wire.ReadEntriesRequest{
		Stream: "snapshot.west",
	}))
	if err != nil {
		return 0
	}
	return response.Msg.GetNextOffset() - response.Msg.GetFirstOffset()
}

// TestConfigurationNeverReverts guards promise 10: no process returns to an
// older configuration after restarts with empty memory, a log outage, lost
// responses to publications, expired records and starts from snapshots, alone
// and combined.
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
	c := &configurationTest{
		cluster:  cluster,
		observer: cluster.observe(),
	}
	c.publishNext("without faults", c.entries[0])
	restartAll(c.entries[1].process, c.hosts[1].process)
	c.publishNext("an entry and an agent restarted", c.entries[0])
	c.publishDuringOutage()
	c.publishNext("after the outage", c.entries[2])
	for range 2 {
		c.setFault(emulator.Fault{
			Target:        "log",
			LoseResponses: 2,
		})
		c.publishNext("responses of the log were lost", c.entries[1])
	}
	c.expireRecords(1)
	restartAll(c.entries[0].process, c.hosts[3].process)
	c.publishNext("records expired during a restart", c.entries[1])
	for range 2 {
		c.restartFromSnapshots()
		c.publishNext("all entries started from a snapshot", c.entries[2])
	}
	c.observer.assertNeverReverted(t)
}

// publishDuringOutage checks that publications are refused while the log is down
// and never take effect. Processes restart during the outage.
func (c *configurationTest) publishDuringOutage() {
	c.t.Helper()
	before, ok := sectionAt(c.entries[0], "team counter")
	assert.Assert(c.t, ok)
	c.setLogDown(true)
	restartAll(c.entries[2].process, c.hosts[1].process)
	result, err := publishVia(c.entries[0], "counter", "team counter", "owner = counter\nshare = 999\n", &before.Position)
	assert.Equal(c.t, result.Result, client.ResultNotRun, "%v", err)
	time.Sleep(currencyLimit + time.Second)
	_, err = publishVia(c.entries[1], "counter", "team counter", "owner = counter\nshare = 999\n", &before.Position)
	assert.Assert(c.t, err != nil, "a publication was accepted without the log")
	c.setLogDown(false)
	c.waitInForce("the version before the outage", time.Now())
}

// expireRecords makes all records expire once every entry has read them. A
// record that expires before any process has read it is lost by design
// (history_lost).
func (c *configurationTest) expireRecords(loseAnswers int) {
	c.t.Helper()
	waitFor(c.t, readyTimeout, "every entry has read the log to its end", func() bool {
		c.setFault(emulator.Fault{
			Target: "log",
			Paused: true,
		})
		time.Sleep(100 * time.Millisecond)
		if c.entriesAtLogEnd() {
			c.setFault(emulator.Fault{
				Target:          "log",
				ExpireRetention: true,
				LoseResponses:   loseAnswers,
			})
			return true
		}
		c.setLogDown(false)
		time.Sleep(200 * time.Millisecond)
		return false
	})
}

// entriesAtLogEnd returns whether every entry has applied the last record of the
// state stream. Equal offsets are not enough: no entry may have read the last one.
func (c *cluster) entriesAtLogEnd() bool {
	last := c.platform.LogEnd("state.west") - 1
	for _, e := range c.entries {
		entryClient := &client.Client{
			Entries:  []string{hostPort(e.url)},
			MaxTries: 1,
		}
		config, err := entryClient.Config(c.t.Context())
		if err != nil || config.Offset != last {
			return false
		}
	}
	return true
}

// restartFromSnapshots restarts all entries at once after all records expired,
// so that they start from a snapshot.
func (c *configurationTest) restartFromSnapshots() {
	c.t.Helper()
	c.expireRecords(0)
	waitFor(c.t, readyTimeout, "a snapshot replaces the expired records", func() bool { return c.snapshotCount() > 0 })
	restartAll(c.entries[0].process, c.entries[1].process, c.entries[2].process)
	for _, e := range c.entries {
		c.waitReady(e.process)
	}
	c.waitInForce("the version before the restart", time.Now())
}

// TestConfigurationRaces guards promise 10 for concurrent operators:
// publications of different sections do not affect each other, and of two with
// the same base exactly one takes effect, also when responses of the log are
// lost.
func TestConfigurationRaces(t *testing.T) {
	c := startCluster(t, options{
		entries: 3,
	})
	for round := range 12 {
		losesResponse := round%4 == 3
		if losesResponse {
			c.setFault(emulator.Fault{
				Target:        "log",
				LoseResponses: 1,
			})
		}
		c.raceSections(round)
		c.raceSameSection(round)
	}
}

func teamText(owner string, share int) string {
	return fmt.Sprintf("owner = %s\nshare = %d\n", owner, share)
}

// concurrently runs two publications at the same time.
func concurrently(first, second func() (client.SectionResult, error)) (results [2]client.SectionResult, errs [2]error) {
	var group sync.WaitGroup
	group.Go(func() { results[0], errs[0] = first() })
	group.Go(func() { results[1], errs[1] = second() })
	group.Wait()
	return results, errs
}

func (c *cluster) basePosition(section string) *client.Position {
	if current, ok := sectionAt(c.entries[0], section); ok {
		return &current.Position
	}
	return nil
}

func (c *cluster) raceSections(round int) {
	c.t.Helper()
	left, right := c.basePosition("team left"), c.basePosition("team right")
	results, errs := concurrently(func() (client.SectionResult, error) {
		return publishVia(c.entries[0], "left", "team left", teamText("left", round+1), left)
	}, func() (client.SectionResult, error) {
		return publishVia(c.entries[1], "right", "team right", teamText("right", round+1), right)
	})
	for i, result := range results {
		assert.Equal(c.t, result.Result, client.ResultPublished, "round %d: %v", round, errs[i])
	}
	c.waitSameEverywhere("team left", teamText("left", round+1))
	c.waitSameEverywhere("team right", teamText("right", round+1))
}

func (c *cluster) raceSameSection(round int) {
	c.t.Helper()
	base, texts := c.basePosition("team shared"), [2]string{teamText("shared", 2*round+1), teamText("shared", 2*round+2)}
	results, errs := concurrently(func() (client.SectionResult, error) {
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
	c.waitSameEverywhere("team shared", texts[winner])
	// The loser publishes again with the section in force as its base.
	result, err := publishVia(c.entries[loser], "shared", "team shared", texts[loser], results[winner].Position)
	assert.NilError(c.t, err, "round %d: base of %s %+v, published by %s", round, c.entries[loser].name, results[winner].Position, c.entries[1+winner].name)
	assert.Equal(c.t, result.Result, client.ResultPublished)
	c.waitSameEverywhere("team shared", texts[loser])
}

func (c *cluster) waitSameEverywhere(section, text string) {
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
