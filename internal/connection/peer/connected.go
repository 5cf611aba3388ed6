package peer

// Connected returns the number of other processes with an open connection.
func (p *Peer) Connected() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, s := range p.remotes {
		if s.connected() {
			n++
		}
	}
	return n
}

func (s *remotePeer) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && !s.current.ended()
}
