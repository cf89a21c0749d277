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
	// maxDeclaredDuration limits the durations in a submission to a year.
	maxDeclaredDuration = 365 * 24 * time.Hour
	// maxResource limits one requested resource, so that the sum over 65,536
	// tasks does not overflow an int64.
	maxResource = math.MaxInt64 >> 16
)

func phaseName(phase wire.TaskPhase) string { return enumName(phase.String(), "TASK_PHASE_") }

func toClientTask(task *wire.TaskState) client.Task {
	spec := task.GetSpec()
	result := ""
	if task.GetResult() != wire.TaskResult_TASK_RESULT_UNSPECIFIED {
		result = enumName(task.GetResult().String(), "TASK_RESULT_")
	}
	return client.Task{
		TaskRequest: client.TaskRequest{
			Task:               spec.GetTask(),
			Team:               spec.GetTeam(),
			Kind:               spec.GetKind(),
			Class:              enumName(spec.GetClass().String(), "TASK_CLASS_"),
			Resources:          toClientResources(spec.GetResources()),
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
		Submitted:         *toClientPosition(task.GetSubmitted()),
		SubmittedUnixMs:   spec.GetSubmittedUnixMs(),
		PhaseUnixMs:       task.GetPhaseUnixMs(),
	}
}

// task returns a copy, because the replayer modifies tasks in place.
func (h *Handler) task(id string) (task client.Task, exists bool) {
	h.State.View(func(state *replayer.State) {
		var current *wire.TaskState
		if current, exists = state.Task(id); exists {
			task = toClientTask(current)
		}
	})
	return task, exists
}

func (h *Handler) getTask(w http.ResponseWriter, r bunrouter.Request) error {
	task, exists := h.task(pathParam(r, "task"))
	if !exists {
		return notFound("task", pathParam(r, "task"), nil)
	}
	return writeOK(w, task)
}

func (h *Handler) explainTask(w http.ResponseWriter, r bunrouter.Request) error {
	task, exists := h.task(pathParam(r, "task"))
	if !exists {
		return notFound("task", pathParam(r, "task"), nil)
	}
	explanation := client.Explanation{
		Task: task,
	}
	if h.Explain != nil {
		explanation.Decision = h.Explain(task.Task)
	}
	return writeOK(w, explanation)
}

func (h *Handler) listTasks(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	limit, err := parseLimit(query.Get("limit"))
	if err != nil {
		return err
	}
	phase := query.Get("phase")
	phases := []string{"pending", "claimed", "finished"}
	if phase != "" && !slices.Contains(phases, phase) {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "phase must be pending, claimed or finished, found %q", phase)
	}
	ids := h.taskIDs(func(task *wire.TaskState) bool {
		spec := task.GetSpec()
		return matchesFilter(query.Get("team"), spec.GetTeam()) && matchesFilter(query.Get("kind"), spec.GetKind()) &&
			matchesFilter(phase, phaseName(task.GetPhase())) && matchesFilter(query.Get("host"), task.GetHost())
	})
	page := idsAfter(ids, query.Get("after"))
	next := ""
	if len(page) > limit {
		page = page[:limit]
		next = page[limit-1]
	}
	return writeOK(w, client.TaskList{
		Tasks: h.tasks(page),
		Total: len(ids),
		Next:  next,
	})
}

// taskIDs returns the sorted ids of the tasks that match. They are sorted without the
// lock, so that listing a full queue does not delay the replay.
func (h *Handler) taskIDs(matches func(*wire.TaskState) bool) []string {
	var ids []string
	h.State.View(func(state *replayer.State) {
		for task := range state.Tasks() {
			if matches(task) {
				ids = append(ids, task.GetSpec().GetTask())
			}
		}
	})
	slices.Sort(ids)
	return ids
}

// idsAfter returns the part of sorted ids that follows one, all of them if that is empty.
func idsAfter(ids []string, after string) []string {
	if after == "" {
		return ids
	}
	from, found := slices.BinarySearch(ids, after)
	if found {
		from++
	}
	return ids[from:]
}

// tasks returns the tasks with the given ids that still exist.
func (h *Handler) tasks(ids []string) []client.Task {
	tasks := []client.Task{}
	h.State.View(func(state *replayer.State) {
		for _, id := range ids {
			if task, exists := state.Task(id); exists {
				tasks = append(tasks, toClientTask(task))
			}
		}
	})
	return tasks
}

// matchesFilter reports whether the filter is empty or equals the value.
func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

func (h *Handler) submitTask(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return bodyError(err, "cannot be read completely")
	}
	r.Body = io.NopCloser(bytesReader(body))
	var request client.TaskRequest
	if err := decodeBody(r, &request); err != nil {
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
	// The decoded request is hashed, so that spaces and the order of fields in
	// the JSON text do not count as a difference.
	canonical, err := json.Marshal(request)
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "the body cannot be encoded: %v", err)
	}
	hash := sha256.Sum256(canonical)
	spec.BodyHash = hash[:]
	if existing, exists, err := h.taskByKey(spec); exists || err != nil {
		return writeTask(w, http.StatusOK, existing, err)
	}
	if err := h.submit(r.Context(), spec, actorName(r, spec.GetTeam())); err != nil {
		// A concurrent submission with the same idempotency key may have created
		// the task first.
		if existing, exists, keyErr := h.taskByKey(spec); isConflict(err) && (exists || keyErr != nil) {
			return writeTask(w, http.StatusOK, existing, keyErr)
		}
		return err
	}
	task, _ := h.task(spec.GetTask())
	return writeTask(w, http.StatusCreated, task, nil)
}

// writeTask writes the task, or returns err for the error response.
func writeTask(w http.ResponseWriter, status int, task client.Task, err error) error {
	if err == nil {
		writeJSON(w, status, task)
	}
	return err
}

// isConflict reports whether the error may stem from a concurrent submission.
func isConflict(err error) bool {
	var refusal *damaskspread.RefusalError
	return errors.As(err, &refusal) && (refusal.Reason == damaskspread.ReasonConflict || refusal.Reason == damaskspread.ReasonKeyReused)
}

// taskByKey returns the task that the team submitted with the same idempotency
// key. It is an error if that submission had another body.
func (h *Handler) taskByKey(spec *wire.TaskSpec) (task client.Task, exists bool, err error) {
	if spec.GetIdempotencyKey() == "" {
		return client.Task{}, false, nil
	}
	h.State.View(func(state *replayer.State) {
		existing, found := state.TaskByKey(spec.GetTeam(), spec.GetIdempotencyKey())
		if !found {
			return
		}
		if !slices.Equal(existing.GetSpec().GetBodyHash(), spec.GetBodyHash()) {
			err = damaskspread.NotRun(damaskspread.ReasonKeyReused,
				"team %s used this idempotency key for task %s with another body", spec.GetTeam(), existing.GetSpec().GetTask())
			return
		}
		task, exists = toClientTask(existing), true
		task.Replayed = true
	})
	return task, exists, err
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
	return effects[0].asError("task " + spec.GetTask())
}

func (h *Handler) cancelTask(w http.ResponseWriter, r bunrouter.Request) error {
	id := pathParam(r, "task")
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
		return writeOK(w, task)
	}
	record := h.newRecord(actorName(r, team))
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
	if err := effects[0].asError("task " + id); err != nil {
		return err
	}
	task, _ = h.task(id)
	return writeOK(w, task)
}
