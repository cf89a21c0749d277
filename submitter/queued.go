package submitter

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// queuedRecord is a record that waits to be appended, with the result for the
// call that waits for it.
type queuedRecord struct {
	record *wire.KeyedRecord
	done   chan struct{}
	// offset is valid once done is closed: the record is then in the log.
	offset int64
	// maybeAppended is set during an append of the record, and stays set after an
	// append with an unknown outcome.
	maybeAppended bool
	// outcomeUnknown is set after an append with an unknown outcome.
	outcomeUnknown bool
	// err is the error of the last append.
	err error
	// rejected is set once the log has rejected the record, before done is closed.
	rejected bool
	// urgent records are appended before others and apart from them.
	urgent bool
	// onDone is called after done is closed; nil if nothing is to be called.
	onDone func()
}

// result returns the offset of a record, or the refusal of one that the log rejects. It
// may be called once done is closed.
func (q *queuedRecord) result() (int64, error) {
	switch {
	case !q.rejected:
		return q.offset, nil
	case q.maybeAppended:
		return 0, appendRefusal(true, q.err)
	default:
		return 0, damaskspread.NotRun(damaskspread.ReasonTooLarge, "%v", q.err)
	}
}
