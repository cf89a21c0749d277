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

// Worker is a client of a worker. It implements damaskspread.WorkerClient. A
// failed call returns WorkerRefusedError if it had no effect, or else
// WorkerUnknownError.
type Worker struct {
	// Address is the base URL of the worker.
	Address string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call. It defaults to two seconds.
	Timeout time.Duration
}

func callWorker[Q, A any](
	ctx context.Context,
	w *Worker,
	method func(wireconnect.WorkerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
	request *Q,
) (*A, error) {
	ctx, cancel, tracker := beginCall(ctx, timeoutOrDefault(w.Timeout))
	defer cancel()
	client := wireconnect.NewWorkerServiceClient(clientOrDefault(w.HTTP), w.Address)
	response, err := method(client, ctx, connect.NewRequest(request))
	switch {
	case err == nil:
		return response.Msg, nil
	case tracker.hadNoEffect(err):
		return nil, &damaskspread.WorkerRefusedError{Detail: err.Error()}
	default:
		return nil, &damaskspread.WorkerUnknownError{Cause: err}
	}
}

// Status returns the worker's clock, capacity, tasks and usage.
func (w *Worker) Status(ctx context.Context) (*wire.StatusResponse, error) {
	return callWorker(ctx, w, wireconnect.WorkerServiceClient.Status, &wire.StatusRequest{})
}

// Start starts a task under the token of the order, or returns the task's state
// if it was started before.
func (w *Worker) Start(ctx context.Context, order *wire.StartRequest) (*wire.WorkerTask, error) {
	response, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Start, order)
	return response.GetTask(), err
}

// Renew extends leases and returns the tasks that do not run under the token of
// their renewal.
func (w *Worker) Renew(ctx context.Context, boot string, renewals []*wire.Renewal) ([]string, error) {
	response, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Renew, &wire.RenewRequest{
		Boot:     boot,
		Renewals: renewals,
	})
	return response.GetMissing(), err
}

// Checkpoint saves the progress of a task and returns the id of the checkpoint.
func (w *Worker) Checkpoint(ctx context.Context, boot, task string, token int64) (string, error) {
	response, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Checkpoint, &wire.CheckpointRequest{
		Boot:  boot,
		Task:  task,
		Token: token,
	})
	return response.GetCheckpoint(), err
}

// Throttle limits a task to a share of its processors, in thousandths.
func (w *Worker) Throttle(ctx context.Context, boot, task string, token int64, permille int) error {
	_, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Throttle, &wire.ThrottleRequest{
		Boot:     boot,
		Task:     task,
		Token:    token,
		Permille: int32(permille),
	})
	return err
}

// Stop stops a task that runs under a token. If it has not started, the worker
// does not start it under that token later.
func (w *Worker) Stop(ctx context.Context, boot, task string, token int64) (*wire.WorkerTask, error) {
	response, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Stop, &wire.StopRequest{
		Boot:  boot,
		Task:  task,
		Token: token,
	})
	return response.GetTask(), err
}

// Fence stops every task whose token is below minToken. The worker refuses orders
// with such tokens later.
func (w *Worker) Fence(ctx context.Context, boot string, minToken int64) error {
	_, err := callWorker(ctx, w, wireconnect.WorkerServiceClient.Fence, &wire.FenceRequest{
		Boot:     boot,
		MinToken: minToken,
	})
	return err
}
