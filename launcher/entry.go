package launcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/configurer"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/platform"
	"damaskspread.example/damaskspread/poller"
	"damaskspread.example/damaskspread/relayer"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// topicReadWait is how long a read waits for new records. It bounds the age
	// of the view of an idle topic to twice its value.
	topicReadWait = 700 * time.Millisecond
	// leaderTopicReadWait replaces topicReadWait for the leadership topic. It is
	// shorter, because a missing renewal counts only while the view is recent.
	leaderTopicReadWait = 400 * time.Millisecond
	// leaderReadWait replaces topicReadWait in the process that leads. Views older than
	// 1.5 s keep it from starting tasks, which leaves 0.35 s for the way of each read.
	leaderReadWait = 400 * time.Millisecond
	// followerReadPause and leaderReadPause are the pauses between two reads of
	// the jobs topic. An entry that does not lead reads less often and gets more
	// records per read.
	followerReadPause = 80 * time.Millisecond
	leaderReadPause   = 0
	// currencyLimitShare is the share of config_within that the configuration's
	// age may reach. Callers are refused above it.
	currencyLimitShare = 0.9
	// leaseShare is the share of lease_max that is granted with each report of an
	// agent, at most longestLease: a task that lasts has to run again within 9 s after
	// its host and the leader were lost, and docs/design/lease_recovery.md has the sum.
	leaseShare   = 0.75
	longestLease = 6800 * time.Millisecond
	// unreadyDelay is the time until the load balancer sends no more new
	// connections to a process that is not ready.
	unreadyDelay = 2600 * time.Millisecond
	// stopMargin is the part of the grace period that is left for ending the
	// process after it has stopped serving.
	stopMargin    = time.Second
	announceRetry = time.Second
	// announceTimeout bounds one write of the address to the log, and the write by
	// which a leader resigns.
	announceTimeout = 900 * time.Millisecond
	// maxClaimDelay is what a process with hardly any processor time adds to the
	// takeover timeout. The addition shrinks to 0 at one processor or more.
	maxClaimDelay = 300 * time.Millisecond
)

// Entry is the process that accepts jobs of callers and takes part in the leader
// election; the leader schedules the jobs. The exported fields are set before
// Run.
type Entry struct {
	Settings *validator.JobSettings
	// Path is the settings file, which Reload reads again on SIGHUP.
	Path   string
	Reload func(path string) (*validator.JobSettings, error)
	Clock  damaskspread.Clock

	process        process
	store          *platform.Store
	logRelayer     *relayer.Relayer
	operationsTail *tailer.Tailer
	jobsTail       *tailer.Tailer
	leadersTail    *tailer.Tailer
	config         *configurer.Configurer
	index          *indexer.Index
	elector        *elector.Elector
	coordinator    *coordinator.Coordinator
	submitter      *submitter.Submitter
	// loadPoller is nil unless admission is on.
	loadPoller *poller.Poller
	inFlight   atomic.Int64
}

// Run serves until the context ends and then shuts down gracefully. It returns an
// error if an address is in use or a goroutine of the entry fails.
func (e *Entry) Run(ctx context.Context) error {
	e.process = process{
		settings: e.Settings,
		path:     e.Path,
		reload:   e.Reload,
		clock:    e.Clock,
	}
	e.process.setUp("job_entry")
	e.assemble()
	if err := e.listen(); err != nil {
		_ = e.process.shutDown()
		return err
	}
	e.process.startAll(e.operationsTail.Run, e.jobsTail.Run, e.leadersTail.Run, e.elector.Run, e.coordinator.Run,
		e.submitter.Run, e.logRelayer.Run, e.announce)
	if e.loadPoller != nil {
		e.process.startAll(e.loadPoller.Run)
	}
	select {
	case <-ctx.Done():
		e.stop()
	case <-e.process.tomb.Dying():
	}
	return e.process.shutDown()
}

func (e *Entry) assemble() {
	s := e.Settings
	e.store = &platform.Store{
		Address: s.Peers().Log(),
		HTTP:    connector.NewHTTPClient(),
	}
	e.logRelayer = &relayer.Relayer{
		Direct:  e.store,
		HTTP:    connector.NewHTTPClient(),
		Clock:   e.Clock,
		Elapsed: e.process.elapsed,
		Process: s.Process().ID(),
	}
	e.index = &indexer.Index{}
	e.config = &configurer.Configurer{
		Decode: platform.DecodeOperation,
	}
	e.operationsTail = e.newTailer(platform.OperationsTopic, e.config.Apply)
	e.operationsTail.WaitLimit = e.readWaitLimit
	e.config.Age = e.operationsTail.Age
	e.jobsTail = e.newTailer(indexer.Topic, e.index.Apply)
	e.jobsTail.Pause = e.jobsReadPause
	e.jobsTail.WaitLimit = e.readWaitLimit
	e.submitter = &submitter.Submitter{
		Log:           e.logRelayer,
		Index:         e.index,
		Tail:          e.jobsTail,
		Clock:         e.Clock,
		VisibleWithin: s.Bounds().VisibleWithin(),
		Random:        rand.Float64,
	}
	if scheduling := s.Scheduling(); scheduling.Admission() {
		e.submitter.Screener = &screener.Screener{
			FromPriority: scheduling.AdmissionFromPriority(),
			Random:       rand.Float64,
		}
	}
	e.submitter.Init()
	e.assembleScheduling()
}

func (e *Entry) newTailer(topic string, apply func([]*wire.KeyedRecord, bool)) *tailer.Tailer {
	return &tailer.Tailer{
		Log:      e.logRelayer,
		Topic:    topic,
		Clock:    e.Clock,
		Elapsed:  e.process.elapsed,
		ReadWait: topicReadWait,
		Apply:    apply,
	}
}

// readWaitLimit returns leaderReadWait while this process leads, else 0.
func (e *Entry) readWaitLimit() time.Duration {
	if e.elector.Epoch() != 0 {
		return leaderReadWait
	}
	return 0
}

// jobsReadPause returns the pause between two reads of the jobs topic.
func (e *Entry) jobsReadPause() time.Duration {
	if e.elector.Epoch() != 0 {
		return leaderReadPause
	}
	return followerReadPause
}

func (e *Entry) listen() error {
	l := e.Settings.Listen()
	jobsHandler := &platform.Jobs{
		Operations:    e.config,
		Service:       e.submitter,
		Clock:         e.Clock,
		CurrencyLimit: e.currencyLimit(),
		Observe:       e.observeRequest,
	}
	agentMux := http.NewServeMux()
	agentMux.Handle(wireconnect.NewCoordinatorServiceHandler(e.coordinator, connector.CompressLargeResponses()))
	agentMux.Handle(wireconnect.NewKeyedLogServiceHandler(&relayer.Server{
		Log:            e.store,
		LogUnreachable: e.logRelayer.LogUnreachable,
	}, connector.CompressLargeResponses()))
	m := &monitor.Monitor{
		Checks:  e.checks(),
		Metrics: e.metrics(),
	}
	return e.process.startListeners([]listenerSpec{
		{name: "callers", address: l.Callers(), handler: e.closeWhileStopping(jobsHandler)},
		{name: "readiness", address: l.Ready(), handler: m.Handler()},
		{name: "agents", address: l.Agents(), handler: agentMux},
		{name: "metrics", address: l.Metrics(), handler: m.Handler()},
	})
}

func (e *Entry) currencyLimit() time.Duration {
	return time.Duration(float64(e.Settings.Bounds().ConfigWithin()) * currencyLimitShare)
}

// announce writes the address for agents to the log, trying until it succeeds.
func (e *Entry) announce(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	presence := &wire.EntryPresence{
		Process: e.Settings.Process().ID(),
		Address: e.Settings.Listen().Agents(),
		Zone:    e.Settings.Process().Zone(),
	}
	for t.Alive() {
		announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := locator.Announce(announceCtx, e.logRelayer, presence)
		cancel()
		if err == nil {
			return nil
		}
		log.Info().Err(err).Msg("announcing the address failed, retrying")
		damaskspread.Pause(ctx, e.Clock, announceRetry)
	}
	return nil
}
