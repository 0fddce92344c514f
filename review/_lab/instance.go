package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The files that the bench's page names. The lab runs in the repository's root.
const (
	program  = "target/cyclamenhoist"
	template = "deploy/settings.jsonc.tmpl"
)

// instance is one machine with a process of the system.
type instance struct {
	rec                  *recorder
	name                 string
	settings             string
	front, ready, status string
	log                  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// newInstance writes the settings of an instance, as the platform does.
func newInstance(rec *recorder, dir, name, zone, storeAddr string, bounds map[string]any) *instance {
	ports := freePorts(4)
	i := &instance{rec: rec, name: name, front: ports[0], ready: ports[1], status: ports[3]}
	first, last := portOf(ports[2]), portOf(ports[3])
	fields := map[string]any{
		"nodeName": name, "zone": zone, "ip": "127.0.0.1",
		"listen":            map[string]any{"front": ports[0], "ready": ports[1]},
		"internalPortRange": []any{first, last},
		"platform":          map[string]any{"address": storeAddr},
		"limits":            map[string]any{"memoryMb": 284, "cpuCores": 1, "cpuShare": 0.4, "linkMbps": 1000.0, "maxFds": 4100},
		"bounds":            bounds,
	}
	text, err := os.ReadFile(template)
	check(err)
	i.settings = filepath.Join(dir, name+".jsonc")
	check(os.WriteFile(i.settings, []byte(render(string(text), fields)), 0o600))
	i.log, err = os.Create(filepath.Join(dir, name+".log"))
	check(err)
	return i
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the template's placeholders and sections.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v := lookUp(fields, m[1]); v == nil || v == false {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if v == nil {
			return ""
		}
		if m[2] != "" {
			data, err := json.Marshal(v)
			check(err)
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

func lookUp(v any, path string) any {
	for _, key := range strings.Split(path, ".") {
		switch at := v.(type) {
		case map[string]any:
			v = at[key]
		case []any:
			n := int(key[0] - '0')
			if n >= len(at) {
				return nil
			}
			v = at[n]
		default:
			return nil
		}
	}
	return v
}

// start starts the process with the command of the deploy file.
func (i *instance) start() {
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENHOIST_SETTINGS=" + i.settings}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	i.rec.printf("instance %s starts, process %d", i.name, cmd.Process.Pid)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd = cmd
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rec.printf("instance %s gets %v", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// wait waits until the process has ended.
func (i *instance) wait() {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	err := cmd.Wait()
	i.rec.printf("instance %s has ended: %v", i.name, err)
}

// kill ends the process.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.wait()
}

// isReady asks as the platform's balancer does.
func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/-/readyz", nil)
	check(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return
		}
	}
	unusable("instance %s isn't ready", i.name)
}

func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}

// The ports of instances lie below those that the kernel gives to outgoing connections, which could
// take one before the instance listens on it. Each process of this program has a range of its own, so
// that the ports of a stopped instance stay free.
const (
	firstPort  = 15_000
	portRange  = 60
	portRanges = 280
)

var nextPort = firstPort + portRange*(os.Getpid()%portRanges)

func freePorts(n int) []string {
	var out []string
	for len(out) < n {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		check(l.Close())
		out = append(out, address)
	}
	return out
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	check(err)
	return port
}
