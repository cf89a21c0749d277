package executor

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Reconcile makes one pass: it reads the feed and the worker's status, carries
// out the orders of Decide and passes its records to Report.
func (e *Executor) Reconcile(ctx context.Context) {
	e.reconcileMu.Lock()
	defer e.reconcileMu.Unlock()
	e.initChannels()
	// The age is read before the view, so the view is at least as recent. The
	// time until the status arrives is subtracted from the latest start time, so
	// a pause of the process in between cannot lead to a late start.
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
	e.updateStatus(status)
	attempts := e.claimedAttempts(view)
	e.announceBoot(status, attempts)
	situation := e.situation(view, status, notAfterUs)
	situation.Attempts = attempts
	plan := Decide(situation)
	e.executePlan(ctx, status, plan)
	plan.Records = append(plan.Records, e.takeCheckpoints(ctx, view, status)...)
	e.updateWaiting(view, status, plan)
	e.mu.Lock()
	e.passRecords = plan.Records
	e.mu.Unlock()
	signal(e.reportWake)
}

func (e *Executor) updateStatus(status *wire.StatusResponse) {
	e.mu.Lock()
	e.status = status
	e.statusAt = e.Clock.Now()
	e.mu.Unlock()
	if status.GetBoot() != e.boot {
		restarted := e.boot != ""
		e.boot = status.GetBoot()
		e.seenTokens = map[int64]bool{}
		e.sharesInForce = map[int64]int{}
		if restarted {
			e.restartedAt = e.Clock.Now()
			log.Warn().Str("host", e.Host).Str("boot", e.boot).Msg("worker restarted")
		}
	}
	for _, task := range status.GetTasks() {
		e.seenTokens[task.GetToken()] = true
	}
}

func (e *Executor) situation(view View, status *wire.StatusResponse, notAfterUs int64) Situation {
	s := Situation{
		View:       view,
		Status:     status,
		Zone:       e.Zone,
		Margin:     e.stopMargin(),
		NotAfterUs: notAfterUs,
		SeenTokens: e.seenTokens,
		Overdue:    map[int64]bool{},
		Reasons:    map[int64]string{},
		Throttled:  e.sharesInForce,
	}
	e.mu.Lock()
	s.Lease = e.lease
	s.Draining = e.draining
	e.mu.Unlock()
	if e.BatchShare != nil {
		s.Share = e.BatchShare()
	}
	for token, claim := range e.waiting {
		s.Reasons[token] = claim.reason
		// A process with a stale view rejects nothing: otherwise an outage of
		// the log could return every claim of the host to the queue.
		s.Overdue[token] = notAfterUs > status.GetNowUs() && e.Clock.Since(claim.since) > e.startTimeout()
	}
	return s
}

func (e *Executor) executePlan(ctx context.Context, status *wire.StatusResponse, plan Plan) {
	if len(plan.Renewals) > 0 {
		_ = e.sendOrder(ctx, "renew", "", func(ctx context.Context) error {
			_, err := e.Worker.Renew(ctx, status.GetBoot(), plan.Renewals)
			return err
		})
	}
	for _, stop := range plan.Stops {
		e.stopTask(ctx, status.GetBoot(), stop)
	}
	for _, start := range plan.Starts {
		err := e.sendOrder(ctx, "start", start.GetSpec().GetTask(), func(ctx context.Context) error {
			_, err := e.Worker.Start(ctx, start)
			return err
		})
		if err != nil {
			plan.Waiting[start.GetToken()] = err.Error()
			continue
		}
		e.seenTokens[start.GetToken()] = true
	}
	for _, throttle := range plan.Throttles {
		err := e.sendOrder(ctx, "throttle", throttle.Task, func(ctx context.Context) error {
			return e.Worker.Throttle(ctx, status.GetBoot(), throttle.Task, throttle.Token, throttle.Share)
		})
		if err == nil {
			e.sharesInForce[throttle.Token] = throttle.Share
		}
	}
}

// stopTask takes a checkpoint if required and stops the attempt. If the worker
// refuses the checkpoint, the task is stopped without it. After any other failure
// the next pass tries again until the task's lease ends.
func (e *Executor) stopTask(ctx context.Context, boot string, stop Stop) {
	if stop.Checkpoint {
		err := e.sendOrder(ctx, "checkpoint", stop.Task, func(ctx context.Context) error {
			_, err := e.Worker.Checkpoint(ctx, boot, stop.Task, stop.Token)
			return err
		})
		var refused *damaskspread.WorkerRefusedError
		if err != nil && !errors.As(err, &refused) {
			return
		}
	}
	_ = e.sendOrder(ctx, "stop", stop.Task, func(ctx context.Context) error {
		_, err := e.Worker.Stop(ctx, boot, stop.Task, stop.Token)
		return err
	})
}

func (e *Executor) sendOrder(ctx context.Context, kind, task string, call func(context.Context) error) error {
	ctx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	err := call(ctx)
	if err != nil {
		log.Warn().Err(err).Str("host", e.Host).Str("order", kind).Str("task", task).Msg("worker order failed")
	}
	return err
}

// updateWaiting stores since when and why claims wait, and deletes the state of
// tokens that neither a claim nor the worker lists any more.
func (e *Executor) updateWaiting(view View, status *wire.StatusResponse, plan Plan) {
	waiting := map[int64]*waitingClaim{}
	current := map[int64]bool{}
	for _, claim := range view.Claims() {
		token := damaskspread.Token(claim.GetToken())
		current[token] = true
		entry := e.waiting[token]
		if entry == nil {
			entry = &waitingClaim{since: e.Clock.Now()}
		}
		if reason, ok := plan.Waiting[token]; ok {
			entry.reason = reason
		}
		waiting[token] = entry
	}
	e.waiting = waiting
	for _, task := range status.GetTasks() {
		current[task.GetToken()] = true
	}
	for token := range e.seenTokens {
		if !current[token] {
			delete(e.seenTokens, token)
		}
	}
	for token := range e.sharesInForce {
		if !current[token] {
			delete(e.sharesInForce, token)
		}
	}
}

// Report appends the records of the latest pass to the log. A record is written
// again after the repeat interval as long as passes return it.
func (e *Executor) Report(ctx context.Context) {
	e.reportMu.Lock()
	defer e.reportMu.Unlock()
	e.mu.Lock()
	records := e.passRecords
	e.mu.Unlock()
	now := e.Clock.Now()
	wanted := map[string]bool{}
	var due []*wire.Record
	if e.lastWritten == nil {
		e.lastWritten = map[string]time.Time{}
	}
	for _, record := range records {
		wanted[record.GetId()] = true
		if last, ok := e.lastWritten[record.GetId()]; ok && now.Sub(last) < e.repeatInterval() {
			continue
		}
		e.lastWritten[record.GetId()] = now
		record.Actor = e.actor()
		record.RecordedUnixMs = now.UnixMilli()
		due = append(due, record)
	}
	for id := range e.lastWritten {
		if !wanted[id] {
			delete(e.lastWritten, id)
		}
	}
	if len(due) == 0 {
		return
	}
	ctx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	if _, err := e.Feed.AppendRecords(ctx, due); err != nil {
		log.Warn().Err(err).Str("host", e.Host).Int("records", len(due)).Msg("task records not confirmed by the log")
	}
}
