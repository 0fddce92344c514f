package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB and the settings below are those of a machine of the deployment shoalmark-qld.
	memoryMB = 284
	// restartDelay is the delay after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// watchInterval is the interval at which the platform checks the memory of a process.
	watchInterval = 20 * time.Millisecond
)

// machine is an entry instance as the platform runs it: a process that is killed when it exceeds its
// memory, and started again when it has ended.
type machine struct {
	name, zone string
	front      string
	ready      string
	settings   string
	record     *record
	output     *os.File
	// memoryMB is the memory of the machine.
	memoryMB int

	mu      sync.Mutex
	process *os.Process
	stopped bool
	// ends counts the processes that ended without having been told to, overMemory those that the
	// platform killed for their memory, and peakKB is the most memory that a process had.
	ends, overMemory int
	peakKB           int
	ended            chan struct{}
}

// firstPort and lastPort bound the ports of the machines. Ports of outgoing connections begin above them.
const firstPort, lastPort = 18000, 31999

// takenPorts are those that this run has given out, also to processes that don't listen yet.
var takenPorts sync.Map

// freeAddress returns a loopback address that nothing listens on, and another one each time.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort+1))
		if _, taken := takenPorts.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free port")
}

// newMachine writes the settings of a machine, with what the template of the deploy file states, and with
// changes for a deployment with other bounds.
func newMachine(dir, name, zone, store string, r *record, change ...func(settings map[string]any)) (*machine, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	document := map[string]any{
		"instance": map[string]any{"name": name, "zone": zone},
		"clients":  map[string]any{"address": addresses[0]}, "readiness": map[string]any{"address": addresses[1]},
		"peers": map[string]any{"address": addresses[2]}, "metrics": map[string]any{"address": addresses[3]},
		"store":    map[string]any{"address": store},
		"machine":  map[string]any{"memory_mb": memoryMB, "cores": 1, "core_share": 0.4, "link_mbps": 1000, "max_fds": 4100},
		"manifest": map[string]any{"apply_within": "2000ms"}, "servers": map[string]any{"leave_within": "2000ms"},
		"retries":  map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
		"placing":  map[string]any{"lease": "3000ms", "servers_check_epochs": true},
		"shutdown": map[string]any{"grace": "8s"},
	}
	for _, apply := range change {
		apply(document)
	}
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, zone: zone, front: addresses[0], ready: addresses[1], settings: filepath.Join(dir, name+".jsonc"), record: r, memoryMB: memoryMB}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return nil, err
	}
	m.output, err = os.Create(filepath.Join(dir, name+".log"))
	startedMachines.add(m)
	return m, err
}

// machineList is a list of machines. It is safe for concurrent use.
type machineList struct {
	mu   sync.Mutex
	list []*machine
}

// startedMachines are all machines of this run, whose processes end with it.
var startedMachines machineList

func (l *machineList) add(m *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, m)
}

func (l *machineList) stopAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.list {
		m.stop()
	}
}

// errEnded means that a process ended by itself in a case that isn't about that.
var errEnded = errors.New("a process ended by itself")

// checkRunning returns an error if a process of the machines has ended by itself.
func checkRunning(machines []*machine) error {
	for _, m := range machines {
		if ends, _, _ := m.counts(); ends > 0 {
			return fmt.Errorf("%w: %s", errEnded, m.name)
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	command := exec.Command("target/cyclamenhoist", "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENHOIST_SETTINGS=" + m.settings}
	command.Stdout, command.Stderr = m.output, m.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = command.Process, ended
	m.mu.Unlock()
	m.record.line("%s: process %d started", m.name, command.Process.Pid)
	go m.watchMemory(command.Process, ended)
	go func() {
		err := command.Wait()
		close(ended)
		m.mu.Lock()
		stopped := m.stopped
		if !stopped {
			m.ends++
		}
		m.mu.Unlock()
		if stopped {
			return
		}
		m.record.say("%s: process ended: %v", m.name, err)
		time.Sleep(restartDelay)
		m.mu.Lock()
		stopped = m.stopped
		m.mu.Unlock()
		if !stopped {
			if err := m.start(); err != nil {
				m.record.say("%s: not started: %v", m.name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (m *machine) watchMemory(process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchInterval):
		}
		kb := anonymousKB(process.Pid)
		m.mu.Lock()
		m.peakKB = max(m.peakKB, kb)
		over := kb > m.memoryMB<<10
		if over {
			m.overMemory++
		}
		m.mu.Unlock()
		if over {
			m.record.say("%s: process %d has %d MB of the machine's %d MB, and is killed", m.name, process.Pid, kb>>10, m.memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// anonymousKB returns the memory of a process without that of the files which it maps.
func anonymousKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb
		}
	}
	return 0
}

// isReady asks the machine as the platform's load balancer does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machine is ready.
func (m *machine) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", m.name)
}

// signal sends a signal to the current process.
func (m *machine) signal(s os.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Signal(s)
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	process, ended := m.process, m.ended
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill()
	<-ended
}

// counts returns how often processes of the machine have ended by themselves, and for their memory,
// and the most memory that one had.
func (m *machine) counts() (ends, overMemory, peakMB int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends, m.overMemory, m.peakKB >> 10
}
