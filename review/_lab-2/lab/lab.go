// Package lab holds small stand-ins and helpers for the scripts of an independent review.
package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	Couldn = 2
)

// longest is how long a script may run.
const longest = 118 * time.Second

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Unable ends a script that couldn't run.
func Unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "couldn't run: "+format+"\n", args...)
	stopAll()
	os.Exit(Couldn)
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		Unable("encode: %v", err)
	}
	return b
}

// Record is the file record.txt of a script.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record in the folder that the first argument names.
func NewRecord() *Record {
	if len(os.Args) < 2 {
		Unable("usage: case FOLDER")
	}
	f, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		Unable("%v", err)
	}
	r := &Record{file: f, started: time.Now()}
	time.AfterFunc(longest, func() { Unable("it took longer than %v", longest) })
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { Unable("signal %v", <-ended) }()
	r.Log("disruption: %v", Trouble())
	return r
}

// Log writes a line with the time since the start.
func (r *Record) Log(format string, args ...any) { r.At(time.Now(), format, args...) }

// At writes a line with the time since the start at which it happened.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{at.Sub(r.started).Seconds()}, args...)...)
}

// Verdict writes the result, ends all processes and exits.
func (r *Record) Verdict(broken bool, format string, args ...any) {
	word, code := "HELD", Held
	if broken {
		word, code = "BROKEN", Broken
	}
	text := word + ": " + fmt.Sprintf(format, args...)
	r.Log("%s", text)
	fmt.Println(text)
	stopAll()
	os.Exit(code)
}

// Instance is one process of the system.
type Instance struct {
	Name, Zone                    string
	Clients, Ready, Peer, Metrics string
	settings, log                 string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
}

var (
	allMu     sync.Mutex
	all       []*Instance
	folder    string
	folderOne sync.Once
)

func dir() string {
	folderOne.Do(func() {
		d, err := os.MkdirTemp("", "review-2-")
		if err != nil {
			Unable("%v", err)
		}
		folder = d
	})
	return folder
}

func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, i := range all {
		i.Kill()
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else if folder != "" {
		fmt.Fprintln(os.Stderr, "kept", folder)
	}
}

// listenFree listens on a free loopback port. It is none of those that the kernel gives to outgoing channels, so
// that it is still free when its process starts again.
func listenFree() net.Listener {
	for range 1000 {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))); err == nil {
			return l
		}
	}
	Unable("no free port")
	return nil
}

func freeAddresses(n int) []string {
	var out []string
	for range n {
		l := listenFree()
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// NewInstance writes the settings of a process, as the deploy file's template fills them in for a small
// deployment. fenced is the bound requireFence. store is the address of the platform's store.
func NewInstance(name, zone, store string, fenced bool) *Instance {
	a := freeAddresses(4)
	i := &Instance{Name: name, Zone: zone, Clients: a[0], Ready: a[1], Peer: a[2], Metrics: a[3]}
	i.settings = filepath.Join(dir(), name+".jsonc")
	i.log = filepath.Join(dir(), name+".log")
	doc := map[string]any{
		"instance": map[string]any{"name": name, "zone": zone}, "clients": map[string]any{"address": i.Clients},
		"readiness": map[string]any{"address": i.Ready}, "peers": map[string]any{"address": i.Peer}, "metrics": map[string]any{"address": i.Metrics},
		"store":   map[string]any{"address": store},
		"machine": map[string]any{"memory_mb": 284, "cores": 1, "core_share": 0.4, "link_mbps": 1000.0, "max_fds": 4100},
		"servers": map[string]any{"leave_within": "2000ms"}, "retries": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
		"placing": map[string]any{"lease": "3000ms", "servers_check_epochs": fenced}, "accounts": map[string]any{},
		"shutdown": map[string]any{"grace": "8s"},
	}
	if err := os.WriteFile(i.settings, mustJSON(doc), 0o600); err != nil {
		Unable("%v", err)
	}
	allMu.Lock()
	all = append(all, i)
	allMu.Unlock()
	return i
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start() {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("%v", err)
	}
	defer out.Close()
	cmd := exec.Command("target/cyclamenhoist", "edge")
	cmd.Env = []string{"CYCLAMENHOIST_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		Unable("start %s: %v", i.Name, err)
	}
	i.mu.Lock()
	i.cmd = cmd
	i.mu.Unlock()
	go func() { _ = cmd.Wait() }()
}

// PID returns the ID of the process.
func (i *Instance) PID() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// Kill kills the process.
func (i *Instance) Kill() { i.Signal(syscall.SIGKILL) }

// IsReady asks the process as the platform's balancer does.
func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready.
func (i *Instance) AwaitReady() {
	for deadline := time.Now().Add(15 * time.Second); !i.IsReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			Unable("%s isn't ready", i.Name)
		}
	}
}

// Platform is the platform's store with what operators and runners write there.
type Platform struct{ *standin.Store }

// NewPlatform starts the store.
func NewPlatform() *Platform { return &Platform{standin.NewStore()} }

// List writes a runner's entry.
func (p *Platform) List(r *Runner, state string) { p.PutServer(r.Cfg.ID, r.Entry(state)) }

// Unlist removes a runner's entry.
func (p *Platform) Unlist(r *Runner) { p.PutServer(r.Cfg.ID, nil) }

// Route is a route of a manifest with the platform's names.
type Route map[string]any

// Publish writes a manifest. engine is a service with models, plain one without.
func (p *Platform) Publish(version int, routes []Route, engine string, models []string, plain string) {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weightsMb": 72700.0, "loadS": 6.0, "adapters": 0, "adapterMb": 66.0, "warmupS": 0.4, "diskS": 0.52})
	}
	services := []any{}
	if engine != "" {
		services = append(services, map[string]any{"name": engine, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slotCount": 64, "kvTokens": 248900, "weightsMb": 220000.0, "adapterSlots": 8, "loadsPerS": 10.0, "models": list,
		}})
	}
	if plain != "" {
		services = append(services, map[string]any{"name": plain, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false})
	}
	p.PutManifest(mustJSON(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}))
}
