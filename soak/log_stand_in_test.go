package soak_test

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// logHandler serves the HTTP API of the platform's log from an in-memory log.
func logHandler(keyed *emulator.KeyedLogClient) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { serveAppend(w, r, keyed) })
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { serveRead(w, r, keyed) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { serveNewest(w, r, keyed) })
	return mux
}

func queryInt(r *http.Request, key string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	return n
}

func topicParameter(r *http.Request) string { return r.URL.Query().Get("topic")[len("keyed."):] }

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func serveAppend(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	condition := &wire.AppendCondition{}
	if r.URL.Query().Has("at") {
		end := queryInt(r, "at")
		condition.End = &end
	}
	if name := r.URL.Query().Get("producer"); name != "" {
		condition.Producer = &wire.Producer{Name: name, Epoch: queryInt(r, "epoch"), Sequence: queryInt(r, "sequence")}
	}
	result, err := keyed.Append(r.Context(), topicParameter(r), decodeRecords(body), condition)
	var conditionFailed *damaskspread.ConditionFailedError
	var fenced *damaskspread.FencedError
	var outOfSequence *damaskspread.SequenceError
	var unknown *damaskspread.AppendUnknownError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"offset": result.GetOffset(), "end": result.GetEnd()})
	case errors.As(err, &conditionFailed):
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": conditionFailed.End})
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
	case errors.As(err, &outOfSequence):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": outOfSequence.Expected})
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func decodeRecords(body []byte) (records []*wire.KeyedRecord) {
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		data := body[4 : 4+size]
		keyEnd := 1 + int(data[0])
		records = append(records, &wire.KeyedRecord{Key: string(data[1:keyEnd]), Value: data[keyEnd:]})
		body = body[4+size:]
	}
	return records
}

func serveRead(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	page, err := keyed.Read(r.Context(), topicParameter(r), queryInt(r, "from"), time.Duration(queryInt(r, "waitMs"))*time.Millisecond)
	var expired *damaskspread.RetentionPassedError
	if errors.As(err, &expired) {
		writeJSON(w, http.StatusGone, map[string]int64{"first": expired.First})
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(page.GetEnd()))
	data = binary.BigEndian.AppendUint64(data, uint64(page.GetFirst()))
	for _, record := range page.GetRecords() {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.GetKey())+len(record.GetValue())))
		data = append(data, byte(len(record.GetKey())))
		data = append(data, record.GetKey()...)
		data = append(data, record.GetValue()...)
	}
	_, _ = w.Write(data)
}

func serveNewest(w http.ResponseWriter, r *http.Request, keyed *emulator.KeyedLogClient) {
	page, err := keyed.Newest(r.Context(), topicParameter(r), r.URL.Query().Get("after"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, record := range page.GetRecords() {
		items = append(items, item{Key: record.GetKey(), Value: record.GetValue(), Offset: record.GetOffset()})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": page.GetMore(), "end": page.GetEnd()})
}
