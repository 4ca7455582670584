package trust

// Stats are the figures of a source for the metrics page.
type Stats struct {
	// ExpiresUnix is the end of validity of the certificate in use, in seconds since 1970.
	ExpiresUnix int64 `json:"expires_unix_s"`
	// Authorities counts the authorities accepted, more than one during a rotation.
	Authorities int `json:"authorities"`
	// RefusedPeers counts the certificates of peers that were refused.
	RefusedPeers uint64 `json:"refused"`
	// Fault tells what is wrong with the files, or is empty.
	Fault string `json:"fault,omitempty"`
}

// Stats returns the figures of the source.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.Current()
	return Stats{
		ExpiresUnix:  m.Leaf.NotAfter.Unix(),
		Authorities:  len(m.Authorities.certs),
		RefusedPeers: s.refused.Load(),
		Fault:        s.fault,
	}
}
