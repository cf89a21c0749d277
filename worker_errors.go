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
