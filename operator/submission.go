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

// taskSpec checks a submission and fills in what its kind declares. Quotas are
// not checked here: they bound what runs, and the queue may hold more.
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
		fillIn(spec, kind)
	}
	if spec.GetClass() == wire.TaskClass_TASK_CLASS_UNSPECIFIED {
		hint := ""
		if near := validator.Nearest(request.Kind, kinds); kind == nil && near != "" {
			hint = "; no section [kind " + request.Kind + "], did you mean " + near + "?"
		}
		return nil, bad("class is batch or latency_critical, or the kind's section declares it%s", hint)
	}
	return spec, checkAmounts(spec)
}

func bad(format string, args ...any) error {
	return damaskspread.NotRun(damaskspread.ReasonBadRequest, format, args...)
}

func checkNames(request *client.TaskRequest) error {
	switch {
	case request.Task != "" && !validator.IsName(request.Task):
		return bad("task is a name of up to 63 letters, digits, _, . and -")
	case !validator.IsName(request.Team):
		return bad("team is required, a name of up to 63 letters, digits, _, . and -")
	case !validator.IsName(request.Kind):
		return bad("kind is required, a name of up to 63 letters, digits, _, . and -")
	case request.Class != "" && validator.TaskClass(request.Class) == wire.TaskClass_TASK_CLASS_UNSPECIFIED:
		return bad("class is batch or latency_critical, found %q", request.Class)
	}
	for _, zone := range request.Zones {
		if !validator.IsName(zone) {
			return bad("zones lists names of zones, found %q", zone)
		}
	}
	return nil
}

// kind returns the checked section of a kind and the names of all kinds.
func (h *Handler) kind(name string) (*validator.Kind, []string) {
	declarations := slices.DeleteFunc(h.sections(), func(section *wire.SectionState) bool {
		return !strings.HasPrefix(section.GetSection(), "kind ")
	})
	document, _ := validator.FromSections(slices.Values(declarations))
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

func fillIn(spec *wire.TaskSpec, kind *validator.Kind) {
	if spec.GetClass() == wire.TaskClass_TASK_CLASS_UNSPECIFIED {
		spec.Class = kind.Class()
	}
	for _, pair := range []struct {
		target   *int64
		fallback int64
	}{
		{target: &spec.Resources.Millicores, fallback: kind.Resources().GetMillicores()},
		{target: &spec.Resources.MemoryBytes, fallback: kind.Resources().GetMemoryBytes()},
		{target: &spec.Resources.Accelerators, fallback: kind.Resources().GetAccelerators()},
		{target: &spec.MaxWaitMs, fallback: kind.MayWait().Milliseconds()},
	} {
		if *pair.target == 0 {
			*pair.target = pair.fallback
		}
	}
}

func checkAmounts(spec *wire.TaskSpec) error {
	limit := int64(maxDuration / time.Millisecond)
	need := spec.GetResources()
	for _, amount := range []struct {
		name       string
		value, low int64
		high       int64
	}{
		// A task without processors would fit on every host without bound.
		{"resources.millicores", need.GetMillicores(), 1, maxResource},
		{"resources.memory_bytes", need.GetMemoryBytes(), 0, maxResource},
		{"resources.accelerators", need.GetAccelerators(), 0, maxResource},
		{"expected_duration_ms", spec.GetExpectedDurationMs(), 0, limit},
		{"max_wait_ms", spec.GetMaxWaitMs(), 0, limit},
	} {
		if amount.value < amount.low || amount.value > amount.high {
			return bad("%s is a number from %d to %d, found %d", amount.name, amount.low, amount.high, amount.value)
		}
	}
	return nil
}
