package relay

// suspiciousServers is the number of servers to which connections fail in a row before it is
// checked whether any server is reachable. Single servers fail all the time.
const suspiciousServers = 2

// failures counts the servers to which connections have failed since one has succeeded.
type failures struct{ servers map[string]bool }

func (f *failures) succeeded() { clear(f.servers) }

// failed records a failed connection, and reports whether several servers have failed.
func (f *failures) failed(address string) bool {
	if f.servers == nil {
		f.servers = map[string]bool{}
	}
	f.servers[address] = true
	return len(f.servers) >= suspiciousServers
}
