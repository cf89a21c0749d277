package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	storeLatency   = 4 * time.Millisecond
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
)

// store is a stand-in for the platform's metadata store. It keeps the topics whose
// name begins with "keyed.".
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// refusedAppends counts the appends that were refused for their size, and
	// largestRecord is the size of the largest record among them.
	refusedAppends, largestRecord int
}

type topic struct {
	records   []record
	newest    map[string]int // offset of the newest record of each key
	producers map[string]*producer
	changed   chan struct{}
}

type record struct {
	raw   []byte // as appended, without the length
	key   string
	value []byte
}

type producer struct {
	epoch, next int64
	anySequence bool
	results     map[int64][]byte
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newestPage(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func respond(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func parseRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size > maxRecordBytes {
			return nil, false
		}
		raw := body[4 : 4+size]
		if len(raw) == 0 || int(raw[0]) > len(raw)-1 {
			return nil, false
		}
		end := 1 + int(raw[0])
		records = append(records, record{raw: raw, key: string(raw[1:end]), value: raw[end:]})
		body = body[4+size:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, valid := parseRecords(body)
	if !valid || len(body) > maxCallBytes {
		s.noteRefusal(body)
		respond(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && number(r, "at") != end {
		respond(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	var p *producer
	sequence := number(r, "sequence")
	if id := r.URL.Query().Get("producer"); id != "" {
		epoch := number(r, "epoch")
		p = t.producers[id]
		if p == nil {
			p = &producer{epoch: -1}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			respond(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, anySequence: true, results: map[int64][]byte{}}
		}
		if len(records) == 0 {
			respond(w, http.StatusOK, map[string]int64{"offset": end, "end": end})
			return
		}
		if result := p.results[sequence]; result != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(result)
			return
		}
		if !p.anySequence && sequence != p.next {
			respond(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
			return
		}
	}
	t.add(records)
	result, _ := json.Marshal(map[string]int64{"offset": end, "end": int64(len(t.records))})
	if p != nil {
		p.anySequence = false
		p.next = sequence + 1
		p.results[sequence] = result
		delete(p.results, sequence-5)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(result)
}

// noteRefusal remembers an append with a record above the limit.
func (s *store) noteRefusal(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAppends++
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.largestRecord = max(s.largestRecord, size)
		body = body[4+min(size, len(body)-4):]
	}
}

func (t *topic) add(records []record) {
	for _, rec := range records {
		if len(rec.value) == 0 {
			delete(t.newest, rec.key)
		} else {
			t.newest[rec.key] = len(t.records)
		}
		t.records = append(t.records, rec)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator does, and returns once it is acknowledged.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.topic(name).add([]record{{raw: raw, key: key, value: value}})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := int(number(r, "from"))
	timeout := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := len(t.records), t.changed
		var body []byte
		if from < end || number(r, "waitMs") == 0 {
			body = t.page(from)
		}
		s.mu.Unlock()
		if body == nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				s.mu.Lock()
				body = t.page(from)
				s.mu.Unlock()
			}
		}
		_, _ = w.Write(body)
		return
	}
}

func (t *topic) page(from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(t.records) && len(body) < maxPageBytes; i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i].raw)))
		body = append(body, t.records[i].raw...)
	}
	return body
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	size := 0
	more := false
	for _, key := range keys {
		value := base64.StdEncoding.EncodeToString(t.records[t.newest[key]].value)
		if len(items) == maxPageRecords || size+len(value) > maxPageBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, item{Key: key, Value: value, Offset: t.newest[key]})
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}
