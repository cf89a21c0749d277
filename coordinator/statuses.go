package coordinator

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

// statusWriter appends the job statuses that clients see to the log. A status is
// added only after the progress behind it is stored.
type statusWriter struct {
	writer *writer

	mu      sync.Mutex
	pending []*wire.KeyedRecord
	wake    chan struct{}
}

func newStatusWriter(w *writer) *statusWriter {
	return &statusWriter{
		writer: w,
		wake:   make(chan struct{}, 1),
	}
}

func (s *statusWriter) add(records ...*wire.KeyedRecord) {
	s.mu.Lock()
	s.pending = append(s.pending, records...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *statusWriter) addStatus(id string, state wire.JobState) {
	record, err := indexer.StatusRecord(id, state)
	if err != nil {
		log.Error().Str("job", id).Err(err).Msg("job status not recorded: encoding failed")
		return
	}
	s.add(record)
}

func (s *statusWriter) takePending() []*wire.KeyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.pending
	s.pending = nil
	return records
}

// run appends added records until the context ends or an append fails.
func (s *statusWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		records := s.takePending()
		if len(records) == 0 {
			continue
		}
		s.writer.wait.begin(s.writer.elapsed.Elapsed())
		_, err := s.writer.append(ctx, records)
		s.writer.wait.end()
		if err != nil {
			log.Warn().Int("records", len(records)).Err(err).Msg("job statuses not recorded: leadership ended")
			return
		}
	}
}
