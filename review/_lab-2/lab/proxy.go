package lab

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Proxy passes channels on to an address until it is cut.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy.
func NewProxy(target string) *Proxy {
	p := &Proxy{target: target, listener: listenFree(), conns: map[net.Conn]bool{}}
	go p.accept()
	return p
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut resets all channels, and each new one until Heal.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for c := range p.conns {
		reset(c)
	}
}

// Heal passes channels on again.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *Proxy) pass(c net.Conn) {
	defer c.Close()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	p.mu.Lock()
	if p.cut {
		reset(c)
	}
	p.conns[c] = true
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(to, c)
		_ = to.Close()
	}()
	_, _ = io.Copy(c, to)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// Holder returns the name of the instance that leads, by the newest record of the system's own topic.
func (p *Platform) Holder() string {
	resp, err := http.Get("http://" + p.Address() + "/-/log-newest?topic=keyed.tenure&part=0")
	if err != nil {
		Unable("%v", err)
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Value string `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil || len(page.Items) == 0 {
		return ""
	}
	value, _ := base64.StdEncoding.DecodeString(page.Items[0].Value)
	var r struct {
		Holder   string `json:"holder"`
		Released bool   `json:"released"`
	}
	if json.Unmarshal(value, &r) != nil || r.Released {
		return ""
	}
	return r.Holder
}
