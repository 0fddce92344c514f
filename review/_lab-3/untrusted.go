package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	host = "shop.example"
	// untrustedConnections are those of untrusted clients at each machine, and untrustedPerSecond the
	// requests that they send there together.
	untrustedConnections = 32
	untrustedPerSecond   = 1000
	untrustedFor         = 100 * time.Second
	// nameBytes is the length of the names that they send. The manifest allows heads of 16 KB.
	nameBytes = 15 << 10
	// ordinaryInterval is the interval of the requests of ordinary clients.
	ordinaryInterval = 100 * time.Millisecond
	// machinesForFault and endsForFault: the rule is broken if on so many machines processes end so often.
	endsForFault     = 3
	machinesForFault = 2
)

// longIDs lets untrusted clients ask for a model that is loaded, with long IDs of their attempts.
func longIDs(c *caseRun) (broken bool, err error) {
	return exhaustMemory(c, func() (id, model string) { return randomID() + strings.Repeat("x", nameBytes), loadedModel })
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// exhaustMemory lets untrusted clients send requests of legal size, whose IDs and models next returns, beside
// those of ordinary clients. The rule is broken if processes of two machines end by themselves three times.
func exhaustMemory(c *caseRun, next func() (id, model string)) (broken bool, err error) {
	platform := newPlatform()
	defer platform.close()
	var machines []*machine
	for i := range 2 {
		m, err := newMachine(c.dir, fmt.Sprint("front-", i+1), "zone-a", platform.store.Address(), c.record)
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
	ctx, cancel := context.WithTimeout(context.Background(), untrustedFor)
	defer cancel()
	var clients sync.WaitGroup
	var untrusted, answered, served, unserved atomic.Int64
	for _, m := range machines {
		clients.Go(func() { ordinaryClient(ctx, c.record, m, &served, &unserved) })
		if !c.trouble {
			continue
		}
		for range untrustedConnections {
			clients.Go(func() { sendUntrusted(ctx, m.front, next, &untrusted, &answered) })
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
		if faultyMachines(machines) >= machinesForFault {
			cancel()
		}
		for _, m := range machines {
			ends, overMemory, peak := m.counts()
			c.record.line("%s: %d processes ended, %d of them over the memory; peak %d MB", m.name, ends, overMemory, peak)
		}
		c.record.line("requests of untrusted clients: %d sent, %d answered with success; ordinary ones: %d served, %d not", untrusted.Load(), answered.Load(), served.Load(), unserved.Load())
	}
	clients.Wait()
	for _, m := range machines {
		ends, overMemory, peak := m.counts()
		c.record.say("%s: %d processes ended by themselves, %d of them over the memory of %d MB; peak %d MB", m.name, ends, overMemory, memoryMB, peak)
	}
	c.record.say("requests of untrusted clients: %d sent, %d answered with success; ordinary ones: %d served, %d not", untrusted.Load(), answered.Load(), served.Load(), unserved.Load())
	return faultyMachines(machines) >= machinesForFault, nil
}

// faultyMachines returns the number of machines on which processes have ended by themselves too often.
func faultyMachines(machines []*machine) int {
	faulty := 0
	for _, m := range machines {
		if ends, _, _ := m.counts(); ends >= endsForFault {
			faulty++
		}
	}
	return faulty
}

// sendUntrusted sends requests on one connection after the other.
func sendUntrusted(ctx context.Context, address string, next func() (id, model string), sent, answered *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		sendAndRead(ctx, conn, next, sent, answered)
		_ = conn.Close()
	}
}

// untrustedPace is the interval of the requests on one connection.
const untrustedPace = time.Second * untrustedConnections / untrustedPerSecond

// writeRequest writes a request without a body.
func writeRequest(conn net.Conn, id, model string) error {
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: %s\r\nCyclamenhoist-Attempt-Id: %s\r\nCyclamenhoist-Model: %s\r\nCyclamenhoist-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", host, id, model)
	return err
}

// sendAndRead sends requests at an even rate, each after the answer to the one before.
func sendAndRead(ctx context.Context, conn net.Conn, next func() (id, model string), sent, answered *atomic.Int64) {
	reader, due := bufio.NewReader(conn), time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(due))
		due = due.Add(untrustedPace)
		if late := time.Now().Add(-time.Second); due.Before(late) {
			due = late
		}
		id, model := next()
		if writeRequest(conn, id, model) != nil {
			return
		}
		sent.Add(1)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && err == nil {
			answered.Add(1)
		}
		if resp.Close || err != nil {
			return
		}
	}
}

// ordinaryClient sends requests for a model that is loaded, and counts those that are served.
func ordinaryClient(ctx context.Context, r *record, m *machine, served, unserved *atomic.Int64) {
	client := &http.Client{Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%06d", m.name, n)
		status, err := ordinaryRequest(client, m.front, id, loadedModel)
		if status == http.StatusOK && err == nil {
			served.Add(1)
		} else {
			unserved.Add(1)
			r.line("%s: ordinary request %s: status %d, %v", m.name, id, status, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(ordinaryInterval):
		}
	}
}

func ordinaryRequest(client *http.Client, address, id, model string) (int, error) {
	return routeRequest(client, address, "/s/", id, model, 5*time.Second)
}

// routeRequest sends a request that the client waits for at most that long.
func routeRequest(client *http.Client, address, path, id, model string, within time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+id, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderModel, model)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(max(within.Milliseconds(), 1)))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(body), "\n\n") != streamEvents {
		err = fmt.Errorf("%d events", strings.Count(string(body), "\n\n"))
	}
	return resp.StatusCode, err
}
