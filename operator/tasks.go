package operator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

const (
	maxKeyBytes = 256
	// maxDuration bounds declared times to a year.
	maxDuration = 365 * 24 * time.Hour
	// maxResource keeps sums of many tasks within an int64.
	maxResource = math.MaxInt64 >> 16
)

func phaseName(phase wire.TaskPhase) string { return lower(phase.String(), "TASK_PHASE_") }

func taskOf(task *wire.TaskState) client.Task {
	spec := task.GetSpec()
	result := ""
	if task.GetResult() != wire.TaskResult_TASK_RESULT_UNSPECIFIED {
		result = lower(task.GetResult().String(), "TASK_RESULT_")
	}
	return client.Task{
		TaskRequest: client.TaskRequest{
			Task:               spec.GetTask(),
			Team:               spec.GetTeam(),
			Kind:               spec.GetKind(),
			Class:              lower(spec.GetClass().String(), "TASK_CLASS_"),
			Resources:          resources(spec.GetResources()),
			ExpectedDurationMs: spec.GetExpectedDurationMs(),
			MaxWaitMs:          spec.GetMaxWaitMs(),
			CanCheckpoint:      spec.GetCanCheckpoint(),
			Zones:              spec.GetZones(),
			Parameters:         spec.GetParameters(),
		},
		Phase:             phaseName(task.GetPhase()),
		Attempt:           task.GetAttempt(),
		Host:              task.GetHost(),
		Result:            result,
		Detail:            task.GetDetail(),
		Reason:            task.GetReason(),
		Checkpoint:        task.GetCheckpoint(),
		CancelRequested:   task.GetCancelRequested(),
		EvictionRequested: task.GetEvictionRequested(),
		Evictions:         task.GetEvictions(),
		Failures:          task.GetFailures(),
		Submitted:         *position(task.GetSubmitted()),
		SubmittedUnixMs:   spec.GetSubmittedUnixMs(),
		PhaseUnixMs:       task.GetPhaseUnixMs(),
	}
}

// task returns a copy: the replayer changes tasks in place.
func (h *Handler) task(id string) (task client.Task, exists bool) {
	h.State.View(func(state *replayer.State) {
		var current *wire.TaskState
		if current, exists = state.Task(id); exists {
			task = taskOf(current)
		}
	})
	return task, exists
}

func (h *Handler) getTask(w http.ResponseWriter, r bunrouter.Request) error {
	task, exists := h.task(param(r, "task"))
	if !exists {
		return notFound("task", param(r, "task"), nil)
	}
	return ok(w, task)
}

func (h *Handler) explainTask(w http.ResponseWriter, r bunrouter.Request) error {
	task, exists := h.task(param(r, "task"))
	if !exists {
		return notFound("task", param(r, "task"), nil)
	}
	explanation := client.Explanation{
		Task: task,
	}
	if h.Explain != nil {
		explanation.Decision = h.Explain(task.Task)
	}
	return ok(w, explanation)
}

func (h *Handler) listTasks(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	limit, err := limitOf(query.Get("limit"))
	if err != nil {
		return err
	}
	phase := query.Get("phase")
	phases := []string{"pending", "claimed", "finished"}
	if phase != "" && !slices.Contains(phases, phase) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "phase is one of pending, claimed, finished")
	}
	matches := func(task *wire.TaskState) bool {
		spec := task.GetSpec()
		return matches(query.Get("team"), spec.GetTeam()) && matches(query.Get("kind"), spec.GetKind()) &&
			matches(phase, phaseName(task.GetPhase())) && matches(query.Get("host"), task.GetHost())
	}
	// Ids are sorted without the lock, so a listing of a full queue does not
	// delay the replay.
	var ids []string
	h.State.View(func(state *replayer.State) {
		for task := range state.Tasks() {
			if matches(task) {
				ids = append(ids, task.GetSpec().GetTask())
			}
		}
	})
	slices.Sort(ids)
	list := client.TaskList{
		Tasks: []client.Task{},
		Total: len(ids),
	}
	if after := query.Get("after"); after != "" {
		from, found := slices.BinarySearch(ids, after)
		if found {
			from++
		}
		ids = ids[from:]
	}
	if len(ids) > limit {
		ids = ids[:limit]
		list.Next = ids[limit-1]
	}
	h.State.View(func(state *replayer.State) {
		for _, id := range ids {
			if task, exists := state.Task(id); exists {
				list.Tasks = append(list.Tasks, taskOf(task))
			}
		}
	})
	return ok(w, list)
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

func (h *Handler) submitTask(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonTooLarge, "the body cannot be read: %v", err)
	}
	r.Body = io.NopCloser(bytesReader(body))
	var request client.TaskRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	spec, err := h.taskSpec(&request)
	if err != nil {
		return err
	}
	spec.IdempotencyKey = r.Header.Get(client.HeaderKey)
	if len(spec.IdempotencyKey) > maxKeyBytes {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "%s is longer than %d bytes", client.HeaderKey, maxKeyBytes)
	}
	// The hash is of the request's meaning: spaces and the order of fields in
	// the JSON text don't make another body.
	canonical, err := json.Marshal(request)
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the body cannot be encoded: %v", err)
	}
	hash := sha256.Sum256(canonical)
	spec.BodyHash = hash[:]
	if replayed, known, err := h.earlier(spec); known || err != nil {
		return reply(w, http.StatusOK, replayed, err)
	}
	if err := h.submit(r.Context(), spec, actor(r, spec.GetTeam())); err != nil {
		// A racing submission with the same key may have been first.
		if replayed, known, earlierErr := h.earlier(spec); isRefused(err) && (known || earlierErr != nil) {
			return reply(w, http.StatusOK, replayed, earlierErr)
		}
		return err
	}
	task, _ := h.task(spec.GetTask())
	return reply(w, http.StatusCreated, task, nil)
}

func reply(w http.ResponseWriter, status int, task client.Task, err error) error {
	if err == nil {
		writeJSON(w, status, task)
	}
	return err
}

func isRefused(err error) bool {
	var refusal *damaskspread.RefusalError
	return errors.As(err, &refusal) && (refusal.Reason == damaskspread.ReasonConflict || refusal.Reason == damaskspread.ReasonKeyReused)
}

// earlier returns the task that the team submitted under the same key.
func (h *Handler) earlier(spec *wire.TaskSpec) (task client.Task, known bool, err error) {
	if spec.GetIdempotencyKey() == "" {
		return client.Task{}, false, nil
	}
	h.State.View(func(state *replayer.State) {
		earlier, exists := state.TaskByKey(spec.GetTeam(), spec.GetIdempotencyKey())
		if !exists {
			return
		}
		if !slices.Equal(earlier.GetSpec().GetBodyHash(), spec.GetBodyHash()) {
			err = damaskspread.NotRun(damaskspread.ReasonKeyReused,
				"team %s used this idempotency key for task %s with another body", spec.GetTeam(), earlier.GetSpec().GetTask())
			return
		}
		task, known = taskOf(earlier), true
		task.Replayed = true
	})
	return task, known, err
}

func (h *Handler) submit(ctx context.Context, spec *wire.TaskSpec, actor string) error {
	record := h.newRecord(actor)
	record.Body = &wire.Record_TaskSubmitted{
		TaskSubmitted: &wire.TaskSubmitted{
			Spec: spec,
		},
	}
	effects, err := h.appendAndConfirm(ctx, []*wire.Record{record})
	if err != nil {
		return err
	}
	return effects[0].err("task " + spec.GetTask())
}

func (h *Handler) cancelTask(w http.ResponseWriter, r bunrouter.Request) error {
	id := param(r, "task")
	team := r.URL.Query().Get("team")
	task, exists := h.task(id)
	switch {
	case !validator.IsName(team):
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the query parameter team is required")
	case !exists:
		return notFound("task", id, nil)
	case task.Team != team:
		return damaskspread.NotRun(damaskspread.ReasonNotOwner, "the task belongs to team %s", task.Team)
	case task.CancelRequested || task.Result == "canceled":
		return ok(w, task)
	}
	record := h.newRecord(actor(r, team))
	record.Body = &wire.Record_CancelRequested{
		CancelRequested: &wire.CancelRequested{
			Task:   id,
			Reason: "canceled by " + record.GetActor(),
		},
	}
	effects, err := h.appendAndConfirm(r.Context(), []*wire.Record{record})
	if err != nil {
		return err
	}
	if err := effects[0].err("task " + id); err != nil {
		return err
	}
	task, _ = h.task(id)
	return ok(w, task)
}
