package modelplan

// resident returns the entry of a model that the server holds, or nil.
func (s *Server) resident(model string) *Resident {
	for i := range s.Models {
		if s.Models[i].Model == model {
			return &s.Models[i]
		}
	}
	return nil
}

// hasCopy reports whether the server has a copy of the model's weights in host memory or on disk.
func (s *Server) hasCopy(model string) bool { return s.InMemory[model] || s.OnDisk[model] }

// FreeMB returns the memory, in MB, that is left after the models that the server holds or is
// loading. It is negative if a load would exceed the memory.
func (s *Server) FreeMB(models map[string]Model) float64 {
	free := s.MemoryMB
	for i := range s.Models {
		if s.Models[i].Model != s.Loading {
			free -= s.Models[i].footprintMB(models)
		}
	}
	if s.Loading != "" {
		free -= models[s.Loading].WeightsMB
	}
	return free
}

// footprintMB returns the memory, in MB, of a loaded model and its adapters.
func (r *Resident) footprintMB(models map[string]Model) float64 {
	m := models[r.Model]
	return m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
}

func (s *Server) adapterCount() int {
	n := 0
	for i := range s.Models {
		n += len(s.Models[i].Adapters)
	}
	return n
}

func (r *Resident) hasAdapter(name string) bool {
	for _, a := range r.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}

func removeServer(servers []*Server, s *Server) []*Server {
	out := make([]*Server, 0, len(servers))
	for _, other := range servers {
		if other != s {
			out = append(out, other)
		}
	}
	return out
}
