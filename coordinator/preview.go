package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxPreviewBytes bounds the job of a preview.
	maxPreviewBytes = 256 << 10
	// maxPreviewCalls bounds the calls that wait for a cycle; further ones are refused.
	maxPreviewCalls = 8
	// previewInterval is the shortest time between two previews.
	previewInterval = 250 * time.Millisecond
	// previewShare is how many times the duration of a preview passes until the next one.
	// A leader with a tenth of a processor takes ten times as long for it.
	previewShare = 20
	// previewTimeout covers maxPreviewCalls calls before this one at previewInterval.
	previewTimeout = 2500 * time.Millisecond
	// maxPreviewChecks bounds the checks of a task on a host in one preview, which then
	// takes about 10 ms, as BenchmarkPreview of package planner shows.
	maxPreviewChecks = 50_000
	// maxPreviewHosts bounds the hosts in the preview of a step.
	maxPreviewHosts = 64
	// previewJobID is the id of jobs in previews. Ids of jobs are 16 hexadecimal digits,
	// so it is none of them.
	previewJobID = "preview"
)

var (
	errNoPreviews      = errors.New("this process computes no previews")
	errPreviewTooLarge = errors.New("the job is too large")
	errUnknownQueue    = errors.New("no such queue")
	errPreviewsWaiting = errors.New("too many previews are waiting")
	errPreviewLate     = errors.New("no preview in time: the leader doesn't plan, because what it knows is too old, or is busy")
)

// JobScreen decides on jobs as an entry does on submissions.
type JobScreen interface {
	// Preview sets the policy of the queue in the job and returns the decision on it,
	// nil if admission is off. It changes nothing else. The error is a RefusalError if
	// the job is invalid.
	Preview(queue *wire.Queue, job *wire.Job) (*screener.Decision, error)
}

// previewCall is a call of PreviewJob that the goroutine of Run answers.
type previewCall struct {
	ctx    context.Context
	job    *tracker.Job
	result chan *wire.JobPreview
}

// PreviewJob implements wireconnect.CoordinatorServiceHandler. The preview is computed by
// the goroutine of Run at the end of a cycle, because the jobs and hosts are its own.
func (c *Coordinator) PreviewJob(ctx context.Context, request *connect.Request[wire.PreviewJobRequest]) (*connect.Response[wire.PreviewJobResponse], error) {
	if !c.isLeading() {
		return connect.NewResponse(&wire.PreviewJobResponse{
			Leader: c.Elector.Leader(),
		}), nil
	}
	if c.Screen == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoPreviews)
	}
	if proto.Size(request.Msg) > maxPreviewBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errPreviewTooLarge)
	}
	job := proto.CloneOf(request.Msg.GetJob())
	queue := c.queue(job.GetQueue())
	if queue == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errUnknownQueue)
	}
	job.Id = previewJobID
	decision, err := c.Screen.Preview(queue, job)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	preview, err := c.awaitPreview(ctx, job)
	if err != nil {
		return nil, err
	}
	preview.Admission = admissionPreview(decision)
	return connect.NewResponse(&wire.PreviewJobResponse{
		Preview: preview,
	}), nil
}

func (c *Coordinator) isLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

// queue returns a queue of the configuration, or nil.
func (c *Coordinator) queue(name string) *wire.Queue {
	config, _ := c.Operations.Config()
	for _, queue := range config.GetQueues() {
		if queue.GetName() == name {
			return queue
		}
	}
	return nil
}

func (c *Coordinator) awaitPreview(ctx context.Context, job *wire.Job) (*wire.JobPreview, error) {
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	call := &previewCall{
		ctx:    ctx,
		job:    tracker.New(job),
		result: make(chan *wire.JobPreview, 1),
	}
	select {
	case c.previews <- call:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errPreviewsWaiting)
	}
	select {
	case preview := <-call.result:
		return preview, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errPreviewLate)
	}
}

// answerPreview answers one waiting call of PreviewJob, unless the last one was too short
// a time ago or the cycle has no plan.
func (c *Coordinator) answerPreview(cycle *cycleState, epoch int64) {
	if cycle.hosts == nil || cycle.now < c.nextPreview {
		return
	}
	for {
		select {
		case call := <-c.previews:
			if call.ctx.Err() != nil {
				continue
			}
			started := c.Elapsed.Elapsed()
			call.result <- c.preview(cycle, epoch, call.job)
			took := c.Elapsed.Elapsed() - started
			c.nextPreview = cycle.now + max(previewInterval, previewShare*took)
		default:
		}
		return
	}
}

func (c *Coordinator) preview(cycle *cycleState, epoch int64, job *tracker.Job) *wire.JobPreview {
	if c.runTimes != nil {
		capacities := capacitiesOf(cycle.views)
		job.Predict(func(step int) tracker.StepPrediction { return c.runTimes.predictStep(job, step, capacities) })
	}
	var waiting []*tracker.Group
	for _, group := range cycle.groups {
		if group.Pending() > 0 {
			waiting = append(waiting, group)
		}
	}
	now := c.Clock.Now().UnixMilli()
	preview := &wire.JobPreview{
		Epoch:     epoch,
		Queue:     job.Spec().GetQueue(),
		Priority:  job.Spec().GetPriority(),
		Service:   job.Service(),
		CostOrder: c.Planner.CostOrder,
		Hosts:     int32(len(cycle.hosts)),
	}
	for i, step := range job.Spec().GetSteps() {
		preview.Steps = append(preview.Steps, &wire.StepPreview{
			Step:     int32(i),
			Tasks:    step.GetCount(),
			NotReady: true,
		})
	}
	for _, step := range c.Planner.Preview(job, waiting, cycle.hosts, now, maxPreviewChecks) {
		setStepPreview(preview.Steps[step.Group.StepIndex()], step, now)
	}
	return preview
}

func setStepPreview(preview *wire.StepPreview, step planner.StepPreview, nowUnixMs int64) {
	waiting := planner.WaitingOf(step.Group, nowUnixMs)
	cost := planner.CostOf(waiting)
	preview.NotReady = false
	preview.TasksTried = int32(step.Tried)
	preview.Obstacles = previewObstacles(step.Obstacles)
	preview.RemainingObstacles = previewObstacles(step.Remaining)
	preview.StepsFirst = int32(step.First)
	preview.StepsWaiting = int32(step.Waiting)
	preview.CostClass = cost.Class.String()
	preview.CostAmount = cost.Amount
	preview.SlackMs = waiting.Slack().Milliseconds()
	for host, tasks := range step.Starts {
		preview.Starts += int32(tasks)
		preview.Hosts = append(preview.Hosts, &wire.HostStarts{
			Host:  host,
			Tasks: int32(tasks),
		})
	}
	slices.SortFunc(preview.Hosts, func(a, b *wire.HostStarts) int {
		return cmp.Or(cmp.Compare(b.GetTasks(), a.GetTasks()), cmp.Compare(a.GetHost(), b.GetHost()))
	})
	if more := len(preview.Hosts) - maxPreviewHosts; more > 0 {
		preview.MoreHosts = int32(more)
		preview.Hosts = preview.Hosts[:maxPreviewHosts]
	}
}

func previewObstacles(obstacles map[planner.Obstacle]int) map[string]int32 {
	counts := map[string]int32{}
	for name, hosts := range obstacleCounts(obstacles) {
		counts[name] = int32(hosts)
	}
	return counts
}

func admissionPreview(decision *screener.Decision) *wire.AdmissionPreview {
	if decision == nil {
		return nil
	}
	return &wire.AdmissionPreview{
		Refused:       decision.Refused(),
		Reason:        string(decision.Reason),
		WaitMs:        decision.Wait.Milliseconds(),
		PathMs:        decision.Path.Milliseconds(),
		LimitMs:       decision.Limit.Milliseconds(),
		RetryAfterMs:  decision.RetryAfter.Milliseconds(),
		EstimateAgeMs: decision.EstimateAge.Milliseconds(),
	}
}
