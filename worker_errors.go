package damaskspread

import "fmt"

// WorkerUnknownError means that an order to a worker failed but may have taken
// effect.
type WorkerUnknownError struct {
	Cause error
}

func (e *WorkerUnknownError) Error() string {
	return fmt.Sprintf("worker order may have taken effect: %v", e.Cause)
}

func (e *WorkerUnknownError) Unwrap() error { return e.Cause }

// ConnectionLostError means that the connection to a worker was refused or
// broken off, so the worker's process has probably ended. A call that timed out
// does not fail with it. If it is the cause of a WorkerUnknownError, the order
// may have taken effect; on its own, the order was not sent.
type ConnectionLostError struct {
	Cause error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("connection to worker lost: %v", e.Cause)
}

func (e *ConnectionLostError) Unwrap() error { return e.Cause }
