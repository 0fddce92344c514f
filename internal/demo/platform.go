package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenhoist/cyclamenhoist/internal/fleetapp"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// The host and the paths that the routes of the demonstration match.
const (
	EdgeHost      = "shop.example"
	EdgeModelPath = "/summaries/"
	EdgeWebPath   = "/entries/"
)

// EdgeModel is a model that is initially loaded on no server.
const EdgeModel = "shoreline-summary"

const (
	edgeInstances       = 2
	engineServers       = 2
	engineSlots         = 8
	engineModelCapacity = 2
	engineLoadTime      = 300 * time.Millisecond
	engineEvents        = 5
	eventInterval       = 20 * time.Millisecond
	edgeRequests        = 100
	webRequests         = 20
	edgeRequestTimeout  = 10 * time.Second
	edgeMemoryMB        = 256
	edgeDrainTimeout    = 2 * time.Second
	manifestVersion     = 1
)

// Edge is a platform of stand-ins and the entry instances on it, all on loopback.
type Edge struct {
	Store   *standin.Store
	Servers []*standin.Server
	// Clients and Metrics are the instances' host:port addresses for clients and
	// for metrics.
	Clients, Metrics []string

	readiness []string
	directory string
	kill      context.CancelFunc
	stop      context.CancelFunc
	group     *errgroup.Group
}

// StartEdge starts a platform and entry instances, and returns once all of them are
// ready. The error is ErrStart, or ErrNotReady if ctx ends first. The instances run
// until kill is canceled, or until Stop or Close is called.
func StartEdge(ctx, kill context.Context, logOutput io.Writer) (*Edge, error) {
	directory, err := os.MkdirTemp("", "cyclamenhoist-demo-")
	if err != nil {
		return nil, errors.Join(ErrStart, err)
	}
	kill, cancelKill := context.WithCancel(kill)
	stop, cancelStop := context.WithCancel(kill)
	e := &Edge{Store: standin.NewStore(), directory: directory, kill: cancelKill, stop: cancelStop, group: &errgroup.Group{}}
	e.startServers()
	for n := range edgeInstances {
		if err := e.startInstance(kill, stop, n, logOutput); err != nil {
			e.Close()
			return nil, errors.Join(ErrStart, err)
		}
	}
	for _, address := range e.readiness {
		if err := poll(ctx, func() (bool, error) { return isReady(ctx, address), nil }); err != nil {
			e.Close()
			return nil, err
		}
	}
	return e, nil
}

func (e *Edge) startServers() {
	for n := range engineServers {
		e.Servers = append(e.Servers, standin.NewServer(standin.ServerConfig{
			ID: fmt.Sprint("engine-", n+1), Service: "engine", Zone: "zone-a", Slots: engineSlots,
			Models: []string{"entry-assistant"}, OnDisk: []string{EdgeModel}, ModelCapacity: engineModelCapacity,
			LoadTime: engineLoadTime, Events: engineEvents, Pause: eventInterval,
		}))
	}
	e.Servers = append(e.Servers, standin.NewServer(standin.ServerConfig{ID: "web-1", Service: "web", Zone: "zone-a", Slots: engineSlots}))
	for _, server := range e.Servers {
		server.Register(e.Store, "ready")
	}
	limit := int(edgeRequestTimeout.Milliseconds())
	e.Store.Publish(manifestVersion, []standin.Route{
		{
			Name: "summaries", Host: EdgeHost, PathPrefix: EdgeModelPath, Kind: "streaming", TimeoutMs: limit,
			TargetLatencyMs: limit, Service: "engine", MaxAttempts: 2, GapTargetMs: limit,
		},
		{
			Name: "entries", Host: EdgeHost, PathPrefix: EdgeWebPath, Kind: "unsafe", TimeoutMs: limit,
			TargetLatencyMs: limit, Service: "web", MaxAttempts: 1,
		},
	}, "engine", []string{"entry-assistant", EdgeModel}, engineModelCapacity, "web")
}

func (e *Edge) startInstance(kill, stop context.Context, n int, logOutput io.Writer) error {
	addresses, err := unusedAddresses(4)
	if err != nil {
		return err
	}
	document := map[string]any{
		"instance": map[string]any{"name": fmt.Sprint("front-", n+1), "zone": "zone-a"},
		"clients":  map[string]any{"address": addresses[0]}, "readiness": map[string]any{"address": addresses[1]},
		"peers": map[string]any{"address": addresses[2]}, "metrics": map[string]any{"address": addresses[3]},
		"store": map[string]any{"address": e.Store.Address()}, "machine": map[string]any{"memory_mb": edgeMemoryMB},
		"shutdown": map[string]any{"grace": edgeDrainTimeout.String()},
	}
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(e.directory, fmt.Sprintf("front-%d.jsonc", n+1))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	settings, err := fleetapp.Load(path)
	var faults jsonc.Faults
	if errors.As(err, &faults) {
		return errors.Wrap(faults, path)
	}
	if err != nil {
		return err
	}
	instance, err := fleetapp.New(settings, path, logOutput)
	if err != nil {
		return err
	}
	e.Clients, e.Metrics = append(e.Clients, addresses[0]), append(e.Metrics, addresses[3])
	e.readiness = append(e.readiness, addresses[1])
	e.group.Go(func() error { return instance.Run(kill, stop) })
	return nil
}

// unusedAddresses returns loopback addresses that nothing listens on. Another process
// can bind one before it is used; the instance then fails to listen on it.
func unusedAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.PathReadiness, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops the instances gracefully, then the platform.
func (e *Edge) Stop() error {
	e.stop()
	err := e.group.Wait()
	e.closePlatform()
	return err
}

// Close stops the instances and the platform without draining.
func (e *Edge) Close() {
	e.kill()
	_ = e.group.Wait()
	e.closePlatform()
}

func (e *Edge) closePlatform() {
	for _, server := range e.Servers {
		server.Close()
	}
	e.Store.Close()
	_ = os.RemoveAll(e.directory)
}

// EdgeResult holds the outcome of the burst that Edge.Burst sends.
type EdgeResult struct {
	// Answered counts complete answers that a server has signed, Failed all others.
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// Runs counts the requests that the servers ran, Loads the loads that were
	// ordered, and Overloads the loads that exceeded a server's memory.
	Runs      int `json:"runs"`
	Loads     int `json:"loads"`
	Overloads int `json:"overloads"`
}

// Violations lists the guarantees that the burst found violated.
func (r *EdgeResult) Violations() []string {
	var broken []string
	check := func(ok bool, text string) {
		if !ok {
			broken = append(broken, text)
		}
	}
	check(r.Answered == edgeRequests+webRequests, "every request is answered")
	check(r.Runs == r.Answered+r.Failed, "every request runs once")
	check(r.Loads > 0 && r.Loads <= engineServers, "a server loads the model once")
	check(r.Overloads == 0, "memory is never overcommitted")
	return broken
}

// Burst sends requests for a model that is loaded on no server yet to all instances,
// and entries that mustn't run twice.
func (e *Edge) Burst(ctx context.Context) *EdgeResult {
	var result EdgeResult
	var mu sync.Mutex
	var all sync.WaitGroup
	client := &http.Client{Timeout: edgeRequestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: edgeRequests}}
	for n := range edgeRequests + webRequests {
		path, model := EdgeModelPath, EdgeModel
		if n >= edgeRequests {
			path, model = EdgeWebPath, ""
		}
		all.Go(func() {
			ok := sendRequest(ctx, client, e.Clients[n%len(e.Clients)], path, model, fmt.Sprint("demo-", n))
			mu.Lock()
			defer mu.Unlock()
			if ok {
				result.Answered++
			} else {
				result.Failed++
			}
		})
	}
	all.Wait()
	for _, server := range e.Servers {
		result.Runs += len(server.Runs())
		result.Overloads += server.LoadsOverCapacity()
		for _, order := range server.Orders() {
			if order == "load "+EdgeModel {
				result.Loads++
			}
		}
	}
	return &result
}

// sendRequest sends one request and reports whether its answer was complete and
// signed.
func sendRequest(ctx context.Context, client *http.Client, address, path, model, id string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+id, strings.NewReader("x"))
	if err != nil {
		return false
	}
	request.Host = EdgeHost
	request.Header.Set(standin.HeaderID, id)
	request.Header.Set(standin.HeaderDeadline, fmt.Sprint(edgeRequestTimeout.Milliseconds()))
	if model != "" {
		request.Header.Set(standin.HeaderModel, model)
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	complete := err == nil && (model == "" || bytes.Count(body, []byte("data:")) == engineEvents)
	return complete && response.StatusCode == http.StatusOK && response.Header.Get(standin.HeaderSignature) != ""
}
