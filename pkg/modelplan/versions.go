package modelplan

import (
	"maps"
	"slices"
)

// placeForVersions places models, and their adapters, on servers of the software versions that
// requests need because a server of that version began their streams.
func (p *planner) placeForVersions() {
	for _, model := range p.modelsByWeight(func(_ string, d Demand) float64 { return float64(len(d.Versions)) }) {
		versions := p.state.Demand[model].Versions
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			p.placeForVersion(model, version, versions[version])
		}
	}
}

func (p *planner) placeForVersion(model, version string, d VersionDemand) {
	ofVersion := func(s *Server) bool { return s.Version == version }
	holders := slices.DeleteFunc(slices.Clone(p.byModel[model]), func(s *Server) bool { return !ofVersion(s) })
	if len(holders) == 0 {
		p.place(model, d.Waiting, true, ofVersion)
		return
	}
	waits := make([]AdapterID, 0, len(d.Adapters))
	for name := range d.Adapters {
		waits = append(waits, AdapterID{model, name})
	}
	p.sortByTurn(waits, func(string) []*Server { return holders })
	for _, wait := range waits {
		p.placeAdapter(model, wait.Adapter, holders)
	}
}
