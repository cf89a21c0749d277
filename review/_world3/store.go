package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// appendTime is how long a partition takes for one append (appendMs).
	appendTime = 4 * time.Millisecond
	// pageKeys and pageBytes bound one page of the newest records.
	pageKeys  = 500
	pageBytes = 1 << 20
	// readBytes bounds the records of one read (maxKb).
	readBytes = 1 << 20
	// maxCallBytes bounds the records of one append (callBytes).
	maxCallBytes = 2 << 20
)

// store is the platform's log as PROTOCOL.md describes it, with one partition per topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down makes each call wait until the store is up again or the caller leaves.
	down chan struct{}
}

type topic struct {
	appending sync.Mutex
	records   [][]byte
	newest    map[string]keyedRecord
	producers map[string]*producer
	changed   chan struct{}
}

type keyedRecord struct {
	value  []byte
	offset int64
}

// producer is the state of one producer of a topic, with its last five appends.
type producer struct {
	epoch, sequence int64
	begun           bool
	last            map[int64]appendResult
}

type appendResult struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// setDown makes the store silent, or lets it answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.down = make(chan struct{})
		return
	}
	close(s.down)
	s.down = nil
}

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{
			newest:    map[string]keyedRecord{},
			producers: map[string]*producer{},
			changed:   make(chan struct{}),
		}
		s.topics[name] = t
	}
	return t
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down != nil {
		// Nothing is done and nothing is answered.
		<-r.Context().Done()
		return
	}
	t := s.topic(r.URL.Query().Get("topic"))
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, t)
	case "/log-read":
		s.serveRead(w, r, t)
	case "/log-newest":
		s.serveNewest(w, r, t)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func queryInt(r *http.Request, key string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, t *topic) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) > maxCallBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && queryInt(r, "at") != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	p, status, answer := t.checkProducer(r, len(body) == 0)
	if status != 0 {
		writeJSON(w, status, answer)
		return
	}
	result := t.add(body)
	if p != nil && len(body) > 0 {
		p.last[p.sequence] = result
		delete(p.last, p.sequence-5)
	}
	writeJSON(w, http.StatusOK, result)
}

// checkProducer returns the producer of an append, nil without one. Unless status is 0,
// the append is answered with it and takes no effect.
func (t *topic) checkProducer(r *http.Request, empty bool) (p *producer, status int, answer any) {
	name := r.URL.Query().Get("producer")
	if name == "" {
		return nil, 0, nil
	}
	epoch, sequence := queryInt(r, "epoch"), queryInt(r, "sequence")
	p = t.producers[name]
	switch {
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, sequence: sequence, begun: !empty, last: map[int64]appendResult{}}
		t.producers[name] = p
		return p, 0, nil
	case epoch < p.epoch:
		return nil, http.StatusConflict, map[string]string{"reason": "fenced"}
	case empty:
		return p, 0, nil
	}
	if first, repeated := p.last[sequence]; repeated {
		return nil, http.StatusOK, first
	}
	if p.begun && sequence != p.sequence+1 {
		return nil, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
	}
	p.sequence, p.begun = sequence, true
	return p, 0, nil
}

func (t *topic) add(body []byte) appendResult {
	result := appendResult{Offset: int64(len(t.records))}
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		data := body[4 : 4+size]
		body = body[4+size:]
		key := string(data[1 : 1+int(data[0])])
		value := data[1+int(data[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyedRecord{value: value, offset: int64(len(t.records))}
		}
		t.records = append(t.records, data)
	}
	result.End = int64(len(t.records))
	close(t.changed)
	t.changed = make(chan struct{})
	return result
}

// put writes a record of the operator, which is a calling side of its own.
func (s *store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	s.mu.Lock()
	defer s.mu.Unlock()
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(append(append(body, byte(len(key))), key...), value...)
	t.add(body)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, t *topic) {
	from := queryInt(r, "from")
	timer := time.NewTimer(time.Duration(queryInt(r, "waitMs")) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		changed, there := t.changed, int64(len(t.records)) > from
		s.mu.Unlock()
		if there {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for offset := from; offset < int64(len(t.records)) && len(data) < readBytes; offset++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(t.records[offset])))
		data = append(data, t.records[offset]...)
	}
	_, _ = w.Write(data)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, t *topic) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		record := t.newest[key]
		if len(items) == pageKeys || size+len(record.value) > pageBytes {
			break
		}
		size += len(record.value)
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": len(t.records)})
}
