package damaskspread

import (
	"fmt"
	"time"
)

// Metadata keys of Connect RPC errors that carry the Outcome and the Reason of a
// RefusalError between processes.
const (
	MetaOutcome = HeaderOutcome
	MetaReason  = "Damaskspread-Reason"
)

// AddAge returns age+elapsed for a currency age, but at most MaxAge: an overflow
// would yield a negative age and make a stale process look current. A negative
// argument also yields MaxAge.
func AddAge(age, elapsed time.Duration) time.Duration {
	if age < 0 || elapsed < 0 || age > MaxAge-elapsed {
		return MaxAge
	}
	return age + elapsed
}

// AgeFromMicros converts a currency age received in microseconds. A negative
// age or one that does not fit a time.Duration becomes MaxAge.
func AgeFromMicros(micros int64) time.Duration {
	if micros < 0 || micros > int64(MaxAge/time.Microsecond)-1 {
		return MaxAge
	}
	return time.Duration(micros) * time.Microsecond
}

// AgeMicros converts a currency age to microseconds. It rounds up, because the
// age is an upper bound.
func AgeMicros(age time.Duration) int64 {
	if age >= MaxAge-time.Microsecond {
		return int64(MaxAge / time.Microsecond)
	}
	return int64((age + time.Microsecond - 1) / time.Microsecond)
}

// HistoryLostError means that records expired from the log before this process
// read them, and that neither a snapshot nor another entry process has their
// effects.
type HistoryLostError struct {
	// From is the first offset that the process has not applied.
	From int64
	// First is the oldest offset that the log retains, Next the offset of its
	// next entry.
	First int64
	Next  int64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("records %d to %d expired before they were read and no snapshot covers them (%s)",
		e.From, e.First-1, ReasonHistoryLost)
}

// AgeText describes a currency age in messages, such as "up to 2s old".
func AgeText(age time.Duration) string {
	if age >= MaxAge {
		return "of unknown age: the log has not been replayed yet"
	}
	return fmt.Sprintf("up to %s old", age.Round(time.Millisecond))
}
