package connector

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

var _ damaskspread.WorkerClient = (*Worker)(nil)

// Worker implements damaskspread.WorkerClient. An order without effect fails
// with WorkerRefusedError, one that may have had an effect with
// WorkerUnknownError.
type Worker struct {
	// Address is the base URL of the worker.
	Address string
	// HTTP is http.DefaultClient if nil.
	HTTP *http.Client
	// Timeout bounds each call. It is two seconds if zero.
	Timeout time.Duration
}

func call[Q, A any](
	ctx context.Context,
	w *Worker,
	method func(wireconnect.WorkerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
	request *Q,
) (*A, error) {
	ctx, cancel, a := begin(ctx, orDefault(w.Timeout))
	defer cancel()
	client := wireconnect.NewWorkerServiceClient(orDefaultClient(w.HTTP), w.Address)
	answer, err := method(client, ctx, connect.NewRequest(request))
	switch {
	case err == nil:
		return answer.Msg, nil
	case a.hadNoEffect(err):
		return nil, &damaskspread.WorkerRefusedError{Detail: err.Error()}
	default:
		return nil, &damaskspread.WorkerUnknownError{Cause: err}
	}
}

// Status returns the worker's clock, capacity, tasks and usage.
func (w *Worker) Status(ctx context.Context) (*wire.StatusResponse, error) {
	return call(ctx, w, wireconnect.WorkerServiceClient.Status, &wire.StatusRequest{})
}

// Start starts an attempt, or returns its outcome if it started before.
func (w *Worker) Start(ctx context.Context, order *wire.StartRequest) (*wire.WorkerTask, error) {
	answer, err := call(ctx, w, wireconnect.WorkerServiceClient.Start, order)
	return answer.GetTask(), err
}

// Renew extends leases and returns the tasks not running under their token.
func (w *Worker) Renew(ctx context.Context, boot string, renewals []*wire.Renewal) ([]string, error) {
	answer, err := call(ctx, w, wireconnect.WorkerServiceClient.Renew, &wire.RenewRequest{
		Boot:     boot,
		Renewals: renewals,
	})
	return answer.GetMissing(), err
}

// Checkpoint saves the progress of a task and returns the checkpoint id.
func (w *Worker) Checkpoint(ctx context.Context, boot, task string, token int64) (string, error) {
	answer, err := call(ctx, w, wireconnect.WorkerServiceClient.Checkpoint, &wire.CheckpointRequest{
		Boot:  boot,
		Task:  task,
		Token: token,
	})
	return answer.GetCheckpoint(), err
}

// Throttle limits a task to a share of its processors, in thousandths.
func (w *Worker) Throttle(ctx context.Context, boot, task string, token int64, permille int) error {
	_, err := call(ctx, w, wireconnect.WorkerServiceClient.Throttle, &wire.ThrottleRequest{
		Boot:     boot,
		Task:     task,
		Token:    token,
		Permille: int32(permille),
	})
	return err
}

// Stop stops an attempt. An attempt that never started is refused from then on.
func (w *Worker) Stop(ctx context.Context, boot, task string, token int64) (*wire.WorkerTask, error) {
	answer, err := call(ctx, w, wireconnect.WorkerServiceClient.Stop, &wire.StopRequest{
		Boot:  boot,
		Task:  task,
		Token: token,
	})
	return answer.GetTask(), err
}

// Fence stops every task with a lower token and refuses such tokens later.
func (w *Worker) Fence(ctx context.Context, boot string, minToken int64) error {
	_, err := call(ctx, w, wireconnect.WorkerServiceClient.Fence, &wire.FenceRequest{
		Boot:     boot,
		MinToken: minToken,
	})
	return err
}
