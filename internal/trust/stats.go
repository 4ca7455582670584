package trust

// Stats holds the metrics of a Source as published among a process's variables.
type Stats struct {
	// ExpiresUnix is the end of validity of the current certificate in Unix seconds.
	ExpiresUnix int64 `json:"expires_unix_s"`
	// Authorities is the number of accepted authorities, more than one during a rotation.
	Authorities int `json:"authorities"`
	// RefusedPeers is the number of peer certificates refused since the source was created.
	RefusedPeers uint64 `json:"refused"`
	// Fault is the error of the last reload, or empty.
	Fault string `json:"fault,omitempty"`
}

// Stats returns the current metrics of the source.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.Current()
	return Stats{
		ExpiresUnix:  m.Leaf.NotAfter.Unix(),
		Authorities:  len(m.Authorities.certs),
		RefusedPeers: s.refusedPeers.Load(),
		Fault:        s.loggedFault,
	}
}
