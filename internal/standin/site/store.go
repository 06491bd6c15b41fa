// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

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

// StoreMode is how the store responds to requests.
type StoreMode string

// The modes of the store.
const (
	// StoreUp answers normally.
	StoreUp StoreMode = "up"
	// StoreBusy answers every request with status 503.
	StoreBusy StoreMode = "busy"
	// StoreSilent accepts requests and never answers.
	StoreSilent StoreMode = "silent"
	// StoreSlow executes and answers each request after slowDelay.
	StoreSlow StoreMode = "slow"
)

// slowDelay is the delay of a slow store: some 90 times the usual response time.
const slowDelay = 360 * time.Millisecond

// storeRecord is a record of a keyed topic.
type storeRecord struct {
	key    string
	value  []byte
	offset uint64
}

// writerState is the state of a producer in one topic, by which the store fences older epochs and detects repeated
// appends.
type writerState struct {
	epoch, sequence uint64
	// answers has the first offset of each append of this epoch, by sequence number, to answer repeated appends.
	answers map[uint64]uint64
}

type storeTopic struct {
	end     uint64
	records []storeRecord
	newest  map[string]storeRecord
	writers map[string]*writerState
}

// Store is a fake of the platform's store in memory: topics of keyed records, with one partition each. It
// is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	mode   StoreMode
	// recordBytes bounds a record, callBytes all records of an append.
	recordBytes, callBytes int
	// answersToLose is how many of the next appends take effect without an answer.
	answersToLose int
	changed       chan struct{}
	closed        chan struct{}
	// disturbed is called at each change of how the store responds.
	disturbed func()
}

func newStore(recordBytes, callBytes int) *Store {
	return &Store{topics: map[string]*storeTopic{}, mode: StoreUp, recordBytes: recordBytes, callBytes: callBytes, disturbed: func() {}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// SetMode sets how the store responds to requests from now on.
func (s *Store) SetMode(m StoreMode) {
	s.disturbed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// LoseAnswers makes the next n appends take effect without an answer: their connections are aborted.
func (s *Store) LoseAnswers(n int) {
	s.disturbed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Put appends a record without a producer, as operators and workers do. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).append([]storeRecord{{key: key, value: value}})
	s.wake()
}

func (s *Store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]storeRecord{}, writers: map[string]*writerState{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (t *storeTopic) append(records []storeRecord) uint64 {
	first := t.end
	for _, r := range records {
		r.offset = t.end
		t.end++
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	return first
}

// ServeHTTP answers requests to the store, as its mode says.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreSilent:
		s.waitForDisconnect(r)
		return
	case StoreSlow:
		s.waitSlow()
	case StoreUp:
	}
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r, body)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// waitForDisconnect waits until the client disconnects, and aborts the connection.
func (s *Store) waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// waitSlow waits for slowDelay.
func (s *Store) waitSlow() {
	select {
	case <-time.After(slowDelay):
	case <-s.closed:
	}
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	records := decodeRecords(body)
	if s.isTooLong(records, len(body)) {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "too long"})
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	status, answer := t.tryAppend(r, records)
	s.wake()
	isLost := s.answersToLose > 0
	if isLost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if isLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

// isTooLong reports whether an append, or one of its records, is longer than the store's bounds.
func (s *Store) isTooLong(records []storeRecord, callBytes int) bool {
	isLong := func(r storeRecord) bool { return 1+len(r.key)+len(r.value) > s.recordBytes }
	return callBytes > s.callBytes || slices.ContainsFunc(records, isLong)
}

func (t *storeTopic) tryAppend(r *http.Request, records []storeRecord) (int, map[string]any) {
	q := r.URL.Query()
	if q.Has("at") && number(r, "at") != t.end {
		return http.StatusPreconditionFailed, map[string]any{"end": t.end}
	}
	name := q.Get("producer")
	if name == "" {
		first := t.append(records)
		return http.StatusOK, map[string]any{"offset": first, "end": t.end}
	}
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	writer := t.writers[name]
	switch {
	case writer == nil || epoch > writer.epoch:
		writer = &writerState{epoch: epoch, sequence: sequence, answers: map[uint64]uint64{}}
		t.writers[name] = writer
	case epoch < writer.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case len(records) == 0:
		return http.StatusOK, map[string]any{"offset": t.end, "end": t.end}
	default:
		if first, ok := writer.answers[sequence]; ok {
			return http.StatusOK, map[string]any{"offset": first, "end": t.end}
		}
		if sequence != writer.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.sequence + 1}
		}
		writer.sequence = sequence
	}
	first := t.append(records)
	if len(records) > 0 {
		writer.answers[sequence] = first
	}
	return http.StatusOK, map[string]any{"offset": first, "end": t.end}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "startKey")
	deadline := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		out := binary.BigEndian.AppendUint64(nil, t.end)
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range t.records[min(from, t.end):] {
			if len(out)+len(rec.value) > maxAnswerBytes {
				break
			}
			out = appendRecord(out, rec)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 16 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		case <-deadline:
			_, _ = w.Write(out)
			return
		}
	}
}

// An answer has at most maxAnswerBytes of records, and one page of the newest records at most pageRecords of them.
const (
	maxAnswerBytes = 1 << 20
	pageRecords    = 500
)

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	items := []map[string]any{}
	more, size := false, 0
	for _, key := range sortedKeys(t.newest) {
		if key <= after && after != "" {
			continue
		}
		rec := t.newest[key]
		if size += len(rec.value); len(items) == pageRecords || len(items) > 0 && size > maxAnswerBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": t.end})
}

func appendRecord(out []byte, r storeRecord) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
	out = append(out, byte(len(r.key)))
	out = append(out, r.key...)
	return append(out, r.value...)
}

func decodeRecords(data []byte) []storeRecord {
	records := []storeRecord{}
	for len(data) >= 5 {
		n := int(binary.BigEndian.Uint32(data))
		body := data[4 : 4+n]
		key := int(body[0])
		records = append(records, storeRecord{key: string(body[1 : 1+key]), value: body[1+key:]})
		data = data[4+n:]
	}
	return records
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
