package executor

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Reconcile makes one pass: it reads the feed and the worker, carries out the
// orders of Decide and hands its records to Report.
func (e *Executor) Reconcile(ctx context.Context) {
	e.pass.Lock()
	defer e.pass.Unlock()
	e.prepare()
	// The age is read before the view, so it is never younger than what the
	// view shows, and the whole time until the status arrived counts against
	// the latest start time, so a pause in between cannot lead to a late start.
	before := e.Clock.Now()
	age := e.Feed.Age()
	view := e.Feed.View()
	status, err := e.readStatus(ctx)
	if err != nil {
		return
	}
	var notAfterUs int64
	if age <= e.CurrencyLimit {
		notAfterUs = status.GetNowUs() + (e.CurrencyLimit - age - e.Clock.Since(before)).Microseconds()
	}
	e.noteStatus(status)
	plan := Decide(e.situation(view, status, notAfterUs))
	e.carryOut(ctx, status, plan)
	plan.Records = append(plan.Records, e.checkpoint(ctx, view, status)...)
	e.noteWaits(view, status, plan)
	e.mu.Lock()
	e.desired = plan.Records
	e.mu.Unlock()
	signal(e.ready)
}

func (e *Executor) noteStatus(status *wire.StatusResponse) {
	e.mu.Lock()
	e.status = status
	e.statusAt = e.Clock.Now()
	e.mu.Unlock()
	if status.GetBoot() != e.boot {
		restarted := e.boot != ""
		e.boot = status.GetBoot()
		e.known = map[int64]bool{}
		e.throttled = map[int64]int{}
		if restarted {
			log.Warn().Str("host", e.Host).Str("boot", e.boot).Msg("worker restarted")
		}
		if e.OnBoot != nil {
			e.OnBoot(e.boot, status.GetCapacity())
		}
	}
	for _, task := range status.GetTasks() {
		e.known[task.GetToken()] = true
	}
}

func (e *Executor) situation(view View, status *wire.StatusResponse, notAfterUs int64) Situation {
	s := Situation{
		View:       view,
		Status:     status,
		Zone:       e.Zone,
		Margin:     e.margin(),
		NotAfterUs: notAfterUs,
		Known:      e.known,
		Overdue:    map[int64]bool{},
		Reasons:    map[int64]string{},
		Throttled:  e.throttled,
	}
	e.mu.Lock()
	s.Lease = e.lease
	s.Draining = e.draining
	e.mu.Unlock()
	if e.BatchShare != nil {
		s.Share = e.BatchShare()
	}
	for token, w := range e.waits {
		s.Reasons[token] = w.reason
		// A stale process rejects nothing: it might return every claim of a
		// host after a mere outage of the log.
		s.Overdue[token] = notAfterUs > status.GetNowUs() && e.Clock.Since(w.since) > e.startBound()
	}
	return s
}

func (e *Executor) carryOut(ctx context.Context, status *wire.StatusResponse, plan Plan) {
	if len(plan.Renewals) > 0 {
		_ = e.order(ctx, "renew", "", func(ctx context.Context) error {
			_, err := e.Worker.Renew(ctx, status.GetBoot(), plan.Renewals)
			return err
		})
	}
	for _, stop := range plan.Stops {
		e.stop(ctx, status.GetBoot(), stop)
	}
	for _, start := range plan.Starts {
		err := e.order(ctx, "start", start.GetSpec().GetTask(), func(ctx context.Context) error {
			_, err := e.Worker.Start(ctx, start)
			return err
		})
		if err != nil {
			plan.Waiting[start.GetToken()] = err.Error()
			continue
		}
		e.known[start.GetToken()] = true
	}
	for _, throttle := range plan.Throttles {
		err := e.order(ctx, "throttle", throttle.Task, func(ctx context.Context) error {
			return e.Worker.Throttle(ctx, status.GetBoot(), throttle.Task, throttle.Token, throttle.Share)
		})
		if err == nil {
			e.throttled[throttle.Token] = throttle.Share
		}
	}
}

// stop ends an attempt after its checkpoint. A task whose checkpoint the
// worker refuses is stopped all the same; after any other failure the next
// pass tries again, and the lease bounds how long that can go on.
func (e *Executor) stop(ctx context.Context, boot string, stop Stop) {
	if stop.Checkpoint {
		err := e.order(ctx, "checkpoint", stop.Task, func(ctx context.Context) error {
			_, err := e.Worker.Checkpoint(ctx, boot, stop.Task, stop.Token)
			return err
		})
		var refused *damaskspread.WorkerRefusedError
		if err != nil && !errors.As(err, &refused) {
			return
		}
	}
	_ = e.order(ctx, "stop", stop.Task, func(ctx context.Context) error {
		_, err := e.Worker.Stop(ctx, boot, stop.Task, stop.Token)
		return err
	})
}

func (e *Executor) order(ctx context.Context, kind, task string, call func(context.Context) error) error {
	ctx, cancel := e.bounded(ctx)
	defer cancel()
	err := call(ctx)
	if err != nil {
		log.Warn().Err(err).Str("host", e.Host).Str("order", kind).Str("task", task).Msg("worker order failed")
	}
	return err
}

// noteWaits keeps since when and why claims wait, and forgets what no claim
// refers to any more.
func (e *Executor) noteWaits(view View, status *wire.StatusResponse, plan Plan) {
	waits := map[int64]*wait{}
	live := map[int64]bool{}
	for _, claim := range view.Claims() {
		token := damaskspread.Token(claim.GetToken())
		live[token] = true
		w := e.waits[token]
		if w == nil {
			w = &wait{since: e.Clock.Now()}
		}
		if reason, ok := plan.Waiting[token]; ok {
			w.reason = reason
		}
		waits[token] = w
	}
	e.waits = waits
	for _, task := range status.GetTasks() {
		live[task.GetToken()] = true
	}
	for token := range e.known {
		if !live[token] {
			delete(e.known, token)
		}
	}
	for token := range e.throttled {
		if !live[token] {
			delete(e.throttled, token)
		}
	}
}

// Report writes the records of the latest pass. A record is written again
// after the repeat interval for as long as passes still ask for it.
func (e *Executor) Report(ctx context.Context) {
	e.report.Lock()
	defer e.report.Unlock()
	e.mu.Lock()
	desired := e.desired
	e.mu.Unlock()
	now := e.Clock.Now()
	sent := map[string]bool{}
	var due []*wire.Record
	if e.sent == nil {
		e.sent = map[string]time.Time{}
	}
	for _, record := range desired {
		sent[record.GetId()] = true
		if last, ok := e.sent[record.GetId()]; ok && now.Sub(last) < e.repeat() {
			continue
		}
		e.sent[record.GetId()] = now
		record.Actor = e.actor()
		record.RecordedUnixMs = now.UnixMilli()
		due = append(due, record)
	}
	for id := range e.sent {
		if !sent[id] {
			delete(e.sent, id)
		}
	}
	if len(due) == 0 {
		return
	}
	ctx, cancel := e.bounded(ctx)
	defer cancel()
	if _, err := e.Feed.AppendRecords(ctx, due); err != nil {
		log.Warn().Err(err).Str("host", e.Host).Int("records", len(due)).Msg("task records not confirmed by the log")
	}
}
