package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as far as the system uses it: appends with a
// condition, reads with a long poll, and the newest record of each key.
type store struct {
	rec  *recorder
	addr string

	mu     sync.Mutex
	topics map[string]*topic
	era    int
	down   bool
	// silent means that calls get no answer while the store is down; else their channels are reset.
	silent  bool
	changed chan struct{}
	// onAppend is called with each record that is appended by a caller.
	onAppend func(topic string, offset int, key string, value []byte)
}

type topic struct {
	records [][]byte
	// times are when the records were written.
	times []time.Time
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, topics: map[string]*topic{}, era: 1, changed: make(chan struct{})}
	listener := listenLoopback()
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.handleAppend)
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			down, era := s.down, s.era
			s.mu.Unlock()
			if down {
				s.noAnswer(w, r)
				return
			}
			w.Header().Set("Store-Era", strconv.Itoa(era))
			mux.ServeHTTP(w, r)
		}))
	}()
	return s
}

// noAnswer leaves a call without an answer, as long as its caller waits or until the channel ends.
func (s *store) noAnswer(w http.ResponseWriter, r *http.Request) {
	if s.silent {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	closeConn(w)
}

// closeConn ends a channel without an answer.
func closeConn(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// signalChange wakes the long polls. The caller holds the lock.
func (s *store) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the newest record of a key, as the operator and the runners do.
func (s *store) put(topicName, key string, value any) {
	data := []byte{}
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	t := s.topic(topicName)
	t.records = append(t.records, append(append([]byte{byte(len(key))}, key...), data...))
	t.times = append(t.times, time.Now())
	s.signalChange()
}

// setDown lets the store be away: channels end without an answer.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signalChange()
}

// comeBackFromCopy lets the store come back with what it had at a time.
func (s *store) comeBackFromCopy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.topics {
		n := sort.Search(len(t.times), func(i int) bool { return t.times[i].After(at) })
		s.rec.printf("store: %s comes back with %d of %d records", name, n, len(t.records))
		t.records, t.times = t.records[:n:n], t.times[:n:n]
	}
	s.era++
	s.down = false
	s.signalChange()
}

func (s *store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		closeConn(w)
		return
	}
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": len(t.records)})
		return
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := append([]byte(nil), body[4:4+n]...)
		body = body[4+n:]
		t.records, t.times = append(t.records, record), append(t.times, time.Now())
		if s.onAppend != nil && len(record) > 0 && len(record) > int(record[0]) {
			s.onAppend(name, len(t.records)-1, string(record[1:1+record[0]]), record[1+record[0]:])
		}
	}
	s.signalChange()
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "endOffset": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	maxKB, err := strconv.Atoi(r.URL.Query().Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		if s.down || s.era != era {
			// What was waiting when the store went away gets no answer.
			s.mu.Unlock()
			closeConn(w)
			return
		}
		end := len(t.records)
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"firstOffset": 0})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range t.records[from:] {
			if len(out)+len(record)+4 > maxKB<<10 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for offset, record := range t.records {
		newest[string(record[1:1+record[0]])] = offset
	}
	items := []map[string]any{}
	for key, offset := range newest {
		if value := t.records[offset][1+len(key):]; len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
