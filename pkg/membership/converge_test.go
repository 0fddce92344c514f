package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// truth is the oracle: what every table must know in the end.
type truth struct {
	leaving   map[port.ServerID]bool
	listed    map[port.ServerID]bool
	sequence  map[port.ServerID]uint64
	restarts  map[port.ServerID]int
	models    map[port.ServerID]int
	heartbeat map[port.InstanceID]uint64
}

func newTruth() *truth {
	return &truth{
		leaving:   make(map[port.ServerID]bool),
		listed:    make(map[port.ServerID]bool),
		sequence:  make(map[port.ServerID]uint64),
		restarts:  make(map[port.ServerID]int),
		models:    make(map[port.ServerID]int),
		heartbeat: make(map[port.InstanceID]uint64),
	}
}

func (o *truth) read(id port.ServerID) port.Report {
	o.sequence[id]++
	return port.Report{
		Server: id, Incarnation: fmt.Sprintf("i%03d", o.restarts[id]),
		Sequence: o.sequence[id], Leaving: o.leaving[id],
		Replicas: []port.Replica{{Model: port.ModelID(fmt.Sprint("m", o.models[id])), State: port.ReplicaReady}},
	}
}

// mesh is some tables and the deltas that are on their way between them.
type mesh struct {
	now    time.Time
	oracle *truth
	tables []*Table
	flying []flight
}

type flight struct {
	to    int
	delta *Delta
}

func newMesh(n int) *mesh {
	m := &mesh{now: at(0), oracle: newTruth()}
	for i := range n {
		m.tables = append(m.tables, newTable(fmt.Sprint("n", i), fmt.Sprint("z", i%2)))
	}
	return m
}

func (m *mesh) table(t *rapid.T) int { return rapid.IntRange(0, len(m.tables)-1).Draw(t, "table") }

func (m *mesh) server(t *rapid.T) port.ServerID {
	return port.ServerID(fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "server")))
}

func (m *mesh) read(t *rapid.T) {
	id := m.server(t)
	m.tables[m.table(t)].MergeReport(m.now, server(string(id)), m.oracle.read(id))
}

func (m *mesh) send(t *rapid.T) {
	from, to := m.table(t), m.table(t)
	if from != to {
		m.flying = append(m.flying, flight{to, m.tables[from].DeltaFor(m.now, m.tables[to].Self())})
	}
}

// deliver takes any delta on its way, and keeps it for a repetition at times.
func (m *mesh) deliver(t *rapid.T) {
	if len(m.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "flight")
	f := m.flying[i]
	m.tables[f.to].MergeDelta(m.now, f.delta)
	if rapid.Bool().Draw(t, "repeat") {
		return
	}
	m.flying = append(m.flying[:i], m.flying[i+1:]...)
}

// settle exchanges between neighbours until news has gone round, then checks
// that the deltas have nothing left to say.
func (m *mesh) settle() {
	for range 2*len(m.tables) + 2 {
		for i := range m.tables {
			exchange(m.now, m.tables[i], m.tables[(i+1)%len(m.tables)])
		}
	}
}

// TestTablesConverge brings about lost, repeated and reordered deltas, restarts
// and leaving. In the end all tables must agree with one another and with the
// oracle wherever each server was read once more.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(rapid.IntRange(2, 4).Draw(t, "tables"))
		t.Repeat(map[string]func(*rapid.T){
			"read":    m.read,
			"send":    m.send,
			"deliver": m.deliver,
			"restart": func(t *rapid.T) {
				id := m.server(t)
				m.oracle.restarts[id]++
				m.oracle.sequence[id] = 0
			},
			"load": func(t *rapid.T) { m.oracle.models[m.server(t)]++ },
			"leave": func(t *rapid.T) {
				m.oracle.leaving[m.server(t)] = true
			},
			// The platform's list may know first that a server leaves.
			"list": func(t *rapid.T) {
				id := m.server(t)
				m.oracle.listed[id] = true
				m.tables[m.table(t)].MergeLive(m.now, port.LiveSet{Servers: []port.Server{leavingServer(string(id))}})
			},
			"beat": func(t *rapid.T) {
				i := m.table(t)
				m.tables[i].Beat()
				m.oracle.heartbeat[m.tables[i].Self().ID]++
			},
			"time": func(t *rapid.T) { m.now = m.now.Add(time.Second) },
		})
		m.settle()
		agree(t, m)
		for i := range 3 {
			id := port.ServerID(fmt.Sprint("s", i))
			watcher := m.tables[m.table(t)]
			for range reviveReads {
				watcher.MergeReport(m.now, server(string(id)), m.oracle.read(id))
			}
		}
		m.settle()
		agree(t, m)
		matchesTruth(t, m)
	})
}

func agree(t *rapid.T, m *mesh) {
	first := m.tables[0]
	for _, other := range m.tables[1:] {
		want, got := first.Servers(m.now, ""), other.Servers(m.now, "")
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i].Server, got[i].Server)
			require.Equal(t, want[i].Report.Incarnation, got[i].Report.Incarnation)
			require.Equal(t, want[i].Report.Replicas, got[i].Report.Replicas)
		}
	}
}

func matchesTruth(t *rapid.T, m *mesh) {
	for _, table := range m.tables {
		for _, v := range table.Servers(m.now, "") {
			id := v.Server.ID
			require.Equal(t, m.oracle.leaving[id] || m.oracle.listed[id], v.Server.Leaving, id)
			require.Equal(t, m.oracle.read(id).Incarnation, v.Report.Incarnation, id)
			require.Equal(t, m.oracle.read(id).Replicas, v.Report.Replicas, id)
		}
		for _, v := range table.Instances(m.now, "") {
			require.LessOrEqual(t, v.Heartbeat, m.oracle.heartbeat[v.Instance.ID])
		}
	}
}
