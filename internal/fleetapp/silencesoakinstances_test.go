package fleetapp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakGrace is the grace period: a process that still runs so long after SIGTERM is killed.
const soakGrace = 8 * time.Second

// soakInstance is an instance over all its processes, one after the other.
type soakInstance struct {
	name, binary, store string
	directory           string
	plan                *soakPlan

	mu        sync.Mutex
	processes []*soakProcess
}

// soakProcess is one process of an instance.
type soakProcess struct {
	instance         string
	front, readiness string
	cmd              *exec.Cmd
	log              *processLog
	ended            chan struct{}

	mu sync.Mutex
	// stopped is when SIGTERM was sent; zero before.
	stopped time.Time
	killed  bool
}

const soakSettingsFormat = `{
	"instance": {"name": %q, "zone": "zone-a"}, "store": {"address": %q},
	"clients": {"address": %q}, "readiness": {"address": %q}, "peers": {"address": %q}, "metrics": {"address": %q},
	"retries": {"ratio": %g, "extra": %d, "instances": %d},
	"machine": {"memory_mb": 128, "cores": 1}, "shutdown": {"grace": "%ds"}, "log": {"lines_per_second": 5000},
}`

// soakStarts is the number of times that a process is started if another one has taken its address.
const soakStarts = 5

// start starts a process and waits until it is ready, or returns nil if ctx ends before.
func (i *soakInstance) start(ctx context.Context, t *testing.T) *soakProcess {
	for range soakStarts {
		p := i.launch(t)
		for !p.ready() {
			select {
			case <-ctx.Done():
				return nil
			case <-p.ended:
			default:
				wait(ctx, 10*time.Millisecond)
				continue
			}
			break
		}
		switch {
		case p.running():
			return p
		case !strings.Contains(p.log.String(), "address already in use"):
			t.Errorf("%s has ended before it was ready:\n%s", i.name, p.log)
			return nil
		}
		i.forget(p)
	}
	t.Errorf("%s finds no free address", i.name)
	return nil
}

func (i *soakInstance) launch(t *testing.T) *soakProcess {
	addresses := freeAddresses(t, 4)
	p := &soakProcess{
		instance: i.name, front: addresses[0], readiness: addresses[1], log: &processLog{}, ended: make(chan struct{}),
	}
	path := filepath.Join(i.directory, i.name+".jsonc")
	settings := fmt.Sprintf(soakSettingsFormat, i.name, i.store, p.front, p.readiness, addresses[2], addresses[3],
		i.plan.retryRatio, i.plan.retryExtra, i.plan.instances, int(soakGrace.Seconds()))
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	p.cmd = exec.Command(i.binary, "edge", "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The process ends with the test, also if the test is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(p.kill)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.processes = append(i.processes, p)
	return p
}

// freeAddresses returns different addresses on which nobody listens.
func freeAddresses(t *testing.T, count int) []string {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// current returns the newest process.
func (i *soakInstance) current() *soakProcess {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.processes[len(i.processes)-1]
}

// forget removes a process that couldn't listen.
func (i *soakInstance) forget(p *soakProcess) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.processes = slices.DeleteFunc(i.processes, func(other *soakProcess) bool { return other == p })
}

// all returns all processes, the oldest first.
func (i *soakInstance) all() []*soakProcess {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.processes)
}

// stop sends SIGTERM and SIGKILL after the grace period, and returns when the process has ended.
func (p *soakProcess) stop(ctx context.Context) {
	p.mu.Lock()
	p.stopped = time.Now()
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	grace := time.NewTimer(soakGrace)
	defer grace.Stop()
	select {
	case <-ctx.Done():
	case <-p.ended:
	case <-grace.C:
		p.mu.Lock()
		p.killed = true
		p.mu.Unlock()
		p.kill()
	}
}

func (p *soakProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// stoppedAt returns when SIGTERM was sent; zero if it wasn't.
func (p *soakProcess) stoppedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *soakProcess) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *soakProcess) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *soakProcess) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logOf returns the lines of an instance's processes about a request, and those that tell of stops.
func (i *soakInstance) logOf(id string) string {
	var out strings.Builder
	for n, p := range i.all() {
		for line := range strings.Lines(p.log.String()) {
			if strings.Contains(line, "request="+id+" ") || strings.Contains(line, "event=draining") || strings.Contains(line, "event=drain_cut_short") {
				fmt.Fprintf(&out, "    %s process %d: %s", i.name, n, line)
			}
		}
	}
	return out.String()
}
