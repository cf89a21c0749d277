package coordinator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// maxHostExecutors bounds the executors of a host that the leader remembers. A request
// is late by seconds, in which a host has a few executors at most.
const maxHostExecutors = 8

// session is the state of the exchange with one agent for one incarnation of its
// executor. It is guarded by the coordinator's mutex.
type session struct {
	host string
	id   string
	zone string
	info *wire.ExecutorInfo
	key  tracker.ExecutorKey
	// token is the fencing token of the session, 0 if the agent has an earlier version.
	token int64

	// openedAt is when the session was opened. It does not change.
	openedAt time.Duration

	reachable bool
	// granting is set while the executor gets leases. leaseDue is set while the next
	// response is to bring one at once: the first one, or the first after an outage.
	granting, leaseDue bool
	// lastGrantAt is when this leader granted the executor its last lease at the latest.
	lastGrantAt time.Duration
	// leaseEnd is the latest time at which the executor may hold a lease.
	leaseEnd     time.Duration
	lastReportAt time.Duration

	// opening is set until a cycle has reconciled the first list of runs with the
	// assigned tasks.
	opening bool
	// startsDue is set until the starts of assigned runs that the list doesn't show were
	// ordered in this session.
	startsDue bool
	running   []*wire.TaskRun
	// runsUpdated is set when running is newer than the last cycle.
	runsUpdated bool
	// endsMissing is set while the agent does not know all ends of its executor: a run that
	// running doesn't show may have ended. endsWereMissing is its value in the last cycle.
	endsMissing, endsWereMissing bool

	ends []*wire.RunEnd
	// lastEnd is the highest number of a received run end.
	lastEnd  int64
	refusals []*wire.StartRefusal
	// noRoomUntil is when the host may get tasks again after its agent refused one
	// for lack of capacity.
	noRoomUntil time.Duration
	// exposures were received since the last cycle, up to lastExposure; the effects
	// of those up to exposuresRecorded are stored.
	exposures                       []*wire.CrashExposure
	lastExposure, exposuresRecorded int64

	// keepsSteps is set if the agent keeps the steps that it receives, so that
	// later orders need not repeat them. sentSteps are those of the open jobs that
	// it has, by Group.Name.
	keepsSteps bool
	sentSteps  map[string]bool

	// orders are those that the agent has not acknowledged.
	orders    []queuedOrder
	lastOrder int64
	// endsRecorded is the highest number of a run end whose effect is stored.
	endsRecorded int64
	// updated is closed when the session changes or ends, and then replaced.
	updated chan struct{}
}

type queuedOrder struct {
	order     *wire.Order
	decidedAt time.Duration
}

// notify wakes the Exchange calls that wait for the session.
func (s *session) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// addStart queues a start order. It leaves out the specification of a step that the
// agent has from an earlier order of the session, which is most of the order.
func (s *session) addStart(order *wire.StartOrder, now time.Duration) {
	group := tracker.GroupOf(order.GetTask())
	if s.keepsSteps && s.sentSteps[group] {
		order.Spec = ""
		order.Step = nil
		order.StepKnown = true
	}
	s.sentSteps[group] = true
	s.add(&wire.Order{Kind: &wire.Order_Start{Start: order}}, now)
}

func (s *session) addStop(order *wire.StopOrder, now time.Duration) {
	s.add(&wire.Order{Kind: &wire.Order_Stop{Stop: order}}, now)
}

func (s *session) add(order *wire.Order, now time.Duration) {
	s.lastOrder++
	order.Number = s.lastOrder
	s.orders = append(s.orders, queuedOrder{
		order:     order,
		decidedAt: now,
	})
}

// acknowledge drops the orders up to a number, which the agent has received.
func (s *session) acknowledge(number int64) {
	for len(s.orders) > 0 && s.orders[0].order.GetNumber() <= number {
		s.orders = s.orders[1:]
	}
}

// applyReport merges a report of the agent and reports whether it needs a
// scheduling cycle.
func (s *session) applyReport(request *wire.ExchangeRequest, now time.Duration) bool {
	s.lastReportAt = now
	s.reachable = request.GetExecutorReachable()
	s.keepsSteps = request.GetKeepsSteps()
	updated := s.applyInfo(request.GetExecutor())
	s.acknowledge(request.GetOrdersReceived())
	if request.GetHasRunning() && lastKnownEnd(request) >= s.lastEnd {
		s.running = request.GetRunning()
		s.runsUpdated = true
		s.endsMissing = request.GetMoreEnds()
	}
	ended := map[listedRun]bool{}
	for _, end := range request.GetEnds() {
		if end.GetNumber() > s.lastEnd {
			s.lastEnd = end.GetNumber()
			s.ends = append(s.ends, end)
			ended[newListedRun(end.GetTask(), end.GetRun())] = true
			updated = true
		}
	}
	s.removeRunning(ended)
	for _, exposure := range request.GetExposures() {
		if exposure.GetNumber() > s.lastExposure {
			s.lastExposure = exposure.GetNumber()
			s.exposures = append(s.exposures, exposure)
			updated = true
		}
	}
	if len(request.GetRefusals()) > 0 {
		s.refusals = append(s.refusals, request.GetRefusals()...)
		updated = true
	}
	return updated
}

// removeRunning removes runs that have ended from the list of runs, which may be older
// than the ends. Cycles read the list without the lock, so it is replaced.
func (s *session) removeRunning(ended map[listedRun]bool) {
	if len(ended) == 0 {
		return
	}
	s.running = slices.DeleteFunc(slices.Clone(s.running), func(run *wire.TaskRun) bool {
		return ended[newListedRun(run.GetTask(), run.GetRun())]
	})
}

// lastKnownEnd returns the highest number of a run end that the agent knew when it
// made the request. Requests of one agent overlap, so a list of runs may be older than
// an end that was received before, and still show its run.
func lastKnownEnd(request *wire.ExchangeRequest) int64 {
	last := request.GetEndsRecorded()
	for _, end := range request.GetEnds() {
		last = max(last, end.GetNumber())
	}
	return last
}

// applyInfo stores an announcement of the executor and reports whether it needs a
// scheduling cycle. Requests of one agent overlap and may overtake each other, so
// an older announcement can arrive after a newer one.
func (s *session) applyInfo(info *wire.ExecutorInfo) bool {
	if info.GetSequence() < s.info.GetSequence() {
		return false
	}
	updated := s.info.GetDraining() != info.GetDraining() || !proto.Equal(s.info.GetCapacity(), info.GetCapacity())
	s.info = info
	return updated
}

// hostHistory is what the leader remembers of the sessions of a host. It outlives them:
// an opening request may arrive after its executor's session has ended and its
// successor's was opened.
type hostHistory struct {
	// lastSession is the id of the session that was opened last.
	lastSession string
	// executors are the latest executors that opened a session, the last one last.
	executors []tracker.ExecutorKey
	// lastToken is the highest fencing token of these sessions.
	lastToken int64
}

// add records a new session.
func (h *hostHistory) add(s *session) {
	h.lastSession = s.id
	h.lastToken = max(h.lastToken, s.token)
	h.executors = slices.DeleteFunc(h.executors, func(other tracker.ExecutorKey) bool { return other == s.key })
	h.executors = append(h.executors, s.key)
	if len(h.executors) > maxHostExecutors {
		h.executors = h.executors[1:]
	}
}

// isLate reports whether an opening request was sent before the session that was opened
// last, or opened a session that has ended: its token is not higher than those of all
// sessions before, a later executor of the host has opened a session since, or a process
// of the agent, which numbers its sessions, a later session. Tokens that opened no session
// don't count: two processes of an agent would keep each other from opening one. Agents
// of an earlier version send no token. It is false without a history.
func (h *hostHistory) isLate(request *wire.ExchangeRequest) bool {
	if h == nil {
		return false
	}
	if token := request.GetToken(); token != 0 && token <= h.lastToken {
		return true
	}
	key := keyOf(request.GetExecutor())
	if slices.Contains(h.executors, key) && h.executors[len(h.executors)-1] != key {
		return true
	}
	process, number := parseSession(request.GetSession())
	lastProcess, lastNumber := parseSession(h.lastSession)
	return process == lastProcess && number < lastNumber
}

// parseSession splits the id of a session into the process of the agent and the number
// of the session in it, 0 if it has none.
func parseSession(id string) (process string, number int) {
	process, text, _ := strings.Cut(id, ".")
	number, err := strconv.Atoi(text)
	if err != nil {
		return id, 0
	}
	return process, number
}

func keyOf(info *wire.ExecutorInfo) tracker.ExecutorKey {
	return tracker.ExecutorKey{
		ID:         info.GetId(),
		BornUnixMs: info.GetBornUnixMs(),
	}
}

// message returns a copy of the order with its current age, the time since the
// decision. Other calls may be encoding the original at the same time.
func (q queuedOrder) message(now time.Duration) *wire.Order {
	return &wire.Order{
		Number: q.order.GetNumber(),
		Kind:   q.order.GetKind(),
		AgeMs:  (now - q.decidedAt).Milliseconds(),
	}
}
