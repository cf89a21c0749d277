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

const (
	// appendTime is what each append takes in a partition.
	appendTime = 4 * time.Millisecond
	// maxNewestItems bounds one page of newest records.
	maxNewestItems = 500
	maxNewestBytes = 1 << 20
	// rememberedAppends is how many responses of a producer are given again.
	rememberedAppends = 5
)

// Store is a stand-in for the platform's metadata store in its log form. Each
// topic has one partition. It loses nothing and answers every call.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	// appending serializes the appends, each of which takes appendTime.
	appending sync.Mutex

	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
	changed   chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int64
}

// producer is what a partition knows of one producer.
type producer struct {
	epoch     int64
	hasLast   bool
	last      int64
	responses map[int64]appendResponse
}

type appendResponse struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[string]*topic{}} }

func (s *Store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{
			newest:    map[string]newestRecord{},
			producers: map[string]*producer{},
			changed:   make(chan struct{}),
		}
		s.topics[name] = t
	}
	return t
}

// Put appends a record as the operator does. An empty value removes the key.
func (s *Store) Put(topicName, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	record = append(record, value...)
	t := s.topic(topicName)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{record})
}

// add appends records. The caller holds the store's mutex.
func (t *topic) add(records [][]byte) appendResponse {
	offset := int64(len(t.records))
	for _, record := range records {
		at := int64(len(t.records))
		t.records = append(t.records, record)
		if len(record) == 0 || int(record[0]) > len(record)-1 {
			continue
		}
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
			continue
		}
		t.newest[key] = newestRecord{value: value, offset: at}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return appendResponse{Offset: offset, End: int64(len(t.records))}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.readNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	t := s.topic(name)
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": len(t.records)})
		return
	}
	if query.Get("producer") == "" {
		writeJSON(w, http.StatusOK, t.add(records))
		return
	}
	s.appendSequenced(w, t, query.Get("producer"), query.Get("epoch"), query.Get("sequence"), records)
}

// appendSequenced appends under a producer's epoch and sequence number. The
// caller holds the mutex.
func (s *Store) appendSequenced(w http.ResponseWriter, t *topic, name, epochText, sequenceText string, records [][]byte) {
	epoch, _ := strconv.ParseInt(epochText, 10, 64)
	sequence, _ := strconv.ParseInt(sequenceText, 10, 64)
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: -1}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, responses: map[int64]appendResponse{}}
	}
	if len(records) == 0 {
		end := int64(len(t.records))
		writeJSON(w, http.StatusOK, appendResponse{Offset: end, End: end})
		return
	}
	if response, known := p.responses[sequence]; known {
		writeJSON(w, http.StatusOK, response)
		return
	}
	if p.hasLast && sequence != p.last+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.last + 1})
		return
	}
	response := t.add(records)
	p.hasLast, p.last = true, sequence
	p.responses[sequence] = response
	delete(p.responses, sequence-rememberedAppends)
	writeJSON(w, http.StatusOK, response)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	maxBytes := 1024 << 10
	if kb, err := strconv.Atoi(query.Get("maxKb")); err == nil {
		maxBytes = kb << 10
	}
	t := s.topic(query.Get("topic"))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		end, changed := len(t.records), t.changed
		s.mu.Unlock()
		if from < end || waitMs == 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.mu.Lock()
	var body []byte
	body = binary.BigEndian.AppendUint64(body, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(t.records); i++ {
		if len(body) > 16 && len(body)+len(t.records[i]) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	t := s.topic(query.Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int64  `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if strings.Compare(key, query.Get("after")) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	bytes := 0
	for i, key := range keys {
		record := t.newest[key]
		bytes += len(key) + len(record.value)
		if i == maxNewestItems || i > 0 && bytes > maxNewestBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
	}
	page.End = int64(len(t.records))
	writeJSON(w, http.StatusOK, page)
}
