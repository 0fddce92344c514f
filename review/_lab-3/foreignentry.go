package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// foreignMachines is the number of machines, and foreignFor how long the case lasts.
	foreignMachines = 4
	foreignFor      = 75 * time.Second
	// foreignInterval is the interval at which another writer writes its entry: some liveness reports.
	foreignInterval = 12 * time.Second
	// maxKeyBytes is the longest key whose length fits into one byte.
	maxKeyBytes = 255
)

// foreignEntry lets another writer write an entry with the longest key to the server list. The rule is
// broken if processes of two machines end by themselves three times.
func foreignEntry(c *caseRun) (broken bool, err error) {
	p := newPlatform()
	defer p.close()
	store := newestStore{p.store}
	server := httptest.NewServer(store)
	defer server.Close()
	defer server.CloseClientConnections()
	var machines []*machine
	for i := range foreignMachines {
		m, err := newMachine(c.dir, fmt.Sprint("front-", i+1), "zone-a", strings.TrimPrefix(server.URL, "http://"), c.record)
		if err != nil {
			return false, err
		}
		if err := m.start(); err != nil {
			return false, err
		}
		defer m.stop()
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), foreignFor)
	defer cancel()
	var clients sync.WaitGroup
	var served, unserved atomic.Int64
	for _, m := range machines {
		clients.Go(func() { ordinaryClient(ctx, c.record, m, &served, &unserved) })
	}
	id := "f" + strings.Repeat("0", maxKeyBytes-1)
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
			continue
		case <-time.After(foreignInterval):
		}
		if c.trouble {
			c.record.line("another writer: writes the entry %d with a key of %d bytes to the server list", n+1, len(id))
			p.store.PutServer(id, []byte(fmt.Sprintf(`{"kind":"batch","sequence":%d}`, n+1)))
		}
	}
	clients.Wait()
	for _, m := range machines {
		ends, _, _ := m.counts()
		c.record.say("%s: %d processes ended by themselves", m.name, ends)
	}
	c.record.say("ordinary requests: %d served, %d not", served.Load(), unserved.Load())
	return faultyMachines(machines) >= machinesForFault, nil
}

// newestStore answers log-newest by itself: the project's stand-in can't tell keys of 255 bytes apart.
type newestStore struct{ store *standin.Store }

// ServeHTTP implements http.Handler.
func (s newestStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/log-newest" {
		s.store.Config.Handler.ServeHTTP(w, r)
		return
	}
	query := url.Values{"topic": {r.URL.Query().Get("topic")}, "part": {"0"}, "from": {"0"}}
	answer := httptest.NewRecorder()
	s.store.Config.Handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/log-read?"+query.Encode(), nil))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest, offset := map[string]item{}, 0
	for rest := answer.Body.Bytes()[16:]; len(rest) >= 4; offset++ {
		record := rest[4 : 4+binary.BigEndian.Uint32(rest)]
		rest = rest[4+len(record):]
		keyEnd := 1 + int(record[0])
		newest[string(record[1:keyEnd])] = item{string(record[1:keyEnd]), base64.StdEncoding.EncodeToString(record[keyEnd:]), offset}
	}
	items := []item{}
	for _, i := range newest {
		if i.Value != "" {
			items = append(items, i)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": offset})
}
