package operator

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/validator"
	"damaskspread.example/damaskspread/wire"
)

func bytesReader(body []byte) io.Reader { return bytes.NewReader(body) }

// taskSpec validates a submission and fills unset values from the section of
// its kind. Quotas are not checked here: they limit the running tasks, and the
// queue may hold more.
func (h *Handler) taskSpec(request *client.TaskRequest) (*wire.TaskSpec, error) {
	if err := checkNames(request); err != nil {
		return nil, err
	}
	kind, kinds := h.kind(request.Kind)
	spec := &wire.TaskSpec{
		Task:               request.Task,
		Team:               request.Team,
		Class:              validator.TaskClass(request.Class),
		Kind:               request.Kind,
		ExpectedDurationMs: request.ExpectedDurationMs,
		MaxWaitMs:          request.MaxWaitMs,
		CanCheckpoint:      request.CanCheckpoint,
		Zones:              request.Zones,
		Parameters:         request.Parameters,
		SubmittedUnixMs:    h.Clock.Now().UnixMilli(),
		Resources: &wire.Resources{
			Millicores:   request.Resources.Millicores,
			MemoryBytes:  request.Resources.MemoryBytes,
			Accelerators: request.Resources.Accelerators,
		},
	}
	if spec.GetTask() == "" {
		spec.Task = h.newID()
	}
	if kind != nil {
		applyKindDefaults(spec, kind)
	}
	if spec.GetClass() == wire.TaskClass_TASK_CLASS_UNSPECIFIED {
		hint := ""
		if nearest := validator.Nearest(request.Kind, kinds); kind == nil && nearest != "" {
			hint = "; no section [kind " + request.Kind + "], did you mean " + nearest + "?"
		}
		return nil, badRequest("class is batch or latency_critical, or the kind's section declares it%s", hint)
	}
	return spec, checkQuantities(spec)
}

func badRequest(format string, args ...any) error {
	return damaskspread.NotRun(damaskspread.ReasonBadRequest, format, args...)
}

func checkNames(request *client.TaskRequest) error {
	switch {
	case request.Task != "" && !validator.IsName(request.Task):
		return badRequest("task must be a name of up to 63 letters, digits, _, . and -")
	case !validator.IsName(request.Team):
		return badRequest("team is required, a name of up to 63 letters, digits, _, . and -")
	case !validator.IsName(request.Kind):
		return badRequest("kind is required, a name of up to 63 letters, digits, _, . and -")
	case request.Class != "" && validator.TaskClass(request.Class) == wire.TaskClass_TASK_CLASS_UNSPECIFIED:
		return badRequest("class is batch or latency_critical, found %q", request.Class)
	}
	for _, zone := range request.Zones {
		if !validator.IsName(zone) {
			return badRequest("zones lists names of zones, found %q", zone)
		}
	}
	return nil
}

// kind returns the section of a kind, or nil if no valid section declares it,
// and the names of all declared kinds.
func (h *Handler) kind(name string) (*validator.Kind, []string) {
	declarations := slices.DeleteFunc(h.sections(), func(section *wire.SectionState) bool {
		return !strings.HasPrefix(section.GetSection(), "kind ")
	})
	document, _ := validator.DocumentFromSections(slices.Values(declarations))
	var names []string
	for kind := range document.Kinds() {
		names = append(names, kind.Name())
	}
	kind, declared := document.Kind(name)
	if !declared {
		return nil, names
	}
	return kind, names
}

// applyKindDefaults sets the values that the submission left unset.
func applyKindDefaults(spec *wire.TaskSpec, kind *validator.Kind) {
	if spec.GetClass() == wire.TaskClass_TASK_CLASS_UNSPECIFIED {
		spec.Class = kind.Class()
	}
	for _, parameter := range []struct {
		target       *int64
		defaultValue int64
	}{
		{target: &spec.Resources.Millicores, defaultValue: kind.Resources().GetMillicores()},
		{target: &spec.Resources.MemoryBytes, defaultValue: kind.Resources().GetMemoryBytes()},
		{target: &spec.Resources.Accelerators, defaultValue: kind.Resources().GetAccelerators()},
		{target: &spec.MaxWaitMs, defaultValue: kind.MayWait().Milliseconds()},
	} {
		if *parameter.target == 0 {
			*parameter.target = parameter.defaultValue
		}
	}
}

func checkQuantities(spec *wire.TaskSpec) error {
	maxMs := int64(maxDeclaredDuration / time.Millisecond)
	requested := spec.GetResources()
	for _, quantity := range []struct {
		name       string
		value, low int64
		high       int64
	}{
		// Without a minimum, any number of tasks that request no processors
		// would fit on a host.
		{"resources.millicores", requested.GetMillicores(), 1, maxResource},
		{"resources.memory_bytes", requested.GetMemoryBytes(), 0, maxResource},
		{"resources.accelerators", requested.GetAccelerators(), 0, maxResource},
		{"expected_duration_ms", spec.GetExpectedDurationMs(), 0, maxMs},
		{"max_wait_ms", spec.GetMaxWaitMs(), 0, maxMs},
	} {
		if quantity.value < quantity.low || quantity.value > quantity.high {
			return badRequest("%s must be a number from %d to %d, found %d", quantity.name, quantity.low, quantity.high, quantity.value)
		}
	}
	return nil
}
